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
	leaderInterval = time.Second // How often the leader renews the lease and the standbys check it.

	maxStandbys      = 3                // Entries that check the lease every leaderInterval.
	observerInterval = 30 * time.Second // How often all other entries check the lease.

	planPrefix = "plan/" // Followed by the target's name.
)

// leader takes part in the leader election. Only the entry that holds the lease writes the plans.
type leader struct {
	entry *Entry

	mu    sync.Mutex
	lease string                 // The id of the lease, empty unless this entry is the leader.
	plans map[string]*storedPlan // The plans of the leader's own epoch, by target.
}

// storedPlan is a plan with its revision in the store.
type storedPlan struct {
	plan          *plan.Plan
	storeRevision int64
}

func newLeader(e *Entry) *leader {
	return &leader{entry: e, plans: make(map[string]*storedPlan)}
}

// knownPlan returns the epoch and revision of the newest plan that this entry knows for the target.
func (l *leader) knownPlan(target string) (int64, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stored, ok := l.plans[target]
	if !ok {
		return 0, 0
	}
	return stored.plan.Epoch, stored.plan.Revision
}

// isLeader reports whether this entry believes that it is the leader. Its lease may have expired
// unnoticed; then its writes conflict once the new leader has claimed the plans.
func (l *leader) isLeader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease != ""
}

func (l *leader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.isLeader() {
			l.campaign(ctx)
		}
		if l.isLeader() {
			l.renewAndPlan(ctx)
		}
		proc.Sleep(ctx, proc.Jitter(l.checkInterval()))
	}
}

// checkInterval returns the time until the lease is checked again: short for the leader and a few standbys,
// long for all other entries, so that a large fleet makes few calls.
func (l *leader) checkInterval() time.Duration {
	if l.isLeader() {
		return leaderInterval
	}
	names := l.entry.fleet.Load().liveEntries()
	order := rank.Order(leaderKey, names)
	if i := slices.Index(order, l.entry.set.Name); i >= maxStandbys {
		return observerInterval
	}
	return leaderInterval
}

// campaign tries to become the leader if no entry holds the lease. The new leader starts a new epoch in each
// plan before it changes the plan.
func (l *leader) campaign(ctx context.Context) {
	found, err := l.entry.store.Get(ctx, leaderKey)
	if err != nil || found.Revision != 0 {
		return
	}
	lease, err := l.entry.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	if _, err := l.entry.store.Swap(ctx, leaderKey, []byte(l.entry.set.Name), 0, lease); err != nil {
		return
	}
	l.entry.events.Add("lead", "", l.entry.set.Name, "gained")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
	l.plans = make(map[string]*storedPlan)
}

// resign revokes the lease, so that another entry can become the leader at once.
func (l *leader) resign() {
	l.mu.Lock()
	lease := l.lease
	l.lease = ""
	l.mu.Unlock()
	if lease != "" {
		_ = l.entry.store.Revoke(context.Background(), lease)
	}
}

func (l *leader) loseLeadership(reason string) {
	l.entry.events.Add("lead", "", l.entry.set.Name, "lost: "+reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = ""
}

// renewAndPlan renews the lease and updates the plans of all models.
func (l *leader) renewAndPlan(ctx context.Context) {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	alive, err := l.entry.store.Renew(ctx, lease)
	if err == nil && !alive {
		l.loseLeadership("the lease lapsed")
		return
	}
	if err != nil {
		return
	}
	v := l.entry.view.Load()
	for i := range v.doc.Targets {
		if t := &v.doc.Targets[i]; t.Kind == conf.Model {
			l.updatePlan(ctx, v, t)
		}
	}
}

// updatePlan writes the next command, if any, to the target's plan.
func (l *leader) updatePlan(ctx context.Context, v *view, t *conf.Target) {
	stored, ok := l.claimPlan(ctx, t.Name)
	if !ok {
		return
	}
	next := l.entry.nextCommand(stored.plan, v, t)
	if next == nil {
		return
	}
	l.writePlan(ctx, t.Name, stored, stored.plan.WithCommand(*next))
}

// claimPlan returns the target's plan in this leader's epoch; on the first call it starts that epoch.
func (l *leader) claimPlan(ctx context.Context, target string) (*storedPlan, bool) {
	l.mu.Lock()
	stored, ok := l.plans[target]
	l.mu.Unlock()
	if ok {
		return stored, true
	}
	item, err := l.entry.store.Get(ctx, planPrefix+target)
	if err != nil {
		return nil, false
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		l.entry.log.Error("can't decode the plan", "target", target, "err", err)
		return nil, false
	}
	old := &storedPlan{plan: p, storeRevision: item.Revision}
	if !l.writePlan(ctx, target, old, p.NextEpoch(l.entry.set.Name)) {
		return nil, false
	}
	return l.claimPlan(ctx, target)
}

// writePlan replaces the stored plan if its revision is still that of old; a conflict means that another
// entry is the leader.
func (l *leader) writePlan(ctx context.Context, target string, old *storedPlan, next *plan.Plan) bool {
	revision, err := l.entry.store.Swap(ctx, planPrefix+target, next.Encode(), old.storeRevision, "")
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		l.loseLeadership("a plan was changed by another lead")
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The write may have taken effect, so the plan is read again before the next write.
		delete(l.plans, target)
		return false
	}
	l.plans[target] = &storedPlan{plan: next, storeRevision: revision}
	l.entry.events.Add("plan", "", target, string(next.Encode()))
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
