package gate_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestConnectionsOverAllGates guards against gates that together open more connections to an upstream than it accepts.
func TestConnectionsOverAllGates(t *testing.T) {
	t.Parallel()
	const accepted, numGates, callers = 100, 4, 70 // The configuration states the first.
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	r := newReplicas(t, store, 1, "a", "app", "")[0]
	r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(300 * time.Millisecond)
		r.ServeDefault(w, req)
	})
	gates := gateCluster(t, store, numGates)
	time.Sleep(contactTime)
	var wait sync.WaitGroup
	for i, g := range gates {
		for n := range callers {
			wait.Go(func() { g.call(t, "GET", "/plain/x", fmt.Sprintf("c%d-%d", i, n)) })
		}
	}
	wait.Wait()
	if n := r.MostConns(); n > accepted || n < accepted/2 {
		t.Errorf("the upstream had %d connections, want %d to %d", n, accepted/2, accepted)
	}
}
