package gossip_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/io/gossip"
)

// newCounted returns the Gossip of entry e1 of zone a, which the store has told of e2 and e3 there.
func newCounted() *gossip.Gossip {
	g := gossip.New(addr("10.0.0.1:9"), "e1", "a", slog.New(slog.DiscardHandler), &fragile{})
	g.Add(addr("10.0.0.2:9"), "a")
	g.Add(addr("10.0.0.3:9"), "a")
	return g
}

// run lets d pass in rounds of beats, and calls each before each of them.
func run(g *gossip.Gossip, d time.Duration, each func()) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		each()
		g.SendRound()
	}
}

// hear has g receive a beat of an entry of its zone.
func hear(g *gossip.Gossip, host, name string) {
	b := &beat.Beat{Name: name, Zone: "a", Seq: uint64(time.Now().UnixNano()), Entries: 1}
	g.Handle(addr(host), b.Encode())
}

// TestAloneEntryCountsPeers guards against an entry that hears nobody for long, forgets the others and takes the whole slack of
// retry budgets, which they use, too.
func TestAloneEntryCountsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCounted()
		run(g, 10*time.Second, func() { hear(g, "10.0.0.2:9", "e2") })
		run(g, 10*time.Minute, func() {})
		if n := g.NumEntries(); n != 3 {
			t.Errorf("%d entries after ten minutes without a beat, want 3", n)
		}
	})
}

// TestListedPeerCounts guards against an entry that forgets a part of its zone that it can't hear, though the store lists it.
func TestListedPeerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCounted()
		fewest := 3
		var listed time.Time
		run(g, 10*time.Minute, func() {
			hear(g, "10.0.0.2:9", "e2")
			fewest = min(fewest, g.NumEntries())
			if time.Since(listed) >= 2*time.Minute {
				listed = time.Now()
				g.Add(addr("10.0.0.3:9"), "a")
			}
		})
		if fewest != 3 {
			t.Errorf("%d entries, want 3: itself, one that is heard and one that is listed", fewest)
		}
		run(g, 6*time.Minute, func() { hear(g, "10.0.0.2:9", "e2") })
		if n := g.NumEntries(); n != 2 {
			t.Errorf("%d entries, want 2 after the other is neither heard nor listed", n)
		}
	})
}

// TestZoneOfRestartedEntryCounts guards against a zone that counts as one entry because the entry that sends its digest has just
// started and has heard nobody.
func TestZoneOfRestartedEntryCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newCounted()
		digest := func(start int64, entries uint32) {
			b := &beat.Beat{Name: "f1", Zone: "b", Digest: true, Start: start, Seq: uint64(time.Now().UnixNano()), Entries: entries, GossipAddr: addr("10.0.1.1:9")}
			g.Handle(b.GossipAddr, b.Encode())
		}
		digest(1, 9)
		time.Sleep(time.Second)
		digest(2, 1)
		if n := g.NumEntries(); n != 12 {
			t.Errorf("%d entries, want 12: 3 and the 9 of the other zone", n)
		}
		for range 180 {
			time.Sleep(time.Second)
			digest(2, 4)
		}
		if n := g.NumEntries(); n != 7 {
			t.Errorf("%d entries, want 7 once the other zone has had 4 for long", n)
		}
	})
}
