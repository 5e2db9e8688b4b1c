package gate_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// TestRemovedUpstreams guards against requests that reach an upstream longer than the drain time after the list has lost
// it. The list loses all upstreams of a service at once, which the gate takes for lapsed registrations at first.
func TestRemovedUpstreams(t *testing.T) {
	const rounds = 3
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	var lastArrival atomic.Int64 // Unix nanoseconds.
	replicas := []*simop.Replica{newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")}
	for _, r := range replicas {
		r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			lastArrival.Store(time.Now().UnixNano())
			r.ServeDefault(w, req)
		})
	}
	set := newSettings(t, store, "")
	g := startWithSettings(t, store, set, replicas...)
	g.waitReady(t)
	drainTime := set.Bounds.DrainTime.Duration()
	for round := range rounds {
		for _, r := range replicas {
			store.Put("servers/"+r.ID, r.Registration("ready"))
		}
		time.Sleep(time.Duration(400+170*round) * time.Millisecond) // Removals at different times of the gate's periodic work.
		if resp, _ := g.call(t, "GET", "/plain/x", fmt.Sprintf("before%d", round)); resp == nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("round %d: got %v before the removal, want a response", round, resp)
		}
		removed := time.Now()
		for _, r := range replicas {
			store.Remove("servers/" + r.ID)
		}
		for i := 0; time.Since(removed) < drainTime+time.Second; i++ {
			g.call(t, "GET", "/plain/x", fmt.Sprintf("r%d-%d", round, i))
			time.Sleep(10 * time.Millisecond)
		}
		switch after := time.Unix(0, lastArrival.Load()).Sub(removed); {
		case after <= 0:
			t.Errorf("round %d: no request reached an upstream after its removal, so that its end can't be seen", round)
		case after > drainTime:
			t.Errorf("round %d: a request reached an upstream %v after its removal, want at most %v", round, after, drainTime)
		}
	}
}
