package place

import (
	"math/rand/v2"
	"time"

	"pimentoseam/core/curve"
)

// Engine is the state of a model engine as seen by one request.
//
// An engine without PrefillOnly is called a decode engine. It also processes prompts, but more slowly, so it
// corresponds to the role "mixed" in packages roles and pick, whose decode engines get no prompts.
type Engine struct {
	ID                 string
	Zone               string
	PrefillOnly        bool          // Processes prompts only; other engines do that and generate output.
	Backlog            time.Duration // Estimated prefill work ahead of the request; callers count less urgent work at half.
	Running            Usage         // By all requests that generate output on it.
	Blocking           Usage         // The part of Running that the request can't preempt.
	Slots              int           // Maximum number of concurrent requests; 0 if unlimited.
	Capacity           int           // KV cache size in tokens; 0 if unlimited.
	Cached             int           // Leading tokens of the prompt in its KV cache.
	CachedAfterBacklog int           // The same once the backlog is processed; the larger of the two counts.
	Slowness           float64       // Factor by which it takes longer for prompts than usual; 0 stands for 1.
	StreamSlowness     float64       // Factor by which it generates output more slowly than usual; 0 stands for 1.
}

// held returns the leading tokens of the prompt that it has cached once its backlog is processed.
func (e *Engine) held() int {
	return max(e.Cached, e.CachedAfterBacklog)
}

// Job is a request for a model.
type Job struct {
	PromptTokens    int
	MaxOutputTokens int
	Zone            string        // Availability zone of the entry.
	TokenBytes      int           // KV cache size of one token.
	LinkMbps        float64       // Bandwidth between engines in Mbit/s.
	Urgent          bool          // Has the highest priority, so engines preempt other requests for it.
	DecodeTime      time.Duration // Mean time that a request generates output; 0 if unknown.
	Model           *curve.Model  // What was learned of the service's engines; nil for nothing.
	Interval        time.Duration // Usual pause between the events of a stream; 0 if unknown.
	TargetGap       time.Duration // Longest pause with which the stream is on time; 0 for none.
}

// Choice is the engines that serve a request, and the estimated times.
type Choice struct {
	Prefill     *Engine       // Processes the prompt; nil if Decode does it.
	Decode      *Engine       // Generates the output.
	FetchFrom   *Engine       // Source of cached tokens that the engine that processes the prompt lacks; nil for none.
	PrefillTime time.Duration // Time to process the prompt.
	Wait        time.Duration // Part of Delay in which the request waits for others: backlog, slot wait and saturatedCost.
	// Delay is the estimated time to the first token, including the slot wait, plus saturatedCost as a penalty if
	// Decode is saturated. Admission control takes the sum as a time.
	Delay time.Duration
}

// Placer chooses engines by a cost: the request's delay plus penalties for the engine time, load and
// cross-zone traffic that it causes.
type Placer struct {
	speed Speed
}

const (
	// prefillWeight is the cost of the prompt's processing time in addition to the request's own delay,
	// since it delays the requests that are queued behind.
	prefillWeight = 0.5
	// decodePrefillWeight is the additional cost of prompt processing on a decode engine: it lengthens each step for
	// all of the engine's streams.
	decodePrefillWeight = 3
	// backlogWeight is the share of a decode engine's prompt backlog that delays an output whose prompt
	// was processed on another engine.
	backlogWeight = 0.25
	// crossZoneCost is the cost of crossing availability zones in addition to the transfer time. It keeps
	// requests in their zone until its queues are clearly longer than those of other zones.
	crossZoneCost = 40 * time.Millisecond
	// copyWeight is the cost of a token that an engine would copy although another engine of its role has it cached,
	// in multiples of the time to process a token. The copy displaces as many other tokens, each of which is soon
	// processed again on a loaded fleet: the copies of a few parts push the others out of all engines.
	copyWeight = 1.0
	// minFetchTokens is the number of tokens from which a fetch is faster than processing them again.
	minFetchTokens = 64
	// freeMemoryFactor is the free KV cache, in multiples of the request's size, below which an engine counts as
	// saturated. The memory of requests that this one can preempt counts as free.
	freeMemoryFactor = 4
	// fullLoadCost is the cost of a decode engine whose slots or memory are used up.
	fullLoadCost = 300 * time.Millisecond
	// saturatedCost is added if the requests that this one can't preempt leave too little room on an engine. It is
	// a penalty, but it is part of Choice.Delay, too.
	saturatedCost = time.Second
	// gapMargin is the ratio of the longest pause in a stream to the mean one: VMs are 2.5 times as slow for fractions of a second.
	gapMargin = 2.5
	// gapCost is the cost of a mean pause that is twice as long as one with which the stream is on time.
	gapCost = 2 * time.Second
	// maxGapCost limits that cost, so that a slow engine is still better than a full one.
	maxGapCost = fullLoadCost * 4 / 5
	// slownessTolerance is the factor by which an engine may seem slower than the usual one without being so.
	slownessTolerance = 1.3
	// longOutput is the number of output tokens from which a stream is likely to meet a slow moment.
	longOutput = 150.0
	// maxJitter keeps entries with the same information from all choosing the same engine.
	maxJitter = 3 * time.Millisecond
)

