package health

import (
	"sync"
	"time"
)

const (
	failureThreshold = 3                // consecutive failures that open the breaker
	minOpenTime      = time.Second      // open time when the threshold is first reached
	maxOpenTime      = 10 * time.Second // the open time doubles with each failure from the threshold on, up to this
)

// Breaker is a circuit breaker that opens after consecutive failures and then admits one probe call at a time. Calls
// are not told apart: a Failure or Cancel of a call that was allowed before the breaker opened ends a probe, too.
type Breaker struct {
	mu        sync.Mutex
	failures  int // consecutive
	openTime  time.Duration
	openUntil time.Time
	isProbing bool // a probe call is in progress
}

// New returns a closed Breaker.
func New() *Breaker {
	return &Breaker{openTime: minOpenTime}
}

// Allow reports whether a call may be made; each allowed call must end in Success, Failure or Cancel.
func (b *Breaker) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return true
	}
	if b.isProbing || time.Now().Before(b.openUntil) {
		return false
	}
	b.isProbing = true
	return true
}

// IsOpen reports whether the upstream should get no calls at present.
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= failureThreshold && (b.isProbing || time.Now().Before(b.openUntil))
}

// OpenFor returns how long no call will be allowed; at most 0 if one may be.
func (b *Breaker) OpenFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return 0
	}
	return time.Until(b.openUntil)
}

// Success closes the breaker.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.isProbing, b.openTime = 0, false, minOpenTime
}

// Failure counts a failed call. From failureThreshold consecutive ones on, each opens the breaker anew, first
// for minOpenTime and then for twice as long each time up to maxOpenTime, and ends the probe in progress.
func (b *Breaker) Failure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.failures < failureThreshold {
		return
	}
	b.openUntil = time.Now().Add(b.openTime)
	b.openTime = min(2*b.openTime, maxOpenTime)
	b.isProbing = false
}

// Trip opens the breaker immediately, for example when the upstream's address refuses connections.
func (b *Breaker) Trip() {
	b.mu.Lock()
	b.failures = max(b.failures, failureThreshold-1)
	b.mu.Unlock()
	b.Failure()
}

// Cancel ends an allowed call that was abandoned without a result, and the probe in progress.
func (b *Breaker) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isProbing = false
}
