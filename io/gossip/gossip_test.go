package gossip_test

import (
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/io/gossip"
)

// TestZoneNeverHeardCounts guards against entries that take budgets as if they were fewer, because a zone that the store lists
// was never heard.
func TestZoneNeverHeardCounts(t *testing.T) {
	g := gossip.New(addr("10.0.0.1:9"), "e1", "a", slog.New(slog.DiscardHandler), nil)
	g.Add(addr("10.0.0.2:9"), "a")
	g.Add(addr("10.0.1.1:9"), "b")
	g.Add(addr("10.0.1.2:9"), "b")
	if n := g.NumEntries(); n != 4 {
		t.Errorf("got %d entries, want 4: itself and those that the store lists", n)
	}
}

// TestReach checks how many entries count as known while none is heard.
func TestReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gossip.New(addr("10.0.0.1:9"), "e1", "a", slog.New(slog.DiscardHandler), nil)
		g.Add(addr("10.0.0.2:9"), "a") // Listed in the store.
		g.Add(addr("10.0.0.3:9"), "")  // A seed, perhaps outdated.
		g.Add(addr("10.0.1.1:9"), "b")
		checkReach(t, g, 1, 4)
		time.Sleep(6 * time.Second)
		checkReach(t, g, 1, 3)
	})
}

func addr(s string) netip.AddrPort {
	return netip.MustParseAddrPort(s)
}

func checkReach(t *testing.T, g *gossip.Gossip, wantHeard, wantKnown int) {
	t.Helper()
	if heard, known := g.Reach(); heard != wantHeard || known != wantKnown {
		t.Errorf("got %d heard of %d known entries, want %d of %d", heard, known, wantHeard, wantKnown)
	}
}
