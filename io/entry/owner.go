package entry

import (
	"slices"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/parts"
)

// previousOwnerGrace is the time for which an upstream stays linked after it stopped owning new keys, so that
// requests with older keys can still be answered.
const previousOwnerGrace = time.Minute

// ownership is a previous membership of a target, whose upstreams own the keys minted before until and not
// before the until of an older ownership.
type ownership struct {
	until     time.Time
	upstreams []*upstream
	isUnknown bool // The membership is no longer known.
}

// newerConfig is the newest configuration revision that was reported by another process.
type newerConfig struct {
	revision int64
	since    time.Time // When this entry first learned of a revision newer than its own.
}

// isOutdated reports whether a newer configuration has been in force elsewhere for so long that the owners
// of keys may have changed.
func (e *Entry) isOutdated() bool {
	l := e.newerConfig.Load()
	return l != nil && l.revision > e.view.Load().revision && time.Since(l.since) > maxPropagation
}

// ownersAt returns the upstreams that own the target's keys minted at the given time, and whether they are
// known.
func (v *view) ownersAt(target string, minted time.Time) ([]*upstream, bool) {
	for _, o := range v.previousOwners[target] {
		if minted.Before(o.until) {
			return o.upstreams, !o.isUnknown
		}
	}
	return v.targets[target], true
}

// linkPreviousOwners returns the ownerships of each target, the oldest first, and keeps links to their
// upstreams. The caller must hold e.mu.
func (e *Entry) linkPreviousOwners(previous map[string][]parts.Membership, configured map[string]*upstream) map[string][]ownership {
	byTarget := make(map[string][]ownership)
	for target, memberships := range previous {
		// The newest first, since the first call for an upstream sets how long it stays linked.
		for _, m := range slices.Backward(memberships) {
			o := ownership{until: m.Until, isUnknown: m.Unknown}
			for _, c := range m.Upstreams {
				o.upstreams = append(o.upstreams, e.previousOwner(c, m.Until.Add(previousOwnerGrace), configured))
			}
			byTarget[target] = append([]ownership{o}, byTarget[target]...)
		}
	}
	return byTarget
}

// previousOwner returns the upstream at c's address. If it is no longer configured, it stays linked until
// the given time; after that, the result has no link and a nil cancel. The caller must hold e.mu.
func (e *Entry) previousOwner(c conf.Upstream, until time.Time, configured map[string]*upstream) *upstream {
	if u := configured[c.Name]; u != nil && u.conf.Load().Address == c.Address {
		return u
	}
	if u := e.previousOwners[c.Address]; u != nil {
		return u
	}
	if time.Now().After(until) {
		unlinked := &upstream{entry: e}
		unlinked.conf.Store(&c)
		return unlinked
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
