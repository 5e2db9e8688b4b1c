package setup

// Change tells what a new reading of the settings changes in a running process.
type Change struct {
	Now   []string // In force at once.
	Later []string // Kept as they were until the next start: names and addresses that are in use.
}

// note adds a setting's name to a list if it differs.
func note(list *[]string, name string, differs bool) {
	if differs {
		*list = append(*list, name)
	}
}

// Replace prepares g to take the place of old in a running process: what can't change there stays as it was.
func (g *Gate) Replace(old *Gate) *Change {
	c := &Change{}
	note(&c.Later, "name", g.Name != old.Name)
	note(&c.Later, "zone", g.Zone != old.Zone)
	note(&c.Later, "listen", g.Listen != old.Listen)
	note(&c.Later, "ready", g.Ready != old.Ready)
	note(&c.Later, "share", g.Share != old.Share)
	note(&c.Later, "peer", g.Peer != old.Peer)
	note(&c.Later, "debug", g.Debug != old.Debug)
	note(&c.Later, "first", g.First != old.First)
	note(&c.Later, "window", g.Window != old.Window)
	g.Name, g.Zone, g.First, g.Window = old.Name, old.Zone, old.First, old.Window
	g.Listen, g.Ready, g.Share, g.Peer, g.Debug = old.Listen, old.Ready, old.Share, old.Peer, old.Debug
	note(&c.Now, "store", g.Store != old.Store)
	note(&c.Now, "seeds", g.Seeds != old.Seeds)
	note(&c.Now, "grace", g.Grace != old.Grace)
	note(&c.Now, "drain", g.Drain != old.Drain)
	note(&c.Now, "apply", g.Apply != old.Apply)
	note(&c.Now, "lease", g.Lease != old.Lease)
	note(&c.Now, "ratio", g.Ratio != old.Ratio)
	note(&c.Now, "slack", g.Slack != old.Slack)
	return c
}

// Replace prepares t to take the place of old in a running process: what can't change there stays as it was.
func (t *Tend) Replace(old *Tend) *Change {
	c := &Change{}
	note(&c.Later, "name", t.Name != old.Name)
	note(&c.Later, "engine", t.Engine != old.Engine)
	note(&c.Later, "service", t.Service != old.Service)
	note(&c.Later, "peer", t.Peer != old.Peer)
	note(&c.Later, "debug", t.Debug != old.Debug)
	t.Name, t.Engine, t.Service, t.Peer, t.Debug = old.Name, old.Engine, old.Service, old.Peer, old.Debug
	note(&c.Now, "store", t.Store != old.Store)
	return c
}
