package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"pimentoseam/core/conf"
	"pimentoseam/core/span"
	"pimentoseam/io/fleet"
	"pimentoseam/io/load"
	"pimentoseam/io/simflt"
	"pimentoseam/io/simnet"
	"pimentoseam/io/vmlist"
)

// TestSoak injects random faults and changes, one or two at a time: kills, freezes, blackholed links, faults of the
// key-value service and of upstreams, VMs that leave or are replaced and submissions of operators. It checks that no
// answer is wrong or truncated without an error, that each order runs at most once, that the entries agree on the
// configuration and that no engine receives conflicting commands. SEED and LENGTH select the run.
func TestSoak(t *testing.T) {
	seed := testSeed(t)
	duration := testLength(15 * time.Second)
	c := newCluster(t, 2, 3, 3)
	relays := c.relayAgents()
	c.startAll()
	time.Sleep(2500 * time.Millisecond)
	stop := make(chan struct{})
	var background sync.WaitGroup
	o := newOrderLoad(c)
	o.startClients(&background, 4, seed, stop)
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"], c.addresses["entry-2"]})
	done := make(chan []*load.Tally)
	callers := []load.Caller{
		{Name: "resident", Token: fleet.ResidentToken, Kind: load.StreamedChat, Rate: 5, PromptTokens: 50, OutputTokens: 100},
		{Name: "counter", Token: fleet.CounterToken, Kind: load.UnstreamedChat, Rate: 5, PromptTokens: 50, OutputTokens: 8},
	}
	go func() { done <- mix.Run(context.Background(), callers, duration) }()

	random := rand.New(rand.NewPCG(seed, 99))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		for range 1 + random.IntN(2) {
			c.injectRandomFault(random, relays)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	c.clearFaults()
	close(stop)
	background.Wait()
	for _, tally := range <-done {
		t.Logf("%s: %v", tally.Caller, tally.Outcomes)
		if n := tally.Outcomes[load.Incorrect]; n > 0 {
			t.Errorf("%s: %d answers were wrong or truncated without an error", tally.Caller, n)
		}
	}
	time.Sleep(time.Second)
	o.recordRuns(t)
	t.Logf("answers %v, last answers %v, reasons for unknown outcomes %v", o.answers, o.lastAnswers, o.unknownReasons)
	model := atMostOnceModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, o.history, time.Minute); result != porcupine.Ok {
		t.Errorf("the linearizability check of the history returned %v", result)
	}
	c.waitSameRevision(t)
	c.checkCommands(t)
}

// injectRandomFault injects one random fault or makes one random change.
func (c *cluster) injectRandomFault(random *rand.Rand, relays []*simnet.Relay) {
	randomName := func(format string, n int) string { return fmt.Sprintf(format, 1+random.IntN(n)) }
	pause := func(minMS, maxMS int) { time.Sleep(time.Duration(minMS+random.IntN(maxMS-minMS)) * time.Millisecond) }
	switch random.IntN(11) {
	case 0:
		c.restart(randomName("agent-clerks-%d", 3))
	case 1:
		name := randomName("agent-redirect-%d", 3)
		if random.IntN(2) == 0 {
			c.terminate(name)
			c.start(name)
		} else {
			c.restart(name)
		}
	case 2:
		c.restart(randomName("entry-%d", 2))
	case 3, 4:
		name := randomName("agent-redirect-%d", 3)
		if random.IntN(2) == 0 {
			name = randomName("entry-%d", 2)
		}
		c.sendSignal(name, syscall.SIGSTOP)
		pause(500, 8000)
		c.sendSignal(name, syscall.SIGCONT)
	case 5:
		relays[random.IntN(len(relays))].Blackhole()
	case 6:
		name := []simflt.Name{simflt.DropResponse, simflt.Stale, simflt.Refuse, simflt.Freeze}[random.IntN(4)]
		c.setFault("kv", simflt.Fault{Name: name, On: true, MaxCalls: 1 + random.IntN(5)})
		pause(100, 3000)
		c.setFault("kv", simflt.Fault{Name: name})
	case 7:
		c.setFault(randomName("service-redirect-%d", 3), simflt.Fault{Name: simflt.DropResponse, On: true, MaxCalls: 2})
	case 8:
		name := randomName([]string{"clerks-%d", "redirect-%d"}[random.IntN(2)], 3)
		c.setVMState(name, vmlist.Leaving)
		pause(500, 3000)
		c.setVMState(name, vmlist.Live)
	case 9:
		c.submitRandomChange(random)
	case 10:
		name := randomName("redirect-%d", 3)
		c.kill("agent-" + name)
		c.setVMState(name, vmlist.Gone)
		pause(500, 6000)
		c.start("agent-" + name)
		pause(100, 3000)
		c.setVMState(name, vmlist.Live)
	}
}

// restart kills a process with SIGKILL and starts it again.
func (c *cluster) restart(name string) {
	c.kill(name)
	c.start(name)
}

// submitRandomChange submits a random version and deadline and toggles redirect-3 in half of the cases. It ignores the
// outcome, since other faults may make the submission fail.
func (c *cluster) submitRandomChange(random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	client := c.adminClient(fmt.Sprintf("entry-%d", 1+random.IntN(2)))
	current, err := client.Config(ctx)
	if err != nil {
		return
	}
	body := c.editConfig(func(d *conf.Document) {
		d.Targets[0].Version = []string{"v1", "v2"}[random.IntN(2)]
		d.Classes[2].TotalDeadline = span.Span(time.Duration(60+random.IntN(60)) * time.Second)
		if random.IntN(2) == 0 {
			c.toggleUpstream(d, "redirect-3")
		}
	})
	_, _ = client.Submit(ctx, body, current.Revision, "")
}

// toggleUpstream removes the named upstream from the document, or adds the one that it removed last.
func (c *cluster) toggleUpstream(d *conf.Document, name string) {
	hasName := func(u conf.Upstream) bool { return u.Name == name }
	if i := slices.IndexFunc(d.Upstreams, hasName); i >= 0 {
		c.removed = d.Upstreams[i]
		d.Upstreams = slices.Delete(d.Upstreams, i, i+1)
		return
	}
	d.Upstreams = append(d.Upstreams, c.removed)
}

// clearFaults switches off the faults of the key-value service and of the plain services.
func (c *cluster) clearFaults() {
	for name := range c.addresses {
		if strings.HasPrefix(name, "service-") || name == "kv" {
			for _, fault := range []simflt.Name{simflt.DropResponse, simflt.Stale, simflt.Refuse, simflt.Freeze} {
				c.setFault(name, simflt.Fault{Name: fault})
			}
		}
	}
}
