package gate

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/member"
	"pimentoseam/core/notice"
	"pimentoseam/core/place"
	"pimentoseam/core/plan"
	"pimentoseam/core/route"
	"pimentoseam/core/split"
	"pimentoseam/io/proc"
	"pimentoseam/io/store"
	"pimentoseam/io/tend"
	"pimentoseam/platform"
)

const (
	leadKey   = "lead"
	leadTTL   = 4 * time.Second
	leadEvery = 1200 * time.Millisecond // Between renewals; two may be lost.
	// standbyEvery is the time between looks of the other entries at the lease, multiplied by
	// their number, so that all together look about once in it.
	standbyEvery = 2500 * time.Millisecond
	planEvery    = 500 * time.Millisecond
	// changeTime is how long a change that an engine's entry does not show yet counts as under way:
	// its drain, the change itself and the entry's delay.
	changeTime  = 12 * time.Second
	demandEvery = 2 * time.Second // Between log lines of the demand.
	// tellEvery is the time between notices to the agents while nothing changes; a lost one delays
	// a change of role by as much.
	tellEvery = 2 * time.Second
	// changesAtOnce bounds the engines that are away for a change while there is traffic.
	changesAtOnce = 1
)

// lead holds the lease by which this entry writes the plans, or stands by for it.
type lead struct {
	gate  *Gate
	lease int64

	mu    sync.Mutex
	until time.Time // The lease surely lasts until then.
	plans map[string]*held
	away  map[uint32]bool // Engines that are changing, by key.
}

// held is a service's plan with what the lead knows of its demand.
type held struct {
	plan    *plan.Plan
	at      int64 // Revision in the store; 0 if there is none.
	read    bool  // It bears this lead's epoch.
	planner *split.Planner
	count   int // Engines at the last look.
	logged  time.Time
	told    time.Time            // When the agents were last told of the plan.
	changed map[string]time.Time // When an engine's order last changed.
}

func newLead(g *Gate) *lead {
	return &lead{gate: g, plans: make(map[string]*held), away: make(map[uint32]bool)}
}

// run leads or stands by until ctx ends.
func (l *lead) run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.lease == 0 {
			l.campaign(ctx)
		}
		if l.lease == 0 {
			proc.Sleep(ctx, proc.Jitter(standbyEvery*time.Duration(l.gate.gossip.NumEntries())))
			continue
		}
		l.serve(ctx)
	}
	if l.lease != 0 {
		short, cancel := context.WithTimeout(context.Background(), leadEvery)
		defer cancel()
		if err := l.gate.store.Revoke(short, l.lease); err != nil {
			l.gate.log.Info("lease not ended", "err", err)
		}
	}
}

// campaign tries to get the lease.
func (l *lead) campaign(ctx context.Context) {
	item, err := l.gate.store.Get(ctx, leadKey)
	if err != nil || item.Revision != 0 {
		return
	}
	asked := time.Now()
	lease, ttl, err := l.gate.store.Grant(ctx, leadTTL)
	if err != nil {
		return
	}
	put := platform.Put{Key: leadKey, Value: []byte(l.gate.set().Name), Lease: lease}
	if _, _, err := l.gate.store.Commit(ctx, []platform.Condition{{Key: leadKey}}, []platform.Put{put}, nil); err != nil {
		// If the write took effect after all, the lease ends unrenewed.
		l.gate.log.Info("lead not gained", "err", err)
		return
	}
	l.lease = lease
	l.mu.Lock()
	l.until, l.plans = asked.Add(ttl), make(map[string]*held)
	l.mu.Unlock()
	l.gate.log.Info("lead gained", "lease", lease)
}

