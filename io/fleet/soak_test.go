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

// TestSoak combines kills, freezes, silent links, faults of the key-value service and of upstreams, VMs
// that leave or are replaced and operators' changes, one or two at a time, and checks what must always hold.
// SEED and LENGTH choose the run.
func TestSoak(t *testing.T) {
	n := testSeed(t)
	d := testLength(15 * time.Second)
	c := newCluster(t, 2, 3, 3)
	relays := c.relayAgents()
	c.startAll()
	time.Sleep(2500 * time.Millisecond)
	stop := make(chan struct{})
	var background sync.WaitGroup
	o := newOrderLoad(c)
	o.startClients(&background, 4, n, stop)
	mix := load.New([]netip.AddrPort{c.addresses["entry-1"], c.addresses["entry-2"]})
	done := make(chan []*load.Tally)
	callers := []load.Caller{
		{Name: "resident", Token: fleet.ResidentToken, Kind: load.Stream, Rate: 5, Prompt: 50, Output: 100},
		{Name: "counter", Token: fleet.CounterToken, Kind: load.Check, Rate: 5, Prompt: 50, Output: 8},
	}
	go func() { done <- mix.Run(context.Background(), callers, d) }()

	random := rand.New(rand.NewPCG(n, 99))
	for end := time.Now().Add(d); time.Now().Before(end); {
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
		if n := tally.Outcomes[load.Wrong]; n > 0 {
			t.Errorf("%s: %d answers were wrong or short without an error", tally.Caller, n)
		}
	}
	time.Sleep(time.Second)
	o.recordRuns(t)
	t.Logf("orders %v, last answers %v, unknown %v", o.answers, o.lastAnswers, o.unknownReasons)
	model := atMostOnceModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, o.history, time.Minute); result != porcupine.Ok {
		t.Errorf("history is %v", result)
	}
	c.waitSameRevision(t)
	c.checkCommands(t)
}

// trouble causes one fault or change.
func (c *cluster) injectRandomFault(random *rand.Rand, relays []*simnet.Relay) {
	pick := func(format string, n int) string { return fmt.Sprintf(format, 1+random.IntN(n)) }
	pause := func(least, most int) { time.Sleep(time.Duration(least+random.IntN(most-least)) * time.Millisecond) }
	switch random.IntN(11) {
	case 0:
		c.restart(pick("agent-clerks-%d", 3))
	case 1:
		name := pick("agent-redirect-%d", 3)
		if random.IntN(2) == 0 {
			c.terminate(name)
			c.start(name)
		} else {
			c.restart(name)
		}
	case 2:
		c.restart(pick("entry-%d", 2))
	case 3, 4:
		name := pick("agent-redirect-%d", 3)
		if random.IntN(2) == 0 {
			name = pick("entry-%d", 2)
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
		c.setFault(pick("service-redirect-%d", 3), simflt.Fault{Name: simflt.DropResponse, On: true, MaxCalls: 2})
	case 8:
		name := pick([]string{"clerks-%d", "redirect-%d"}[random.IntN(2)], 3)
		c.setVMState(name, vmlist.Leaving)
		pause(500, 3000)
		c.setVMState(name, vmlist.Live)
	case 9:
		c.submitRandomChange(random)
	case 10:
		name := pick("redirect-%d", 3)
		c.kill("agent-" + name)
		c.setVMState(name, vmlist.Gone)
		pause(500, 6000)
		c.start("agent-" + name)
		pause(100, 3000)
		c.setVMState(name, vmlist.Live)
	}
}

// restart kills a process and starts it again.
func (c *cluster) restart(name string) {
	c.kill(name)
	c.start(name)
}

// change submits another version, deadline or set of services; its outcome does not matter here.
func (c *cluster) submitRandomChange(random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	admin := c.adminClient(fmt.Sprintf("entry-%d", 1+random.IntN(2)))
	found, err := admin.Config(ctx)
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
	_, _ = admin.Submit(ctx, body, found.Revision, "")
}

// toggle takes an upstream out of the document, or puts it back.
func (c *cluster) toggleUpstream(d *conf.Document, name string) {
	named := func(u conf.Upstream) bool { return u.Name == name }
	if i := slices.IndexFunc(d.Upstreams, named); i >= 0 {
		c.removed = d.Upstreams[i]
		d.Upstreams = slices.Delete(d.Upstreams, i, i+1)
		return
	}
	d.Upstreams = append(d.Upstreams, c.removed)
}

// mend ends all faults.
func (c *cluster) clearFaults() {
	for name := range c.addresses {
		if strings.HasPrefix(name, "service-") || name == "kv" {
			for _, f := range []simflt.Name{simflt.DropResponse, simflt.Stale, simflt.Refuse, simflt.Freeze} {
				c.setFault(name, simflt.Fault{Name: f})
			}
		}
	}
}
