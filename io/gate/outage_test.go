package gate_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// TestReturnAfterOutage guards against callers that are told to come back while all upstreams of a service are still down, and are
// refused again.
func TestReturnAfterOutage(t *testing.T) {
	const (
		outage   = 2 * time.Second // Time until other upstreams run at the addresses.
		callers  = 60              // In the first three quarters of it.
		patience = 8 * time.Second
	)
	for _, stage := range []string{"", "decode"} {
		t.Run("stage "+stage, func(t *testing.T) {
			t.Parallel()
			service, path := "app", "/once/x"
			if stage != "" {
				service, path = "lm", "/fixed/x"
			}
			store := newStore(t)
			store.Put("op/config", config(1, 8000))
			var replicas []*simop.Replica
			for i := range 3 {
				replicas = append(replicas, newReplicas(t, store, 1, fmt.Sprintf("old%d", i), service, stage)...)
			}
			g := startGate(t, store, "")
			g.waitReady(t)
			headers := func(id string, left time.Duration) []string {
				h := prompt(id, "aa", "50")
				h[len(h)-1] = strconv.FormatInt(left.Milliseconds(), 10)
				return h
			}
			for i := range 10 {
				g.call(t, "POST", path, fmt.Sprintf("before%d", i), headers("b", patience)...)
			}
			for _, r := range replicas {
				r.Crash()
			}
			began := time.Now()
			go func() {
				time.Sleep(outage)
				for i, r := range replicas {
					store.Remove("servers/" + r.ID)
					l, err := net.Listen("tcp", r.Addr().String())
					if err != nil {
						t.Errorf("not started again: %v", err)
						return
					}
					next := simop.NewReplica(fmt.Sprintf("new%d", i), service, stage, simop.WithListener(l))
					t.Cleanup(next.Close)
					next.SetBorn(time.Now().UnixMilli())
					store.Put("servers/"+next.ID, next.Registration("ready"))
				}
			}()
			var mu sync.Mutex
			refused, served := 0, 0
			quarters := map[int64]int{}
			var wait sync.WaitGroup
			for i := range callers {
				wait.Go(func() {
					id, sent := fmt.Sprintf("c%d", i), time.Now()
					resp, _ := g.call(t, "POST", path, id, headers(id, patience)...)
					if resp == nil || resp.StatusCode != http.StatusServiceUnavailable {
						return
					}
					after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
					if err != nil {
						t.Errorf("%s: no time to come back: %v", id, err)
					}
					// Callers wait for a third of the time that they have left at most, and come back once.
					time.Sleep(min(time.Duration(after*float64(time.Second)), (patience-time.Since(sent))/3))
					back := time.Since(began)
					resp, _ = g.call(t, "POST", path, id+"r", headers(id, patience-time.Since(sent))...)
					mu.Lock()
					defer mu.Unlock()
					refused++
					quarters[back.Milliseconds()/250]++
					if resp != nil && resp.StatusCode == http.StatusOK {
						served++
					}
				})
				time.Sleep(outage * 3 / 4 / callers)
			}
			wait.Wait()
			if refused < callers/2 {
				t.Fatalf("%d of %d callers were refused, want half at least", refused, callers)
			}
			if 4*served < 3*refused {
				t.Errorf("%d of %d refused callers were served when they came back, want three quarters at least", served, refused)
			}
			for quarter, n := range quarters {
				if 2*n > refused {
					t.Errorf("%d of %d callers came back in the quarter of a second from %d ms", n, refused, 250*quarter)
				}
			}
		})
	}
}
