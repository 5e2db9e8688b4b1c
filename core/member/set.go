package member

import (
	"net/netip"
	"time"

	"pimentoseam/core/stamp"
)

// Role is the phase of inference that a model engine runs. Decode corresponds to the role "mixed" in packages roles and
// pick, whose decode engines get no prompts.
type Role string

// The roles of an engine; a plain service has none.
const (
	Prefill Role = "prefill" // Processes prompts and transfers their KV cache.
	Decode  Role = "decode"  // Generates outputs; can process prompts, at half the speed.
)

// IsKnown reports whether engines can take the role.
func (r Role) IsKnown() bool {
	return r == Prefill || r == Decode
}

// State is an upstream's readiness for new work.
type State string

// The states of an upstream.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Upstream describes an upstream as the platform lists it.
type Upstream struct {
	ID              string
	Service         string
	Addr            netip.AddrPort
	Zone            string
	State           State
	Role            Role
	Slots           int
	RemainingWarmUp time.Duration // How much longer the upstream is slow after its start.
	Started         int64         // Start time in Unix milliseconds; 0 if the upstream doesn't report it.
	Registrations   int64         // How often this run has registered; a copy of an older registration has a lower number.
}

// SameState reports whether u and o differ at most in the number of registrations.
func (u *Upstream) SameState(o *Upstream) bool {
	same := *u
	same.Registrations = o.Registrations
	return same == *o
}

// SameRun reports whether u and o are the same run of the same upstream, not restarted in between.
func (u *Upstream) SameRun(o *Upstream) bool {
	return u.ID == o.ID && u.Started == o.Started && u.Addr == o.Addr
}

const (
	// recentOutageWindow is how long after an outage of the list removed upstreams stay usable without further
	// evidence. The platform takes about two seconds to list a running upstream again after an outage of the store.
	recentOutageWindow = 2 * time.Second
	// removalGrace is how long a removed upstream stays in the set in case it is listed again. After an outage of the
	// list, running upstreams are listed again within about two seconds.
	removalGrace = 1700 * time.Millisecond
	// removalReserve is the part of the drain time for entries to learn of a removal and for the last request to arrive.
	removalReserve = 500 * time.Millisecond
	// departureMemory is how long the departure of a run is remembered. Upstreams that leave exit within a minute.
	departureMemory = time.Minute
	// copyTimeout is how long an upstream that was removed stays out after an older copy of the list has brought its
	// registration back. A running upstream registers again within about two seconds; that of one that is gone
	// lapses in the same time.
	copyTimeout = 5 * time.Second
)

// Set is the membership of the platform's upstream list, tolerant of outages of the list.
// The registration of an upstream that is removed without draining first may have expired only because the
// list was unavailable. Such an upstream is retained for removalGrace after a recent outage, otherwise for the drain time
// less removalReserve if that is shorter. It is usable meanwhile after a recent outage or if more upstreams of its service
// were removed than remain.
//
// Changes may arrive repeatedly and in any order, from the list and from other entries. Each carries the
// list's revision as a stamp, and one that isn't newer than the last change of the same id is ignored.
//
// The list may also come back from an older copy, in a new era. The copy can't undo what an upstream has stated since:
// a run that was draining stays so, and one that was removed stays out until it registers again.
type Set struct {
	records    map[string]*record
	departures map[string]departure // The last departure by id.
	revisions  map[string]int64     // The revision of the newest change by id, including removed ids.
	lastOutage time.Time            // The last time at which the list was unavailable.
}

// record is an upstream in a Set.
type record struct {
	upstream *Upstream
	expires  time.Time // The end of the removal grace; zero unless the upstream was removed.
	held     time.Time // Until then the upstream is out, because its registration may be an older copy; zero for none.
}

// departure is the last change by which a run of an upstream left.
type departure struct {
	upstream *Upstream
	era      int64
	at       time.Time
}

// New returns an empty Set.
func New() *Set {
	return &Set{records: make(map[string]*record), departures: make(map[string]departure), revisions: make(map[string]int64)}
}

// Put adds or replaces an upstream; it reports whether the revision is newer than the known one.
func (s *Set) Put(u *Upstream, revision int64) bool {
	if !s.advance(u.ID, revision) {
		return false
	}
	r := &record{upstream: u}
	if d, ok := s.departures[u.ID]; ok && d.isUndoneBy(u, revision) {
		switch {
		case d.upstream.State == Draining:
			draining := *u
			draining.State = Draining
			r.upstream = &draining
		case u.Registrations <= d.upstream.Registrations:
			r.held = time.Now().Add(copyTimeout)
		}
	}
	if r.upstream.State == Draining {
		s.recordDeparture(r.upstream, revision)
	}
	s.records[u.ID] = r
	return true
}

