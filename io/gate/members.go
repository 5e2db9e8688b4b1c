package gate

import (
	"strings"

	"pimentoseam/core/beat"
	"pimentoseam/core/member"
	"pimentoseam/io/follow"
	"pimentoseam/platform"
)

// fleet is the set of usable upstreams at one moment; it is never changed.
type fleet struct {
	known    bool
	services map[string][]*upstream
	byKey    map[uint32]*upstream
}

// listed is the list of upstreams as the store holds it.
type listed struct {
	Revision int64                    // Of the newest change that is known.
	Whole    bool                     // Set on the whole list, which has all that are not gone.
	Items    map[string]platform.Item // By id.
	Gone     map[string]int64         // Revisions of removals by id.
	floor    int64                    // Removals up to here are not in Gone.
}

// mostGone bounds the removals that are kept to be told.
const mostGone = 1000

// since returns what changed after a revision, or the whole list if that is not known.
func (l *listed) since(after int64) *listed {
	changes := &listed{Revision: l.Revision, Whole: after < l.floor, Items: make(map[string]platform.Item), Gone: make(map[string]int64)}
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

// remove takes an entry out of the list.
func (l *listed) remove(id string, revision int64) {
	delete(l.Items, id)
	if len(l.Gone) >= mostGone {
		for _, at := range l.Gone {
			l.floor = max(l.floor, at)
		}
		clear(l.Gone)
	}
	l.Gone[id] = revision
}

// applyMembers brings the set of upstreams up to date.
func (g *Gate) applyMembers(u follow.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		id, ok := strings.CutPrefix(item.Key, platform.MemberPrefix)
		if !ok {
			continue
		}
		seen[id] = true
		g.applyMember(id, item)
	}
	if u.IsSnapshot {
		for _, id := range g.members.IDs() {
			if !seen[id] {
				g.removeMember(id, u.Revision)
			}
		}
		if !g.known {
			g.listed.floor = u.Revision
		}
		g.known = true
	}
	g.listed.Revision = max(g.listed.Revision, u.Revision)
	g.publish()
	g.gossip.Trigger()
}

// applyMember takes over one entry of the list.
func (g *Gate) applyMember(id string, item platform.Item) {
	g.listed.Revision = max(g.listed.Revision, item.Revision)
	if item.Removed {
		g.removeMember(id, item.Revision)
		return
	}
	if old := g.listed.Items[id]; old.Revision >= item.Revision {
		return
	}
	m, err := platform.ReadMember(item.Key, item.Value)
	if err != nil {
		g.meter.Count("member not understood")
		g.log.Warn("member not understood", "id", id, "revision", item.Revision, "err", err)
		g.removeMember(id, item.Revision)
		return
	}
	old, had := g.members.Get(id)
	if !g.members.Put(m, item.Revision) {
		return
	}
	g.listed.Items[id] = item
	delete(g.listed.Gone, id)
	if had && *old == *m {
		return
	}
	if had && !old.SameInstance(m) {
		delete(g.upstreams, id)
		g.cached.Remove(id)
	}
	g.log.Info("member", "id", id, "service", m.Service, "addr", m.Addr, "zone", m.Zone, "state", m.State, "role", m.Role,
		"revision", item.Revision)
}

func (g *Gate) removeMember(id string, revision int64) {
	outcome := g.members.Remove(id, revision)
	if outcome == member.Ignored {
		return
	}
	g.listed.remove(id, revision)
	g.log.Info("member removed", "id", id, "outcome", outcome, "revision", revision)
}

// membersLost notes that the list can't be read.
func (g *Gate) membersLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.RecordOutage()
}

// expireMembers drops the removed upstreams that did not come back.
func (g *Gate) expireMembers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	gone := g.members.Expire()
	if len(gone) == 0 {
		return
	}
	g.log.Info("members gone", "ids", gone)
	g.publish()
}

// publish makes the present set visible to requests; the lock must be held.
func (g *Gate) publish() {
	f := &fleet{known: g.known, services: make(map[string][]*upstream), byKey: make(map[uint32]*upstream)}
	for service, list := range g.members.Usable() {
		for _, m := range list {
			u := g.upstreams[m.ID]
			if u == nil {
				u = newUpstream(beat.Key(m.ID))
				g.upstreams[m.ID] = u
			}
			u.info.Store(m)
			f.services[service] = append(f.services[service], u)
			f.byKey[u.key] = u
		}
	}
	for id := range g.upstreams {
		if _, ok := g.members.Get(id); !ok {
			delete(g.upstreams, id)
			g.cached.Remove(id)
		}
	}
	g.fleet.Store(f)
}
