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
	leaderKey      = "lead"
	leaseTTL       = 6 * time.Second
	leaderInterval = time.Second

	maxStandbys      = 3                // entries that look at the lease as often as the lead
	observerInterval = 30 * time.Second // between looks of all other entries

	planPrefix = "plan/" // followed by the target's name
)

// lead holds the lease by which this entry may write the plans, or tries to get it.
type leader struct {
	entry *Entry

	mu    sync.Mutex
	lease string
	plans map[string]*storedPlan
}

// held is a plan with its revision in the store.
type storedPlan struct {
	plan          *plan.Plan
	storeRevision int64
}

func newLeader(e *Entry) *leader {
	return &leader{entry: e, plans: make(map[string]*storedPlan)}
}

// known returns the epoch and revision of the newest plan that this entry knows of a target.
func (l *leader) knownPlan(target string) (int64, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.plans[target]
	if !ok {
		return 0, 0
	}
	return h.plan.Epoch, h.plan.Revision
}

// holds reports whether this entry is the lead as far as it knows.
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

// pause returns the time until the lease is looked at again: short for the lead and a few
// entries that stand by, long for all others, so that a large fleet makes few calls.
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

// campaign tries to get the lease and, with it, a new epoch in each plan.
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

// resign gives the lease back, so that another entry can lead at once.
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

// direct writes the plan of one target, at most one change at a time.
func (l *leader) updatePlan(ctx context.Context, v *view, t *conf.Target) {
	h, ok := l.claimPlan(ctx, t.Name)
	if !ok {
		return
	}
	next := l.entry.nextCommand(h.plan, v, t)
	if next == nil {
		return
	}
	l.writePlan(ctx, t.Name, h, h.plan.WithCommand(*next))
}

// taken returns the target's plan once it bears this lead's epoch.
func (l *leader) claimPlan(ctx context.Context, target string) (*storedPlan, bool) {
	l.mu.Lock()
	h, ok := l.plans[target]
	l.mu.Unlock()
	if ok {
		return h, true
	}
	item, err := l.entry.store.Get(ctx, planPrefix+target)
	if err != nil {
		return nil, false
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		l.entry.log.Error("plan not understood", "target", target, "err", err)
		return nil, false
	}
	old := &storedPlan{plan: p, storeRevision: item.Revision}
	if !l.writePlan(ctx, target, old, p.NextEpoch(l.entry.set.Name)) {
		return nil, false
	}
	return l.claimPlan(ctx, target)
}

// write swaps in a plan; a conflict means that another entry leads.
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
		// The write may have taken effect: read the plan again before the next one.
		delete(l.plans, target)
		return false
	}
	l.plans[target] = &storedPlan{plan: next, storeRevision: revision}
	l.entry.events.Add("plan", "", target, string(next.Encode()))
	return true
}

// nextOrder returns the next change that the target's plan needs, or nil.
func (e *Entry) nextCommand(p *plan.Plan, v *view, t *conf.Target) *plan.Command {
	var next *plan.Command
	for _, u := range v.targets[t.Name] {
		c := u.conf.Load()
		want := plan.Command{Upstream: c.Name, Role: c.Role, Version: t.Version}
		if want.Role == "" {
			want.Role = "mixed"
		}
		have, _ := p.Command(c.Name)
		if have != want && next == nil {
			next = &want
		}
		if b := u.beat.Load(); have.Upstream != "" && u.link.Load() != nil && b != nil && (b.Role != have.Role || b.Version != have.Version) {
			return nil // a change is in progress
		}
	}
	return next
}