// isUndoneBy reports whether a registration in a later era shows the run that has left as ready.
func (d departure) isUndoneBy(u *Upstream, revision int64) bool {
	return u.State == Ready && u.SameRun(d.upstream) && stamp.Era(revision) > d.era && time.Since(d.at) < departureMemory
}

// recordDeparture records that a run leaves or was removed.
func (s *Set) recordDeparture(u *Upstream, revision int64) {
	for id, d := range s.departures {
		if time.Since(d.at) >= departureMemory {
			delete(s.departures, id)
		}
	}
	if d, ok := s.departures[u.ID]; ok && d.upstream.SameRun(u) && d.upstream.State == Draining {
		return // The first departure of the run counts, in the era in which it was stated.
	}
	s.departures[u.ID] = departure{upstream: u, era: stamp.Era(revision), at: time.Now()}
}

// HasLeft reports whether a run has stated within departureMemory that it leaves, or was removed from the list and has not come
// back. Both may precede a crash, and a registration may lapse while its run goes on.
func (s *Set) HasLeft(u *Upstream) bool {
	d, ok := s.departures[u.ID]
	if !ok || !d.upstream.SameRun(u) || time.Since(d.at) >= departureMemory {
		return false
	}
	r, listed := s.records[u.ID]
	isBack := listed && r.expires.IsZero() && r.upstream.SameRun(u)
	return d.upstream.State == Draining || !isBack
}

// advance records the revision of an id's change and reports whether it is newer than the known one.
func (s *Set) advance(id string, revision int64) bool {
	if s.revisions[id] >= revision {
		return false
	}
	s.revisions[id] = revision
	return true
}

// Removal is the outcome of a Remove.
type Removal string

// The outcomes of a removal.
const (
	Ignored  Removal = "known" // The upstream was not in the set, or a newer change is known.
	Retained Removal = "kept"  // Only the registration may have expired, so the upstream stays for the removal grace.
	Removed  Removal = "gone"  // The upstream was draining and is out of the set.
)

// Remove handles an upstream that the list no longer has at the given revision. An upstream that leaves must get no
// requests after drainTime.
func (s *Set) Remove(id string, revision int64, drainTime time.Duration) Removal {
	r, ok := s.records[id]
	if !s.advance(id, revision) || !ok {
		return Ignored
	}
	s.recordDeparture(r.upstream, revision)
	if r.upstream.State != Ready {
		delete(s.records, id)
		return Removed
	}
	if r.expires.IsZero() {
		grace := removalGrace
		if !s.hadRecentOutage() {
			grace = min(grace, drainTime-removalReserve)
		}
		r.expires = time.Now().Add(grace)
	}
	return Retained
}

// RecordOutage records that the list is unavailable now.
func (s *Set) RecordOutage() {
	s.lastOutage = time.Now()
}

func (s *Set) hadRecentOutage() bool {
	return !s.lastOutage.IsZero() && time.Since(s.lastOutage) <= recentOutageWindow
}

// NextExpiry returns the time of the next change by Expire, and false if there is none.
func (s *Set) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, r := range s.records {
		for _, t := range []time.Time{r.expires, r.held} {
			if !t.IsZero() && (next.IsZero() || t.Before(next)) {
				next = t
			}
		}
	}
	return next, !next.IsZero()
}

// Expire drops the retained upstreams whose grace is over and admits those that were held long enough. It returns the
// ids of both.
func (s *Set) Expire() []string {
	var expired []string
	now := time.Now()
	for id, r := range s.records {
		if !r.expires.IsZero() && !now.Before(r.expires) {
			delete(s.records, id)
			expired = append(expired, id)
		}
		if !r.held.IsZero() && !now.Before(r.held) {
			r.held = time.Time{}
			expired = append(expired, id)
		}
	}
	return expired
}

// IDs returns the ids of all upstreams, including those in their removal grace.
func (s *Set) IDs() []string {
	ids := make([]string, 0, len(s.records))
	for id := range s.records {
		ids = append(ids, id)
	}
	return ids
}

// Get returns the upstream with the given id.
func (s *Set) Get(id string) (*Upstream, bool) {
	r, ok := s.records[id]
	if !ok {
		return nil, false
	}
	return r.upstream, true
}

// Usable returns the upstreams that may get new work, by service.
func (s *Set) Usable() map[string][]*Upstream {
	usable := make(map[string][]*Upstream)
	removed := make(map[string][]*Upstream)
	for _, r := range s.records {
		u := r.upstream
		switch {
		case u.State != Ready || !r.held.IsZero():
		case r.expires.IsZero():
			usable[u.Service] = append(usable[u.Service], u)
		default:
			removed[u.Service] = append(removed[u.Service], u)
		}
	}
	recentOutage := s.hadRecentOutage()
	for service, list := range removed {
		if recentOutage || len(list) > len(usable[service]) {
			usable[service] = append(usable[service], list...)
		}
	}
	return usable
}
