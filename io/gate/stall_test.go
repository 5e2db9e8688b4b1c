package gate_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestStallBeyondBudget guards against streams that a gate takes from a silent engine, which would have gone on, though the retry
// budget doesn't cover all of them.
func TestStallBeyondBudget(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // As on an entry's VM; streams find the engine silent at the same moment.
	for _, before := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d events before the silence", before), func(t *testing.T) {
			testStall(t, before)
		})
	}
}

// testStall has an engine fall silent after a number of events of each stream.
func testStall(t *testing.T, before int) {
	const streams = 20
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	set := newSettings(t, store, "")
	set.RetryRatio, set.RetrySlack = 0, 5 // Two retries.
	silent, other := newReplica(t, "d-1", "lm", "decode"), newReplica(t, "d-2", "lm", "decode")
	silent.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			if i == before {
				time.Sleep(3500 * time.Millisecond)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1) // Fails only if the gate has closed the connection.
			_ = http.NewResponseController(w).Flush()         // Fails as above.
		}
	})
	g := startWithSettings(t, store, set, silent)
	g.waitReady(t)
	var calls sync.WaitGroup
	for i := range streams {
		time.Sleep(20 * time.Millisecond) // Nothing waits at the engine, so that the same silence is too long for all of them.
		calls.Go(func() {
			resp, body := g.call(t, "POST", "/model/x", fmt.Sprintf("s%d", i), "X-Model", "m", "X-Token-Counts", "1,10", "X-Prompt-Prefix", "cc:1", "X-Deadline-Remaining-Ms", "8000")
			if resp == nil || strings.Count(body, "data:") != 3 {
				t.Errorf("stream %d: got %v with %q, want three events", i, resp, body)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	store.Put("servers/"+other.ID, other.Registration("ready"))
	calls.Wait()
	moved := 0
	for i := range streams {
		moved += other.Runs(fmt.Sprintf("s%d", i))
	}
	if moved != 2 {
		t.Errorf("%d streams went on at the other engine, want the two that the budget allows", moved)
	}
}
