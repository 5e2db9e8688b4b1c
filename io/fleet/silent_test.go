package fleet_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"

	"pimentoseam/core/conf"
	"pimentoseam/io/fleet"
	"pimentoseam/io/load"
	"pimentoseam/io/simflt"
	"pimentoseam/io/simnet"
	"pimentoseam/io/simsvc"
	"pimentoseam/io/vmlist"
)

// TestSilentLink checks that streams survive links that are open but silent: relays blackhole the links to the agents
// twice under load, and answers must resume on new links or end as not run or unknown.
func TestSilentLink(t *testing.T) {
	c := newCluster(t, 1, 2, 1)
	relays := c.relayAgents()
	c.startAll()
	time.Sleep(2500 * time.Millisecond)
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"]})
	done := make(chan []*load.Tally)
	callers := []load.Caller{
		{Name: "resident", Token: fleet.ResidentToken, Kind: load.StreamedChat, Rate: 4, PromptTokens: 50, OutputTokens: 300},
		{Name: "courier", Token: fleet.CourierToken, Kind: load.NonIdempotentCall, Rate: 4},
	}
	go func() { done <- mix.Run(context.Background(), callers, 7*time.Second) }()
	for range 2 {
		time.Sleep(3 * time.Second)
		for _, relay := range relays {
			relay.Blackhole()
		}
	}
	for _, tally := range <-done {
		t.Logf("%s: %v", tally.Caller, tally.Outcomes)
		for outcome, n := range tally.Outcomes {
			switch outcome {
			case load.Complete, "notrun", "unknown":
			default:
				t.Errorf("%s: %d answers were %s, want whole, notrun or unknown", tally.Caller, n, outcome)
			}
		}
		if tally.Outcomes[load.Complete] == 0 {
			t.Errorf("%s: got no complete answer", tally.Caller)
		}
		if tally.MaxDuration > 12*time.Second {
			t.Errorf("%s: an answer took %v, want at most 12s for 3 s of work and two silences of 2 s", tally.Caller, tally.MaxDuration)
		}
	}
	c.checkRunsOnce(t)
}

// TestSilentUpstream checks that requests on blackholed connections to upstreams end within the progress timeout. The
// relays drop all bytes on the current connections of the agents, idle ones included; new connections work.
func TestSilentUpstream(t *testing.T) {
	c := newCluster(t, 1, 2, 1)
	var relays []*simnet.Relay
	for _, name := range []string{"clerks-1", "clerks-2", "redirect-1"} {
		relays = append(relays, c.relayUpstream(name))
	}
	c.startAll()
	time.Sleep(2500 * time.Millisecond)
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"]})
	done := make(chan []*load.Tally)
	callers := []load.Caller{
		{Name: "counter", Token: fleet.CounterToken, Kind: load.UnstreamedChat, Rate: 20, PromptTokens: 20, OutputTokens: 4},
		{Name: "resident", Token: fleet.ResidentToken, Kind: load.StreamedChat, Rate: 2, PromptTokens: 50, OutputTokens: 100},
		{Name: "courier", Token: fleet.CourierToken, Kind: load.NonIdempotentCall, Rate: 4},
	}
	go func() { done <- mix.Run(context.Background(), callers, 7*time.Second) }()
	time.Sleep(2 * time.Second)
	for _, relay := range relays {
		relay.Blackhole()
	}
	for _, tally := range <-done {
		t.Logf("%s: %v, longest %v", tally.Caller, tally.Outcomes, tally.MaxDuration)
		if tally.Outcomes[load.Incorrect] > 0 || tally.Outcomes[load.Complete] == 0 {
			t.Errorf("%s: got %v, want complete answers and no wrong one", tally.Caller, tally.Outcomes)
		}
		if tally.MaxDuration > 8*time.Second {
			t.Errorf("%s: an answer took %v, want at most 8s for 3 s of work and 5 s without progress", tally.Caller, tally.MaxDuration)
		}
	}
	c.checkRunsOnce(t)
}

// checkRunsOnce checks that no key ran more than once at redirect-1.
func (c *cluster) checkRunsOnce(t *testing.T) {
	t.Helper()
	var runs map[string]int
	c.getJSON("service-redirect-1", "/runs", &runs)
	for key, n := range runs {
		if n > 1 {
			t.Errorf("key %s ran %d times, want at most once", key, n)
		}
	}
}

