package fleet_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/report"
	"pimentoseam/core/span"
	"pimentoseam/io/fleet"
	"pimentoseam/io/load"
	"pimentoseam/io/simflt"
)

// TestStoreOutage freezes the store: requests go on, submissions are refused or unknown
// at once, and a process that starts meanwhile takes the configuration from its peers.
func TestStoreOutage(t *testing.T) {
	c := startCluster(t, 2, 2, 0)
	c.submitConfig(c.editConfig(func(d *conf.Document) { d.Classes[0].Priority = 1 }), 1)
	c.waitSameRevision(t)
	c.setFault("kv", simflt.Fault{Name: simflt.Freeze, On: true})
	c.kill("entry-2")
	c.start("entry-2")
	c.kill("agent-clerks-2")
	c.start("agent-clerks-2")
	c.eventually(propagationMax+4*time.Second, "entry-2 has revision 2 from its peer", func() bool {
		s, err := c.adminClient("entry-2").Status(context.Background(), false)
		return err == nil && s.Revision == 2
	})
	c.waitReady()
	for _, entry := range []string{"entry-1", "entry-2"} {
		client := c.openaiClient(entry, fleet.CounterToken)
		if _, err := client.Chat.Completions.New(context.Background(), chatParams("during the outage", 4)); err != nil {
			t.Errorf("%s during the outage: %v", entry, err)
		}
	}
	start := time.Now()
	result, err := c.adminClient("entry-1").Submit(context.Background(), c.config, 2, "during")
	if err != nil || result.Outcome != report.Unavailable {
		t.Errorf("submission during the outage: got %+v, %v, want unavailable", result, err)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("submission during the outage took %v", took)
	}
	var h struct {
		Orders []struct{} `json:"orders"`
	}
	c.getJSON("engine-clerks-2", "/orders", &h)
	if len(h.Orders) != 0 {
		t.Errorf("an agent that could not read the plan gave %d orders", len(h.Orders))
	}
	c.setFault("kv", simflt.Fault{Name: simflt.Freeze, On: false})
	c.submitConfig(c.editConfig(func(d *conf.Document) { d.Classes[0].Priority = 0 }), 2)
	if got := c.waitSameRevision(t); got < 3 {
		t.Errorf("got revision %d after the outage, want 3", got)
	}
}

const (
	submitMax = 5 * time.Second // time in which an operator is told what became of a submission

	// The lead renews its lease and writes at most one plan a second; up to three entries stand by
	// with one call a second each. All others share the 2,000 reads a second that the service
	// takes: 1,600 entries and 4,100 agents, with half of it left to spare.
	maxLeaderCalls = 5.0
	maxMemberCalls = 2000.0 / 2 / (1600 + 4100)
)

// TestStoreSlow lets each call of the key-value service take longer than its callers wait, so that writes
// take effect and their answers are lost. Requests go on and operators are told at once.
func TestStoreSlow(t *testing.T) {
	c := startCluster(t, 2, 2, 0)
	c.eventually(startTimeout, "a plan for all", func() bool { return c.isPlanComplete(2) })
	d := testLength(10 * time.Second)
	done := make(chan []*load.Tally)
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"], c.addresses["entry-2"]})
	callers := []load.Caller{{Name: "counter", Token: fleet.CounterToken, Kind: load.Check, Rate: 20, Prompt: 20, Output: 4}}
	c.setFault("kv", simflt.Fault{Name: simflt.Delay, On: true, Duration: span.Span(3 * time.Second)})
	go func() { done <- mix.Run(context.Background(), callers, d) }()
	start := time.Now()
	revision := int64(1)
	for time.Since(start) < d-submitMax {
		call := time.Now()
		body := c.editConfig(func(doc *conf.Document) { doc.Classes[0].Priority = int(revision) % 2 })
		result, err := c.adminClient("entry-1").Submit(context.Background(), body, revision, "")
		if took := time.Since(call); err != nil || took > submitMax {
			t.Errorf("submission took %v: %+v, %v", took, result, err)
		}
		if found, err := c.adminClient("entry-2").Config(context.Background()); err == nil {
			revision = max(revision, found.Revision)
		}
	}
	for _, tally := range <-done {
		t.Logf("%s: %v", tally.Caller, tally.Outcomes)
		if n := len(tally.Outcomes); n != 1 || tally.Outcomes[load.Whole] == 0 {
			t.Errorf("%s: answers were not all whole while the service was slow", tally.Caller)
		}
	}
	c.setFault("kv", simflt.Fault{Name: simflt.Delay})
	c.waitSameRevision(t)
}

// TestStoreCalls counts the calls to the key-value service while it is well, slow, refusing, and well again.
func TestStoreCalls(t *testing.T) {
	c := startCluster(t, 3, 2, 0)
	c.eventually(startTimeout, "a plan for all", func() bool { return c.isPlanComplete(2) })
	slow := simflt.Fault{Name: simflt.Delay, Duration: span.Span(3 * time.Second)}
	refusing := simflt.Fault{Name: simflt.Refuse}
	stages := []struct {
		name  string
		fault simflt.Fault
		on    bool
	}{
		{"well", slow, false},
		{"slow", slow, true},
		{"after slow", slow, false},
		{"refusing", refusing, true},
		{"after refusing", refusing, false},
	}
	for _, s := range stages {
		s.fault.On = s.on
		c.setFault("kv", s.fault)
		before, start := c.storeCallCount(), time.Now()
		time.Sleep(4 * time.Second)
		c.checkCallRate(s.name, before, start)
	}
}

func (c *cluster) storeCallCount() int64 {
	c.t.Helper()
	var n struct {
		Reads  int64 `json:"reads"`
		Writes int64 `json:"writes"`
	}
	c.getJSON("kv", "/counts", &n)
	return n.Reads + n.Writes
}

// checkCalls compares the calls since begun with what all processes together may make.
func (c *cluster) checkCallRate(stage string, before int64, start time.Time) {
	c.t.Helper()
	most := maxLeaderCalls
	for name := range c.running {
		if strings.HasPrefix(name, "entry-") || strings.HasPrefix(name, "agent-") {
			most += maxMemberCalls
		}
	}
	rate := float64(c.storeCallCount()-before) / time.Since(start).Seconds()
	c.t.Logf("%s: %.1f calls/s, at most %.1f", stage, rate, most)
	if rate > most {
		c.t.Errorf("%s: %.1f calls/s reach the key-value service, want at most %.1f", stage, rate, most)
	}
}
