package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/report"
	"pimentoseam/core/span"
	"pimentoseam/io/simflt"
)

// TestLeadFrozen freezes the lead past its lease; woken, it has no effect on any engine.
func TestLeadFrozen(t *testing.T) {
	c := startCluster(t, 2, 2, 0)
	lead := ""
	c.eventually(startTimeout, "a lead", func() bool { lead = c.leader(); return lead != "" })
	c.eventually(startTimeout, "a plan for all", func() bool { return c.isPlanComplete(2) })
	other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[lead]
	c.sendSignal(lead, syscall.SIGSTOP)
	c.eventually(startTimeout, "another lead", func() bool { return c.isLeader(other) })
	for i, version := range []string{"v2", "v1", "v2"} {
		c.submitVersion(other, version, int64(1+i))
		c.eventually(20*time.Second, version, func() bool { return c.allHaveVersion(version, 2) })
		if i == 0 {
			c.sendSignal(lead, syscall.SIGCONT)
		}
	}
	c.eventually(startTimeout, "the woken entry leads no more", func() bool { return !c.isLeader(lead) })
	c.checkCommands(t)
}

func (c *cluster) isLeader(entry string) bool {
	s, err := c.adminClient(entry).Status(context.Background(), false)
	return err == nil && len(s.Entries) > 0 && s.Entries[0].IsLeader
}

func (c *cluster) leader() string {
	for _, name := range []string{"entry-1", "entry-2"} {
		if c.isLeader(name) {
			return name
		}
	}
	return ""
}

// planned reports whether n upstreams have an order in the plan that their agents know.
func (c *cluster) isPlanComplete(n int64) bool {
	s, err := c.adminClient("entry-1").Status(context.Background(), false)
	if err != nil {
		return false
	}
	for _, u := range s.Upstreams {
		if u.Plan < 1+n {
			return false
		}
	}
	return true
}

// TestOrderFaults rolls a version out while engines crash inside the change, the lead's
// writes lose their answers, and agents are killed or frozen in the middle.
func TestOrderFaults(t *testing.T) {
	c := startCluster(t, 1, 4, 0)
	c.eventually(startTimeout, "a plan for all", func() bool { return c.isPlanComplete(4) })
	for i := 1; i <= 4; i++ {
		c.setFault(fmt.Sprintf("engine-clerks-%d", i), simflt.Fault{Name: simflt.Crash, On: true, MaxCalls: 1})
	}
	c.setFault("kv", simflt.Fault{Name: simflt.DropResponse, On: true, MaxCalls: 2, Method: "PUT"})
	c.submitVersion("entry-1", "v2", 1)
	c.eventually(startTimeout, "a change begins", func() bool { return c.engineState("clerks-1").Phase != "ready" })
	c.kill("agent-clerks-1")
	c.start("agent-clerks-1")
	second := c.runDuplicateAgent("clerks-2")
	c.sendSignal("agent-clerks-2", syscall.SIGSTOP)
	if second == nil {
		t.Error("a second agent beside clerks-2 did not exit with an error")
	}
	time.Sleep(2 * time.Second)
	c.sendSignal("agent-clerks-2", syscall.SIGCONT)
	c.eventually(60*time.Second, "v2 everywhere", func() bool { return c.countVersion("v2") == 4 })
	c.checkCommands(t)
}

// submitThrough submits the document with another version of the models.
func (c *cluster) submitVersion(entry, version string, revision int64) {
	c.t.Helper()
	body := c.editConfig(func(d *conf.Document) {
		target := &d.Targets[0]
		target.Version = version
		if !slices.Contains(target.Versions, version) {
			target.Versions = append(target.Versions, version)
		}
	})
	c.eventually(startTimeout, "submit", func() bool {
		r, err := c.adminClient(entry).Submit(context.Background(), body, revision, fmt.Sprint("roll-", revision))
		return err == nil && r.Outcome == report.Accepted
	})
}

// TestLateWrite holds a lead's write of a plan back until another lead has rolled out a newer version.
func TestLateWrite(t *testing.T) {
	const held = 14 * time.Second
	c := startCluster(t, 2, 2, 0)
	lead := ""
	c.eventually(startTimeout, "a lead", func() bool { lead = c.leader(); return lead != "" })
	c.eventually(startTimeout, "a plan for all", func() bool { return c.isPlanComplete(2) })
	other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[lead]
	start := time.Now()
	c.setFault("kv", simflt.Fault{Name: simflt.Delay, On: true, Duration: span.Span(held), Method: "PUT", PathPrefix: "/v1/keys/plan/", MaxCalls: 1})
	c.submitVersion(other, "v2", 1)
	time.Sleep(1500 * time.Millisecond)
	c.sendSignal(lead, syscall.SIGSTOP)
	c.eventually(startTimeout, "another lead", func() bool { return c.isLeader(other) })
	c.submitVersion(other, "v3", 2)
	c.eventually(20*time.Second, "v3 at both", func() bool { return c.allHaveVersion("v3", 2) })
	time.Sleep(time.Until(start.Add(held + 3*time.Second)))
	c.sendSignal(lead, syscall.SIGCONT)
	c.eventually(startTimeout, "the woken entry leads no more", func() bool { return !c.isLeader(lead) })
	c.eventually(20*time.Second, "v3 at both in the end", func() bool { return c.allHaveVersion("v3", 2) })
	c.checkCommands(t)
}

// TestLateOrder holds an order back until its agent was killed and another one started.
func TestLateOrder(t *testing.T) {
	const name = "clerks-2" // its engine ignores fencing numbers
	c := newCluster(t, 1, 2, 0)
	r := c.relayUpstream(name)
	c.startAll()
	c.eventually(startTimeout, "a plan for all", func() bool { return c.isPlanComplete(2) })
	caught := r.DelayPrefix("POST /orders", 4500*time.Millisecond)
	c.submitVersion("entry-1", "v2", 1)
	select {
	case <-caught:
	case <-time.After(startTimeout):
		t.Fatal("no order was given")
	}
	r.DelayPrefix("POST /orders", 0)
	c.kill("agent-" + name)
	c.submitVersion("entry-1", "v3", 2)
	c.start("agent-" + name)
	c.eventually(30*time.Second, "v3 at both", func() bool { return c.allHaveVersion("v3", 2) })
	time.Sleep(3 * time.Second)
	if !c.allHaveVersion("v3", 2) {
		t.Errorf("%s went back to %s", name, c.engineState(name).Version)
	}
	c.checkCommands(t)
}

// all reports whether the first n engines have the version.
func (c *cluster) allHaveVersion(version string, n int) bool {
	for i := range n {
		if c.engineState(fmt.Sprintf("clerks-%d", i+1)).Version != version {
			return false
		}
	}
	return true
}
