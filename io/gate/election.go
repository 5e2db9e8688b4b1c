package gate

import (
	"context"
	"errors"
	"math/rand/v2"
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
	leaderKey = "lead"
	leaseTTL  = 4 * time.Second
	// renewInterval is the time from one successful renewal to the next. A failed one is retried every planInterval;
	// the lease is lost if none succeeds within leaseTTL of the last. It is well below leaseTTL, so that a lost
	// renewal can be repeated in time.
	renewInterval = 1200 * time.Millisecond
	// standbyInterval is the mean time between two checks of the lease by any of the standby entries: each of them waits
	// for this time multiplied by the number of entries on average.
	standbyInterval = 2500 * time.Millisecond
	// maxStandbyWait limits the wait of an entry, in multiples of its mean.
	maxStandbyWait = 4
	planInterval   = 500 * time.Millisecond
	// maxChangeTime is how long a role change counts as in progress while the upstream list still shows the old
	// role. It covers the drain, the change itself and the delay of the list.
	maxChangeTime     = 12 * time.Second
	demandLogInterval = 2 * time.Second // Time between log lines of the demand.
	// notifyInterval is the time between notices to the agents while nothing changes. A lost notice delays a
	// role change by the same time.
	notifyInterval = 2 * time.Second
	// maxConcurrentChanges limits the engines that are unavailable due to a role change once the planner is
	// warmed up.
	maxConcurrentChanges = 1
)

// election is this entry's part in the election of the leader, which all entries take part in. It holds the lease
// that allows this entry to write the plans, or tries to acquire it.
type election struct {
	gate  *Gate
	lease platform.Lease // Not valid if this entry doesn't hold it.
	ttl   time.Duration  // Of the lease.
	token int64          // Stamp of the leader key under the lease.
	// What this entry wrote as the leader.
	written      writtenBlocks
	writtenHolds writtenHolds

	mu           sync.Mutex
	leaseEnd     time.Time // The lease can't expire in the store before this time.
	plans        map[string]*servicePlan
	changingKeys map[uint32]bool // Keys of the engines that are changing roles.
}

// servicePlan is a service's plan with the leader's state for it.
type servicePlan struct {
	plan         *plan.Plan
	revision     int64 // Store revision of the plan; 0 if it is not in the store.
	hasEpoch     bool  // The plan was written under this leader's epoch.
	planner      *split.Planner
	engineCount  int                  // Number of engines at the last update.
	lastLogged   time.Time            // When the demand was last logged.
	lastNotified time.Time            // When the agents were last notified of the plan.
	changedAt    map[string]time.Time // When an engine's command last changed, by engine id.
}

func newElection(g *Gate) *election {
	return &election{gate: g, plans: make(map[string]*servicePlan), changingKeys: make(map[uint32]bool)}
}

// run leads, or tries to become the leader, until ctx ends. Then it revokes its lease.
func (l *election) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.lease.IsValid() {
			l.campaign(ctx)
		}
		if !l.lease.IsValid() {
			proc.Sleep(ctx, standbyWait(l.gate.gossip.NumEntries()))
			continue
		}
		l.lead(ctx)
	}
	l.gate.duties.awaitEnd() // The next holder may call as soon as the lease is revoked.
	if l.lease.IsValid() {
		revokeCtx, cancel := context.WithTimeout(context.Background(), renewInterval)
		defer cancel()
		if err := l.gate.store.Revoke(revokeCtx, l.lease); err != nil {
			l.gate.log.Info("lease not revoked", "err", err)
		}
	}
}

// standbyWait returns a random time until a standby entry checks the lease again. It is exponentially distributed, so that the
// checks of all entries are spread over time although all have started together; otherwise none of a large fleet would check
// for most of a minute.
func standbyWait(entries int) time.Duration {
	return time.Duration(min(rand.ExpFloat64(), maxStandbyWait) * float64(standbyInterval) * float64(entries))
}