// New returns a Placer.
func New() *Placer {
	return &Placer{speed: defaultSpeed}
}

// InitialTime returns how long a prefill engine takes for a prompt as long as nothing was learned.
func (p *Placer) InitialTime(prompt curve.Prompt) time.Duration {
	return time.Duration(p.speed.statedTime(&Engine{PrefillOnly: true}, prompt))
}

// Choose returns the cheapest choice for a job, and false if no engine can serve it.
//
// The slot wait and saturatedCost are part of the delay and of the cost of a decode engine. Where another engine
// processes the prompt, they therefore count twice in the cost.
func (p *Placer) Choose(job *Job, engines []*Engine) (Choice, bool) {
	decoder, decodeCost := p.cheapestDecode(job, engines, "")
	if decoder == nil {
		return Choice{}, false
	}
	var best Choice
	var minCost time.Duration
	for _, e := range engines {
		c := p.prefillChoice(job, e, cacheSource(engines, e))
		cost := time.Duration(prefillWeight*float64(c.PrefillTime)) + zoneCost(e.Zone, job.Zone) + jitter()
		cost += p.speed.copyCost(max(0, mostHeld(engines, e.PrefillOnly)-e.held()))
		if e.PrefillOnly {
			c.Prefill, c.Decode = e, decoder
			c.Delay += p.speed.TransferTime(job.PromptTokens, job.TokenBytes, job.LinkMbps, e.Zone != decoder.Zone) + p.speed.RoundTrip + p.speed.StepTime
			cost += decodeCost
		} else {
			c.Decode = e
			cost += p.loadCost(e) + job.gapCost(e) + time.Duration(decodePrefillWeight*float64(c.PrefillTime+e.Backlog))
		}
		wait := c.Decode.slotWait(job)
		if c.Decode.isSaturated(job) {
			wait += saturatedCost
		}
		c.Delay += wait
		c.Wait = e.Backlog + wait
		cost += c.Delay
		if best.Decode == nil || cost < minCost {
			best, minCost = c, cost
		}
	}
	return best, true
}

// ChooseDecode returns the engine that generates the output after an engine in prefillZone has processed
// the prompt, or nil if there is none.
func (p *Placer) ChooseDecode(job *Job, engines []*Engine, prefillZone string) *Engine {
	e, _ := p.cheapestDecode(job, engines, prefillZone)
	return e
}

// mostHeld returns the most tokens of the prompt that an engine of a role has cached once its backlog is processed.
func mostHeld(engines []*Engine, prefillOnly bool) int {
	most := 0
	for _, e := range engines {
		if e.PrefillOnly == prefillOnly {
			most = max(most, e.held())
		}
	}
	return most
}

// prefillChoice estimates the processing of the prompt on e. It sets FetchFrom and the times. Delay does not
// include the transfer to a decode engine, the first decode step, the slot wait and saturatedCost yet.
func (p *Placer) prefillChoice(job *Job, e, source *Engine) Choice {
	cached, fetch := e.held(), time.Duration(0)
	c := Choice{}
	if source != nil && source != e && source.Cached-cached >= minFetchTokens {
		c.FetchFrom = source
		fetch = p.speed.TransferTime(source.Cached-cached, job.TokenBytes, job.LinkMbps, source.Zone != e.Zone)
		cached = source.Cached
	}
	c.PrefillTime = p.speed.PrefillTime(e, job.Model, job.PromptTokens, cached)
	c.Delay = p.speed.RoundTrip + fetch + e.Backlog + c.PrefillTime
	return c
}

