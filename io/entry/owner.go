package entry

import (
	"slices"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/parts"
)

const formerKeep = time.Minute // for which former owners stay linked beyond their time

// owners are the upstreams that own the keys minted before a time.
type owners struct {
	until     time.Time
	ups       []*upstream
	forgotten bool
}

// lag is the newest revision that another entry has, and since when this one lacks a newer one.
type lag struct {
	revision int64
	since    time.Time
}

// outdated reports whether a newer configuration has been in force elsewhere for so long that
// the owners of keys may have changed.
func (e *Entry) outdated() bool {
	l := e.lag.Load()
	return l != nil && l.revision > e.view.Load().revision && time.Since(l.since) > spreadMax
}

// ownersAt returns the upstreams that own a target's keys minted at the given time, or false if
// that is forgotten.
func (v *view) ownersAt(target string, minted time.Time) ([]*upstream, bool) {
	for _, o := range v.owners[target] {
		if minted.Before(o.until) {
			return o.ups, !o.forgotten
		}
	}
	return v.targets[target], true
}

// formerOwners links to the upstreams that owned keys before; e.mu is held.
func (e *Entry) formerOwners(former map[string][]parts.Membership, kept map[string]*upstream) map[string][]owners {
	found := make(map[string][]owners)
	for target, sets := range former {
		// The newest first, since an upstream stays linked until its last set is past.
		for _, s := range slices.Backward(sets) {
			o := owners{until: s.Until, forgotten: s.Unknown}
			for _, c := range s.Upstreams {
				o.ups = append(o.ups, e.formerUpstream(c, s.Until.Add(formerKeep), kept))
			}
			found[target] = append([]owners{o}, found[target]...)
		}
	}
	return found
}

// formerUpstream returns the upstream at c's address, linked until the given time if it is not configured any more.
func (e *Entry) formerUpstream(c conf.Upstream, until time.Time, kept map[string]*upstream) *upstream {
	if u := kept[c.Name]; u != nil && u.conf.Load().Address == c.Address {
		return u
	}
	if u := e.former[c.Address]; u != nil {
		return u
	}
	if time.Now().After(until) {
		removed := &upstream{entry: e}
		removed.conf.Store(&c)
		return removed
	}
	u := e.links[c.Name]
	if u == nil || u.conf.Load().Address != c.Address {
		u = e.newUpstream(c)
	}
	e.former[c.Address] = u
	time.AfterFunc(time.Until(until), func() { e.forget(u) })
	return u
}

func (e *Entry) forget(u *upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.former, u.conf.Load().Address)
	u.retire()
}
