package probe_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pimentoseam/core/probe"
)

// TestOutage plays an outage of the store for fleets of up to 300 entries in six zones and counts their calls. Half of a
// wait is the shortest after jitter. So after the first few calls a zone makes at most 2 calls a second for its first
// entry, and the other entries of the fleet make 20 or, beyond 100 of them, 0.2 each.
func TestOutage(t *testing.T) {
	const zones, outage = 6, 30 * time.Second
	for _, entries := range []int{6, 30, 68, 300} {
		random, calls := rand.New(rand.NewPCG(1, uint64(entries))), 0
		for entry := range entries {
			var wait time.Duration
			for now := time.Duration(0); now < outage; {
				wait = probe.Wait(entry/zones, entries, wait)
				now += wait/2 + time.Duration(random.Float64()*float64(wait/2))
				calls++
			}
		}
		limit := entries + 2*zones + int(outage.Seconds()*(2*zones+max(20, 0.2*float64(entries))))
		if calls > limit {
			t.Errorf("%d entries: %d calls in %v, want %d at most", entries, calls, outage, limit)
		}
	}
}

// TestRecovery checks that an entry that probes notices a recovery within a second, and that no entry waits longer than
// 10 s.
func TestRecovery(t *testing.T) {
	var first, other time.Duration
	for range 20 {
		first, other = probe.Wait(0, 300, first), probe.Wait(7, 300, other)
	}
	if first > time.Second || other > 10*time.Second {
		t.Errorf("waits %v and %v, want 1s and 10s at most", first, other)
	}
	if alone := probe.Wait(0, 1, 0); alone != 250*time.Millisecond {
		t.Errorf("first wait %v, want 250ms", alone)
	}
}
