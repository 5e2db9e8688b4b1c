package fleet_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"pimentoseam/core/conf"
	"pimentoseam/io/vmlist"
)

// TestMembers checks that membership changes of a plain service neither lose an order nor run one twice: under load
// it adds one upstream and removes another, and repeats answered keys through both entries after each change.
func TestMembers(t *testing.T) {
	c := newCluster(t, 2, 0, 3)
	c.editConfig(func(d *conf.Document) { c.toggleUpstream(d, "redirect-3") })
	c.startAll()
	time.Sleep(2500 * time.Millisecond)
	o := newOrderLoad(c)
	stop := o.start(3, testSeed(t))
	time.Sleep(2 * time.Second)
	c.submitConfig(c.editConfig(func(d *conf.Document) { c.toggleUpstream(d, "redirect-3") }), 1)
	time.Sleep(2 * time.Second)
	o.repeatKeys()
	c.submitConfig(c.editConfig(func(d *conf.Document) { c.toggleUpstream(d, "redirect-1") }), 2)
	time.Sleep(2 * time.Second)
	o.repeatKeys()
	time.Sleep(14 * time.Second)
	stop()
	o.repeatKeys()
	o.recordRuns(t)
	t.Logf("answers %v, reasons for unknown outcomes %v", o.answers, o.unknownReasons)
	for kind, n := range o.answers {
		if kind != "done" {
			t.Errorf("%d answers were %s, want all done", n, kind)
		}
	}
	if c.countRuns("redirect-3") == 0 {
		t.Error("the added upstream ran no order")
	}
}

// TestReplaced checks that no order runs twice after a VM is replaced under the same name. The new agent starts before
// the VM list shows the VM again, and keys that ran at other upstreams in the meantime are repeated.
func TestReplaced(t *testing.T) {
	const name = "redirect-1"
	c := startCluster(t, 2, 0, 3)
	time.Sleep(2500 * time.Millisecond)
	o := newOrderLoad(c)
	stop := o.start(2, testSeed(t))
	time.Sleep(time.Second)
	c.kill("agent-" + name)
	c.setVMState(name, vmlist.Gone)
	time.Sleep(5 * time.Second)
	c.start("agent-" + name)
	time.Sleep(5 * time.Second)
	c.setVMState(name, vmlist.Live)
	time.Sleep(2 * time.Second)
	o.repeatKeys()
	time.Sleep(10 * time.Second)
	stop()
	o.repeatKeys()
	o.recordRuns(t)
	t.Logf("answers %v, last answers %v, reasons for unknown outcomes %v", o.answers, o.lastAnswers, o.unknownReasons)
	before := c.countRuns(name)
	stop = o.start(2, testSeed(t)+1)
	time.Sleep(time.Second)
	stop()
	if c.countRuns(name) == before {
		t.Errorf("%s ran no order after its VM returned", name)
	}
}

// TestPlannedService checks that planned stops of plain services' agents complete every order and return no unknown
// outcome. One agent is restarted at once, the other one stops and returns together with its VM.
func TestPlannedService(t *testing.T) {
	c := startCluster(t, 2, 0, 3)
	time.Sleep(2500 * time.Millisecond)
	o := newOrderLoad(c)
	stop := o.start(2, testSeed(t))
	time.Sleep(time.Second)
	c.terminate("agent-redirect-2")
	c.start("agent-redirect-2")
	time.Sleep(3 * time.Second)
	c.setVMState("redirect-1", vmlist.Leaving)
	time.Sleep(2 * time.Second)
	c.terminate("agent-redirect-1")
	time.Sleep(2 * time.Second)
	c.setVMState("redirect-1", vmlist.Gone)
	time.Sleep(3 * time.Second)
	c.start("agent-redirect-1")
	time.Sleep(3 * time.Second)
	c.setVMState("redirect-1", vmlist.Live)
	time.Sleep(5 * time.Second)
	stop()
	t.Logf("answers %v, last answers %v, reasons for unknown outcomes %v", o.answers, o.lastAnswers, o.unknownReasons)
	if len(o.answers) != 1 || o.answers["done"] == 0 {
		t.Errorf("got answers %v, reasons for unknown outcomes %v, want all done", o.answers, o.unknownReasons)
	}
	o.repeatKeys()
	o.recordRuns(t)
}