// campaign tries to acquire the lease.
func (l *election) campaign(ctx context.Context) {
	item, err := l.gate.store.Get(ctx, leaderKey)
	if err != nil || item.Revision != 0 {
		return
	}
	began, dutiesBegan := time.Now(), l.gate.duties.now()
	lease, ttl, err := l.gate.store.Grant(ctx, leaseTTL)
	if err != nil {
		return
	}
	put := platform.Put{Key: leaderKey, Value: []byte(l.gate.settings().Name), Lease: lease}
	token, _, err := l.gate.store.Commit(ctx, []platform.Condition{{Key: leaderKey}}, []platform.Put{put}, nil)
	if err != nil {
		// If the write took effect despite the error, the lease expires because it is not renewed.
		l.gate.log.Info("leadership not gained", "err", err)
		return
	}
	l.lease, l.written, l.writtenHolds = lease, writtenBlocks{}, writtenHolds{}
	l.ttl, l.token = min(ttl, leaseTTL), token
	l.gate.duties.gain(token, lease.Era, dutiesBegan, l.ttl)
	l.mu.Lock()
	l.leaseEnd, l.plans = began.Add(ttl), make(map[string]*servicePlan)
	l.mu.Unlock()
	l.gate.log.Info("leadership gained", "lease", lease.ID, "era", lease.Era)
}

// lead renews the lease and updates the plans until the lease is lost or ctx ends.
func (l *election) lead(ctx context.Context) {
	renewed := time.Now()
	for ctx.Err() == nil {
		if time.Since(renewed) > renewInterval {
			began, dutiesBegan := time.Now(), l.gate.duties.now()
			err := l.gate.store.Renew(ctx, l.lease)
			notFound := new(platform.LeaseNotFoundError)
			if errors.As(err, &notFound) {
				l.loseLease("lease expired")
				return
			}
			if err == nil {
				renewed = began
				l.gate.duties.renew(dutiesBegan, l.ttl)
				l.mu.Lock()
				l.leaseEnd = began.Add(leaseTTL)
				l.mu.Unlock()
			}
		}
		if !l.isLeader() {
			l.loseLease("lease not renewed in time")
			return
		}
		if !l.replaceToken(ctx) {
			l.loseLease("token not replaced")
			return
		}
		l.updatePlans(ctx)
		l.writeBlocks(ctx)
		l.writeHolds(ctx)
		proc.Sleep(ctx, planInterval)
	}
}

// replaceToken writes the leader's key again if the provider refuses the token, so that its stamp is a new one. If that fails,
// it gives the lease up and returns false, since the write may have taken effect and the stamp isn't known.
func (l *election) replaceToken(ctx context.Context) bool {
	if !l.gate.duties.needsToken() {
		return true
	}
	began := l.gate.duties.now()
	put := platform.Put{Key: leaderKey, Value: []byte(l.gate.settings().Name), Lease: l.lease}
	token, _, err := l.gate.store.Commit(ctx, []platform.Condition{{Key: leaderKey, Revision: l.token}}, []platform.Put{put}, nil)
	if err != nil {
		revokeErr := l.gate.store.Revoke(ctx, l.lease)
		l.gate.log.Warn("token not replaced", "err", err, "revoke", revokeErr)
		return false
	}
	l.token = token
	l.gate.duties.gain(token, l.lease.Era, began, 0) // The next renewal states how long the lease is valid.
	return true
}

// isLeader reports whether the lease is certain to be valid now.
func (l *election) isLeader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.leaseEnd)
}

// loseLease clears the lease and the role changes in progress after the loss of the lease.
func (l *election) loseLease(reason string) {
	l.lease = platform.Lease{}
	l.gate.duties.lose()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseEnd = time.Time{}
	clear(l.changingKeys)
	l.gate.log.Warn("leadership lost", "why", reason)
}

// changing returns the keys of the engines that are changing roles; none if this entry is not the leader.
func (l *election) changing() []uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]uint32, 0, len(l.changingKeys))
	for key := range l.changingKeys {
		keys = append(keys, key)
	}
	return keys
}

