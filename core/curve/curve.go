package curve

import (
	"math"
	"sync"
	"time"
)

const (
	// maxSamples is the number of recent samples that count. A service with a few dozen engines gives as many in some seconds.
	maxSamples = 400
	// minSamples is the number of samples from which they count rather than the initial model.
	minSamples = 12
	// fitInterval is the minimum time between two fits, which take 0.2 ms with maxSamples.
	fitInterval = 500 * time.Millisecond
	// sampleTTL is how long a sample counts. The properties of a service's engines change with its software only.
	sampleTTL = time.Minute
	// rounds is the number of reweighted least squares rounds of a fit.
	rounds = 5
	// quantile of the samples that the curve passes through. Samples are too high where a queue was not known, and too low where
	// a part was cached unknown to the entry; the former is more frequent.
	quantile = 0.35
	// minResidual limits the weight of a sample close to the curve.
	minResidual = 0.02
	// minShare is the share of the expected time to which the error of a shorter sample is relative. Relative to their own times,
	// one sample in a hundred with 3% of the expected time outweighs all others.
	minShare = 0.25
	// priorWeight is the weight of each sample of the initial model, scaled to the others, in samples. It keeps the curve
	// plausible for lengths that did not occur yet.
	priorWeight = 0.5
	// numTerms is the number of coefficients: of prompts, tokens and token pairs.
	numTerms = 3
)

// pairUnit is the number of token pairs that Curve.Pair refers to.
const pairUnit = 1e6

// priorLengths are the prompt lengths at which the initial model counts as a sample.
var priorLengths = [...]int{500, 3000, 12000, 50000}

// Prompt is the part of a prompt that determines how long an engine takes for it.
type Prompt struct {
	Uncached int // Tokens that are not in the engine's KV cache.
	Cached   int // Tokens before them that are.
}

// terms returns the values by which the coefficients of a curve are multiplied: prompts, tokens and millions of pairs.
func (p Prompt) terms() [numTerms]float64 {
	u := float64(max(1, p.Uncached))
	return [numTerms]float64{1, u, u * (float64(max(0, p.Cached)) + u/2) / pairUnit}
}

// Curve is how long a usual engine of one service takes for a prompt. It is safe for concurrent use.
type Curve struct {
	initial func(Prompt) time.Duration

	mu      sync.Mutex
	samples []sample
	next    int // Index of the sample that the next one replaces, once there are maxSamples.
	fitAt   time.Time
	isKnown bool              // There were enough samples for a fit.
	terms   [numTerms]float64 // As in Model; 0 unless isKnown.
	model   *Model            // Nil before the first use.
}

type sample struct {
	prompt Prompt
	millis float64
	at     time.Time
}

// New returns a Curve that follows the initial model until it has learned enough.
func New(initial func(Prompt) time.Duration) *Curve {
	return &Curve{initial: initial}
}

// Observe records how long an engine took for a prompt. factor is that by which this engine is slower than the usual one.
func (c *Curve) Observe(p Prompt, took time.Duration, factor float64) {
	millis := took.Seconds() * 1000 / factor
	if !(millis > 0) || math.IsInf(millis, 0) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.Uncached, p.Cached = max(1, p.Uncached), max(0, p.Cached)
	s := sample{prompt: p, millis: millis, at: time.Now()}
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, s)
		return
	}
	c.samples[c.next] = s
	c.next = (c.next + 1) % maxSamples
}

// Model is a Curve at one time.
type Model struct {
	initial func(Prompt) time.Duration // Nil if the terms are known.
	terms   [numTerms]float64          // Milliseconds for each prompt, token and million of pairs.
}

// Time returns how long a usual engine takes for a prompt.
func (m *Model) Time(p Prompt) time.Duration {
	if m.initial != nil {
		return m.initial(p)
	}
	return time.Duration(dot(m.terms, p.terms()) * float64(time.Millisecond))
}

// IsLearned reports whether the model was learned rather than stated.
func (m *Model) IsLearned() bool {
	return m.initial == nil
}

// Terms returns the milliseconds for each prompt, token and million of token pairs, all 0 if they are not known yet.
func (m *Model) Terms() (prompt, token, pairs float64) {
	return m.terms[0], m.terms[1], m.terms[2]
}

// Model returns what is known now.
func (c *Curve) Model() *Model {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.model == nil || now.Sub(c.fitAt) >= fitInterval {
		c.fitAt = now
		c.fit(now)
		c.model = &Model{terms: c.terms}
		if !c.isKnown {
			c.model.initial = c.initial
		}
	}
	return c.model
}

// fit computes the coefficients from the samples; the lock must be held.
func (c *Curve) fit(now time.Time) {
	list := make([]sample, 0, len(c.samples))
	for _, s := range c.samples {
		if now.Sub(s.at) < sampleTTL {
			list = append(list, s)
		}
	}
	if len(list) < minSamples {
		return
	}
	terms, scale := c.terms, c.scale(list)
	for round := range rounds {
		var m [numTerms][numTerms + 1]float64
		for _, s := range list {
			x := s.prompt.terms()
			residual, unit := 1.0, 0.0
			if c.isKnown || round > 0 {
				expected := dot(terms, x)
				unit = max(s.millis, minShare*expected)
				residual = (s.millis - expected) / unit
			} else {
				unit = max(s.millis, minShare*scale*c.initialMillis(s.prompt))
			}
			weight := quantile
			if residual < 0 {
				weight = 1 - quantile
			}
			add(&m, x, s.millis, weight/max(minResidual, math.Abs(residual))/(unit*unit))
		}
		for _, n := range priorLengths {
			p := Prompt{Uncached: n}
			millis := scale * c.initialMillis(p)
			add(&m, p.terms(), millis, priorWeight/(millis*millis))
		}
		terms = solve(m)
	}
	c.terms, c.isKnown = terms, true
}

// initialMillis returns the time of a prompt by the initial model, in milliseconds.
func (c *Curve) initialMillis(p Prompt) float64 {
	return c.initial(p).Seconds() * 1000
}

// scale returns the median ratio of the samples to the initial model.
func (c *Curve) scale(list []sample) float64 {
	ratios := make([]float64, len(list))
	for i, s := range list {
		ratios[i] = s.millis / c.initialMillis(s.prompt)
	}
	return median(ratios)
}
