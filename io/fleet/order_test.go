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

// TestLeadFrozen checks that a leader that was frozen for longer than its lease has no effect on any engine when it
// resumes. The new leader changes the version three times, and the former one resumes after the first change.
func TestLeadFrozen(t *testing.T) {
	c := startCluster(t, 2, 2, 0)
	formerLeader := ""
	c.eventually(startTimeout, "an entry becomes the leader", func() bool { formerLeader = c.leader(); return formerLeader != "" })
	c.eventually(startTimeout, "all agents have a complete plan", func() bool { return c.isPlanComplete(2) })
	newLeader := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[formerLeader]
	c.sendSignal(formerLeader, syscall.SIGSTOP)
	c.eventually(startTimeout, "the other entry becomes the leader", func() bool { return c.isLeader(newLeader) })
	for i, version := range []string{"v2", "v1", "v2"} {
		c.submitVersion(newLeader, version, int64(1+i))
		c.eventually(20*time.Second, version, func() bool { return c.allHaveVersion(version, 2) })
		if i == 0 {
			c.sendSignal(formerLeader, syscall.SIGCONT)
		}
	}
	c.eventually(startTimeout, "the resumed entry is no longer the leader", func() bool { return !c.isLeader(formerLeader) })
	c.checkCommands(t)
}

// isLeader reports whether an entry says that it is the leader.
func (c *cluster) isLeader(entry string) bool {
	status, err := c.adminClient(entry).Status(context.Background(), false)
	return err == nil && len(status.Entries) > 0 && status.Entries[0].IsLeader
}

// leader returns the name of the entry that is the leader, or "" if there is none.
func (c *cluster) leader() string {
	for _, name := range []string{"entry-1", "entry-2"} {
		if c.isLeader(name) {
			return name
		}
	}
	return ""
}

// isPlanComplete reports whether the agents of all upstreams have a plan with commands for n upstreams: the leader's
// first revision starts its epoch, and each later one adds a command.
func (c *cluster) isPlanComplete(n int64) bool {
	status, err := c.adminClient("entry-1").Status(context.Background(), false)
	if err != nil {
		return false
	}
	for _, u := range status.Upstreams {
		if u.Plan < 1+n {
			return false
		}
	}
	return true
}

// TestOrderFaults checks that a new version reaches all engines without conflicting commands, although each engine
// crashes once during the change, two writes of the leader get no response, one agent is killed during the change and
// another one is frozen. A second agent of the same upstream must exit with an error.
func TestOrderFaults(t *testing.T) {
	c := startCluster(t, 1, 4, 0)
	c.eventually(startTimeout, "all agents have a complete plan", func() bool { return c.isPlanComplete(4) })
	for i := 1; i <= 4; i++ {
		c.setFault(fmt.Sprintf("engine-clerks-%d", i), simflt.Fault{Name: simflt.Crash, On: true, MaxCalls: 1})
	}
	c.setFault("kv", simflt.Fault{Name: simflt.DropResponse, On: true, MaxCalls: 2, Method: "PUT"})
	c.submitVersion("entry-1", "v2", 1)
	c.eventually(startTimeout, "clerks-1 begins a change", func() bool { return c.engineState("clerks-1").Phase != "ready" })
	c.kill("agent-clerks-1")
	c.start("agent-clerks-1")
	duplicateErr := c.runDuplicateAgent("clerks-2")
	c.sendSignal("agent-clerks-2", syscall.SIGSTOP)
	if duplicateErr == nil {
		t.Error("a second agent of clerks-2 exited without an error, want an error")
	}
	time.Sleep(2 * time.Second)
	c.sendSignal("agent-clerks-2", syscall.SIGCONT)
	c.eventually(60*time.Second, "all four engines have v2", func() bool { return c.countVersion("v2") == 4 })
	c.checkCommands(t)
}

// submitVersion submits the document with a new version of the model target through an entry, against the given
// current revision, until it is accepted.
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
		result, err := c.adminClient(entry).Submit(context.Background(), body, revision, fmt.Sprint("roll-", revision))
		return err == nil && result.Outcome == report.Accepted
	})
}

// TestLateWrite checks that a delayed write of a former leader can't replace a newer plan: the key-value service
// holds its write of v2 back for 14 s, in which another entry becomes the leader and rolls out v3. The engines must
// still have v3 after the write has arrived and the former leader has resumed.
func TestLateWrite(t *testing.T) {
	const writeDelay = 14 * time.Second
	c := startCluster(t, 2, 2, 0)
	formerLeader := ""
	c.eventually(startTimeout, "an entry becomes the leader", func() bool { formerLeader = c.leader(); return formerLeader != "" })
	c.eventually(startTimeout, "all agents have a complete plan", func() bool { return c.isPlanComplete(2) })
	newLeader := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[formerLeader]
	start := time.Now()
	c.setFault("kv", simflt.Fault{Name: simflt.Delay, On: true, Duration: span.Span(writeDelay), Method: "PUT", PathPrefix: "/v1/keys/plan/", MaxCalls: 1})
	c.submitVersion(newLeader, "v2", 1)
	time.Sleep(1500 * time.Millisecond)
	c.sendSignal(formerLeader, syscall.SIGSTOP)
	c.eventually(startTimeout, "the other entry becomes the leader", func() bool { return c.isLeader(newLeader) })
	c.submitVersion(newLeader, "v3", 2)
	c.eventually(20*time.Second, "both engines have v3", func() bool { return c.allHaveVersion("v3", 2) })
	time.Sleep(time.Until(start.Add(writeDelay + 3*time.Second)))
	c.sendSignal(formerLeader, syscall.SIGCONT)
	c.eventually(startTimeout, "the resumed entry is no longer the leader", func() bool { return !c.isLeader(formerLeader) })
	c.eventually(20*time.Second, "both engines have v3 after the delayed write", func() bool { return c.allHaveVersion("v3", 2) })
	c.checkCommands(t)
}

// TestLateOrder checks that a command of an agent that was killed can't undo a later one. A relay delays the command
// for v2 by 4.5 s, in which the agent's successor starts and v3 is submitted. As the engine ignores fencing tokens, the
// successor must wait until the delayed command can no longer arrive.
func TestLateOrder(t *testing.T) {
	const name = "clerks-2" // Its engine ignores fencing tokens.
	c := newCluster(t, 1, 2, 0)
	relay := c.relayUpstream(name)
	c.startAll()
	c.eventually(startTimeout, "all agents have a complete plan", func() bool { return c.isPlanComplete(2) })
	delayed := relay.DelayPrefix("POST /orders", 4500*time.Millisecond)
	c.submitVersion("entry-1", "v2", 1)
	select {
	case <-delayed:
	case <-time.After(startTimeout):
		t.Fatal("the agent sent no command")
	}
	relay.DelayPrefix("POST /orders", 0)
	c.kill("agent-" + name)
	c.submitVersion("entry-1", "v3", 2)
	c.start("agent-" + name)
	c.eventually(30*time.Second, "both engines have v3", func() bool { return c.allHaveVersion("v3", 2) })
	time.Sleep(3 * time.Second)
	if !c.allHaveVersion("v3", 2) {
		t.Errorf("%s went back to version %s, want v3", name, c.engineState(name).Version)
	}
	c.checkCommands(t)
}

// allHaveVersion reports whether the engines clerks-1 to clerks-n have the version.
func (c *cluster) allHaveVersion(version string, n int) bool {
	for i := range n {
		if c.engineState(fmt.Sprintf("clerks-%d", i+1)).Version != version {
			return false
		}
	}
	return true
}