// updatePlans updates the plan of each service with engines.
func (l *election) updatePlans(ctx context.Context) {
	c := l.gate.config.Load()
	if c == nil || !l.gate.snapshot.Load().known {
		return // Without the upstreams, commands of a plan could not be checked against their roles.
	}
	changingKeys := make(map[uint32]bool)
	prefillDemand := l.gate.prefillDemand() // Of all services; each planner gets the same sum.
	for name, service := range c.table.Services {
		if service.Engine == nil {
			continue
		}
		s := l.plans[name]
		if s == nil {
			s = &servicePlan{planner: split.New(), changedAt: make(map[string]time.Time)}
			l.plans[name] = s
		}
		s.planner.Observe(prefillDemand, l.decodeDemand(name, service.Engine))
		l.updatePlan(ctx, name, s, changingKeys)
	}
	l.mu.Lock()
	l.changingKeys = changingKeys
	l.mu.Unlock()
}

// decodeDemand returns how many engines the running outputs of a service occupy, by KV cache or by slots,
// whichever is more.
func (l *election) decodeDemand(name string, e *route.Engine) float64 {
	peers, sum := l.gate.peerState(), place.Usage{}
	for _, u := range l.gate.snapshot.Load().services[name] {
		running, _ := u.usage(0, peers.loads[u.key])
		sum = sum.Add(running)
	}
	return max(float64(sum.Tokens)/float64(max(1, e.KVCapacity)), float64(sum.Requests)/float64(max(1, e.Slots)))
}

