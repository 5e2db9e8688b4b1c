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

// Breaker is a circuit breaker that opens after consecutive failures and then admits one probe call at a time.
type Breaker struct {
	mu        sync.Mutex
	failures  int // consecutive
	openTime  time.Duration
	openUntil time.Time
	probe     *Call // the probe call in progress, or nil
}

// New returns a closed Breaker.
func New() *Breaker {
	return &Breaker{openTime: minOpenTime}
}

// Allow returns an allowed call, which its owner must settle, and false if no call may be made.
func (b *Breaker) Allow() (*Call, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Call{breaker: b}
	if b.failures < failureThreshold {
		return c, true
	}
	if b.probe != nil || time.Now().Before(b.openUntil) {
		return nil, false
	}
	b.probe = c
	return c, true
}

// IsOpen reports whether the upstream should get no calls at present.
func (b *Breaker) IsOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= failureThreshold && (b.probe != nil || time.Now().Before(b.openUntil))
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

// Trip opens the breaker immediately, for example when the upstream's address refuses connections, and ends the probe in
// progress.
func (b *Breaker) Trip() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trip()
}

// trip is Trip with the lock held.
func (b *Breaker) trip() {
	b.failures = max(b.failures, failureThreshold-1)
	b.fail()
	b.probe = nil
}

// fail counts a failed call; the lock must be held. From failureThreshold consecutive ones on, each opens the breaker anew,
// first for minOpenTime and then for twice as long each time up to maxOpenTime.
func (b *Breaker) fail() {
	b.failures++
	if b.failures < failureThreshold {
		return
	}
	b.openUntil = time.Now().Add(b.openTime)
	b.openTime = min(2*b.openTime, maxOpenTime)
}
