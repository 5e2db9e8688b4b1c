package trace

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Class is a class of requests with the same priority and deadlines.
type Class struct {
	Name       string
	Priority   int
	FirstToken time.Duration // deadline of the first token, from the arrival
	Completion time.Duration // deadline of the last token, from the arrival
}

// Request is one arrival of a trace.
type Request struct {
	Arrival      time.Duration // since the start of the trace
	Class        Class
	Caller       string
	Prefix       string // key of the prompt's shared prefix, empty if there is none
	PrefixTokens int    // length of the shared prefix
	PromptTokens int    // includes the shared prefix
	OutputTokens int
}

// Stream describes requests of one class with Poisson arrivals.
type Stream struct {
	Class              Class
	Share              float64 // fraction of the site's offered load
	PrefillHeavyPrompt Range
	PrefillHeavyOutput Range
	DecodeHeavyPrompt  Range
	DecodeHeavyOutput  Range
	Callers            int
	PrefixTokens       int // length of the prefix that all requests of a caller share
}

// Range is a closed interval of token counts.
type Range struct {
	Low, High int
}

// draw returns a uniformly distributed token count.
func (r Range) draw(random *rand.Rand) int {
	return r.Low + random.IntN(r.High-r.Low+1)
}

func (r Range) mean() float64 {
	return float64(r.Low+r.High) / 2
}

// MixCycle describes how the fraction of decode-heavy requests varies over time.
type MixCycle struct {
	Period    time.Duration // of the oscillation, 0 for a constant fraction of 0.5
	Amplitude float64       // 1 for fractions from 0 to 1
	IsSquare  bool          // square wave instead of a sine wave
}

// decodeShare returns the fraction of decode-heavy requests at time t.
func (c MixCycle) decodeShare(t time.Duration) float64 {
	if c.Period <= 0 {
		return 0.5
	}
	phase := math.Sin(2 * math.Pi * t.Seconds() / c.Period.Seconds())
	if c.IsSquare {
		phase = math.Copysign(1, phase)
	}
	return 0.5 + 0.5*c.Amplitude*phase
}

// Cost holds the engine time per token on a specialised engine.
type Cost struct {
	Prompt time.Duration
	Output time.Duration
}

// Site describes the workload of one organisation.
type Site struct {
	Name    string
	Engines int
	Streams []Stream
}

// Generator generates the requests of a site.
type Generator struct {
	site  Site
	cycle MixCycle
	load  float64
	cost  Cost
}

// New returns a Generator whose offered load is the given fraction of the capacity of the site's engines if
// they were specialised.
func New(site Site, cycle MixCycle, load float64, cost Cost) *Generator {
	return &Generator{site: site, cycle: cycle, load: load, cost: cost}
}

// Demand returns the offered prefill and decode load at time t, as a number of specialised engines.
func (g *Generator) Demand(t time.Duration) (prompt, output float64) {
	share := g.cycle.decodeShare(t)
	for _, s := range g.site.Streams {
		rate := g.rate(s)
		prompt += rate * meanTokens(s.PrefillHeavyPrompt, s.DecodeHeavyPrompt, share) * g.cost.Prompt.Seconds()
		output += rate * meanTokens(s.PrefillHeavyOutput, s.DecodeHeavyOutput, share) * g.cost.Output.Seconds()
	}
	return prompt, output
}

// meanTokens returns the mean token count where decodeShare of the requests draw from b, the others from a.
func meanTokens(a, b Range, decodeShare float64) float64 {
	return a.mean()*(1-decodeShare) + b.mean()*decodeShare
}

// rate returns the requests per second for which the stream's mean work is its share of the offered load.
func (g *Generator) rate(s Stream) float64 {
	work := meanTokens(s.PrefillHeavyPrompt, s.DecodeHeavyPrompt, 0.5)*g.cost.Prompt.Seconds() + meanTokens(s.PrefillHeavyOutput, s.DecodeHeavyOutput, 0.5)*g.cost.Output.Seconds()
	return g.load * float64(g.site.Engines) * s.Share / work
}

// Generate returns the requests of a trace of the given length in the order of their arrival.
func (g *Generator) Generate(seed uint64, length time.Duration) []Request {
	var all []Request
	for i, s := range g.site.Streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all = merge(all, g.arrivals(random, s, length))
	}
	return all
}

// arrivals returns the requests of one stream.
func (g *Generator) arrivals(random *rand.Rand, s Stream, length time.Duration) []Request {
	var requests []Request
	rate := g.rate(s)
	arrival := time.Duration(0)
	for {
		arrival += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if arrival >= length {
			return requests
		}
		share := g.cycle.decodeShare(arrival)
		caller := s.Class.Name + strconv.Itoa(random.IntN(s.Callers))
		isDecodeHeavy := random.Float64() < share
		r := Request{Arrival: arrival, Class: s.Class, Caller: caller, PrefixTokens: s.PrefixTokens}
		r.PromptTokens, r.OutputTokens = s.PrefillHeavyPrompt.draw(random), s.PrefillHeavyOutput.draw(random)
		if isDecodeHeavy {
			r.PromptTokens, r.OutputTokens = s.DecodeHeavyPrompt.draw(random), s.DecodeHeavyOutput.draw(random)
		}
		if s.PrefixTokens > 0 {
			r.Prefix = caller
			r.PromptTokens = max(r.PromptTokens, s.PrefixTokens+1)
		}
		requests = append(requests, r)
	}
}

// merge returns the requests of two traces in the order of their arrival.
func merge(a, b []Request) []Request {
	all := make([]Request, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].Arrival <= b[0].Arrival {
			all, a = append(all, a[0]), a[1:]
		} else {
			all, b = append(all, b[0]), b[1:]
		}
	}
	all = append(all, a...)
	return append(all, b...)
}
