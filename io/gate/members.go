package gate

import (
	"strings"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/leave"
	"pimentoseam/core/member"
	"pimentoseam/core/stamp"
	"pimentoseam/io/follow"
	"pimentoseam/platform"
)

// upstreamSnapshot is an immutable snapshot of the usable upstreams.
type upstreamSnapshot struct {
	known    bool                   // The upstream list has been read.
	services map[string][]*upstream // By service.
	byKey    map[uint32]*upstream   // By the hash of the id that beats contain.
	runs     map[leave.Run]bool     // The runs of all upstreams in the set, usable or not.
}

// upstreamList is the upstream list as it is in the store, or the changes to it after some revision. Entries fetch it
// from each other as CBOR under these field names.
type upstreamList struct {
	Revision           int64                    // Stamp of the newest known change; those of Items and Gone are stamps, too.
	Whole              bool                     // Items is the complete list, not only the changes.
	Items              map[string]platform.Item // Store items by upstream id.
	Gone               map[string]int64         // Revisions of recent removals by upstream id.
	removalsKnownAfter int64                    // Removals up to this revision may be missing from Gone.
}

// maxRemovals limits the removals in Gone.
const maxRemovals = 1000

// withoutEras returns a copy with revisions in place of stamps, for entries that don't know eras.
func (l *upstreamList) withoutEras() *upstreamList {
	plain := &upstreamList{Revision: stamp.Revision(l.Revision), Whole: l.Whole, Items: make(map[string]platform.Item), Gone: make(map[string]int64)}
	for id, item := range l.Items {
		item.Revision = stamp.Revision(item.Revision)
		plain.Items[id] = item
	}
	for id, revision := range l.Gone {
		plain.Gone[id] = stamp.Revision(revision)
	}
	return plain
}

// changesSince returns the changes after a revision, or the whole list if removals after it are no longer known.
func (l *upstreamList) changesSince(after int64) *upstreamList {
	changes := &upstreamList{Revision: l.Revision, Whole: after < l.removalsKnownAfter, Items: make(map[string]platform.Item), Gone: make(map[string]int64)}
	for id, item := range l.Items {
		if changes.Whole || item.Revision > after {
			changes.Items[id] = item
		}
	}
	for id, revision := range l.Gone {
		if !changes.Whole && revision > after {
			changes.Gone[id] = revision
		}
	}
	return changes
}

// remove deletes an upstream from the list and records its removal.
func (l *upstreamList) remove(id string, revision int64) {
	delete(l.Items, id)
	if len(l.Gone) >= maxRemovals {
		for _, removed := range l.Gone {
			l.removalsKnownAfter = max(l.removalsKnownAfter, removed)
		}
		clear(l.Gone)
	}
	l.Gone[id] = revision
}

// applyMembers applies an update from the store or from another entry to the set of upstreams.
func (g *Gate) applyMembers(u follow.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if from, to := stamp.Era(g.storeList.Revision), stamp.Era(u.Revision); g.membersKnown && to > from {
		// The copy lacks what was registered since it was made.
		g.memberSet.RecordOutage()
		g.log.Warn("store came back from an older copy", "from", from, "era", to, "revision", stamp.Revision(u.Revision))
	}
	present := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		id, ok := strings.CutPrefix(item.Key, platform.MemberPrefix)
		if !ok {
			continue
		}
		present[id] = true
		g.applyMember(id, item)
	}
	if u.IsSnapshot {
		for _, id := range g.memberSet.IDs() {
			if !present[id] {
				g.removeMember(id, u.Revision)
			}
		}
		if !g.membersKnown {
			g.storeList.removalsKnownAfter = u.Revision
		}
		g.membersKnown = true
	}
	g.storeList.Revision = max(g.storeList.Revision, u.Revision)
	g.publishSnapshot()
	g.gossip.Trigger()
}

