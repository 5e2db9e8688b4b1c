package gate_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"pimentoseam/io/simop"
)

// crashPlan states which prompts crash the engines in TestSoak.
type crashPlan struct {
	parts    []string      // Prompts with one of them crash engines.
	after    time.Duration // From the first event of such a prompt to the crash; 0 for a crash before it.
	patience time.Duration // After which the callers of these prompts leave; 0 for never.
}

// seedCrashes returns the plan of a seed: none if it is even; otherwise its next three bits tell whether engines crash long after the
// first event, whether three parts crash them, and whether the callers leave before a late crash.
func seedCrashes(seed uint64) crashPlan {
	const lateCrash, patience = 1500 * time.Millisecond, 1100 * time.Millisecond
	var plan crashPlan
	if seed%2 == 0 {
		return plan
	}
	plan.parts = []string{crashPart}
	if seed>>1%2 == 1 {
		plan.after = lateCrash
	}
	if seed>>2%2 == 1 {
		plan.parts = append(plan.parts, "bad1", "bad2")
	}
	if seed>>3%2 == 1 && plan.after > 0 {
		plan.patience = patience
	}
	return plan
}

// disturbance is what TestSoak does to a gate.
type disturbance struct {
	faults int       // Number of faults in progress.
	ended  time.Time // End of the last one.
}

// disturb records that a gate has a fault until the returned function is called.
func (c *soakCluster) disturb(gate int) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed[gate].faults++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbed[gate].faults--
		c.disturbed[gate].ended = time.Now()
	}
}

// startEngine starts and registers a new engine in a slot.
func (c *soakCluster) startEngine(slot int, stage string, l net.Listener) *simop.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		_ = l.Close() // Nothing has connected.
		return nil
	}
	id := fmt.Sprintf("e-%d-%d", slot, len(c.replicas))
	e := simop.NewReplica(id, "lm", stage, simop.WithListener(l), simop.WithArrivals(c.arrive(id, "lm")))
	e.SetBorn(time.Now().UnixMilli())
	e.SetStream(streamEvents, 15*time.Millisecond, 0)
	crashStage := simop.AfterHead
	if c.after > 0 {
		crashStage = simop.InsideBody
	}
	var crashes []*simop.Crash
	for _, part := range c.parts {
		crashes = append(crashes, &simop.Crash{
			Matches: simop.HasPart(part), Stage: crashStage, After: c.after,
			OnArrival: func(id string) { c.recordCrashArrival(part, id) }, OnCrash: func() { c.replaceEngine(slot, e, time.Second, part) },
		})
	}
	e.SetCrash(crashes...)
	c.engines[slot], c.replicas = e, append(c.replicas, e)
	c.store.Put("servers/"+e.ID, e.Registration("ready"))
	e.SetOnStage(func() { c.registerAgain(e) })
	return e
}

// registerAgain registers an engine, whose stage may have changed, unless it is down.
func (c *soakCluster) registerAgain(e *simop.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.engines, e) {
		c.store.Put("servers/"+e.ID, e.Registration("ready"))
	}
}

// gateOf returns the gate that an attempt id names.
func (c *soakCluster) gateOf(id string) int {
	gate, err := strconv.Atoi(id[strings.LastIndex(id, "g")+1:])
	if err != nil {
		c.t.Errorf("attempt id %s names no gate", id)
	}
	return gate
}

// isCalm reports whether a gate had no fault in the last contactTime; the lock must be held.
func (c *soakCluster) isCalm(gate int) bool {
	d := c.disturbed[gate]
	return d.faults == 0 && time.Since(d.ended) >= contactTime
}

