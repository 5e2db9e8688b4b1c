package health

import (
	"sync"
	"time"
)

const (
	defaultLimit = 3                // failures in a row that open the breaker
	defaultMin   = time.Second      // first time that it stays open
	defaultMax   = 10 * time.Second // longest time that it stays open
)

// Breaker is closed while calls succeed; once open it lets one call through from time to time.
type Breaker struct {
	mu     sync.Mutex
	failed int
	wait   time.Duration
	until  time.Time
	trial  bool
}

// New returns a closed Breaker.
func New() *Breaker {
	return &Breaker{wait: defaultMin}
}

// Allow reports whether a call may be made; each call that was allowed must end in Success, Failure or Cancel.
func (b *Breaker) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed < defaultLimit {
		return true
	}
	if b.trial || time.Now().Before(b.until) {
		return false
	}
	b.trial = true
	return true
}

// Open reports whether the upstream should get no work for now.
func (b *Breaker) Open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed >= defaultLimit && (b.trial || time.Now().Before(b.until))
}

// Success closes the breaker.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed, b.trial, b.wait = 0, false, defaultMin
}

// Failure counts a failed call and opens the breaker after several in a row.
func (b *Breaker) Failure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed++
	if b.failed < defaultLimit {
		return
	}
	b.until = time.Now().Add(b.wait)
	b.wait = min(2*b.wait, defaultMax)
	b.trial = false
}

// Trip opens the breaker at once, as when nothing answers at the upstream's address.
func (b *Breaker) Trip() {
	b.mu.Lock()
	b.failed = max(b.failed, defaultLimit-1)
	b.mu.Unlock()
	b.Failure()
}

// Cancel takes back a call that was given up for another reason.
func (b *Breaker) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = false
}
