package gate

import (
	"bytes"

	"pimentoseam/core/mean"
	"pimentoseam/core/peak"
	"pimentoseam/core/route"
	"pimentoseam/io/follow"
	"pimentoseam/platform"
)

// applyConfig activates the configuration in an update from the store.
func (g *Gate) applyConfig(u follow.Update) {
	for _, item := range u.Items {
		if item.Key == platform.ConfigKey && !item.Removed {
			g.activate(item, "store")
		}
	}
}

// activeConfig is the configuration in force, with the store item that it was read from and this gate's statistics
// of its services and routes.
type activeConfig struct {
	item               platform.Item
	table              *route.Table
	decodeTimes        map[string]*mean.Mean // Mean time from the first event of a stream to its end, by service.
	maxStatedRemaining map[string]*peak.Peak // Largest remaining time that callers stated recently, by route.
	hadOrganisations   bool                  // This configuration or an earlier one has organisations.
}

// newActiveConfig returns an activeConfig that keeps the statistics of an older one; old is nil for none.
func newActiveConfig(item platform.Item, table *route.Table, old *activeConfig) *activeConfig {
	if old == nil {
		old = &activeConfig{}
	}
	c := &activeConfig{item: item, table: table, decodeTimes: make(map[string]*mean.Mean), maxStatedRemaining: make(map[string]*peak.Peak)}
	if table.Orgs != nil && table.Orgs.IsEmpty() && !old.hadOrganisations {
		// An empty list closes all routes only where the operator has removed the last organisation.
		open := *table
		open.Orgs = nil
		c.table = &open
	}
	c.hadOrganisations = old.hadOrganisations || c.table.Orgs != nil
	for _, r := range table.Routes() {
		if c.maxStatedRemaining[r.Name] = old.maxStatedRemaining[r.Name]; c.maxStatedRemaining[r.Name] == nil {
			c.maxStatedRemaining[r.Name] = peak.New()
		}
		for _, b := range r.Backends {
			if c.decodeTimes[b.Service] = old.decodeTimes[b.Service]; c.decodeTimes[b.Service] == nil {
				c.decodeTimes[b.Service] = mean.New()
			}
		}
	}
	return c
}

// activate puts a configuration in force unless the same or a newer version is already.
func (g *Gate) activate(item platform.Item, source string) {
	if c := g.config.Load(); c != nil && c.item.Revision == item.Revision && bytes.Equal(c.item.Value, item.Value) {
		return // Reading thousands of organisations again would cost an entry much of its processor time.
	}
	table, err := platform.ReadConfig(item.Value)
	if err != nil {
		g.meter.Count("configuration not understood")
		g.log.Error("invalid configuration ignored", "revision", item.Revision, "from", source, "err", err)
		return
	}
	for {
		old := g.config.Load()
		if old != nil && old.table.Version >= table.Version {
			return
		}
		if g.config.CompareAndSwap(old, newActiveConfig(item, table, old)) {
			break
		}
	}
	g.applyLimits()
	g.gossip.Trigger()
	g.log.Info("config", "version", table.Version, "revision", item.Revision, "routes", len(table.Routes()), "from", source)
	g.logOrganisations(table)
}

// logOrganisations logs the number of organisations of a configuration, and the keys that aren't used as they are written.
func (g *Gate) logOrganisations(table *route.Table) {
	if table.Orgs == nil {
		return
	}
	organisations, keys, ignored := table.Orgs.Len()
	conflicts, first := table.Orgs.Conflicts()
	g.log.Info("organisations", "version", table.Version, "organisations", organisations, "keys", keys, "ignored", ignored, "conflicts", conflicts)
	for _, c := range first {
		g.log.Warn("key of two organisations", "version", table.Version, "key", c.Fingerprint, "holder", c.Holder, "other", c.Other)
	}
}

// applyLimits sets the limits of the configuration in force in the server for callers.
func (g *Gate) applyLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server.SetLimits(g.config.Load().table.Limits)
}

// version returns the version of the configuration in force, 0 for none.
func (g *Gate) version() int64 {
	if c := g.config.Load(); c != nil {
		return c.table.Version
	}
	return 0
}
