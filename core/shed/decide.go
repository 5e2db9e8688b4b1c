package shed

import (
	"math/rand/v2"
	"time"
)

// Request describes a request that is to be admitted, with the estimated delay on the engines chosen for it.
type Request struct {
	Delay           time.Duration // Estimated time to the first token.
	ProcessingTime  time.Duration // Part of Delay in which the request itself is processed.
	Wait            time.Duration // Part of Delay in which it waits for other requests.
	Target          time.Duration // Target latency of the route; 0 for none.
	Patience        time.Duration // Longest wait for the first token before the caller gives up.
	Remaining       time.Duration // Time until the caller's deadline.
	StatedRemaining time.Duration // Time until the deadline as stated by the caller on arrival; 0 if not stated.
	MaxStated       time.Duration // Largest StatedRemaining of recent requests on the route.
	WaitShare       float64       // Part of the longest wait on time that its organisation may use; 0 or 1 for no restriction.
}

// Decision is the result of admission control for one request.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // If it is not admitted.
	Reason     string        // If it is not admitted: "hopeless" if the caller would give up first, "late" if it misses its target, "share" if only its organisation's share is too small.
}

const (
	// targetTolerance is the ratio of delay to target up to which a request is on time. It covers the error
	// of the estimate, up to a tenth.
	targetTolerance = 1.1
	// maxLateDelay is the delay up to which a request that will miss its target is admitted if it is a retry or
	// if its own processing takes longer than the target. Other late requests are refused. Longer ones would
	// occupy engines for answers of little use and make other requests miss their targets too.
	maxLateDelay = time.Second
	// maxLateWait is the queueing time up to which such a request is admitted even above maxLateDelay: where
	// the processing itself takes that long, a retry would not be faster.
	maxLateWait = 300 * time.Millisecond
	// minSlackShare is the part of the target that counts as the longest wait on time of requests that take most of the target
	// or longer without any wait, when their organisation may use a part of it only.
	minSlackShare = 0.5
	// retryWaitShare is the part of that wait that is left for retries. They miss their targets in any case, so that first
	// attempts of the same organisation make better use of its room.
	retryWaitShare = 0.5
	// minFirstAttemptShare is the share of MaxStated that first attempts state at least; a request that states
	// less is a retry.
	minFirstAttemptShare = 0.85
	// patienceShare is the share of the caller's patience that the estimated delay may use; the rest covers
	// errors of the estimate.
	patienceShare = 0.75
	// maxRetryShare is the share of the remaining time up to which callers respect a retry-after time.
	maxRetryShare = 1.0 / 3
	// retryDelayFactor is the retry-after time in multiples of the delay. By then the present backlog and
	// part of the work that arrives meanwhile have been processed.
	retryDelayFactor = 3
	// minRetryAfter is the minimum retry-after time, before jitter.
	minRetryAfter = 250 * time.Millisecond
	// retryMargin is the time by which a retry's stated remaining time falls below that of first attempts, so
	// that IsRetry recognises it, unless maxRetryShare cuts the retry-after time.
	retryMargin = 50 * time.Millisecond
	// retryJitter is the random share of the retry-after time, which keeps callers from retrying all at once.
	retryJitter = 0.4
)

// IsRetry reports whether the request is presumably a retry, whose target has passed already: it states much less
// remaining time than others of its route.
func (r *Request) IsRetry() bool {
	return r.StatedRemaining > 0 && r.StatedRemaining < r.minFirstAttemptRemaining()
}

// maxOnTimeDelay returns the longest estimated delay with which the request counts as on time.
func (r *Request) maxOnTimeDelay() time.Duration {
	return time.Duration(targetTolerance * float64(r.Target))
}

// minFirstAttemptRemaining returns the stated remaining time below which a request counts as a retry.
func (r *Request) minFirstAttemptRemaining() time.Duration {
	return time.Duration(minFirstAttemptShare * float64(r.MaxStated))
}

// Decide returns whether a request is admitted, and when to retry if it is not.
func Decide(r *Request) Decision {
	d := decide(r)
	if !d.Admit || r.WaitShare <= 0 || r.WaitShare >= 1 {
		return d
	}
	// Transfers and round trips are no wait: they take their time at idle engines, too.
	slack := max(r.maxOnTimeDelay()-(r.Delay-r.Wait), time.Duration(minSlackShare*float64(r.Target)))
	if r.Target <= 0 {
		slack = time.Duration(patienceShare * float64(min(r.Patience, r.Remaining)))
	}
	share := r.WaitShare
	if r.IsRetry() {
		share *= retryWaitShare
	}
	if float64(r.Wait) <= share*float64(slack) {
		return d
	}
	return Decision{RetryAfter: r.retryAfter(), Reason: "share"}
}

func decide(r *Request) Decision {
	maxDelay := time.Duration(patienceShare * float64(min(r.Patience, r.Remaining)))
	switch {
	case r.Delay > maxDelay:
		return Decision{RetryAfter: r.retryAfter(), Reason: "hopeless"}
	case r.Target <= 0 || r.Delay <= r.maxOnTimeDelay():
		return Decision{Admit: true}
	case (r.IsRetry() || r.ProcessingTime > r.maxOnTimeDelay()) && r.Delay <= max(maxLateDelay, r.ProcessingTime+maxLateWait):
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: r.retryAfter(), Reason: "late"}
}

// retryAfter returns a retry-after time with jitter: a multiple of the delay, and at least the time after which
// IsRetry recognises the retry. It is cut to a third of the remaining time, even if IsRetry then fails to
// recognise the retry.
func (r *Request) retryAfter() time.Duration {
	limit := time.Duration(maxRetryShare * float64(r.Remaining))
	after := min(max(minRetryAfter, retryDelayFactor*r.Delay), limit)
	after -= time.Duration(retryJitter * rand.Float64() * float64(after))
	if r.StatedRemaining > 0 {
		after = max(after, r.StatedRemaining-r.minFirstAttemptRemaining()+retryMargin)
	}
	return min(after, limit)
}
