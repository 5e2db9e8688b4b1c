package gate_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// countArrivals makes a replica count the requests that it serves.
func countArrivals(r *simop.Replica, arrivals *atomic.Int64) {
	r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
		arrivals.Add(1)
		r.ServeDefault(w, req)
	})
}

// TestServerLeaving has a replica say in its answers that it leaves. It must get nothing more from this gate, nor
// soon from its peer, while another replica serves, whatever the list says; once it is born anew, it is used again.
func TestServerLeaving(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	leaving, other := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
	var arrivals atomic.Int64
	leaving.SetLeaving(true)
	countArrivals(leaving, &arrivals)
	g := startGate(t, store, "", leaving, other)
	g.waitReady(t)
	h := startPeer(t, store, g)
	h.waitReady(t)
	id := 0
	callUntilTold := func(g *testGate) {
		t.Helper()
		eventually(t, 3*time.Second, "told", func() bool {
			id++
			resp, _ := g.call(t, "GET", "/plain/x", fmt.Sprintf("t%d", id))
			return resp != nil && resp.Header.Get("Server-Leaving") == "1"
		})
	}
	callUntilTold(g)
	arrivals.Store(0)
	store.Put("servers/i-1", leaving.Registration("ready")) // The list still shows it.
	for range 40 {
		id++
		if resp, _ := g.call(t, "GET", "/plain/x", fmt.Sprintf("l%d", id)); resp == nil || resp.StatusCode != 200 {
			t.Fatalf("got %v, want 200 from the other replica", resp)
		}
	}
	if n := arrivals.Load(); n != 0 {
		t.Errorf("the leaving replica got %d requests from the entry that it told", n)
	}
	eventually(t, 2*time.Second, "known to the peer", func() bool {
		before := arrivals.Load()
		for range 20 {
			id++
			h.call(t, "GET", "/plain/x", fmt.Sprintf("p%d", id))
		}
		return arrivals.Load() == before
	})
	leaving.SetLeaving(false)
	leaving.SetBorn(time.Now().UnixMilli())
	store.Put("servers/i-1", leaving.Registration("ready"))
	eventually(t, 2*time.Second, "used again after its restart", func() bool {
		id++
		_, body := g.call(t, "GET", "/plain/x", fmt.Sprintf("r%d", id))
		return body == "GET /plain/x by i-1"
	})
}

// TestLastLeaving checks that the only replica of a service still serves shortly after it said that it leaves, and
// gets nothing once its drain time is over: the caller is refused instead.
func TestLastLeaving(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	var arrivals atomic.Int64
	app.SetLeaving(true)
	countArrivals(app, &arrivals)
	g := startGate(t, store, "", app)
	g.waitReady(t)
	told := time.Now()
	for i := range 3 {
		if resp, _ := g.call(t, "GET", "/plain/x", fmt.Sprintf("a%d", i)); resp == nil || resp.StatusCode != 200 {
			t.Fatalf("%v after the first answer: got %v, want 200", time.Since(told), resp)
		}
	}
	time.Sleep(2*time.Second - time.Since(told)) // The drain time of the settings.
	arrivals.Store(0)
	resp, _ := g.call(t, "GET", "/plain/x", "late")
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || arrivals.Load() != 0 {
		t.Errorf("after the drain time: got %v and %d requests, want 503 and none", resp, arrivals.Load())
	}
}

// TestRetryAfterPause has a replica answer 503 with Retry-After. Nothing may be sent to it in that time; the other
// replica serves meanwhile, and with none left, the caller is refused at once with the time that is left.
func TestRetryAfterPause(t *testing.T) {
	for _, withSpare := range []bool{true, false} {
		t.Run(fmt.Sprintf("spare %v", withSpare), func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			full := newReplica(t, "i-1", "app", "")
			full.SetRetryAfter("1.5")
			replicas := []*simop.Replica{full}
			if withSpare {
				replicas = append(replicas, newReplica(t, "i-2", "app", ""))
			}
			g := startGate(t, store, "", replicas...)
			g.waitReady(t)
			eventually(t, 3*time.Second, "turned away", func() bool {
				g.call(t, "GET", "/plain/x", "first")
				return full.TurnedAway() > 0
			})
			began := time.Now()
			for i := 0; time.Since(began) < time.Second; i++ {
				sent := time.Now()
				resp, _ := g.call(t, "GET", "/plain/x", fmt.Sprintf("n%d", i))
				if withSpare {
					if resp == nil || resp.StatusCode != 200 {
						t.Fatalf("got %v, want 200 from the spare replica", resp)
					}
					continue
				}
				if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || time.Since(sent) > 300*time.Millisecond {
					t.Fatalf("got %v after %v, want 503 at once", resp, time.Since(sent))
				}
				left := (1500*time.Millisecond - time.Since(began)).Seconds()
				after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				if err != nil || after < left-0.05 || after > left+0.6 {
					t.Fatalf("got Retry-After %q, want about %.2f", resp.Header.Get("Retry-After"), left)
				}
			}
			if n := full.TurnedAway(); n != 1 {
				t.Errorf("the replica got %d requests, want only the one that it turned away", n)
			}
			full.SetRetryAfter("")
			time.Sleep(time.Until(began.Add(1600 * time.Millisecond)))
			eventually(t, time.Second, "used again", func() bool {
				_, body := g.call(t, "GET", "/plain/x", fmt.Sprintf("again%d", time.Now().UnixNano()))
				return body == "GET /plain/x by i-1"
			})
		})
	}
}

// TestEnginePause is TestRetryAfterPause for engines: one that turns prefill away with Retry-After gets no further
// requests, and another one processes the prompts.
func TestEnginePause(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	full, p, d := newReplica(t, "p-1", "lm", "prefill"), newReplica(t, "p-2", "lm", "prefill"), newReplica(t, "d-1", "lm", "decode")
	full.SetRetryAfter("3")
	g := startGate(t, store, "", full, p, d)
	g.waitReady(t)
	for i := range 30 {
		if resp, _ := g.call(t, "POST", "/model/x", fmt.Sprintf("m%d", i), promptHeaders...); resp == nil || resp.StatusCode != 200 {
			t.Errorf("got %v, want 200", resp)
		}
	}
	if n := full.TurnedAway(); n > 1 {
		t.Errorf("the engine got %d requests, want one at most", n)
	}
}
