package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/plan"
	"pimentoseam/core/rank"
	"pimentoseam/io/proc"
	"pimentoseam/io/store"
)

const (
	leaderKey      = "lead" // The key that holds the leader's name, bound to its lease.
	leaseTTL       = 6 * time.Second
	leaderInterval = time.Second // How often the leader renews the lease and the standbys check whether it is free.

	maxStandbys      = 3                // Entries that check the lease every leaderInterval; all others are observers.
	observerInterval = 30 * time.Second // How often an observer checks the lease.

	planPrefix = "plan/" // Followed by the target's name.
)

// election is this entry's part in the election of the leader. Only the entry that holds the lease writes the plans.
type election struct {
	entry *Entry

	mu    sync.Mutex
	lease string                 // The id of the lease, empty unless this entry is the leader.
	plans map[string]*storedPlan // The plans that this entry last wrote as the leader, by target.
}

// storedPlan is a plan with its revision in the store.
type storedPlan struct {
	plan          *plan.Plan
	storeRevision int64
}

func newElection(e *Entry) *election {
	return &election{entry: e, plans: make(map[string]*storedPlan)}
}

// knownPlan returns the epoch and revision of the plan that this entry last wrote for the target as the leader,
// or zeros if there is none.
func (el *election) knownPlan(target string) (int64, int64) {
	el.mu.Lock()
	defer el.mu.Unlock()
	stored, ok := el.plans[target]
	if !ok {
		return 0, 0
	}
	return stored.plan.Epoch, stored.plan.Revision
}

// isLeader reports whether this entry believes that it is the leader. Its lease may have expired
// unnoticed; then its writes conflict once the new leader has claimed the plans.
func (el *election) isLeader() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.lease != ""
}

func (el *election) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !el.isLeader() {
			el.campaign(ctx)
		}
		if el.isLeader() {
			el.renewAndPlan(ctx)
		}
		proc.Sleep(ctx, proc.Jitter(el.checkInterval()))
	}
}

// checkInterval returns the time until the lease is checked again: short for the leader and a few standbys,
// long for all other entries, so that a large fleet makes few calls.
func (el *election) checkInterval() time.Duration {
	if el.isLeader() {
		return leaderInterval
	}
	names := el.entry.fleet.Load().liveEntries()
	order := rank.Order(leaderKey, names)
	if i := slices.Index(order, el.entry.settings.Name); i >= maxStandbys {
		return observerInterval
	}
	return leaderInterval
}

// campaign tries to become the leader if no entry holds the lease. The new leader starts a new epoch in each
// plan before it changes the plan.
func (el *election) campaign(ctx context.Context) {
	found, err := el.entry.store.Get(ctx, leaderKey)
	if err != nil || found.Revision != 0 {
		return
	}
	lease, err := el.entry.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	if _, err := el.entry.store.Swap(ctx, leaderKey, []byte(el.entry.settings.Name), 0, lease); err != nil {
		return
	}
	el.entry.events.Add("lead", "", el.entry.settings.Name, "gained")
	el.mu.Lock()
	defer el.mu.Unlock()
	el.lease = lease
	el.plans = make(map[string]*storedPlan)
}

// resign revokes the lease, so that another entry can become the leader at once.
func (el *election) resign() {
	el.mu.Lock()
	lease := el.lease
	el.lease = ""
	el.mu.Unlock()
	if lease != "" {
		_ = el.entry.store.Revoke(context.Background(), lease)
	}
}

func (el *election) loseLeadership(reason string) {
	el.entry.events.Add("lead", "", el.entry.settings.Name, "lost: "+reason)
	el.mu.Lock()
	defer el.mu.Unlock()
	el.lease = ""
}

// renewAndPlan renews the lease and updates the plans of all models.
func (el *election) renewAndPlan(ctx context.Context) {
	el.mu.Lock()
	lease := el.lease
	el.mu.Unlock()
	alive, err := el.entry.store.Renew(ctx, lease)
	if err == nil && !alive {
		el.loseLeadership("the lease lapsed")
		return
	}
	if err != nil {
		return
	}
	v := el.entry.view.Load()
	for i := range v.doc.Targets {
		if t := &v.doc.Targets[i]; t.Kind == conf.Model {
			el.updatePlan(ctx, v, t)
		}
	}
}

// updatePlan writes the next command, if any, to the target's plan.
func (el *election) updatePlan(ctx context.Context, v *view, t *conf.Target) {
	stored, ok := el.claimPlan(ctx, t.Name)
	if !ok {
		return
	}
	next := el.entry.nextCommand(stored.plan, v, t)
	if next == nil {
		return
	}
	el.writePlan(ctx, t.Name, stored, stored.plan.WithCommand(*next))
}

// claimPlan returns the target's plan in this leader's epoch; on the first call it starts that epoch.
func (el *election) claimPlan(ctx context.Context, target string) (*storedPlan, bool) {
	el.mu.Lock()
	stored, ok := el.plans[target]
	el.mu.Unlock()
	if ok {
		return stored, true
	}
	item, err := el.entry.store.Get(ctx, planPrefix+target)
	if err != nil {
		return nil, false
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		el.entry.log.Error("can't decode the plan", "target", target, "err", err)
		return nil, false
	}
	old := &storedPlan{plan: p, storeRevision: item.Revision}
	if !el.writePlan(ctx, target, old, p.NextEpoch(el.entry.settings.Name)) {
		return nil, false
	}
	return el.claimPlan(ctx, target)
}

// writePlan replaces the stored plan if its revision is still that of old; a conflict means that another
// entry is the leader.
func (el *election) writePlan(ctx context.Context, target string, old *storedPlan, next *plan.Plan) bool {
	revision, err := el.entry.store.Swap(ctx, planPrefix+target, next.Encode(), old.storeRevision, "")
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		el.loseLeadership("a plan was changed by another lead")
		return false
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	if err != nil {
		// The write may have taken effect, so the plan is read again before the next write.
		delete(el.plans, target)
		return false
	}
	el.plans[target] = &storedPlan{plan: next, storeRevision: revision}
	el.entry.events.Add("plan", "", target, string(next.Encode()))
	return true
}

// nextCommand returns the next command that the target's plan needs, or nil if it needs none or an upstream
// has not yet carried out its command.
func (e *Entry) nextCommand(p *plan.Plan, v *view, t *conf.Target) *plan.Command {
	var next *plan.Command
	for _, u := range v.targets[t.Name] {
		c := u.conf.Load()
		desired := plan.Command{Upstream: c.Name, Role: c.Role, Version: t.Version}
		if desired.Role == "" {
			desired.Role = "mixed"
		}
		current, _ := p.Command(c.Name)
		if current != desired && next == nil {
			next = &desired
		}
		if b := u.beat.Load(); current.Upstream != "" && u.link.Load() != nil && b != nil && (b.Role != current.Role || b.Version != current.Version) {
			return nil // The upstream has not carried out its command.
		}
	}
	return next
}
