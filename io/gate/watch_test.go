package gate_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// startInZone runs a gate with a name and a zone. If first is set, it is the gate's seed, and the gate receives beats
// at 127.0.0.host.
func startInZone(t *testing.T, store *simop.Store, name, zone string, host int, first *testGate) *testGate {
	t.Helper()
	set := newSettings(t, store, "")
	set.Name, set.Zone = name, zone
	if first != nil {
		// A seed only gives an IP address, so all gates must receive beats at the same port.
		set.Seeds = first.set.Share.String()
		set.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(host)}), first.set.Peer.Port())
	}
	return startWithSettings(t, store, set)
}

// isServed returns a condition for eventually: the gate serves a request for path.
func isServed(t *testing.T, g *testGate, path string) func() bool {
	return func() bool {
		resp, _ := g.call(t, "GET", path, "w"+g.set.Name)
		return resp != nil && resp.StatusCode == 200
	}
}

// configWithPath returns a configuration in which the plain route has another path prefix.
func configWithPath(version int, pathPrefix string) []byte {
	return []byte(strings.ReplaceAll(string(config(version, 3000)), "/plain/", pathPrefix))
}

// TestZones starts two gates of one zone whose store rejects all calls; their seed is a gate of another zone. They must
// get the configuration, the upstreams and their changes from that zone.
func TestZones(t *testing.T) {
	store, failing := newStore(t), newStore(t)
	store.Put("op/config", config(1, 3000))
	app, other := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
	store.Put("servers/i-1", app.Registration("ready"))
	a := startInZone(t, store, "a", "east", 1, nil)
	a.waitReady(t)
	failing.SetMode(simop.Refusing)
	b := startInZone(t, failing, "b", "west", 2, a)
	b.waitReady(t)
	c := startInZone(t, failing, "c", "west", 3, a)
	c.waitReady(t)
	store.Put("op/config", configWithPath(5, "/newer/"))
	store.Put("servers/i-1", app.Registration("draining"))
	store.Put("servers/i-2", other.Registration("ready"))
	for _, g := range []*testGate{a, b, c} {
		eventually(t, 2*time.Second, g.set.Name+" caught up", func() bool {
			resp, body := g.call(t, "GET", "/newer/x", "z"+g.set.Name)
			return resp != nil && resp.StatusCode == 200 && strings.HasSuffix(body, "i-2")
		})
	}
	store.Remove("servers/i-1")
	store.Remove("servers/i-2")
	for _, g := range []*testGate{a, b, c} {
		// A removed upstream may be used for a while, since its registration may only have expired.
		eventually(t, 6*time.Second, g.set.Name+" without upstreams", func() bool {
			resp, _ := g.call(t, "GET", "/newer/x", "y"+g.set.Name)
			return resp != nil && resp.StatusCode == 503
		})
	}
}

// TestRest runs six gates of one zone: two of them watch the store, and the others learn of changes by gossip.
func TestRest(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	store.Put("servers/i-1", app.Registration("ready"))
	gates := []*testGate{startInZone(t, store, "g0", "z", 1, nil)}
	for i := 1; i < 6; i++ {
		gates = append(gates, startInZone(t, store, fmt.Sprintf("g%d", i), "z", 1+i, gates[0]))
	}
	for _, g := range gates {
		g.waitReady(t)
	}
	time.Sleep(3 * time.Second)
	before := store.Calls("/api/kv-watch")
	const span = 4 * time.Second
	time.Sleep(span)
	// Two gates with two watches each, of 0.9 s, make up to 20 calls in 4 s; all six would make three times as many.
	if n := store.Calls("/api/kv-watch") - before; n > 24 {
		t.Errorf("got %d watch calls in %v, want those of two gates, 24 at most", n, span)
	}
	store.Put("op/config", configWithPath(5, "/newer/"))
	for _, g := range gates {
		eventually(t, time.Second, g.set.Name+" at the newest configuration", isServed(t, g, "/newer/x"))
	}
}

// TestTakeover has the store fail for the two gates that watch it. A third gate must take over the watch: a new
// configuration must be in force there within two seconds, the limit for configurations, and soon after at the others.
func TestTakeover(t *testing.T) {
	for _, mode := range []simop.Mode{simop.Refusing, simop.Hanging} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			failing, working := newStore(t), newStore(t)
			app := newReplica(t, "i-1", "app", "")
			for _, s := range []*simop.Store{failing, working} {
				s.Put("op/config", config(1, 3000))
				s.Put("servers/i-1", app.Registration("ready"))
			}
			first := startInZone(t, failing, "a", "z", 1, nil)
			second := startInZone(t, failing, "b", "z", 2, first)
			third := startInZone(t, working, "c", "z", 3, first)
			for _, g := range []*testGate{first, second, third} {
				g.waitReady(t)
			}
			time.Sleep(3 * time.Second)
			failing.SetMode(mode)
			working.Put("op/config", configWithPath(5, "/newer/"))
			eventually(t, 2*time.Second, "at the newest configuration", isServed(t, third, "/newer/x"))
			for _, g := range []*testGate{first, second} {
				eventually(t, time.Second, g.set.Name+" at the newest configuration", isServed(t, g, "/newer/x"))
			}
		})
	}
}
