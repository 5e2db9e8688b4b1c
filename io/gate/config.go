package gate

import (
	"pimentoseam/core/mean"
	"pimentoseam/core/peak"
	"pimentoseam/core/route"
	"pimentoseam/io/follow"
	"pimentoseam/platform"
)

// applyConfig puts the newest configuration of an update in force.
func (g *Gate) applyConfig(u follow.Update) {
	for _, item := range u.Items {
		if item.Key == platform.ConfigKey && !item.Removed {
			g.adopt(item, "store")
		}
	}
}

// document is a configuration with the value that it was read from, and what this gate has measured of its
// services and routes.
type document struct {
	item  platform.Item
	table *route.Table
	holds map[string]*mean.Mean // How long outputs of a service take from their first event on.
	fulls map[string]*peak.Peak // The most time that callers of a route say they have left.
}

// newDocument returns a document that goes on with what was measured under an older one, nil for none.
func newDocument(item platform.Item, table *route.Table, old *document) *document {
	if old == nil {
		old = &document{}
	}
	d := &document{item: item, table: table, holds: make(map[string]*mean.Mean), fulls: make(map[string]*peak.Peak)}
	for _, r := range table.Routes() {
		if d.fulls[r.Name] = old.fulls[r.Name]; d.fulls[r.Name] == nil {
			d.fulls[r.Name] = peak.New()
		}
		for _, b := range r.Backends {
			if d.holds[b.Service] = old.holds[b.Service]; d.holds[b.Service] == nil {
				d.holds[b.Service] = mean.New()
			}
		}
	}
	return d
}

// adopt puts a configuration in force unless a newer one is.
func (g *Gate) adopt(item platform.Item, from string) {
	table, err := platform.ReadConfig(item.Value)
	if err != nil {
		g.meter.Count("configuration not understood")
		g.log.Error("configuration not understood", "revision", item.Revision, "from", from, "err", err)
		return
	}
	for {
		old := g.config.Load()
		if old != nil && old.table.Version >= table.Version {
			return
		}
		if g.config.CompareAndSwap(old, newDocument(item, table, old)) {
			break
		}
	}
	g.limit()
	g.gossip.Trigger()
	g.log.Info("config", "version", table.Version, "revision", item.Revision, "routes", len(table.Routes()), "from", from)
}

// limit has the door keep to the limits of the configuration in force.
func (g *Gate) limit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.door.SetLimits(g.config.Load().table.Limits)
}

// version returns the version of the configuration in force, 0 for none.
func (g *Gate) version() int64 {
	if d := g.config.Load(); d != nil {
		return d.table.Version
	}
	return 0
}
