package split

import (
	"math"
	"time"
)

const (
	// initialPrefillShare is the share of prefill engines until the demand is known.
	initialPrefillShare = 0.6
	// targetUtilisation is the utilisation that is planned for prefill engines. Above it, their queues grow
	// faster than engines can change roles.
	targetUtilisation = 0.6
	// targetMemoryUsage is the share of the decode engines' KV cache that is planned to be in use. Above it,
	// bursts cause requests to be preempted.
	targetMemoryUsage = 0.78
	// minDecodeShare is the minimum share of decode engines.
	minDecodeShare = 0.25
	// riseTimeConstant and fallTimeConstant are the time constants of the exponential moving averages for rising
	// and falling demand.
	riseTimeConstant = 3 * time.Second
	fallTimeConstant = 20 * time.Second
	// slowFallTimeConstant is the time constant with which decodeSlowFall falls after a burst. It is long because
	// a burst is shorter than a change of roles: requests without a decode slot miss their targets, while
	// prompts can wait.
	slowFallTimeConstant = 60 * time.Second
	// maxSurplus is the number of surplus prefill engines that are kept, since a shortage of them costs more
	// than a surplus.
	maxSurplus = 1
	// confirmTime is how long a different split must be needed before it is applied. It is longer than an
	// engine's restart, which reduces the number of engines for that time.
	confirmTime = 2500 * time.Millisecond
	// warmUpTime is how long the split stays the initial one after the first prompt. Until then each PrefillCount
	// overwrites prefill and decode, so these observations are discarded; decodeSlowFall keeps its own.
	warmUpTime = 3 * time.Second
)

// Planner plans the split of one service's engines from moving averages of the demand.
type Planner struct {
	prefill        float64   // Engines that the requested prefill work would keep busy.
	decode         float64   // Engines whose KV cache or slots the running outputs fill.
	decodeSlowFall float64   // Like decode, but falls with slowFallTimeConstant.
	observedAt     time.Time // Last observation.
	firstDemandAt  time.Time
	changeSince    time.Time // Since when a different split has been needed; zero if the present one fits.
	addsPrefill    bool      // That split has more prefill engines.
}

// New returns a Planner without observations.
func New() *Planner {
	return &Planner{}
}

// Observe records the demand for prefill and decode in engines. The caller passes the prefill work that is requested,
// and for decode the engines that running outputs occupy by KV cache or by slots, whichever is more.
func (p *Planner) Observe(prefill, decode float64) {
	now := time.Now()
	if p.observedAt.IsZero() {
		p.observedAt = now
		return
	}
	elapsed := now.Sub(p.observedAt)
	p.observedAt = now
	if p.firstDemandAt.IsZero() && prefill > 0 {
		p.firstDemandAt = now
	}
	if !p.firstDemandAt.IsZero() {
		p.prefill = movingAverage(p.prefill, prefill, elapsed, fallTimeConstant)
		p.decode = movingAverage(p.decode, decode, elapsed, fallTimeConstant)
		p.decodeSlowFall = movingAverage(p.decodeSlowFall, decode, elapsed, slowFallTimeConstant)
	}
}

// movingAverage returns the exponential moving average after a sample. It rises with riseTimeConstant and falls
// with the time constant fall.
func movingAverage(average, sample float64, elapsed, fall time.Duration) float64 {
	timeConstant := fall
	if sample > average {
		timeConstant = riseTimeConstant
	}
	return average + (sample-average)*(1-math.Exp(-elapsed.Seconds()/timeConstant.Seconds()))
}

// IsWarmedUp reports whether the warm-up is over, so that PrefillCount follows the observed demand.
func (p *Planner) IsWarmedUp() bool {
	return !p.firstDemandAt.IsZero() && time.Since(p.firstDemandAt) > warmUpTime
}

// Demand returns the moving averages of the demand, in engines. PrefillCount sets them during the warm-up.
func (p *Planner) Demand() (prefill, decode float64) {
	return p.prefill, max(p.decode, p.decodeSlowFall)
}

// PrefillCount returns how many of a service's engines should process prompts only, given how many do so at present.
//
// It changes the Planner: during the warm-up it overwrites prefill and decode, which discards their observations, and
// afterwards it keeps since when a different split has been needed.
func (p *Planner) PrefillCount(engines, current int) int {
	if engines < 2 {
		return 0
	}
	limit := engines - max(1, int(math.Ceil(minDecodeShare*float64(engines))))
	if !p.IsWarmedUp() {
		// The averages start from the demand that the initial split is made for.
		count := min(limit, int(math.Round(initialPrefillShare*float64(engines))))
		p.prefill, p.decode = targetUtilisation*float64(count), targetMemoryUsage*float64(engines-count)
		return count
	}
	count := max(1, min(limit, p.requiredPrefill(engines)))
	if count == current || (count < current && count+maxSurplus >= current) {
		p.changeSince = time.Time{}
		return current
	}
	if p.changeSince.IsZero() || p.addsPrefill != (count > current) {
		p.changeSince, p.addsPrefill = time.Now(), count > current
	}
	if time.Since(p.changeSince) < confirmTime {
		return current
	}
	return count
}

// requiredPrefill returns the number of prefill engines that the demand requires. Decode engines take
// precedence: one whose KV cache is full preempts requests, whose processing then starts again.
func (p *Planner) requiredPrefill(engines int) int {
	decode := int(math.Ceil(max(p.decode, p.decodeSlowFall) / targetMemoryUsage))
	return min(int(math.Ceil(p.prefill/targetUtilisation)), engines-decode)
}
