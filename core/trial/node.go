package trial

import (
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/model"
	"pimentoseam/core/pick"
)

// node is an engine with its agent's queue and its last load report.
type node struct {
	trial  *Trial
	name   string
	engine *model.Engine
	queue  *admit.Queue
	local  atomic.Int64

	mu       sync.Mutex
	role     model.Role
	leaving  bool
	reported admit.Load
}

func (n *node) tick() {
	for {
		select {
		case <-n.trial.stop:
			return
		case <-time.After(tickEvery):
			n.queue.Tick()
		}
	}
}

// report publishes the load some time after it was read.
func (n *node) report() {
	for {
		load := n.queue.Load()
		lag := n.trial.lagLow
		if spread := n.trial.lagHigh - n.trial.lagLow; spread > 0 {
			lag += time.Duration(n.trial.intn(int(spread)))
		}
		time.AfterFunc(lag, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.reported = load
			n.local.Store(0)
		})
		select {
		case <-n.trial.stop:
			return
		case <-time.After(n.trial.every):
		}
	}
}

// candidate describes the node to a request of the given priority.
func (n *node) candidate(priority int) pick.Candidate {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := pick.Candidate{
		Name: n.name, Role: string(n.role), Backlog: n.reported.Backlog, Unreported: int(n.local.Load()),
		Reported: n.reported.Running + n.reported.Queued, Slots: n.reported.Slots,
	}
	if priority > 0 {
		c.Reported, c.Slots = n.reported.LowPriority, n.reported.LowPrioritySlots
	}
	return c
}

func (n *node) planned() model.Role {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role
}

func (n *node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

func (n *node) setLeaving(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = on
}

// change empties the engine, changes its role and takes it back into use.
func (n *node) change(role model.Role) {
	n.mu.Lock()
	n.leaving, n.role = true, role
	n.mu.Unlock()
	n.queue.Close()
	deadline := time.Now().Add(drainMax)
	for load := n.queue.Load(); load.Running+load.Queued > 0 && time.Now().Before(deadline); load = n.queue.Load() {
		time.Sleep(tickEvery)
	}
	n.engine.Change(role)
	n.queue.Resize(n.trial.slots[role])
	n.queue.Reopen()
	n.setLeaving(false)
}
