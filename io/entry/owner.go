package entry

import (
	"slices"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/parts"
)

const previousOwnerGrace = time.Minute // for which former owners stay linked beyond their time

// owners are the upstreams that own the keys minted before a time.
type ownership struct {
	until       time.Time
	upstreams   []*upstream
	isForgotten bool
}

// lag is the newest revision that another entry has, and since when this one lacks a newer one.
type newerConfig struct {
	revision int64
	since    time.Time
}

// outdated reports whether a newer configuration has been in force elsewhere for so long that
// the owners of keys may have changed.
func (e *Entry) isOutdated() bool {
	l := e.newerConfig.Load()
	return l != nil && l.revision > e.view.Load().revision && time.Since(l.since) > maxPropagation
}

// ownersAt returns the upstreams that own a target's keys minted at the given time, or false if
// that is forgotten.
func (v *view) ownersAt(target string, minted time.Time) ([]*upstream, bool) {
	for _, o := range v.previousOwners[target] {
		if minted.Before(o.until) {
			return o.upstreams, !o.isForgotten
		}
	}
	return v.targets[target], true
}

// formerOwners links to the upstreams that owned keys before; e.mu is held.
func (e *Entry) linkPreviousOwners(previous map[string][]parts.Membership, configured map[string]*upstream) map[string][]ownership {
	byTarget := make(map[string][]ownership)
	for target, memberships := range previous {
		// The newest first, since an upstream stays linked until its last set is past.
		for _, m := range slices.Backward(memberships) {
			o := ownership{until: m.Until, isForgotten: m.Unknown}
			for _, c := range m.Upstreams {
				o.upstreams = append(o.upstreams, e.previousOwner(c, m.Until.Add(previousOwnerGrace), configured))
			}
			byTarget[target] = append([]ownership{o}, byTarget[target]...)
		}
	}
	return byTarget
}

// formerUpstream returns the upstream at c's address, linked until the given time if it is not configured any more.
func (e *Entry) previousOwner(c conf.Upstream, until time.Time, configured map[string]*upstream) *upstream {
	if u := configured[c.Name]; u != nil && u.conf.Load().Address == c.Address {
		return u
	}
	if u := e.previousOwners[c.Address]; u != nil {
		return u
	}
	if time.Now().After(until) {
		removed := &upstream{entry: e}
		removed.conf.Store(&c)
		return removed
	}
	u := e.upstreams[c.Name]
	if u == nil || u.conf.Load().Address != c.Address {
		u = e.newUpstream(c)
	}
	e.previousOwners[c.Address] = u
	time.AfterFunc(time.Until(until), func() { e.dropPreviousOwner(u) })
	return u
}

func (e *Entry) dropPreviousOwner(u *upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.previousOwners, u.conf.Load().Address)
	u.retire()
}