// serve renews the lease and keeps the plans until the lease is lost.
func (l *lead) serve(ctx context.Context) {
	renewed := time.Now()
	for ctx.Err() == nil {
		if time.Since(renewed) > leadEvery {
			asked := time.Now()
			err := l.gate.store.Renew(ctx, l.lease)
			gone := new(platform.LeaseNotFoundError)
			if errors.As(err, &gone) {
				l.lose("the lease ended")
				return
			}
			if err == nil {
				renewed = asked
				l.mu.Lock()
				l.until = asked.Add(leadTTL)
				l.mu.Unlock()
			}
		}
		if !l.holds() {
			l.lose("the lease was not renewed in time")
			return
		}
		l.direct(ctx)
		proc.Sleep(ctx, planEvery)
	}
}

// holds reports whether the lease surely lasts.
func (l *lead) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.until)
}

func (l *lead) lose(why string) {
	l.lease = 0
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = time.Time{}
	clear(l.away)
	l.gate.log.Warn("lead lost", "why", why)
}

// changing returns the keys of the engines that are changing, if this entry leads.
func (l *lead) changing() []uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]uint32, 0, len(l.away))
	for key := range l.away {
		keys = append(keys, key)
	}
	return keys
}

// direct brings the plan of each service with engines up to date.
func (l *lead) direct(ctx context.Context) {
	d := l.gate.config.Load()
	if d == nil {
		return
	}
	away := make(map[uint32]bool)
	work := l.gate.demanded()
	for name, service := range d.table.Services {
		if service.Engine == nil {
			continue
		}
		h := l.plans[name]
		if h == nil {
			h = &held{planner: split.New(), changed: make(map[string]time.Time)}
			l.plans[name] = h
		}
		h.planner.Observe(work, l.outputs(name, service.Engine))
		l.plan(ctx, name, h, away)
	}
	l.mu.Lock()
	l.away = away
	l.mu.Unlock()
}

// outputs returns how many engines the running outputs of a service fill, by memory or by slots.
func (l *lead) outputs(name string, e *route.Engine) float64 {
	told, sum := l.gate.told(), place.Usage{}
	for _, u := range l.gate.fleet.Load().services[name] {
		all, _ := u.outputs(0, told.load[u.key])
		sum = sum.Add(all)
	}
	return max(float64(sum.Tokens)/float64(max(1, e.KVCapacity)), float64(sum.Requests)/float64(max(1, e.Slots)))
}

// plan writes the next change of a service's plan and notes the engines that are changing.
func (l *lead) plan(ctx context.Context, name string, h *held, away map[uint32]bool) {
	if !h.read && !l.take(ctx, name, h) {
		return
	}
	engines := l.engines(name)
	if len(engines) == 0 {
		return
	}
	// Engines register one after another at a start; each plan is a call of every agent.
	growing := len(engines) != h.count
	if h.count = len(engines); growing && !h.planner.IsWarmedUp() {
		return
	}
	if time.Since(h.told) > tellEvery {
		l.tell(name, h, engines)
	}
	prefill, changing := 0, 0
	for _, e := range engines {
		role := e.Role
		if o, ok := h.plan.Command(e.ID); ok && o.Role != string(e.Role) {
			if time.Since(h.changed[e.ID]) < changeTime {
				role = member.Role(o.Role)
				changing++
				away[beat.Key(e.ID)] = true
			}
		}
		if role == member.Prefill {
			prefill++
		}
	}
	want := h.planner.PrefillCount(len(engines), prefill)
	if time.Since(h.logged) > demandEvery {
		h.logged = time.Now()
		prompt, output := h.planner.Demand()
		l.gate.log.Info("demand", "service", name, "engines", len(engines), "prefill", prefill, "want", want,
			"prompt", prompt, "output", output, "changing", changing)
	}
	room := changesAtOnce - changing
	if !h.planner.IsWarmedUp() {
		room = len(engines)
	}
	next := h.plan
	var changed []string
	for ; prefill != want && room > 0; room-- {
		from, to, step := member.Decode, member.Prefill, 1
		if prefill > want {
			from, to, step = member.Prefill, member.Decode, -1
		}
		e := l.pick(engines, next, from)
		if e == nil {
			break
		}
		next = next.WithCommand(plan.Command{Upstream: e.ID, Addr: e.Addr.String(), Role: string(to)})
		changed = append(changed, e.ID)
		prefill += step
	}
	if len(changed) == 0 {
		return
	}
	l.gate.log.Info("split", "service", name, "engines", len(engines), "want", want, "known", h.planner.IsWarmedUp(), "changed", changed)
	if l.write(ctx, name, h, next.OnlyFor(ids(engines))) {
		for _, id := range changed {
			h.changed[id] = time.Now()
			away[beat.Key(id)] = true
		}
		l.tell(name, h, engines)
	}
}