// TestStopThenCrash guards against orders that run twice after a planned stop and a crash. An agent stops as planned,
// and its successor is killed after it has run keys for entry-2, which was restarted and has not seen the stop.
// entry-1, which has seen it, must not forward these keys to another upstream.
func TestStopThenCrash(t *testing.T) {
	const name, keys = "agent-redirect-1", 24
	c := startCluster(t, 2, 0, 3)
	time.Sleep(2500 * time.Millisecond)
	c.terminate(name)
	c.start(name)
	c.kill("entry-2")
	c.start("entry-2")
	c.waitReady()
	time.Sleep(4 * time.Second)
	o := newOrderLoad(c)
	for range keys {
		key := uuid.Must(uuid.NewV7()).String()
		kind := o.attempt("entry-2", key)
		o.record(porcupine.Operation{Input: attemptInput{key: key}, Output: attemptOutput{kind: kind}, Return: time.Since(o.started).Nanoseconds()})
	}
	if c.countRuns("redirect-1") == 0 {
		t.Error("the agent that was started after the planned stop ran no order")
	}
	c.kill(name)
	time.Sleep(time.Second)
	o.entries = []string{"entry-1"}
	o.repeatKeys()
	c.start(name)
	time.Sleep(3 * time.Second)
	o.repeatKeys()
	o.recordRuns(t)
	t.Logf("answers %v, reasons for unknown outcomes %v", o.answers, o.unknownReasons)
}

// TestLeavingService checks that upstreams of a plain service get no new requests 5 s after the VM list, a drain or
// their removal from the configuration says that they leave, and that every order is done.
func TestLeavingService(t *testing.T) {
	c := startCluster(t, 2, 0, 4)
	time.Sleep(2500 * time.Millisecond)
	o := newOrderLoad(c)
	stop := o.start(2, testSeed(t))
	time.Sleep(time.Second)
	c.setVMState("redirect-1", vmlist.Leaving)
	c.submitConfig(c.editConfig(func(d *conf.Document) {
		c.toggleUpstream(d, "redirect-3")
		for i := range d.Upstreams {
			d.Upstreams[i].Drain = d.Upstreams[i].Name == "redirect-2"
		}
	}), 1)
	time.Sleep(maxDrainTime)
	leaving := []string{"redirect-1", "redirect-2", "redirect-3"}
	before := map[string]int{}
	for _, name := range leaving {
		before[name] = c.countRuns(name)
	}
	time.Sleep(7 * time.Second)
	stop()
	for _, name := range leaving {
		if n := c.countRuns(name) - before[name]; n > 0 {
			t.Errorf("%s got %d new requests after %v", name, n, maxDrainTime)
		}
	}
	o.repeatKeys()
	o.recordRuns(t)
	if len(o.answers) != 1 || o.answers["done"] == 0 {
		t.Errorf("got answers %v, reasons for unknown outcomes %v, want all done", o.answers, o.unknownReasons)
	}
}

// countRuns returns the number of keys that ran at an upstream of the plain service.
func (c *cluster) countRuns(name string) int {
	c.t.Helper()
	var runs map[string]int
	c.getJSON("service-"+name, "/runs", &runs)
	return len(runs)
}

// repeatKeys sends about 100 of the recorded keys again through each of the entries and counts the answers.
func (o *orderLoad) repeatKeys() {
	const sampleSize = 100
	o.mu.Lock()
	var keys []string
	for _, op := range o.history {
		keys = append(keys, op.Input.(attemptInput).key)
	}
	o.mu.Unlock()
	step := max(len(keys)/sampleSize, 1)
	for i := 0; i < len(keys); i += step {
		for _, entry := range o.entries {
			kind := o.attempt(entry, keys[i])
			o.mu.Lock()
			o.answers[kind]++
			o.mu.Unlock()
		}
	}
}
