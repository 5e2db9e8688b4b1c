package retry

import (
	"sync/atomic"
)

const (
	tokensPerRetry = 1000
	maxSaved       = 20 // retries that may be accumulated
)

// Budget is a token bucket that each first attempt refills and each retry drains.
type Budget struct {
	earned int64 // tokens per first attempt
	tokens atomic.Int64
}

// New returns a Budget that permits ratio retries per first attempt; 0.1 permits one retry in ten requests.
func New(ratio float64) *Budget {
	b := &Budget{earned: int64(ratio * tokensPerRetry)}
	b.tokens.Store(tokensPerRetry)
	return b
}

// Earn adds the tokens of a first attempt.
func (b *Budget) Earn() {
	for {
		old := b.tokens.Load()
		next := min(old+b.earned, maxSaved*tokensPerRetry)
		if b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// Spend reports whether a retry is permitted and takes its tokens if so.
func (b *Budget) Spend() bool {
	for {
		old := b.tokens.Load()
		if old < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-tokensPerRetry) {
			return true
		}
	}
}
