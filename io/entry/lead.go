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
	leadKey   = "lead"
	leaseTime = 6 * time.Second
	leadEvery = time.Second

	standbys     = 3                // entries that look at the lease as often as the lead
	standbyEvery = 30 * time.Second // between looks of all other entries

	planKey = "plan/" // followed by the target's name
)

// lead holds the lease by which this entry may write the plans, or tries to get it.
type lead struct {
	entry *Entry

	mu    sync.Mutex
	lease string
	plans map[string]*held
}

// held is a plan with its revision in the store.
type held struct {
	plan *plan.Plan
	at   int64
}

func newLead(e *Entry) *lead {
	return &lead{entry: e, plans: make(map[string]*held)}
}

// known returns the epoch and revision of the newest plan that this entry knows of a target.
func (l *lead) known(target string) (int64, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.plans[target]
	if !ok {
		return 0, 0
	}
	return h.plan.Epoch, h.plan.Revision
}

// holds reports whether this entry is the lead as far as it knows.
func (l *lead) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease != ""
}

func (l *lead) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.holds() {
			l.campaign(ctx)
		}
		if l.holds() {
			l.serve(ctx)
		}
		proc.Sleep(ctx, proc.Jitter(l.pause()))
	}
}

// pause returns the time until the lease is looked at again: short for the lead and a few
// entries that stand by, long for all others, so that a large fleet makes few calls.
func (l *lead) pause() time.Duration {
	if l.holds() {
		return leadEvery
	}
	names := l.entry.fleet.Load().entries()
	order := rank.Order(leadKey, names)
	if i := slices.Index(order, l.entry.set.Name); i >= standbys {
		return standbyEvery
	}
	return leadEvery
}

// campaign tries to get the lease and, with it, a new epoch in each plan.
func (l *lead) campaign(ctx context.Context) {
	found, err := l.entry.store.Get(ctx, leadKey)
	if err != nil || found.Revision != 0 {
		return
	}
	lease, err := l.entry.store.Grant(ctx, leaseTime)
	if err != nil {
		return
	}
	if _, err := l.entry.store.Swap(ctx, leadKey, []byte(l.entry.set.Name), 0, lease); err != nil {
		return
	}
	l.entry.events.Add("lead", "", l.entry.set.Name, "gained")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease
	l.plans = make(map[string]*held)
}

// resign gives the lease back, so that another entry can lead at once.
func (l *lead) resign() {
	l.mu.Lock()
	lease := l.lease
	l.lease = ""
	l.mu.Unlock()
	if lease != "" {
		_ = l.entry.store.Revoke(context.Background(), lease)
	}
}

func (l *lead) lose(reason string) {
	l.entry.events.Add("lead", "", l.entry.set.Name, "lost: "+reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = ""
}

func (l *lead) serve(ctx context.Context) {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	alive, err := l.entry.store.Renew(ctx, lease)
	if err == nil && !alive {
		l.lose("the lease lapsed")
		return
	}
	if err != nil {
		return
	}
	v := l.entry.view.Load()
	for i := range v.doc.Targets {
		if t := &v.doc.Targets[i]; t.Kind == conf.Model {
			l.direct(ctx, v, t)
		}
	}
}

// direct writes the plan of one target, at most one change at a time.
func (l *lead) direct(ctx context.Context, v *view, t *conf.Target) {
	h, ok := l.taken(ctx, t.Name)
	if !ok {
		return
	}
	next := l.entry.nextOrder(h.plan, v, t)
	if next == nil {
		return
	}
	l.write(ctx, t.Name, h, h.plan.WithCommand(*next))
}

// taken returns the target's plan once it bears this lead's epoch.
func (l *lead) taken(ctx context.Context, target string) (*held, bool) {
	l.mu.Lock()
	h, ok := l.plans[target]
	l.mu.Unlock()
	if ok {
		return h, true
	}
	item, err := l.entry.store.Get(ctx, planKey+target)
	if err != nil {
		return nil, false
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		l.entry.log.Error("plan not understood", "target", target, "err", err)
		return nil, false
	}
	old := &held{plan: p, at: item.Revision}
	if !l.write(ctx, target, old, p.NextEpoch(l.entry.set.Name)) {
		return nil, false
	}
	return l.taken(ctx, target)
}

// write swaps in a plan; a conflict means that another entry leads.
func (l *lead) write(ctx context.Context, target string, old *held, next *plan.Plan) bool {
	at, err := l.entry.store.Swap(ctx, planKey+target, next.Encode(), old.at, "")
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		l.lose("a plan was changed by another lead")
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The write may have taken effect: read the plan again before the next one.
		delete(l.plans, target)
		return false
	}
	l.plans[target] = &held{plan: next, at: at}
	l.entry.events.Add("plan", "", target, string(next.Encode()))
	return true
}

// nextOrder returns the next change that the target's plan needs, or nil.
func (e *Entry) nextOrder(p *plan.Plan, v *view, t *conf.Target) *plan.Command {
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
