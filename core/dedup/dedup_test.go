package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/dedup"
)

func TestStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := dedup.New(time.Now())
		old := time.Now()
		time.Sleep(3 * time.Second)
		now := time.Now()
		check := func(what string, got, want dedup.State) {
			t.Helper()
			if got != want {
				t.Errorf("%s: got %s, want %s", what, got, want)
			}
		}
		check("minted before the start", table.Begin("old", old, 1), dedup.Unknown)
		check("minted in the future", table.Begin("ahead", now.Add(time.Minute), 1), dedup.Future)
		check("first", table.Begin("a", now, 1), dedup.Fresh)
		check("second", table.Begin("a", now, 1), dedup.Running)
		check("tombstone while running", table.Tombstone("a", now, time.Time{}), dedup.Running)
		check("other fingerprint", table.Begin("a", now, 2), dedup.Mismatch)
		table.Settle("a", dedup.Answer{Status: 200})
		check("repeat", table.Begin("a", now, 1), dedup.Done)
		check("bar", table.Tombstone("b", now, time.Time{}), dedup.Tombstoned)
		check("late request", table.Begin("b", now, 1), dedup.Tombstoned)
		check("claim", table.Begin("c", now, 1), dedup.Fresh)
		table.MarkUnknown("c")
		check("lost", table.Begin("c", now, 1), dedup.Unknown)
		check("claim", table.Begin("d", now, 1), dedup.Fresh)
		table.Release("d")
		check("dropped", table.Begin("d", now, 1), dedup.Fresh)
	})
}

// TestHandover sets tombstones for keys minted after the previous process stopped accepting new keys, but not
// for keys that this table may have evicted.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stoppedAt := time.Now()
		time.Sleep(5 * time.Second)
		table := dedup.New(time.Now(), dedup.WithRetention(time.Minute))
		beforeStop, afterStop := stoppedAt.Add(time.Second), stoppedAt.Add(4*time.Second)
		check := func(what string, got, want dedup.State) {
			t.Helper()
			if got != want {
				t.Errorf("%s: got %s, want %s", what, got, want)
			}
		}
		check("without a handover", table.Tombstone("a", afterStop, time.Time{}), dedup.Unknown)
		check("minted before the stop", table.Tombstone("b", beforeStop, stoppedAt), dedup.Unknown)
		check("minted after the stop", table.Tombstone("c", afterStop, stoppedAt), dedup.Tombstoned)
		check("the key afterwards", table.Begin("c", afterStop, 1), dedup.Tombstoned)
		time.Sleep(3 * time.Second)
		now := time.Now()
		check("a new key", table.Begin("d", now, 1), dedup.Fresh)
		table.Settle("d", dedup.Answer{Status: 200})
		time.Sleep(2 * time.Minute)
		check("the new key, evicted", table.Tombstone("d", now, stoppedAt), dedup.Unknown)
	})
}

// TestBounds uses far more keys than fit into the table and checks that none is ever Fresh twice.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxBytes = 100_000
		table := dedup.New(time.Now(), dedup.WithMaxBytes(maxBytes), dedup.WithRetention(time.Minute))
		time.Sleep(3 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		fresh := map[string]int{}
		minted := map[string]time.Time{}
		var keys []string
		for i := range 5000 {
			key := fmt.Sprint(i)
			if random.IntN(3) == 0 && len(keys) > 0 {
				key = keys[random.IntN(len(keys))]
			} else {
				minted[key] = time.Now()
				keys = append(keys, key)
			}
			if table.Begin(key, minted[key], 1) == dedup.Fresh {
				fresh[key]++
				table.Settle(key, dedup.Answer{Body: make([]byte, random.IntN(2000))})
			}
			if table.Bytes() > maxBytes {
				t.Fatalf("%d bytes charged, want at most %d", table.Bytes(), maxBytes)
			}
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		for key, n := range fresh {
			if n > 1 {
				t.Errorf("key %s was fresh %d times", key, n)
			}
		}
	})
}