// cheapestDecode returns the engine with the minimum cost of generating the output, and that cost, which includes
// the slot wait and saturatedCost. An empty prefillZone stands for an unknown one.
func (p *Placer) cheapestDecode(job *Job, engines []*Engine, prefillZone string) (*Engine, time.Duration) {
	var best *Engine
	var minCost time.Duration
	for _, e := range engines {
		if e.PrefillOnly {
			continue
		}
		cost := p.loadCost(e) + job.gapCost(e) + time.Duration(backlogWeight*float64(e.Backlog)) + zoneCost(e.Zone, job.Zone) + jitter()
		if prefillZone != "" {
			cost += zoneCost(e.Zone, prefillZone)
		}
		cost += e.slotWait(job)
		if e.isSaturated(job) {
			cost += saturatedCost
		}
		if best == nil || cost < minCost {
			best, minCost = e, cost
		}
	}
	return best, minCost
}

// slowness returns the factor by which the engine is slower than the usual one.
func (e *Engine) slowness() float64 {
	if e.Slowness > 0 {
		return e.Slowness
	}
	return 1
}

// excessSlowness returns StreamSlowness without the tolerance, at least 1. Without the tolerance, all entries would prefer the
// engine whose estimate happens to be lowest.
func (e *Engine) excessSlowness() float64 {
	return max(1, e.StreamSlowness/slownessTolerance)
}

// gapCost returns the cost of the pauses between events on an engine that is slower than others.
func (j *Job) gapCost(e *Engine) time.Duration {
	if j.TargetGap <= 0 || e.StreamSlowness <= slownessTolerance {
		return 0
	}
	excess := gapMargin*e.StreamSlowness*float64(j.Interval)/float64(j.TargetGap) - 1
	length := min(1, float64(j.MaxOutputTokens)/longOutput)
	return min(maxGapCost, time.Duration(max(0, excess)*length*float64(gapCost)))
}

// loadCost returns the cost of an engine's load, which grows with its square. A slow engine is full with fewer requests.
func (p *Placer) loadCost(e *Engine) time.Duration {
	load := e.load() * e.excessSlowness()
	return time.Duration(load * load * float64(fullLoadCost))
}

// zoneCost returns the cost of traffic between two availability zones, 0 if they are the same.
func zoneCost(a, b string) time.Duration {
	if a == b {
		return 0
	}
	return crossZoneCost
}

// load returns the share of the engine's slots or KV cache in use, whichever is larger.
func (e *Engine) load() float64 {
	load := 0.0
	if e.Slots > 0 {
		load = float64(e.Running.Requests) / float64(e.Slots)
	}
	if e.Capacity > 0 {
		load = max(load, float64(e.Running.Tokens)/float64(e.Capacity))
	}
	return load
}

// slotWait estimates how long the request waits until enough requests that it can't preempt have ended.
func (e *Engine) slotWait(job *Job) time.Duration {
	excess := 0.0 // Share of the engine that must be freed.
	if e.Slots > 0 {
		excess = float64(e.Blocking.Requests+1-e.Slots) / float64(e.Slots)
	}
	if e.Capacity > 0 {
		excess = max(excess, float64(e.Blocking.Tokens+job.PromptTokens+job.MaxOutputTokens-e.Capacity)/float64(e.Capacity))
	}
	return time.Duration(max(0, excess) * float64(job.DecodeTime))
}

// isSaturated reports whether the requests that this one can't preempt leave too little room for it on the engine;
// it is always false for an urgent job. The free memory that a request needs grows with its size, so that long
// prompts leave memory for short ones.
func (e *Engine) isSaturated(job *Job) bool {
	if job.Urgent {
		return false
	}
	if e.Slots > 0 && e.Blocking.Requests >= e.Slots {
		return true
	}
	return e.Capacity > 0 && e.Blocking.Tokens+freeMemoryFactor*(job.PromptTokens+job.MaxOutputTokens) > e.Capacity
}

// cacheSource returns the engine with the most cached tokens of the prompt, or nil if none has any. Among
// equals it prefers the zone of the engine that needs them, then a random one, which spreads the
// transfers over the engines' links.
func cacheSource(engines []*Engine, to *Engine) *Engine {
	var best *Engine
	first := rand.N(max(1, len(engines)))
	for i := range engines {
		e := engines[(first+i)%len(engines)]
		switch {
		case e.Cached == 0:
		case best == nil, e.Cached > best.Cached, e.Cached == best.Cached && e.Zone == to.Zone && best.Zone != to.Zone:
			best = e
		}
	}
	return best
}

func jitter() time.Duration {
	return rand.N(maxJitter)
}
