package gate

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/call"
	"pimentoseam/core/leave"
	"pimentoseam/core/permit"
	"pimentoseam/core/quota"
	"pimentoseam/io/proc"
)

const (
	// answerTimeout is how long an entry waits for the owner of a limit to answer an ask: the way there and back between
	// zones, and the time until a loaded process gets its processor.
	answerTimeout = 80 * time.Millisecond
	// askAgain is the time after which an ask that waits for a permit is sent again, in case the permit was lost.
	askAgain = 150 * time.Millisecond
	// maxOwners limits the owners that are asked for one permit, since the owner may change meanwhile.
	maxOwners = 3
	// silentOwnerPause is the time after which a caller may return if the owner of a limit doesn't answer. Another entry has
	// become the owner by then.
	silentOwnerPause = time.Second
	// reachInterval is the time between updates of the part of all entries that this one hears.
	reachInterval = 250 * time.Millisecond
	// listInterval is the mean time between reads of the list of entries while limits are in force. Entries that hear
	// nothing of each other learn from it how many they are.
	listInterval = 5 * time.Second
)

// permits asks for permits to send requests to upstreams that have named a limit, and gives out those of the limits that this
// entry owns.
type permits struct {
	gate *Gate
	book *quota.Book
	kick chan struct{} // Receives a value when an ask has begun to wait here.

	mu      sync.Mutex
	pending map[uint64]chan permit.Answer // The asks of this entry, by id.
}

func newPermits(g *Gate) *permits {
	s := g.settings()
	return &permits{gate: g, book: quota.New(s.Name, s.Peer), kick: make(chan struct{}, 1), pending: make(map[uint64]chan permit.Answer)}
}

// run gives permits to the asks that wait for them until ctx ends.
func (p *permits) run(ctx context.Context) {
	go p.readEntries(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.kick:
		}
		p.book.SetReach(p.gate.gossip.Reach())
		replies, wait := p.book.Due()
		p.deliver(replies)
		if wait <= 0 || wait > reachInterval {
			wait = reachInterval
		}
		timer.Reset(wait)
	}
}

// readEntries reads the list of entries from time to time while limits are in force, until ctx ends.
func (p *permits) readEntries(ctx context.Context) {
	for ctx.Err() == nil {
		proc.Sleep(ctx, proc.Jitter(listInterval)*4/3) // 2/3 to 4/3 of the mean interval.
		if p.book.InForce() == 0 || ctx.Err() != nil {
			continue
		}
		if err := p.gate.discover(ctx, true); err != nil {
			p.gate.log.Info("entries not read", "err", err)
		}
	}
}

// wake has run look for permits that can be given out.
func (p *permits) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// ask asks for a permit to send one request to an upstream, for which the request may wait. If there is none, it returns the
// time until there is room; final is set if the caller is told that time.
func (p *permits) ask(ctx context.Context, run leave.Run, priority int, wait time.Duration, final bool) (granted bool, after time.Duration) {
	deadline := time.Now().Add(wait)
	for range maxOwners {
		l, ok := p.book.Get(run)
		if !ok {
			return true, 0
		}
		ask := permit.Ask{ID: rand.Uint64(), Run: run, Priority: uint8(priorityIndex(priority)), Wait: uint32(max(0, time.Until(deadline).Milliseconds())), Final: final}
		answer, answered := p.askOwner(ctx, l, ask)
		switch {
		case ctx.Err() != nil:
			return false, 0
		case !answered:
			return false, silentOwnerPause
		}
		p.book.Answered(ask, answer)
		switch answer.Outcome {
		case permit.Granted:
			return true, 0
		case permit.Refused:
			return false, time.Duration(answer.After) * time.Millisecond
		}
	}
	return false, silentOwnerPause
}

