package tenure

import (
	"sync"
	"time"
)

// Rules holds the bounds that a Tenure keeps to.
type Rules struct {
	Fenced      bool          // The provider refuses lower tokens.
	LeaseTime   time.Duration // Holders must not act in the order A, B, A within this time.
	LeaseTTL    time.Duration // The longest time for which a holder relies on one renewal of the lease in the store.
	CallTimeout time.Duration // A call ends within this time.
	Margin      time.Duration // Covers the time between a check and the call, and clocks that run at slightly different rates.
}

// Tenure is what an entry knows about its right to call. All times are readings of a clock that counts the time for which
// the process or its VM was suspended.
type Tenure struct {
	rules Rules

	mu        sync.Mutex
	token     int64         // 0 unless the entry holds the lease.
	end       time.Duration // The lease can't expire in the store before this time.
	notBefore time.Duration // No call may begin before this time.
	lastCall  time.Duration // Latest time at which a call of this process may have reached the provider.
	refused   int64         // The provider has refused this token.
	era       int64         // The newest known era of the store; 0 if it has never come back from an older copy.
	eraEnd    time.Duration // By this time all leases of earlier eras, and the calls under them, have ended.
}

// New returns a Tenure of a process that starts now. An earlier process of the same VM may have called just before, so the
// first call waits as if this process had.
func New(rules Rules, now time.Duration) *Tenure {
	return &Tenure{rules: rules, lastCall: now}
}

// Gain records a lease under a new token, gained in an era of the store and valid until end.
//
// The lease of the previous holder has expired in the store, and its calls have ended by then, unless the store came back
// from an older copy: then that holder can rely on its lost lease for its TTL. Where the provider doesn't refuse
// lower tokens, a call that is delayed on its way would follow one of the new holder, so that waits for another timeout.
func (t *Tenure) Gain(token, era int64, end, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeEra(era, now)
	t.token, t.end = token, end
	t.notBefore = max(t.lastCall+t.rules.LeaseTime+t.rules.Margin, t.eraEnd)
	if !t.rules.Fenced {
		t.notBefore = max(t.notBefore, now+t.rules.CallTimeout+t.rules.Margin)
	}
}

// Renew records that the lease was renewed and is valid until end.
func (t *Tenure) Renew(end time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = max(t.end, end)
}

// Lose records that the lease was lost.
func (t *Tenure) Lose() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.token, t.end = 0, 0
}

// LoseToken records that the store no longer has the lease under a token. That has no effect if the lease was gained anew since.
func (t *Tenure) LoseToken(token int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.token == token {
		t.token, t.end = 0, 0
	}
}

// ObserveEra records the newest known era of the store. A lease of an earlier one is lost.
func (t *Tenure) ObserveEra(era int64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeEra(era, now)
}

func (t *Tenure) observeEra(era int64, now time.Duration) {
	if era <= t.era {
		return
	}
	t.era, t.eraEnd = era, now+t.rules.LeaseTTL+t.rules.Margin
	t.token, t.end = 0, 0
}

// Token returns the token under which this entry holds the lease at a time, 0 if it doesn't or that can't be confirmed.
func (t *Tenure) Token(now time.Duration) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.token == 0 || now+t.rules.Margin >= t.end {
		return 0
	}
	return t.token
}

// Begin returns the token for a call that begins now and the time by which the call must have ended, with a token of 0 if no
// call may begin. A call ends before the lease does.
func (t *Tenure) Begin(now time.Duration) (token int64, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deadline = now + t.rules.CallTimeout
	if t.token == 0 || t.token <= t.refused || now < t.notBefore || deadline+t.rules.Margin > t.end {
		return 0, 0
	}
	t.lastCall = deadline
	return t.token, deadline
}

// Refuse records that the provider refused a token. It isn't used again.
func (t *Tenure) Refuse(token int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused = max(t.refused, token)
}

// IsRefused reports whether the provider has refused the present token.
func (t *Tenure) IsRefused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.token != 0 && t.token <= t.refused
}
