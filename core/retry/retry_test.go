package retry_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"pimentoseam/core/retry"
)

// TestShare requests a retry after every first attempt and counts the permitted ones.
func TestShare(t *testing.T) {
	b := retry.New(0.1)
	var permitted atomic.Int64
	var wait sync.WaitGroup
	const goroutines, attempts = 8, 1250
	for range goroutines {
		wait.Go(func() {
			for range attempts {
				b.Earn()
				if b.Spend() {
					permitted.Add(1)
				}
			}
		})
	}
	wait.Wait()
	if got := permitted.Load(); got < 900 || got > 1050 {
		t.Errorf("%d retries of %d attempts, want about 10%%", got, goroutines*attempts)
	}
}