// askOwner sends an ask to the owner of a limit and returns its final answer, and false if there was none in time.
func (p *permits) askOwner(ctx context.Context, l quota.Limit, ask permit.Ask) (permit.Answer, bool) {
	answers := make(chan permit.Answer, 4) // An ask that is sent again has further answers.
	p.mu.Lock()
	p.pending[ask.ID] = answers
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pending, ask.ID)
	}()
	sentAt := time.Now()
	end := sentAt.Add(answerTimeout)
	p.send(l, ask)
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return permit.Answer{}, false
		case a := <-answers:
			if a.Outcome != permit.Queued {
				return a, true
			}
			end = sentAt.Add(time.Duration(ask.Wait)*time.Millisecond + answerTimeout)
			timer.Reset(min(askAgain, time.Until(end)))
		case <-timer.C:
			if !time.Now().Before(end) {
				if c, claimed := p.book.Unanswered(l.Run, sentAt); claimed {
					p.gate.logLimit(c)
					p.gate.gossip.Trigger()
				}
				return permit.Answer{}, false
			}
			p.send(l, ask)
			timer.Reset(min(askAgain, time.Until(end)))
		}
	}
}

// send sends an ask to the owner of a limit.
func (p *permits) send(l quota.Limit, ask permit.Ask) {
	settings := p.gate.settings()
	if l.Owner == settings.Name {
		p.deliver(p.book.Ask(ask, netip.AddrPort{}))
		p.wake()
		return
	}
	a := &alert.Alert{Name: settings.Name, Limits: []quota.Limit{l}, Asks: []permit.Ask{ask}}
	p.gate.gossip.Send(l.Addr, a.Encode())
}

// handleAsks answers the asks of the entry at an address.
func (p *permits) handleAsks(from netip.AddrPort, asks []permit.Ask) {
	for _, ask := range asks {
		p.deliver(p.book.Ask(ask, from))
	}
	if len(asks) > 0 {
		p.wake()
	}
}

// handleAnswers passes answers on to the asks that wait for them. An ask that has ended gets none.
func (p *permits) handleAnswers(answers []permit.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range answers {
		select {
		case p.pending[a.ID] <- a: // A nil channel if the ask has ended.
		default:
		}
	}
}

// deliver sends replies to the entries that asked. One that asked the wrong entry is told the limits that this one knows.
func (p *permits) deliver(replies []permit.Reply) {
	name := p.gate.settings().Name
	for _, r := range replies {
		answers := []permit.Answer{r.Answer}
		if !r.To.IsValid() {
			p.handleAnswers(answers)
			continue
		}
		a := &alert.Alert{Name: name, Answers: answers}
		if r.Answer.Outcome == permit.Moved {
			a.Limits = p.book.Limits(alert.MaxLimits)
		}
		p.gate.gossip.Send(r.To, a.Encode())
	}
}

// observeLimit records what a reply to a request that was sent at a time states about an upstream's limit.
func (g *Gate) observeLimit(u *upstream, run leave.Run, reply call.Reply, sentAt time.Time) {
	var change quota.Change
	var changed bool
	switch reply.Limit.State {
	case call.Named:
		change, changed = g.permits.book.Named(run, reply.Limit.PerSecond, sentAt)
	case call.Unnamed:
		if reply.ID == "" {
			return // Perhaps from something between this entry and the upstream.
		}
		change, changed = g.permits.book.Unnamed(run, sentAt)
	case call.Unreadable:
		if u.hasBadLimit.CompareAndSwap(false, true) {
			g.meter.Count("limit not understood")
			g.log.Warn("limit not understood", "upstream", u.info.Load().ID, "value", reply.Limit.Text)
		}
	}
	if changed {
		g.logLimit(change)
		g.gossip.Trigger()
		g.permits.wake()
	}
}

// mergeLimits adds the limits that another entry has told, and passes on what is new.
func (g *Gate) mergeLimits(a *alert.Alert) {
	if len(a.Limits) == 0 {
		return
	}
	runs := g.snapshot.Load().runs
	changes, replies := g.permits.book.Merge(a.Limits, a.Name, func(r leave.Run) bool { return runs[r] })
	g.permits.deliver(replies)
	for _, c := range changes {
		g.logLimit(c)
	}
	if len(changes) > 0 {
		g.gossip.Trigger()
		g.permits.wake()
	}
}

// logLimit logs a change of a limit or of its owner.
func (g *Gate) logLimit(c quota.Change) {
	l := c.Limit
	id := ""
	if u := g.snapshot.Load().byKey[l.Run.Key]; u != nil {
		id = u.info.Load().ID
	}
	log := g.log.With("upstream", id, "version", l.Version, "term", l.Term, "owner", l.Owner, "from", c.From, "age", time.Duration(l.Age)*time.Millisecond)
	perSecond, limited := c.PerSecond()
	if !limited {
		log.Info("limit ended")
		return
	}
	share, _ := g.permits.book.Share(l.Run) // 0 unless this entry is the owner.
	log.Info("limit", "limit", perSecond, "share", share)
}

