package quota

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/leave"
	"pimentoseam/core/permit"
)

const (
	// callerShare is the share of a limit that the entries use. The agent beside an engine, which asks for its state and gives
	// it orders, has the rest.
	callerShare = 0.9
	// minRate is the rate of permits, a second, at limits below it, 0 included. An upstream that gets no requests
	// could never say that it has no limit any more.
	minRate = 0.25
	// settleTime is the time from a claim until the first permit. Other entries that have claimed the limit at the same time
	// are heard of by then.
	settleTime = 400 * time.Millisecond
	// learnTime is the time from the start of an entry until it gives out permits if no other entry has told it anything.
	learnTime = 2 * time.Second
	// minChange is the smallest change of a rate, as a share of it, that counts. Half of the limit is tolerated.
	minChange = 0.05
	// raisePause is the time after a change in which a limit isn't raised and doesn't end, so that one that goes up and down
	// with each answer isn't told all the time.
	raisePause = time.Second
	// maxSilence and maxUnanswered are the time and the number of asks without an answer after which an entry claims a limit.
	maxSilence    = time.Second
	maxUnanswered = 3
	// probeAfter is the time without an answer of an upstream with a limit after which it gets a request that would have gone
	// elsewhere. Only an answer shows that the limit has ended.
	probeAfter = 2 * time.Second
	// tellTime is how long the end of a limit is told.
	tellTime = 30 * time.Second
)

// Book holds the limits that one entry knows, and gives out the permits of those that it owns. Its methods may be called
// concurrently.
type Book struct {
	name    string
	addr    netip.AddrPort
	started time.Time

	hasLimits atomic.Bool // Some limit is in force; where none is, requests take no lock.

	mu     sync.Mutex
	limits map[leave.Run]*record
	reach  float64 // The part of all entries that this one hears.
	heard  bool    // Another entry has told a limit.
}

// record is one limit with what this entry alone knows about it.
type record struct {
	Limit
	changedAt  time.Time     // When Rate became known here.
	statedAt   time.Time     // When an entry last got an answer of the upstream.
	probedAt   time.Time     // When this entry last sent a request because no entry had got one; see Probe.
	queue      *permit.Queue // Nil unless this entry is the owner.
	silentFrom time.Time     // When the first ask without an answer was sent; zero if the last one had an answer.
	unanswered int
	noRoom     time.Time // Until then the owner has no permit for this entry.
}

// told returns the limit as it is told to other entries.
func (r *record) told() Limit {
	l := r.Limit
	l.Age = uint32(min(time.Since(r.statedAt).Milliseconds(), math.MaxUint32))
	return l
}

// observe records that an entry got an answer of the upstream some milliseconds ago.
func (r *record) observe(age uint32) {
	if at := time.Now().Add(-time.Duration(age) * time.Millisecond); at.After(r.statedAt) {
		r.statedAt = at
	}
}

// isPaused reports whether the rate has changed so recently that it doesn't rise.
func (r *record) isPaused() bool {
	return time.Since(r.changedAt) < raisePause
}

// Change is a change of a limit, or of its owner, for the log.
type Change struct {
	Limit Limit
	From  string // Who told it: an entry, or "itself" for the upstream.
}

// PerSecond returns the limit in requests a second, and false if there is none any more.
func (c *Change) PerSecond() (float64, bool) {
	return float64(c.Limit.Rate) / rateUnit, c.Limit.Rate != Unlimited
}

// New returns the Book of the entry with a name and a gossip address.
func New(name string, addr netip.AddrPort) *Book {
	return &Book{name: name, addr: addr, started: time.Now(), limits: make(map[leave.Run]*record), reach: 1}
}

// SetReach sets how many of the known entries this one hears, itself included. It gives out only this part of a limit.
func (b *Book) SetReach(heard, known int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reach = float64(max(1, heard)) / float64(max(1, heard, known))
}

// Named handles an answer of an upstream that names a limit, in requests a second, to a request that was sent at a time. An
// answer that may be older than what is known changes nothing.
func (b *Book) Named(run leave.Run, perSecond float64, sentAt time.Time) (Change, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.updateHasLimits()
	rate := toRate(perSecond)
	r := b.limits[run]
	if r == nil {
		r = &record{Limit: Limit{Run: run, Version: 1, Rate: rate}, changedAt: time.Now(), statedAt: time.Now()}
		b.limits[run] = r
		b.claim(r)
		return Change{Limit: r.Limit, From: "itself"}, true
	}
	r.observe(0)
	if !sentAt.After(r.changedAt) || !isChange(r.Rate, rate) || (rate > r.Rate && r.isPaused()) {
		return Change{}, false
	}
	return b.change(r, rate), true
}