// TestLateRepeat checks that an order whose link fails after it has run returns the same answer when its key is
// repeated on a new link, and that the key is rejected with another body.
func TestLateRepeat(t *testing.T) {
	c := newCluster(t, 1, 0, 1)
	relays := c.relayAgents()
	c.startAll()
	time.Sleep(2500 * time.Millisecond)
	key := uuid.Must(uuid.NewV7()).String()
	for i := range 3 {
		status, _, body, err := c.post("entry-1", "/v1/services/redirect-app/orders", fleet.CourierToken, key, []byte("same"))
		var reply simsvc.Reply
		if err != nil || status != 200 || json.Unmarshal(body, &reply) != nil || reply.Run != 1 {
			t.Fatalf("repeat %d: got %d %s %v, want run 1", i, status, body, err)
		}
		relays[0].Blackhole()
	}
	status, _, body, _ := c.post("entry-1", "/v1/services/redirect-app/orders", fleet.CourierToken, key, []byte("other"))
	if status != 400 {
		t.Errorf("another body under the same key: got %d %s, want 400", status, body)
	}
}

// maxDrainTime is the maximum time after which an upstream that leaves gets no new requests.
const maxDrainTime = 5 * time.Second

// TestLeaving checks that an upstream gets no new requests 5 s after the VM list or the configuration says that it
// leaves, also from an entry that is partitioned from the key-value service.
func TestLeaving(t *testing.T) {
	c := newCluster(t, 2, 3, 0)
	store := c.relayStore("entry-2")
	c.startAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	mix := load.New([]netip.AddrPort{c.addresses["entry-2"]})
	done := make(chan []*load.Tally)
	callers := []load.Caller{{Name: "counter", Token: fleet.CounterToken, Kind: load.UnstreamedChat, Rate: 40, PromptTokens: 20, OutputTokens: 2}}
	go func() { done <- mix.Run(ctx, callers, 18*time.Second) }()
	store.Partition()
	time.Sleep(time.Second)

	c.setVMState("clerks-1", vmlist.Leaving)
	c.submitConfig(c.editConfig(func(d *conf.Document) { d.Upstreams[1].Drain = true }), 1)
	time.Sleep(maxDrainTime)
	leavingBefore, drainedBefore := c.startedRequests("clerks-1"), c.startedRequests("clerks-2")
	time.Sleep(3 * time.Second)
	if n := c.startedRequests("clerks-1") - leavingBefore; n != 0 {
		t.Errorf("the leaving VM got %d new requests after %v", n, maxDrainTime)
	}
	if n := c.startedRequests("clerks-2") - drainedBefore; n != 0 {
		t.Errorf("the drained upstream got %d new requests after %v", n, maxDrainTime)
	}
	cancel()
	<-done
	if c.startedRequests("clerks-3") == 0 {
		t.Error("clerks-3, which stays, got no requests")
	}
}

// startedRequests returns the number of requests that an engine has started.
func (c *cluster) startedRequests(upstream string) int64 {
	var counts struct {
		Started int64 `json:"started"`
	}
	c.getJSON("engine-"+upstream, "/counts", &counts)
	return counts.Started
}

// TestFrozenEngine checks that requests to a frozen engine are abandoned and retried at another one: eight in ten
// requests must get a complete answer, and none may take longer than 8 s.
func TestFrozenEngine(t *testing.T) {
	c := startCluster(t, 1, 2, 0)
	c.setFault("engine-clerks-1", simflt.Fault{Name: simflt.Freeze, On: true, Method: "POST"})
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"]})
	callers := []load.Caller{
		{Name: "counter", Token: fleet.CounterToken, Kind: load.UnstreamedChat, Rate: 20, PromptTokens: 20, OutputTokens: 2},
		{Name: "resident", Token: fleet.ResidentToken, Kind: load.StreamedChat, Rate: 2, PromptTokens: 20, OutputTokens: 10},
	}
	for _, tally := range mix.Run(context.Background(), callers, 8*time.Second) {
		t.Logf("%s: %v, longest %v", tally.Caller, tally.Outcomes, tally.MaxDuration)
		total := 0
		for _, n := range tally.Outcomes {
			total += n
		}
		if whole := tally.Outcomes[load.Complete]; whole*10 < total*8 {
			t.Errorf("%s: %d of %d answers were complete, want at least eight in ten", tally.Caller, whole, total)
		}
		if tally.MaxDuration > 8*time.Second {
			t.Errorf("%s: an answer took %v, want at most 8s", tally.Caller, tally.MaxDuration)
		}
	}
}