// holdPermit gets a permit for the request at an upstream if there is one now; none is needed without a limit.
func (x *exchange) holdPermit(ctx context.Context, u *upstream) bool {
	run := runOf(u.info.Load())
	book := x.gate.permits.book
	if !x.gate.isLimited(u) || x.permits[u] {
		return true
	}
	if book.NoRoom(run) <= 0 {
		if granted, _ := x.gate.permits.ask(ctx, run, x.priority, 0, false); granted {
			x.permits[u] = true
			return true
		}
	}
	x.full[u] = true
	return false
}

// usePermit uses the permit of the request at an upstream, and reports whether it may be sent there.
func (x *exchange) usePermit(u *upstream) bool {
	if !x.gate.isLimited(u) {
		return true
	}
	if !x.permits[u] {
		x.full[u] = true
		return false
	}
	delete(x.permits, u)
	return true
}

// overdue returns an upstream with a limit that must get a request now, so that it can state whether it still has one; nil if
// there is none. A request is used for that once.
func (x *exchange) overdue(isFit func(u *upstream) bool) *upstream {
	if x.probed || !x.account.IsEmpty() || !x.gate.permits.book.HasLimits() {
		return nil
	}
	for _, u := range x.gate.snapshot.Load().services[x.service] {
		if u.isUsable() && !x.tried[u] && !u.isLeaving() && !u.isPaused() && !x.isFull(u) && isFit(u) && x.gate.permits.book.Probe(runOf(u.info.Load())) {
			x.probed = true
			return u
		}
	}
	return nil
}

// isFull reports whether an upstream has no room for the request under its limit.
func (x *exchange) isFull(u *upstream) bool {
	return !x.permits[u] && (x.full[u] || x.gate.permits.book.NoRoom(runOf(u.info.Load())) > 0)
}

const (
	// defaultTarget is the time in which a request may still get a permit if its route has no target.
	defaultTarget = 500 * time.Millisecond
	// maxWaits limits how often a request waits for permits.
	maxWaits = 3
)

// awaitPermit waits for a permit at one of the upstreams that are at their limits, the one that has room first, as long as the
// request can still be in time, or a part of that time if its organisation has had its fair share. It returns nil if there is
// none, and sets when there is room.
func (x *exchange) awaitPermit(ctx context.Context, upstreams []*upstream) *upstream {
	if len(upstreams) == 0 || x.waits >= maxWaits {
		return nil
	}
	book := x.gate.permits.book
	best := upstreams[0]
	for _, u := range upstreams[1:] {
		if book.NoRoom(runOf(u.info.Load())) < book.NoRoom(runOf(best.info.Load())) {
			best = u
		}
	}
	target := x.route.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	wait := time.Duration(x.room * float64(max(0, min(target-time.Since(x.arrived), time.Until(x.deadline)))))
	x.waits++
	ctx, cancel := x.untilLate(ctx)
	defer cancel()
	began := time.Now()
	granted, after := x.gate.permits.ask(ctx, runOf(best.info.Load()), x.priority, wait, true)
	x.gate.meter.Latency("limit wait", time.Since(began))
	x.gate.log.Info("waited for limit", "id", x.call.ID, "upstream", best.info.Load().ID, "priority", x.priority, "allowed", wait, "took", time.Since(began), "granted", granted, "after", after)
	if !granted {
		x.roomAfter = after
		return nil
	}
	x.permits[best] = true
	delete(x.full, best)
	return best
}

// isAny fits all upstreams.
func isAny(*upstream) bool { return true }

// fullUpstreams returns the upstreams of the service at their limits that the request could be sent to otherwise.
func (x *exchange) fullUpstreams(isFit func(u *upstream) bool) []*upstream {
	var list []*upstream
	for _, u := range x.gate.snapshot.Load().services[x.service] {
		if u.isUsable() && !x.tried[u] && !u.isLeaving() && x.isFull(u) && isFit(u) {
			list = append(list, u)
		}
	}
	return list
}
