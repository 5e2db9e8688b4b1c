package shed

import (
	"math/rand/v2"
	"time"
)

// Load is what is known of a request and of the engines when it is to be admitted.
type Load struct {
	Delay    time.Duration // Estimated time to the first token.
	Work     time.Duration // The part of it that is work on the request itself.
	Target   time.Duration // Latency that the caller aims at; 0 if it states none.
	Patience time.Duration // Longest wait for the first token before the caller leaves.
	Left     time.Duration // Time until the caller's deadline.
	Stated   time.Duration // What the caller said that it has left when it came; 0 if nothing.
	Full     time.Duration // The most that callers of the route have said lately.
}

// Verdict is what becomes of a request.
type Verdict struct {
	Admit bool
	After time.Duration // When to come back if it is not admitted.
	Why   string        // In one or two words, for the log.
}

const (
	// stretch is the delay in targets up to which a request is admitted at once; estimates are
	// within a tenth of what comes of them.
	stretch = 1.1
	// lateMost is the delay up to which a request is served that can't be in time; with longer ones it
	// would hold engines for answers of little use while others miss their targets too.
	lateMost = time.Second
	// lateWait is the wait behind others up to which such a request is served whose own work takes long:
	// coming back makes it no shorter.
	lateWait = 300 * time.Millisecond
	// fresh is the share of the most time that callers of a route state below which one has come back;
	// those that come first state this much at least.
	fresh = 0.85
	// margin is kept of the caller's patience for what the estimate does not know.
	margin = 0.75
	// Callers heed a time to come back of at most this share of what they have left.
	heeded = 1.0 / 3
	// backDelays is the time to come back in delays: when the work that is in the way now has surely
	// been done, and some of what comes meanwhile.
	backDelays = 3
	// backMin is the shortest time to come back while engines are behind.
	backMin = 250 * time.Millisecond
	// backMargin is how much later than needed callers come back so that they are known as such.
	backMargin = 50 * time.Millisecond
	// spread is the share of the time to come back that differs between callers.
	spread = 0.4
)

// Back reports whether the caller has come back, so that its target has passed: it has less left than those
// of its route that come first.
func (l *Load) Back() bool {
	return l.Stated > 0 && l.Stated < l.first()
}

// inTime returns the longest delay that is taken for one in time.
func (l *Load) inTime() time.Duration {
	return time.Duration(stretch * float64(l.Target))
}

// first returns the least that callers of the route have left when they come first.
func (l *Load) first() time.Duration {
	return time.Duration(fresh * float64(l.Full))
}

// Decide returns whether a request is admitted.
func Decide(l *Load) Verdict {
	hopeless := time.Duration(margin * float64(min(l.Patience, l.Left)))
	switch {
	case l.Delay > hopeless:
		return Verdict{After: l.back(), Why: "hopeless"}
	case l.Target <= 0 || l.Delay <= l.inTime():
		return Verdict{Admit: true}
	case (l.Back() || l.Work > l.inTime()) && l.Delay <= max(lateMost, l.Work+lateWait):
		return Verdict{Admit: true}
	}
	return Verdict{After: l.back(), Why: "late"}
}

// back returns when the work that is in the way will have been done, differing between callers.
func (l *Load) back() time.Duration {
	most := time.Duration(heeded * float64(l.Left))
	after := min(max(backMin, backDelays*l.Delay), most)
	after -= time.Duration(spread * rand.Float64() * float64(after))
	if l.Stated > 0 {
		after = max(after, l.Stated-l.first()+backMargin)
	}
	return min(after, most)
}