// tell sends each engine's agent, which is on the engine's VM, its part of the plan.
func (l *lead) tell(name string, h *held, engines []*member.Upstream) {
	h.told = time.Now()
	port := l.gate.set().Peer.Port()
	for _, e := range engines {
		o, _ := h.plan.Command(e.ID)
		n := &notice.Notice{
			Service: name, Revision: h.at, Epoch: h.plan.Epoch, Leader: h.plan.Leader,
			Upstream: e.ID, Addr: e.Addr.String(), Role: o.Role,
		}
		l.gate.gossip.Send(netip.AddrPortFrom(e.Addr.Addr(), port), n.Encode())
	}
}

func ids(engines []*member.Upstream) map[string]bool {
	known := make(map[string]bool, len(engines))
	for _, e := range engines {
		known[e.ID] = true
	}
	return known
}

// engines returns the usable engines of a service.
func (l *lead) engines(service string) []*member.Upstream {
	var list []*member.Upstream
	for _, u := range l.gate.fleet.Load().services[service] {
		if info := u.info.Load(); info.Role != "" && !u.moved.Load() {
			list = append(list, info)
		}
	}
	return list
}

// pick returns the engine to change: one of the availability zone that has most of its role, and
// there the one with the fewest requests.
func (l *lead) pick(engines []*member.Upstream, p *plan.Plan, from member.Role) *member.Upstream {
	zones := make(map[string]int)
	role := func(e *member.Upstream) member.Role {
		if o, ok := p.Command(e.ID); ok {
			return member.Role(o.Role)
		}
		return e.Role
	}
	for _, e := range engines {
		if role(e) == from {
			zones[e.Zone]++
		}
	}
	load := l.gate.elsewhere()
	var best *member.Upstream
	for _, e := range engines {
		if role(e) != from {
			continue
		}
		switch {
		case best == nil, zones[e.Zone] > zones[best.Zone]:
			best = e
		case zones[e.Zone] == zones[best.Zone] && load[beat.Key(e.ID)].Running < load[beat.Key(best.ID)].Running:
			best = e
		}
	}
	return best
}

// take reads a plan and writes it under a new epoch, so that the lead before can't write any more.
func (l *lead) take(ctx context.Context, name string, h *held) bool {
	item, err := l.gate.store.Get(ctx, tend.PlanPrefix+name)
	if err != nil {
		return false
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		l.gate.log.Error("plan not understood", "service", name, "err", err)
		p = &plan.Plan{}
	}
	h.at = item.Revision
	return l.write(ctx, name, h, p.NextEpoch(l.gate.set().Name))
}

// write swaps in a plan if the lease still holds.
func (l *lead) write(ctx context.Context, name string, h *held, next *plan.Plan) bool {
	if !l.holds() {
		return false
	}
	key := tend.PlanPrefix + name
	at, _, err := l.gate.store.Commit(ctx, []platform.Condition{{Key: key, Revision: h.at}}, []platform.Put{{Key: key, Value: next.Encode()}}, nil)
	if err != nil {
		// It may have taken effect, or another entry leads: read it again before the next write.
		h.read = false
		conflict := new(store.ConflictError)
		l.gate.log.Warn("plan not written", "service", name, "conflict", errors.As(err, &conflict), "err", err)
		return false
	}
	h.plan, h.at, h.read = next, at, true
	l.gate.log.Info("plan", "service", name, "revision", at, "epoch", next.Epoch, "orders", len(next.Commands))
	return true
}
