package pace

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of samples of an engine that count.
	maxSamples = 25
	// changeSamples is the number of last samples that alone count if all of them are above changeRatio times the
	// factor that all samples show: the engine has turned slow.
	changeSamples = 7
	changeRatio   = 1.5
	// minSamples is the number of samples from which an engine's own factor counts.
	minSamples = 3
	// quantile of the samples is the factor. Samples are too high where a queue was not known or a part that was
	// taken for cached was not, and too low where a part was cached unknown; the former is more frequent.
	quantile = 0.35
	// sampleTTL is how long a sample counts. An engine that was slow gets few requests, so that it counts as an
	// ordinary one again after this time and is tried.
	sampleTTL = 15 * time.Second
	// minFactor and maxFactor limit a factor.
	minFactor, maxFactor = 0.25, 16.0
	// factorTTL is how long the median factor is used before it is computed again.
	factorTTL = 500 * time.Millisecond
)

// Meter learns the factor by which each engine is slower than the usual one. It is safe for concurrent use.
type Meter struct {
	mu       sync.Mutex
	engines  map[uint32]*engine
	median   float64 // Of the engines' own factors.
	medianAt time.Time
}

// engine is what is known of one engine. Its factor changes with its samples only, so it is kept between them: the factors of all
// engines of a service are read for each request.
type engine struct {
	samples []sample
	factor  float64
	isKnown bool // There are enough samples for a factor.
}

type sample struct {
	ratio float64
	at    time.Time
}

// New returns a Meter without samples.
func New() *Meter {
	return &Meter{engines: make(map[uint32]*engine), median: 1}
}

// Observe records that the engine with a key took ratio times as long for a request as is usual.
func (m *Meter) Observe(key uint32, ratio float64) {
	if !(ratio > 0) { // Also false for NaN.
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	e, ok := m.engines[key]
	if !ok {
		m.medianFactor(now) // Forgets engines without samples, so that the number of known ones is bounded.
		e = &engine{}
		m.engines[key] = e
	}
	e.samples = append(e.samples, sample{ratio: min(max(ratio, minFactor), maxFactor), at: now})
	e.samples = e.samples[max(0, len(e.samples)-maxSamples):]
	e.update(now)
}

// Factor returns the factor of the engine with a key; that of the median engine if too little is known of this one, and 1 if
// nothing is known of any.
func (m *Meter) Factor(key uint32) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if e, ok := m.engines[key]; ok {
		if e.refresh(now); e.isKnown {
			return e.factor
		}
	}
	return m.medianFactor(now)
}

// Median returns the factor of the median engine, 1 if nothing is known.
func (m *Meter) Median() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.medianFactor(time.Now())
}

// medianFactor is Median; the lock must be held. A median stays until others are known.
func (m *Meter) medianFactor(now time.Time) float64 {
	if now.Sub(m.medianAt) < factorTTL {
		return m.median
	}
	m.medianAt = now
	var factors []float64
	for key, e := range m.engines {
		e.refresh(now)
		if len(e.samples) == 0 {
			delete(m.engines, key)
		}
		if e.isKnown {
			factors = append(factors, e.factor)
		}
	}
	if len(factors) > 0 {
		slices.Sort(factors)
		m.median = factors[len(factors)/2]
	}
	return m.median
}

// refresh computes the factor again if samples have expired since.
func (e *engine) refresh(now time.Time) {
	if len(e.samples) > 0 && now.Sub(e.samples[0].at) >= sampleTTL {
		e.update(now)
	}
}

// update drops the samples that don't count any more and computes the factor.
func (e *engine) update(now time.Time) {
	e.samples = recent(e.samples, now)
	e.factor, e.isKnown = factorOf(e.samples)
}

// factorOf returns the factor that an engine's samples show, and false if there are too few.
func factorOf(samples []sample) (float64, bool) {
	if len(samples) < minSamples {
		return 0, false
	}
	factor := quantileOf(samples)
	if len(samples) > changeSamples {
		last := samples[len(samples)-changeSamples:]
		if !slices.ContainsFunc(last, func(s sample) bool { return s.ratio <= changeRatio*factor }) {
			factor = quantileOf(last)
		}
	}
	return factor, true
}

// quantileOf returns the quantile of the samples' ratios.
func quantileOf(samples []sample) float64 {
	ratios := make([]float64, len(samples))
	for i, s := range samples {
		ratios[i] = s.ratio
	}
	slices.Sort(ratios)
	return ratios[int(quantile*float64(len(ratios)))]
}

// recent returns the samples that still count; they are in order of time.
func recent(samples []sample, now time.Time) []sample {
	for len(samples) > 0 && now.Sub(samples[0].at) >= sampleTTL {
		samples = samples[1:]
	}
	return samples
}