// isChange reports whether a rate differs enough from the present one.
func isChange(present, rate uint32) bool {
	if present == Unlimited {
		return true
	}
	return math.Abs(float64(rate)-float64(present)) > minChange*float64(present)
}

// Unnamed handles an answer of an upstream that names no limit, to a request that was sent at a time.
func (b *Book) Unnamed(run leave.Run, sentAt time.Time) (Change, bool) {
	if !b.hasLimits.Load() {
		return Change{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.updateHasLimits()
	r := b.limits[run]
	if r == nil || r.Rate == Unlimited || !sentAt.After(r.changedAt) || r.isPaused() {
		return Change{}, false
	}
	return b.change(r, Unlimited), true
}

// change records a rate that the upstream states; the lock must be held.
func (b *Book) change(r *record, rate uint32) Change {
	r.Version++
	r.Rate, r.changedAt, r.noRoom = rate, time.Now(), time.Time{}
	r.observe(0)
	return Change{Limit: r.Limit, From: "itself"}
}

// claim makes this entry the owner of a limit, which gives out permits some time later; the lock must be held.
func (b *Book) claim(r *record) {
	r.Term++
	r.Owner, r.Addr = b.name, b.addr
	start := time.Now().Add(settleTime)
	if learned := b.started.Add(learnTime); !b.heard && learned.After(start) {
		start = learned
	}
	r.queue = permit.New(start)
	r.silentFrom, r.unanswered, r.noRoom = time.Time{}, 0, time.Time{}
}

// Merge adds limits that another entry has told, for the runs that isListed accepts. It returns the changes, and replies to
// asks that waited here for permits of limits that other entries own now.
func (b *Book) Merge(limits []Limit, from string, isListed func(leave.Run) bool) ([]Change, []permit.Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.updateHasLimits()
	var changes []Change
	var replies []permit.Reply
	for i := range limits {
		l := &limits[i]
		if !isListed(l.Run) {
			continue
		}
		b.heard = true
		changed, dissolved := b.merge(l)
		if changed {
			changes = append(changes, Change{Limit: b.limits[l.Run].Limit, From: from})
		}
		replies = append(replies, dissolved...)
	}
	return changes, replies
}

// merge adds one limit; the lock must be held.
func (b *Book) merge(l *Limit) (changed bool, replies []permit.Reply) {
	r := b.limits[l.Run]
	if r == nil {
		r = &record{Limit: *l, changedAt: time.Now()}
		r.observe(l.Age)
		b.limits[l.Run] = r
		if l.Owner == b.name {
			b.claim(r) // This entry has started again.
		}
		return true, nil
	}
	if l.hasNewerRate(&r.Limit) {
		r.Version, r.Rate, r.changedAt, r.noRoom, changed = l.Version, l.Rate, time.Now(), time.Time{}, true
	}
	if l.Version == r.Version {
		r.observe(l.Age)
	}
	if !l.hasNewerOwner(&r.Limit) {
		return changed, nil
	}
	if r.queue != nil {
		replies = r.queue.Dissolve()
	}
	r.Term, r.Owner, r.Addr, r.queue = l.Term, l.Owner, l.Addr, nil
	r.silentFrom, r.unanswered, r.noRoom = time.Time{}, 0, time.Time{}
	if l.Owner == b.name {
		b.claim(r)
	}
	return true, replies
}

// Limits returns up to most limits for the other entries.
func (b *Book) Limits(most int) []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Limit
	for _, r := range b.limits {
		if len(list) < most && (r.Rate != Unlimited || time.Since(r.changedAt) < tellTime) {
			list = append(list, r.told())
		}
	}
	return list
}

// Keep drops the limits of runs that isListed doesn't accept.
func (b *Book) Keep(isListed func(leave.Run) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.updateHasLimits()
	for run := range b.limits {
		if !isListed(run) {
			delete(b.limits, run)
		}
	}
}

// updateHasLimits sets hasLimits; the lock must be held.
func (b *Book) updateHasLimits() {
	b.hasLimits.Store(b.inForce() > 0)
}

// Get returns the limit of a run, and false if it has none.
func (b *Book) Get(run leave.Run) (Limit, bool) {
	if !b.hasLimits.Load() {
		return Limit{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limits[run]
	if r == nil || r.Rate == Unlimited {
		return Limit{}, false
	}
	return r.told(), true
}

// Probe reports whether an upstream with a limit hasn't answered any entry for so long that this entry must send it a request
// now. Until that is answered, it sends another one only after the same time, since the upstream may be silent.
func (b *Book) Probe(run leave.Run) bool {
	if !b.hasLimits.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limits[run]
	if r == nil || r.Rate == Unlimited || time.Since(r.statedAt) <= probeAfter || time.Since(r.probedAt) <= probeAfter {
		return false
	}
	r.probedAt = time.Now()
	return true
}

// HasLimits reports whether some limit is in force; it takes no lock.
func (b *Book) HasLimits() bool {
	return b.hasLimits.Load()
}

// InForce returns the number of limits in force.
func (b *Book) InForce() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inForce()
}

// inForce is InForce; the lock must be held.
func (b *Book) inForce() int {
	n := 0
	for _, r := range b.limits {
		if r.Rate != Unlimited {
			n++
		}
	}
	return n
}

// NoRoom returns how long there is no permit for this entry as far as it knows; at most 0 if there may be one.
func (b *Book) NoRoom(run leave.Run) time.Duration {
	if !b.hasLimits.Load() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limits[run]
	if r == nil || r.Rate == Unlimited {
		return 0
	}
	return time.Until(r.noRoom)
}

// rate returns the permits a second that this entry gives out as the owner; the lock must be held.
func (b *Book) rate(r *record) float64 {
	return max(minRate, callerShare*float64(r.Rate)/rateUnit) * b.reach
}

// Share returns the permits a second of a limit that its owner gives out, if that is this entry.
func (b *Book) Share(run leave.Run) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limits[run]
	if r == nil || r.queue == nil || r.Rate == Unlimited {
		return 0, false
	}
	return b.rate(r), true
}

// Ask handles an ask of the entry at an address, of this entry if that is not valid. It returns replies to it and to asks
// that it displaces.
func (b *Book) Ask(a permit.Ask, from netip.AddrPort) []permit.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limits[a.Run]
	switch {
	case r != nil && r.Rate == Unlimited:
		return []permit.Reply{{To: from, Answer: permit.Answer{ID: a.ID, Outcome: permit.Granted}}}
	case r == nil || r.queue == nil:
		return []permit.Reply{{To: from, Answer: permit.Answer{ID: a.ID, Outcome: permit.Moved}}}
	}
	return r.queue.Add(a, from, b.rate(r))
}

