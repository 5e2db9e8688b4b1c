package setup

// Change tells what a new reading of the settings changes in a running process.
type Change struct {
	Now   []string // In force at once.
	Later []string // Kept as they were until the next start: names and addresses that are in use.
}

func (c *Change) now(name string, differs bool) {
	if differs {
		c.Now = append(c.Now, name)
	}
}

func (c *Change) later(name string, differs bool) {
	if differs {
		c.Later = append(c.Later, name)
	}
}

// Replace prepares g to take the place of old in a running process: what can't change there stays as it was.
func (g *Gate) Replace(old *Gate) *Change {
	c := &Change{}
	c.later("name", g.Name != old.Name)
	c.later("zone", g.Zone != old.Zone)
	c.later("listen", g.Listen != old.Listen)
	c.later("ready", g.Ready != old.Ready)
	c.later("share", g.Share != old.Share)
	c.later("peer", g.Peer != old.Peer)
	c.later("debug", g.Debug != old.Debug)
	c.later("first", g.First != old.First)
	c.later("window", g.Window != old.Window)
	g.Name, g.Zone, g.First, g.Window = old.Name, old.Zone, old.First, old.Window
	g.Listen, g.Ready, g.Share, g.Peer, g.Debug = old.Listen, old.Ready, old.Share, old.Peer, old.Debug
	c.now("store", g.Store != old.Store)
	c.now("seeds", g.Seeds != old.Seeds)
	c.now("grace", g.Grace != old.Grace)
	c.now("drain", g.Drain != old.Drain)
	c.now("apply", g.Apply != old.Apply)
	c.now("lease", g.Lease != old.Lease)
	c.now("ratio", g.Ratio != old.Ratio)
	c.now("slack", g.Slack != old.Slack)
	return c
}

// Replace prepares t to take the place of old in a running process: what can't change there stays as it was.
func (t *Tend) Replace(old *Tend) *Change {
	c := &Change{}
	c.later("name", t.Name != old.Name)
	c.later("engine", t.Engine != old.Engine)
	c.later("service", t.Service != old.Service)
	c.later("peer", t.Peer != old.Peer)
	c.later("debug", t.Debug != old.Debug)
	t.Name, t.Engine, t.Service, t.Peer, t.Debug = old.Name, old.Engine, old.Service, old.Peer, old.Debug
	c.now("store", t.Store != old.Store)
	return c
}