// recordCrashArrival checks when a request with a part that crashes engines reaches one; its id names the gate that sent it.
func (c *soakCluster) recordCrashArrival(part, id string) {
	gate := c.gateOf(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := c.crashes[part]
	if c.isCalm(gate) && len(crashes) >= allowedCrash && time.Since(crashes[allowedCrash-1]) > contactTime {
		c.late[part] = append(c.late[part], id)
	}
}

// crashBody is the body of requests that crash the replicas of the app service in TestSoak.
const crashBody = "crash"

// startApp starts a replica of the app service, under an id that it may have had before; its caller registers it.
func (c *soakCluster) startApp(id string, l net.Listener) *simop.Replica {
	r := simop.NewReplica(id, "app", "", simop.WithListener(l), simop.WithArrivals(c.arrive(id, "app")))
	r.SetBorn(time.Now().UnixMilli())
	if len(c.parts) > 0 {
		r.SetCrash(&simop.Crash{
			Matches: func(_ *http.Request, body string) bool { return body == crashBody }, Stage: simop.BeforeHead,
			OnArrival: c.recordAppArrival, OnCrash: func() { c.restartApp(r) },
		})
	}
	return r
}

// recordAppArrival checks when a request with crashBody reaches a replica; its id names the gate that sent it.
func (c *soakCluster) recordAppArrival(id string) {
	gate := c.gateOf(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCalm(gate) && len(c.appCrashes) >= crashesAllowed && time.Since(c.appCrashes[crashesAllowed-1]) > contactTime {
		c.appLate = append(c.appLate, id)
	}
}

// restartApp starts a replica that has crashed again under its id. Its relay accepts connections meanwhile, as a proxy would, so
// that only the new start time shows the crash.
func (c *soakCluster) restartApp(r *simop.Replica) {
	c.mu.Lock()
	i := slices.IndexFunc(c.apps, func(a *relayedReplica) bool { return a.Replica == r })
	if i < 0 || c.apps[i].hasEnded || c.stopped {
		c.mu.Unlock()
		return // It was removed or has ended already.
	}
	c.apps[i].hasEnded = true
	relay := c.apps[i].relay
	c.faults[r.ID] = append(c.faults[r.ID], &interval{from: time.Now().Add(-crashNotice), to: time.Now().Add(time.Second)})
	c.appCrashes = append(c.appCrashes, time.Now())
	c.mu.Unlock()
	time.Sleep(time.Second)
	l, err := net.Listen("tcp", r.Addr().String())
	if err != nil {
		c.t.Errorf("replica not started again: %v", err)
		return
	}
	next := c.startApp(r.ID, l)
	c.mu.Lock()
	defer c.mu.Unlock()
	i = slices.IndexFunc(c.apps, func(a *relayedReplica) bool { return a.Replica == r })
	if i < 0 || c.stopped {
		next.Close()
		return
	}
	c.apps[i], c.replicas = &relayedReplica{Replica: next, relay: relay}, append(c.replicas, next)
	c.store.Put("servers/"+next.ID, next.RegistrationAt("ready", relay.Addr()))
}

// replaceEngine crashes the engine of a slot, under a part of a prompt unless it is empty, and starts another one at its address
// later. It does nothing if that was done already, as by another request.
func (c *soakCluster) replaceEngine(slot int, e *simop.Replica, downTime time.Duration, part string) {
	c.mu.Lock()
	if e == nil || c.engines[slot] != e || c.stopped {
		c.mu.Unlock()
		return
	}
	if part != "" {
		c.crashes[part] = append(c.crashes[part], time.Now())
	}
	c.engines[slot] = nil
	c.faults[e.ID] = append(c.faults[e.ID], &interval{from: time.Now().Add(-crashNotice)})
	c.mu.Unlock()
	e.Crash()
	time.Sleep(downTime)
	c.store.Remove("servers/" + e.ID)
	l, err := net.Listen("tcp", e.Addr().String())
	if err != nil {
		c.t.Errorf("engine not started again: %v", err)
		return
	}
	c.startEngine(slot, e.Stage(), l)
}

// engine returns the engine of a slot, nil while it is down.
func (c *soakCluster) engine(slot int) *simop.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[slot]
}

// randomEngine returns a random engine that is up.
func (c *soakCluster) randomEngine(random *rand.Rand) *simop.Replica {
	for {
		if e := c.engine(random.IntN(len(c.engines))); e != nil {
			return e
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// stopEngines stops all engines at the end of the test.
func (c *soakCluster) stopEngines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, r := range c.replicas {
		r.Close()
	}
}
