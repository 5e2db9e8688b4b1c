package trial

import (
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/model"
	"pimentoseam/core/pick"
)

// node is a simulated engine with its agent's queue and the latest load report.
type node struct {
	trial  *Trial
	name   string
	engine *model.Engine
	queue  *admit.Queue
	sent   atomic.Int64 // requests sent since the latest report

	mu           sync.Mutex
	role         model.Role
	leaving      bool
	reportedLoad admit.Load
}

func (n *node) tickQueue() {
	for {
		select {
		case <-n.trial.stop:
			return
		case <-time.After(tickInterval):
			n.queue.Tick()
		}
	}
}

// reportLoad publishes the load periodically, each report after a random delay.
func (n *node) reportLoad() {
	for {
		load := n.queue.Load()
		lag := n.trial.minLag
		if delayRange := n.trial.maxLag - n.trial.minLag; delayRange > 0 {
			lag += time.Duration(n.trial.randomIntN(int(delayRange)))
		}
		time.AfterFunc(lag, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.reportedLoad = load
			n.sent.Store(0)
		})
		select {
		case <-n.trial.stop:
			return
		case <-time.After(n.trial.reportInterval):
		}
	}
}

// candidate returns the node's load as it applies to a request of the given priority.
func (n *node) candidate(priority int) pick.Candidate {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := pick.Candidate{
		Name: n.name, Role: string(n.role), Backlog: n.reportedLoad.Backlog, UnreportedChange: int(n.sent.Load()),
		Reported: n.reportedLoad.Running + n.reportedLoad.Queued, Slots: n.reportedLoad.Slots,
	}
	if priority > 0 {
		c.Reported, c.Slots = n.reportedLoad.LowPriority, n.reportedLoad.LowPrioritySlots
	}
	return c
}

func (n *node) plannedRole() model.Role {
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

// changeRole drains the engine, changes its role and returns it to service.
func (n *node) changeRole(role model.Role) {
	n.mu.Lock()
	n.leaving, n.role = true, role
	n.mu.Unlock()
	n.queue.Close()
	deadline := time.Now().Add(maxDrain)
	for load := n.queue.Load(); load.Running+load.Queued > 0 && time.Now().Before(deadline); load = n.queue.Load() {
		time.Sleep(tickInterval)
	}
	n.engine.ChangeRole(role)
	n.queue.Resize(n.trial.slots[role])
	n.queue.Reopen()
	n.setLeaving(false)
}
