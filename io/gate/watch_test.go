package gate_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// startAt runs a named gate of a zone, with an address of its own for beats.
func startAt(t *testing.T, store *simop.Store, name, zone string, host int, first *site) *site {
	t.Helper()
	set := settings(t, store, "")
	set.Name, set.Zone = name, zone
	if first != nil {
		// The port for beats is the same everywhere; only the address of a seed is known.
		set.Seeds = first.set.Share.String()
		set.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(host)}), first.set.Peer.Port())
	}
	return startSet(t, store, set)
}

func serves(t *testing.T, s *site, path string) func() bool {
	return func() bool {
		answer, _ := s.call(t, "GET", path, "w"+s.set.Name)
		return answer != nil && answer.StatusCode == 200
	}
}

// newer returns a configuration with a route that others lack.
func newer(version int, path string) []byte {
	return []byte(strings.ReplaceAll(string(config(version, 3000)), "/plain/", path))
}

// TestZones starts a gate whose store refuses it and that knows one entry of another zone: it learns what the
// zone knows, changes of the upstreams too, and an entry of its own zone learns it from it.
func TestZones(t *testing.T) {
	store, refusing := newStore(t), newStore(t)
	store.Put("op/config", config(1, 3000))
	app, other := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
	store.Put("servers/i-1", app.Registration("ready"))
	a := startAt(t, store, "a", "east", 1, nil)
	a.ready(t)
	refusing.SetMode(simop.Refusing)
	b := startAt(t, refusing, "b", "west", 2, a)
	b.ready(t)
	c := startAt(t, refusing, "c", "west", 3, a)
	c.ready(t)
	store.Put("op/config", newer(5, "/newer/"))
	store.Put("servers/i-1", app.Registration("draining"))
	store.Put("servers/i-2", other.Registration("ready"))
	for _, s := range []*site{a, b, c} {
		eventually(t, 2*time.Second, s.set.Name+" caught up", func() bool {
			answer, body := s.call(t, "GET", "/newer/x", "z"+s.set.Name)
			return answer != nil && answer.StatusCode == 200 && strings.HasSuffix(body, "i-2")
		})
	}
	store.Remove("servers/i-1")
	store.Remove("servers/i-2")
	for _, s := range []*site{a, b, c} {
		// A removed upstream may be used for a moment, since it may only have lapsed.
		eventually(t, 6*time.Second, s.set.Name+" without upstreams", func() bool {
			answer, _ := s.call(t, "GET", "/newer/x", "y"+s.set.Name)
			return answer != nil && answer.StatusCode == 503
		})
	}
}

// TestRest runs six gates: two of them watch the store for all.
func TestRest(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	store.Put("servers/i-1", app.Registration("ready"))
	sites := []*site{startAt(t, store, "g0", "z", 1, nil)}
	for i := 1; i < 6; i++ {
		sites = append(sites, startAt(t, store, fmt.Sprintf("g%d", i), "z", 1+i, sites[0]))
	}
	for _, s := range sites {
		s.ready(t)
	}
	time.Sleep(3 * time.Second)
	before := store.Calls("/api/kv-watch")
	const span = 4 * time.Second
	time.Sleep(span)
	// Two entries watch two prefixes, 0.9 s each time; all six would make three times as many calls.
	if n := store.Calls("/api/kv-watch") - before; n > 24 {
		t.Errorf("%d watches in %v, want those of two entries", n, span)
	}
	store.Put("op/config", newer(5, "/newer/"))
	for _, s := range sites {
		eventually(t, time.Second, s.set.Name+" at the newest configuration", serves(t, s, "/newer/x"))
	}
}

// TestTakeover has the store fail the entries that watch it: another one must learn of a change in the two
// seconds that a configuration may take.
func TestTakeover(t *testing.T) {
	for _, mode := range []simop.Mode{simop.Refusing, simop.Hanging} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			theirs, ours := newStore(t), newStore(t)
			app := newReplica(t, "i-1", "app", "")
			for _, s := range []*simop.Store{theirs, ours} {
				s.Put("op/config", config(1, 3000))
				s.Put("servers/i-1", app.Registration("ready"))
			}
			first := startAt(t, theirs, "a", "z", 1, nil)
			second := startAt(t, theirs, "b", "z", 2, first)
			third := startAt(t, ours, "c", "z", 3, first)
			for _, s := range []*site{first, second, third} {
				s.ready(t)
			}
			time.Sleep(3 * time.Second)
			theirs.SetMode(mode)
			ours.Put("op/config", newer(5, "/newer/"))
			eventually(t, 2*time.Second, "at the newest configuration", serves(t, third, "/newer/x"))
			for _, s := range []*site{first, second} {
				eventually(t, time.Second, s.set.Name+" told of it", serves(t, s, "/newer/x"))
			}
		})
	}
}
