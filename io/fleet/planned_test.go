package fleet_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/report"
	"pimentoseam/io/fleet"
	"pimentoseam/io/load"
	"pimentoseam/io/simai"
	"pimentoseam/io/vmlist"
)

// TestPlannedChanges makes each kind of planned change under a steady load and counts cut requests at callers.
func TestPlannedChanges(t *testing.T) {
	c := startCluster(t, 2, 4, 2)
	time.Sleep(2500 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan []*load.Tally)
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"], c.addresses["entry-2"]})
	callers := []load.Caller{
		{Name: "resident", Token: fleet.ResidentToken, Kind: load.StreamedChat, Rate: 6, PromptTokens: 100, OutputTokens: 150},
		{Name: "counter", Token: fleet.CounterToken, Kind: load.UnstreamedChat, Rate: 6, PromptTokens: 50, OutputTokens: 8},
		{Name: "courier", Token: fleet.CourierToken, Kind: load.NonIdempotentCall, Rate: 6},
	}
	go func() { done <- mix.Run(ctx, callers, 32*time.Second) }()

	c.step("drain", func() { c.drain("clerks-1", true) }, func() bool { return c.idle("clerks-1") })
	c.step("drain off", func() { c.drain("clerks-1", false) }, func() bool { return !c.idle("clerks-1") })
	c.step("role change", func() {
		c.submit(c.edit(func(d *conf.Document) { d.Upstreams[1].Role = "decode" }), c.revision())
	}, func() bool { return c.state("clerks-2").Role == "decode" })
	c.step("new version", func() {
		c.submit(c.edit(func(d *conf.Document) { d.Targets[0].Version = "v2" }), c.revision())
	}, func() bool { return c.version("v2") == 4 })
	c.step("replacement", func() { c.vm("clerks-3", vmlist.Leaving) }, func() bool { return c.idle("clerks-3") })
	c.terminate("agent-clerks-3")
	c.start("agent-clerks-3")
	c.vm("clerks-3", vmlist.Live)
	c.terminate("agent-clerks-4")
	c.start("agent-clerks-4")
	c.terminate("agent-redirect-1")
	c.start("agent-redirect-1")
	c.terminate("entry-1")
	c.start("entry-1")

	for _, tally := range <-done {
		t.Logf("%s: %v", tally.Caller, tally.Outcomes)
		for outcome, n := range tally.Outcomes {
			if outcome != load.Complete {
				t.Errorf("%s: %d requests were %s, want none", tally.Caller, n, outcome)
			}
		}
	}
	c.checkOrders(t)
}

// step makes a change and waits until it has taken place.
func (c *cluster) step(name string, change func(), done func() bool) {
	c.t.Helper()
	change()
	c.eventually(15*time.Second, name, done)
}

func (c *cluster) drain(upstream string, on bool) {
	c.t.Helper()
	c.eventually(startMax, "drain", func() bool {
		r, err := c.admin("entry-2").Drain(context.Background(), upstream, on)
		return err == nil && r.Outcome == report.Accepted
	})
	c.edit(func(d *conf.Document) {
		for i := range d.Upstreams {
			if d.Upstreams[i].Name == upstream {
				d.Upstreams[i].Drain = on
			}
		}
	})
}

func (c *cluster) revision() int64 {
	c.t.Helper()
	found, err := c.admin("entry-1").Config(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	return found.Revision
}

func (c *cluster) state(upstream string) simai.State {
	var s simai.State
	c.read("engine-"+upstream, "/state", &s)
	return s
}

func (c *cluster) idle(upstream string) bool {
	return c.state(upstream).Running == 0
}

func (c *cluster) version(want string) int {
	n := 0
	for _, name := range []string{"clerks-1", "clerks-2", "clerks-3", "clerks-4"} {
		if c.state(name).Version == want {
			n++
		}
	}
	return n
}

// checkOrders asks each engine whether it held conflicting orders.
func (c *cluster) checkOrders(t *testing.T) {
	t.Helper()
	for name := range c.addresses {
		if len(name) < 7 || name[:7] != "engine-" {
			continue
		}
		var h simai.History
		c.read(name, "/orders", &h)
		for _, wrong := range h.Violations {
			t.Errorf("%s: %s", name, wrong)
		}
	}
}
