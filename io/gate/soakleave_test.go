package gate_test

import (
	"math/rand/v2"
	"time"
)

// leavePause is the pause between two events of streams of an engine that leaveAndKill ends, so that some are in progress then.
const leavePause = 150 * time.Millisecond

// playsLeaving reports whether TestSoak plays leaveAndKill with a seed. Seeds that were kept before it was added go without it.
func playsLeaving(seed uint64) bool {
	return seed%4 != 3
}

// leaveAndKill has a decoding engine, whose answers have no length from now on, state that it leaves or lose its registration, and
// kills it under its streams, before its drain time is over or soon after. Another one starts at its address.
func (c *soakCluster) leaveAndKill(random *rand.Rand) {
	pause := func(minMs, maxMs int) { time.Sleep(time.Duration(minMs+random.IntN(maxMs-minMs)) * time.Millisecond) }
	slot := random.IntN(len(c.engines))
	e := c.engine(slot)
	if e == nil || e.Stage() != "decode" {
		return
	}
	defer c.begin(e.ID, false)()
	e.SetUnframed()
	e.SetStream(streamEvents, leavePause, 0)
	pause(300, 900)
	switch random.IntN(3) {
	case 0:
		c.store.Put("servers/"+e.ID, e.Registration("draining"))
	case 1:
		c.store.Remove("servers/" + e.ID)
	case 2:
		e.SetLeaving(true)
	}
	pause(200, 1600)
	c.replaceEngine(slot, e, time.Duration(200+random.IntN(1500))*time.Millisecond, "")
}