// applyMember applies one item of an update; the lock must be held.
func (g *Gate) applyMember(id string, item platform.Item) {
	g.storeList.Revision = max(g.storeList.Revision, item.Revision)
	if item.Removed {
		g.removeMember(id, item.Revision)
		return
	}
	if old := g.storeList.Items[id]; old.Revision >= item.Revision {
		return
	}
	m, err := platform.ReadMember(item.Key, item.Value)
	if err != nil {
		g.meter.Count("member not understood")
		g.log.Warn("invalid upstream list item", "id", id, "revision", item.Revision, "err", err)
		g.removeMember(id, item.Revision)
		return
	}
	old, existed := g.memberSet.Get(id)
	if !g.memberSet.Put(m, item.Revision) {
		return
	}
	g.storeList.Items[id] = item
	delete(g.storeList.Gone, id)
	if existed && old.SameState(m) {
		return
	}
	g.confirmBreakages(func(run *member.Upstream) bool { return (run.ID == m.ID || run.Addr == m.Addr) && !run.SameRun(m) })
	if existed && !old.SameRun(m) {
		delete(g.upstreamStates, id)
		g.cached.Remove(id)
	}
	g.log.Info("member", "id", id, "service", m.Service, "addr", m.Addr, "zone", m.Zone, "state", m.State, "role", m.Role,
		"revision", item.Revision)
}

// removeMember records that the list no longer has the upstream, unless a newer change is known. The set keeps an
// upstream that wasn't draining for the removal grace. The lock must be held.
func (g *Gate) removeMember(id string, revision int64) {
	outcome := g.memberSet.Remove(id, revision, g.settings().DrainTime.Duration())
	if outcome == member.Ignored {
		return
	}
	g.storeList.remove(id, revision)
	g.log.Info("upstream removed from list", "id", id, "outcome", outcome, "revision", revision)
}

// recordListOutage records that the upstream list can't be read now.
func (g *Gate) recordListOutage() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memberSet.RecordOutage()
}

// expireMembers drops the removed upstreams whose removal grace is over.
func (g *Gate) expireMembers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	expired := g.memberSet.Expire()
	if len(expired) == 0 {
		return
	}
	g.log.Info("removed upstreams expired", "ids", expired)
	g.publishSnapshot()
}

// publishSnapshot replaces the snapshot that requests use by one of the present set; the lock must be held.
func (g *Gate) publishSnapshot() {
	s := &upstreamSnapshot{known: g.membersKnown, services: make(map[string][]*upstream), byKey: make(map[uint32]*upstream), runs: make(map[leave.Run]bool)}
	for _, id := range g.memberSet.IDs() {
		if m, ok := g.memberSet.Get(id); ok {
			s.runs[runOf(m)] = true
		}
	}
	for service, list := range g.memberSet.Usable() {
		for _, m := range list {
			u := g.upstreamStates[m.ID]
			if u == nil {
				u = newUpstream(beat.Key(m.ID), listedRun{gate: g, info: m})
				g.upstreamStates[m.ID] = u
			}
			u.info.Store(m)
			g.markLeaving(u)
			s.services[service] = append(s.services[service], u)
			s.byKey[u.key] = u
		}
	}
	for id := range g.upstreamStates {
		if _, ok := g.memberSet.Get(id); !ok {
			delete(g.upstreamStates, id)
			g.cached.Remove(id)
		}
	}
	g.snapshot.Store(s)
	g.permits.book.Keep(func(r leave.Run) bool { return s.runs[r] })
	if next, ok := g.memberSet.NextExpiry(); ok {
		g.scheduleExpiry(time.Until(next))
	}
}

// scheduleExpiry calls expireMembers after d in place of any earlier schedule; the lock must be held.
func (g *Gate) scheduleExpiry(d time.Duration) {
	if g.expiry == nil {
		g.expiry = time.AfterFunc(d, g.expireMembers)
		return
	}
	g.expiry.Reset(d)
}