// Due returns replies to asks whose wait is over, and the time until the next is, 0 if none waits.
func (b *Book) Due() ([]permit.Reply, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var replies []permit.Reply
	var next time.Time
	for _, r := range b.limits {
		if r.queue == nil {
			continue
		}
		if r.Rate == Unlimited {
			replies = append(replies, r.queue.GrantAll()...)
			continue
		}
		rate := b.rate(r)
		replies = append(replies, r.queue.Advance(rate)...)
		if at, ok := r.queue.Next(rate); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if next.IsZero() {
		return replies, 0
	}
	return replies, max(time.Millisecond, time.Until(next))
}

// Answered records an answer of the owner to an ask of this entry.
func (b *Book) Answered(ask permit.Ask, a permit.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limits[ask.Run]
	if r == nil {
		return
	}
	r.silentFrom, r.unanswered = time.Time{}, 0
	if a.Outcome == permit.Refused && !ask.Final {
		r.noRoom = time.Now().Add(time.Duration(a.After) * time.Millisecond)
	}
}

// Unanswered records an ask of this entry, sent at a time, that the owner didn't answer. If the owner has been silent for too
// long, this entry becomes the owner.
func (b *Book) Unanswered(run leave.Run, sentAt time.Time) (Change, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.limits[run]
	if r == nil || r.queue != nil || r.Rate == Unlimited {
		return Change{}, false
	}
	if r.silentFrom.IsZero() {
		r.silentFrom = sentAt
	}
	r.unanswered++
	if r.unanswered < maxUnanswered || time.Since(r.silentFrom) < maxSilence {
		return Change{}, false
	}
	b.claim(r)
	return Change{Limit: r.Limit, From: b.name}, true
}