// updatePlan writes the next role changes to a service's plan and adds the engines that are changing roles to
// changingKeys.
func (l *election) updatePlan(ctx context.Context, name string, s *servicePlan, changingKeys map[uint32]bool) {
	if !s.hasEpoch && !l.takeOver(ctx, name, s) {
		return
	}
	engines := l.engines(name)
	if len(engines) == 0 {
		return
	}
	// Engines register one after another at startup, and every agent reads each new plan. Wait until their
	// number is stable.
	countChanged := len(engines) != s.engineCount
	if s.engineCount = len(engines); countChanged && !s.planner.IsWarmedUp() {
		return
	}
	if time.Since(s.lastNotified) > notifyInterval {
		l.notify(name, s, engines)
	}
	prefill, changing := 0, 0
	for _, e := range engines {
		role := e.Role
		if cmd, ok := s.plan.Command(e.ID); ok && cmd.Role != string(e.Role) {
			if time.Since(s.changedAt[e.ID]) < maxChangeTime {
				role = member.Role(cmd.Role)
				changing++
				changingKeys[beat.Key(e.ID)] = true
			}
		}
		if role == member.Prefill {
			prefill++
		}
	}
	want := s.planner.PrefillCount(len(engines), prefill)
	if time.Since(s.lastLogged) > demandLogInterval {
		s.lastLogged = time.Now()
		prompt, output := s.planner.Demand()
		l.gate.log.Info("demand", "service", name, "engines", len(engines), "prefill", prefill, "want", want,
			"prompt", prompt, "output", output, "changing", changing)
	}
	allowed := maxConcurrentChanges - changing
	if !s.planner.IsWarmedUp() {
		allowed = len(engines)
	}
	next := s.plan
	var changed []string
	for ; prefill != want && allowed > 0; allowed-- {
		from, to, step := member.Decode, member.Prefill, 1
		if prefill > want {
			from, to, step = member.Prefill, member.Decode, -1
		}
		e := l.pickEngine(engines, next, from)
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
	l.gate.log.Info("split", "service", name, "engines", len(engines), "want", want, "known", s.planner.IsWarmedUp(), "changed", changed)
	if l.writePlan(ctx, name, s, next.OnlyFor(idSet(engines))) {
		for _, id := range changed {
			s.changedAt[id] = time.Now()
			changingKeys[beat.Key(id)] = true
		}
		l.notify(name, s, engines)
	}
}

// notify sends each engine's command to its agent, which runs on the engine's VM.
func (l *election) notify(name string, s *servicePlan, engines []*member.Upstream) {
	s.lastNotified = time.Now()
	port := l.gate.settings().Peer.Port()
	for _, e := range engines {
		cmd, _ := s.plan.Command(e.ID)
		n := &notice.Notice{
			Service: name, StoreRevision: s.revision, Epoch: s.plan.Epoch, Leader: s.plan.Leader,
			Upstream: e.ID, Addr: e.Addr.String(), Role: cmd.Role,
		}
		l.gate.gossip.Send(netip.AddrPortFrom(e.Addr.Addr(), port), n.Encode())
	}
}

// idSet returns the ids of engines.
func idSet(engines []*member.Upstream) map[string]bool {
	set := make(map[string]bool, len(engines))
	for _, e := range engines {
		set[e.ID] = true
	}
	return set
}

// engines returns the engines of a service, except those that leave and those whose address belongs to another instance
// now.
func (l *election) engines(service string) []*member.Upstream {
	var list []*member.Upstream
	for _, u := range l.gate.snapshot.Load().services[service] {
		if info := u.info.Load(); info.Role != "" && !u.replaced.Load() && !u.isLeaving() {
			list = append(list, info)
		}
	}
	return list
}

// pickEngine returns the engine whose role is to change: in the availability zone with the most engines of the
// role from, the one on which the other entries run the fewest requests.
func (l *election) pickEngine(engines []*member.Upstream, p *plan.Plan, from member.Role) *member.Upstream {
	zoneCounts := make(map[string]int)
	role := func(e *member.Upstream) member.Role {
		if cmd, ok := p.Command(e.ID); ok {
			return member.Role(cmd.Role)
		}
		return e.Role
	}
	for _, e := range engines {
		if role(e) == from {
			zoneCounts[e.Zone]++
		}
	}
	loads := l.gate.peerLoads()
	var best *member.Upstream
	for _, e := range engines {
		if role(e) != from {
			continue
		}
		switch {
		case best == nil, zoneCounts[e.Zone] > zoneCounts[best.Zone]:
			best = e
		case zoneCounts[e.Zone] == zoneCounts[best.Zone] && loads[beat.Key(e.ID)].Running < loads[beat.Key(best.ID)].Running:
			best = e
		}
	}
	return best
}

// takeOver reads a plan and writes it under a new epoch, so that a conditional write of the previous leader fails.
func (l *election) takeOver(ctx context.Context, name string, s *servicePlan) bool {
	item, err := l.gate.store.Get(ctx, tend.PlanPrefix+name)
	if err != nil {
		return false
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		l.gate.log.Error("stored plan not decoded", "service", name, "err", err)
		p = &plan.Plan{}
	}
	s.revision = item.Revision
	roles := make(map[string]string)
	for _, e := range l.engines(name) {
		roles[e.ID] = string(e.Role)
	}
	return l.writePlan(ctx, name, s, p.InEra(l.gate.store.Era(), roles).NextEpoch(l.gate.settings().Name))
}

// writePlan replaces the plan in the store if the lease is still valid and the plan there is unchanged.
func (l *election) writePlan(ctx context.Context, name string, s *servicePlan, next *plan.Plan) bool {
	if !l.isLeader() {
		return false
	}
	key := tend.PlanPrefix + name
	revision, _, err := l.gate.store.Commit(ctx, []platform.Condition{{Key: key, Revision: s.revision}}, []platform.Put{{Key: key, Value: next.Encode()}}, nil)
	if err != nil {
		// The write may have taken effect, or another entry is the leader. Read the plan again before the next write.
		s.hasEpoch = false
		conflict := new(store.ConflictError)
		l.gate.log.Warn("plan not written", "service", name, "conflict", errors.As(err, &conflict), "err", err)
		return false
	}
	s.plan, s.revision, s.hasEpoch = next, revision, true
	l.gate.log.Info("plan", "service", name, "revision", revision, "epoch", next.Epoch, "orders", len(next.Commands))
	return true
}
