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

// TestPlannedChanges checks that no request fails during planned changes: it drains an upstream, changes a role and a
// version, replaces a VM and restarts agents and an entry under a steady load of all callers.
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

	c.changeAndWait("drain", func() { c.setDrain("clerks-1", true) }, func() bool { return c.isIdle("clerks-1") })
	c.changeAndWait("drain off", func() { c.setDrain("clerks-1", false) }, func() bool { return !c.isIdle("clerks-1") })
	c.changeAndWait("role change", func() {
		c.submitConfig(c.editConfig(func(d *conf.Document) { d.Upstreams[1].Role = "decode" }), c.configRevision())
	}, func() bool { return c.engineState("clerks-2").Role == "decode" })
	c.changeAndWait("new version", func() {
		c.submitConfig(c.editConfig(func(d *conf.Document) { d.Targets[0].Version = "v2" }), c.configRevision())
	}, func() bool { return c.countVersion("v2") == 4 })
	c.changeAndWait("replacement", func() { c.setVMState("clerks-3", vmlist.Leaving) }, func() bool { return c.isIdle("clerks-3") })
	c.terminate("agent-clerks-3")
	c.start("agent-clerks-3")
	c.setVMState("clerks-3", vmlist.Live)
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
				t.Errorf("%s: %d requests were %s, want all whole", tally.Caller, n, outcome)
			}
		}
	}
	c.checkCommands(t)
}

// changeAndWait makes a change and waits up to 15 s until it has taken effect.
func (c *cluster) changeAndWait(name string, change func(), isDone func() bool) {
	c.t.Helper()
	change()
	c.eventually(15*time.Second, name, isDone)
}

// setDrain switches the drain of an upstream on or off through entry-2, and records it in the document of the cluster.
func (c *cluster) setDrain(upstream string, on bool) {
	c.t.Helper()
	c.eventually(startTimeout, "drain", func() bool {
		result, err := c.adminClient("entry-2").Drain(context.Background(), upstream, on)
		return err == nil && result.Outcome == report.Accepted
	})
	c.editConfig(func(d *conf.Document) {
		for i := range d.Upstreams {
			if d.Upstreams[i].Name == upstream {
				d.Upstreams[i].Drain = on
			}
		}
	})
}

// configRevision returns the revision of the configuration at entry-1.
func (c *cluster) configRevision() int64 {
	c.t.Helper()
	current, err := c.adminClient("entry-1").Config(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	return current.Revision
}

// engineState returns the state of an engine.
func (c *cluster) engineState(upstream string) simai.State {
	var state simai.State
	c.getJSON("engine-"+upstream, "/state", &state)
	return state
}

// isIdle reports whether an engine runs no request.
func (c *cluster) isIdle(upstream string) bool {
	return c.engineState(upstream).Running == 0
}

// countVersion returns the number of engines with the version, out of clerks-1 to clerks-4.
func (c *cluster) countVersion(version string) int {
	n := 0
	for _, name := range []string{"clerks-1", "clerks-2", "clerks-3", "clerks-4"} {
		if c.engineState(name).Version == version {
			n++
		}
	}
	return n
}

// checkCommands fails the test if an engine has recorded a conflicting command.
func (c *cluster) checkCommands(t *testing.T) {
	t.Helper()
	for name := range c.addresses {
		if len(name) < 7 || name[:7] != "engine-" {
			continue
		}
		var history simai.History
		c.getJSON(name, "/orders", &history)
		for _, violation := range history.Violations {
			t.Errorf("%s: %s", name, violation)
		}
	}
}
