package member

import (
	"net/netip"
	"time"
)

// Role is what a model engine does.
type Role string

// The roles of an engine; a plain service has none.
const (
	Prefill Role = "prefill" // Processes prompts and hands them over.
	Decode  Role = "decode"  // Generates outputs; processes prompts at half the speed.
)

// State tells whether an upstream takes new work.
type State string

// The states of an upstream.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Upstream is one start of a replica as it describes itself.
type Upstream struct {
	ID      string
	Service string
	Addr    netip.AddrPort
	Zone    string
	State   State
	Role    Role
	Slots   int
	Cold    time.Duration // How much longer it is slow after its start.
	Born    int64         // Unix milliseconds of its start; 0 if it does not say.
}

// Same reports whether u and o are the same start of the same replica.
func (u *Upstream) Same(o *Upstream) bool {
	return u.ID == o.ID && u.Born == o.Born && u.Addr == o.Addr
}

const (
	// returnWait is how long a live replica may take to be listed again after the store's
	// return, by the platform's word about two seconds.
	returnWait = 2 * time.Second
	// leaveWait is how long a removed entry may still be used while it may be about to come
	// back; the platform allows 2 s until a leaving replica gets no new work.
	leaveWait = 1700 * time.Millisecond
)

// Set follows the platform's list through its outages.
// An upstream that is removed without having left may only have lapsed with the list's own outage. It is
// kept for a moment, and used meanwhile if there was an outage or if most of its service went with it.
//
// Changes may be told more than once and in any order, as by the list itself and by other entries:
// each carries the list's revision, and one that is not newer than what is known of its id does nothing.
type Set struct {
	entries map[string]*entry
	changed map[string]int64 // Revision of the newest change by id, of removed ones too.
	outage  time.Time        // When the list was last found to be unavailable.
}

type entry struct {
	upstream *Upstream
	expires  time.Time // Zero unless the entry was removed and may come back.
}

// New returns an empty Set.
func New() *Set {
	return &Set{entries: make(map[string]*entry), changed: make(map[string]int64)}
}

// Put adds or replaces an upstream; it reports whether the revision was news.
func (s *Set) Put(u *Upstream, revision int64) bool {
	if !s.news(u.ID, revision) {
		return false
	}
	s.entries[u.ID] = &entry{upstream: u}
	return true
}

// news notes a change of an id and reports whether it is newer than what is known.
func (s *Set) news(id string, revision int64) bool {
	if s.changed[id] >= revision {
		return false
	}
	s.changed[id] = revision
	return true
}

// Removal is what became of an entry that the list no longer has.
type Removal string

// The outcomes of a removal.
const (
	Known Removal = "known" // It was gone already, or something newer is known.
	Kept  Removal = "kept"  // It may only have lapsed and stays for a moment.
	Gone  Removal = "gone"
)

// Remove takes out an entry that the list at the given revision no longer has.
func (s *Set) Remove(id string, revision int64) Removal {
	e, ok := s.entries[id]
	if !s.news(id, revision) || !ok {
		return Known
	}
	if e.upstream.State != Ready {
		delete(s.entries, id)
		return Gone
	}
	if e.expires.IsZero() {
		e.expires = time.Now().Add(leaveWait)
	}
	return Kept
}

// Unavailable notes that the list can't be read now.
func (s *Set) Unavailable() {
	s.outage = time.Now()
}

// Expire drops the removed entries that did not come back and returns their ids.
func (s *Set) Expire() []string {
	var gone []string
	now := time.Now()
	for id, e := range s.entries {
		if !e.expires.IsZero() && !now.Before(e.expires) {
			delete(s.entries, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// IDs returns the ids of all entries, those that may come back included.
func (s *Set) IDs() []string {
	ids := make([]string, 0, len(s.entries))
	for id := range s.entries {
		ids = append(ids, id)
	}
	return ids
}

// Get returns an entry.
func (s *Set) Get(id string) (*Upstream, bool) {
	e, ok := s.entries[id]
	if !ok {
		return nil, false
	}
	return e.upstream, true
}

// Usable returns the upstreams that take new work, by service.
func (s *Set) Usable() map[string][]*Upstream {
	usable := make(map[string][]*Upstream)
	removed := make(map[string][]*Upstream)
	for _, e := range s.entries {
		u := e.upstream
		switch {
		case u.State != Ready:
		case e.expires.IsZero():
			usable[u.Service] = append(usable[u.Service], u)
		default:
			removed[u.Service] = append(removed[u.Service], u)
		}
	}
	outage := !s.outage.IsZero() && time.Since(s.outage) <= returnWait
	for service, list := range removed {
		if outage || len(list) > len(usable[service]) {
			usable[service] = append(usable[service], list...)
		}
	}
	return usable
}
