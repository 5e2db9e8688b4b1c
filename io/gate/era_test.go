package gate_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// served returns which replica served a request for a path; empty if none did.
func served(t *testing.T, g *testGate, path string) string {
	t.Helper()
	resp, body := g.call(t, "GET", path, fmt.Sprintf("s%d", time.Now().UnixNano()))
	if resp == nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	_, id, _ := strings.Cut(body, " by ")
	return id
}

// TestStoreFallsBack has the store come back from a copy that lacks a newer configuration, a drain, a removal and a
// new replica. The configuration in force stays, also in an entry that only its peer tells of all this; neither
// replica that has left gets requests; what the operator and the replicas write again takes effect, though its
// revisions are lower than those seen before. Then the store falls back once more.
func TestStoreFallsBack(t *testing.T) {
	store, failing := newStore(t), newStore(t)
	store.SetEra(4)
	store.Put("op/config", config(1, 3000))
	draining, removed, stays, added := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", ""), newReplica(t, "i-3", "app", ""), newReplica(t, "i-4", "app", "")
	g := startGate(t, store, "", draining, removed, stays)
	g.waitReady(t)
	failing.SetMode(simop.Refusing)
	h := startPeer(t, failing, g)
	h.waitReady(t)
	gates := []*testGate{g, h}
	store.TakeCopy()
	store.Put("op/config", configWithPath(5, "/newer/"))
	store.Put("servers/i-1", draining.Registration("draining"))
	store.Remove("servers/i-2")
	store.Put("servers/i-4", added.Registration("ready"))
	for _, g := range gates {
		eventually(t, 3*time.Second, g.set.Name+" in the first state", func() bool { return served(t, g, "/newer/x") == "i-4" })
	}
	time.Sleep(2 * time.Second) // The removal grace.
	for era := range 2 {
		store.FallBack()
		time.Sleep(1500 * time.Millisecond)
		for _, g := range gates {
			for range 20 {
				switch id := served(t, g, "/newer/x"); id {
				case "i-3", "i-4":
				default:
					t.Fatalf("fall %d: %s had %q serve, want i-3 or i-4", era, g.set.Name, id)
				}
			}
		}
		path := fmt.Sprintf("/again%d/", era)
		store.Put("op/config", configWithPath(6+10*era, path))
		store.Put("servers/i-4", added.Registration("ready"))
		for _, g := range gates {
			eventually(t, 2*time.Second, g.set.Name+" following the operator", func() bool { return served(t, g, path+"x") != "" })
			eventually(t, 2*time.Second, g.set.Name+" using the new replica", func() bool { return served(t, g, path+"x") == "i-4" })
		}
		store.Put("op/config", configWithPath(8+10*era, "/newer/"))
		for _, g := range gates {
			eventually(t, 2*time.Second, g.set.Name+" back at the path", func() bool { return served(t, g, "/newer/x") != "" })
		}
	}
	store.Put("servers/i-4", added.Registration("draining"))
	time.Sleep(1500 * time.Millisecond)
	for _, g := range gates {
		for range 20 {
			if id := served(t, g, "/newer/x"); id != "i-3" {
				t.Fatalf("after i-4 was drained in the last era: %s had %q serve, want i-3", g.set.Name, id)
			}
		}
	}
}

// TestRestoredPlan starts a leader at a store that has come back from a copy. The plan there is older than what the
// engines did since, so a command that contradicts an engine's role must not be given again, while one of the present
// era is kept.
func TestRestoredPlan(t *testing.T) {
	for _, test := range []struct {
		era  string
		want bool
	}{{`"era":2,`, true}, {`"era":1,`, false}, {``, false}} {
		t.Run(test.era, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.SetEra(2)
			store.Put("op/config", config(1, 3000))
			p, d, e := newEngines(t)
			store.Put("plan/lm", []byte(`{`+test.era+`"epoch":3,"revision":9,"lead":"other","orders":[{"upstream":"d-1","addr":"`+d.Addr().String()+`","role":"prefill"},{"upstream":"d-2","addr":"`+e.Addr().String()+`","role":"decode"}]}`))
			g := startGate(t, store, "", p, d, e)
			g.waitReady(t)
			taken := func() string {
				if text := string(store.Value("plan/lm")); strings.Contains(text, g.set.Name) {
					return text
				}
				return ""
			}
			eventually(t, 10*time.Second, "taken over", func() bool { return taken() != "" })
			text := taken()
			if got := strings.Contains(text, `"role":"prefill"`); got != test.want {
				t.Errorf("the plan taken over is %s; has the contradicting command: %v, want %v", text, got, test.want)
			}
			if !strings.Contains(text, `"role":"decode"`) || !strings.Contains(text, `"era":2`) {
				t.Errorf("the plan taken over is %s, want the fitting command and the present era", text)
			}
		})
	}
}

// TestTakeoverBeforeList guards against a leader that takes over a plan of an earlier era before it knows the upstreams, and
// so drops the commands that fit their roles.
func TestTakeoverBeforeList(t *testing.T) {
	store := newStore(t)
	store.SetEra(2)
	store.Put("op/config", config(1, 3000))
	store.SetRangeDelay("servers/", time.Second)
	p, d, e := newEngines(t)
	store.Put("plan/lm", []byte(`{"era":1,"epoch":3,"revision":9,"lead":"other","orders":[{"upstream":"d-2","addr":"`+e.Addr().String()+`","role":"decode"}]}`))
	g := startGate(t, store, "", p, d, e)
	eventually(t, 10*time.Second, "taken over", func() bool { return strings.Contains(string(store.Value("plan/lm")), g.set.Name) })
	if text := string(store.Value("plan/lm")); !strings.Contains(text, `"role":"decode"`) {
		t.Errorf("the plan taken over is %s, want the fitting command", text)
	}
}

// TestLeaderOverEras has the store fall back to a copy without the leader's lease. The leader must find out, and an
// entry leads again, though the lost lease's ID has been given to an entry's registration.
func TestLeaderOverEras(t *testing.T) {
	store := newStore(t)
	store.SetEra(1)
	store.Put("op/config", config(1, 3000))
	p, d, e := newEngines(t)
	store.TakeCopy()
	g := startGate(t, store, "", p, d, e)
	g.waitReady(t)
	eventually(t, 10*time.Second, "leading", func() bool { return store.Value("lead") != nil && store.Value("entries/"+g.set.Name) != nil })
	store.FallBack()
	store.Put("op/config", config(1, 3000))
	for _, r := range []*simop.Replica{p, d, e} {
		store.Put("servers/"+r.ID, r.Registration("ready"))
	}
	if store.Value("lead") != nil || store.Value("entries/"+g.set.Name) != nil {
		t.Fatal("the copy has the entry's keys")
	}
	eventually(t, 12*time.Second, "leading and registered again", func() bool {
		return string(store.Value("lead")) == g.set.Name && store.Value("entries/"+g.set.Name) != nil
	})
	if resp, _ := g.call(t, "POST", "/model/x", "m1", promptHeaders...); resp == nil || resp.StatusCode != 200 {
		t.Errorf("got %v, want 200", resp)
	}
}
