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

// TestStoreOutage checks operation while the key-value service is frozen: requests are served, a submission ends as
// unavailable within 5 s, a process that starts gets the configuration from its peers, and an agent that can't read
// the plan sends its engine no command. Submissions work again afterwards.
func TestStoreOutage(t *testing.T) {
	c := startCluster(t, 2, 2, 0)
	c.submitConfig(c.editConfig(func(d *conf.Document) { d.Classes[0].Priority = 1 }), 1)
	c.waitSameRevision(t)
	c.setFault("kv", simflt.Fault{Name: simflt.Freeze, On: true})
	c.kill("entry-2")
	c.start("entry-2")
	c.kill("agent-clerks-2")
	c.start("agent-clerks-2")
	c.eventually(maxPropagation+4*time.Second, "entry-2 has revision 2 from its peer", func() bool {
		status, err := c.adminClient("entry-2").Status(context.Background(), false)
		return err == nil && status.Revision == 2
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
		t.Errorf("submission during the outage took %v, want at most 5s", took)
	}
	var history struct {
		Orders []struct{} `json:"orders"`
	}
	c.getJSON("engine-clerks-2", "/orders", &history)
	if len(history.Orders) != 0 {
		t.Errorf("got %d commands from an agent that could not read the plan, want none", len(history.Orders))
	}
	c.setFault("kv", simflt.Fault{Name: simflt.Freeze, On: false})
	c.submitConfig(c.editConfig(func(d *conf.Document) { d.Classes[0].Priority = 0 }), 2)
	if got := c.waitSameRevision(t); got < 3 {
		t.Errorf("got revision %d after the outage, want at least 3", got)
	}
}

const (
	// maxSubmitTime is the maximum time until a submission returns its outcome.
	maxSubmitTime = 5 * time.Second

	// maxLeaderCalls is the maximum number of calls per second by the leader, which renews its lease and writes at most
	// one plan a second, and by up to three standby entries, which make one call a second each.
	maxLeaderCalls = 5.0

	// maxMemberCalls is the maximum number of calls per second by any other entry or agent. 1,600 entries and 4,100
	// agents share half of the 2,000 reads a second that the service accepts; the other half is a reserve.
	maxMemberCalls = 2000.0 / 2 / (1600 + 4100)
)

// TestStoreSlow checks operation while each call of the key-value service exceeds its timeout, so that writes take
// effect although their callers get no response: requests are served and each submission returns within maxSubmitTime.
func TestStoreSlow(t *testing.T) {
	c := startCluster(t, 2, 2, 0)
	c.eventually(startTimeout, "all agents have a complete plan", func() bool { return c.isPlanComplete(2) })
	duration := testLength(10 * time.Second)
	done := make(chan []*load.Tally)
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"], c.addresses["entry-2"]})
	callers := []load.Caller{{Name: "counter", Token: fleet.CounterToken, Kind: load.UnstreamedChat, Rate: 20, PromptTokens: 20, OutputTokens: 4}}
	c.setFault("kv", simflt.Fault{Name: simflt.Delay, On: true, Duration: span.Span(3 * time.Second)})
	go func() { done <- mix.Run(context.Background(), callers, duration) }()
	start := time.Now()
	revision := int64(1)
	for time.Since(start) < duration-maxSubmitTime {
		submitted := time.Now()
		body := c.editConfig(func(doc *conf.Document) { doc.Classes[0].Priority = int(revision) % 2 })
		result, err := c.adminClient("entry-1").Submit(context.Background(), body, revision, "")
		if took := time.Since(submitted); err != nil || took > maxSubmitTime {
			t.Errorf("submission took %v, want at most 5s: %+v, %v", took, result, err)
		}
		if current, err := c.adminClient("entry-2").Config(context.Background()); err == nil {
			revision = max(revision, current.Revision)
		}
	}
	for _, tally := range <-done {
		t.Logf("%s: %v", tally.Caller, tally.Outcomes)
		if n := len(tally.Outcomes); n != 1 || tally.Outcomes[load.Complete] == 0 {
			t.Errorf("%s: answers were not all complete while the service was slow", tally.Caller)
		}
	}
	c.setFault("kv", simflt.Fault{Name: simflt.Delay})
	c.waitSameRevision(t)
}

// TestStoreCalls checks that retries don't overload the key-value service: the rate of calls must stay within the
// limit of all processes while the service is healthy, slow or refusing calls, and after each of these faults.
func TestStoreCalls(t *testing.T) {
	c := startCluster(t, 3, 2, 0)
	c.eventually(startTimeout, "all agents have a complete plan", func() bool { return c.isPlanComplete(2) })
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
	for _, stage := range stages {
		stage.fault.On = stage.on
		c.setFault("kv", stage.fault)
		before, start := c.storeCallCount(), time.Now()
		time.Sleep(4 * time.Second)
		c.checkCallRate(stage.name, before, start)
	}
}

// storeCallCount returns the number of calls that the key-value service has received.
func (c *cluster) storeCallCount() int64 {
	c.t.Helper()
	var counts struct {
		Reads  int64 `json:"reads"`
		Writes int64 `json:"writes"`
	}
	c.getJSON("kv", "/counts", &counts)
	return counts.Reads + counts.Writes
}

// checkCallRate checks the rate of calls to the key-value service since start against the sum of the maximum rates of
// the running processes.
func (c *cluster) checkCallRate(stage string, before int64, start time.Time) {
	c.t.Helper()
	maxRate := maxLeaderCalls
	for name := range c.running {
		if strings.HasPrefix(name, "entry-") || strings.HasPrefix(name, "agent-") {
			maxRate += maxMemberCalls
		}
	}
	rate := float64(c.storeCallCount()-before) / time.Since(start).Seconds()
	c.t.Logf("%s: %.1f calls/s, at most %.1f", stage, rate, maxRate)
	if rate > maxRate {
		c.t.Errorf("%s: got %.1f calls/s to the key-value service, want at most %.1f", stage, rate, maxRate)
	}
}
