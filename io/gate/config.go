package gate

import (
	"pimentoseam/core/member"
	"pimentoseam/core/route"
	"pimentoseam/io/follow"
	"pimentoseam/platform"
)

// applyConfig puts the newest configuration of an update in force.
func (g *Gate) applyConfig(u follow.Update) {
	for _, item := range u.Items {
		if item.Key != platform.ConfigKey || item.Removed {
			continue
		}
		table, err := platform.ReadConfig(item.Value)
		if err != nil {
			g.log.Error("configuration not understood", "revision", item.Revision, "err", err)
			continue
		}
		g.adopt(table, "store")
	}
}

// adopt puts a configuration in force unless a newer one is.
func (g *Gate) adopt(table *route.Table, from string) {
	for {
		old := g.table.Load()
		if old != nil && old.Version >= table.Version {
			return
		}
		if g.table.CompareAndSwap(old, table) {
			break
		}
	}
	g.log.Info("config", "version", table.Version, "routes", len(table.Routes()), "from", from)
}

// fleet is the set of usable upstreams at one moment; it is never changed.
type fleet struct {
	known    bool
	services map[string][]*upstream
}

// applyMembers brings the set of upstreams up to date.
func (g *Gate) applyMembers(u follow.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		id := item.Key[len(platform.MemberPrefix):]
		if item.Removed {
			g.removeMember(id)
			continue
		}
		seen[id] = true
		m, err := platform.ReadMember(item.Key, item.Value)
		if err != nil {
			g.log.Warn("member not understood", "id", id, "revision", item.Revision, "err", err)
			g.removeMember(id)
			continue
		}
		g.putMember(m)
	}
	if u.Whole {
		for _, id := range g.members.IDs() {
			if !seen[id] {
				g.removeMember(id)
			}
		}
		g.known = true
	}
	g.publish()
}

func (g *Gate) putMember(m *member.Upstream) {
	old, ok := g.members.Get(m.ID)
	g.members.Put(m)
	if ok && *old == *m {
		return
	}
	if !ok || !old.Same(m) {
		delete(g.upstreams, m.ID)
		g.cached.Forget(m.ID)
	}
	g.log.Info("member", "id", m.ID, "service", m.Service, "addr", m.Addr, "zone", m.Zone, "state", m.State, "role", m.Role)
}

func (g *Gate) removeMember(id string) {
	if _, ok := g.members.Get(id); !ok {
		return
	}
	kept := g.members.Remove(id)
	g.log.Info("member removed", "id", id, "kept", kept)
}

// membersLost notes that the list can't be read.
func (g *Gate) membersLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.Unavailable()
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
	f := &fleet{known: g.known, services: make(map[string][]*upstream)}
	live := make(map[string]bool)
	for service, list := range g.members.Usable() {
		for _, m := range list {
			live[m.ID] = true
			u := g.upstreams[m.ID]
			if u == nil {
				u = newUpstream()
				g.upstreams[m.ID] = u
			}
			u.info.Store(m)
			f.services[service] = append(f.services[service], u)
		}
	}
	for id := range g.upstreams {
		if _, ok := g.members.Get(id); !ok {
			delete(g.upstreams, id)
			g.cached.Forget(id)
		}
	}
	g.fleet.Store(f)
}
