package gate

import (
	"pimentoseam/core/route"
	"pimentoseam/core/scale"
)

// plainConcurrency is the number of requests at a time that keep a plain upstream busy, if its service states no limit of
// connections. No deployment scales plain services yet, so it is a guess on the low side.
const plainConcurrency = 8

// numRoles is the number of roles of engines.
const numRoles = 2

// demands returns the demand for each service with autoscaling, by the zone of its upstreams. Any entry uses the upstreams of any
// zone, so the demand is shared out evenly.
func (g *Gate) demands() map[scale.Subject]scale.Demand {
	list := make(map[scale.Subject]scale.Demand)
	c := g.config.Load()
	if c == nil || !g.snapshot.Load().known {
		return list
	}
	for name, service := range c.table.Services {
		if service.Scaling == nil {
			continue
		}
		zones, busy := make(map[string]int), g.busyUpstreams(name, service)
		for _, u := range g.snapshot.Load().services[name] {
			if !u.replaced.Load() && !u.isLeaving() {
				zones[u.info.Load().Zone]++
			}
		}
		for zone, current := range zones {
			rules := *service.Scaling
			if service.Engine != nil && len(zones) == 1 {
				rules.Roles = numRoles
			}
			list[scale.Subject{Service: name, Zone: zone}] = scale.Demand{Rules: rules, Current: current, Busy: busy / float64(len(zones))}
		}
	}
	return list
}

// busyUpstreams returns how many upstreams of a service the requests of all entries keep busy.
func (g *Gate) busyUpstreams(name string, service *route.Service) float64 {
	if service.Engine != nil {
		return g.prefillDemand() + g.election.decodeDemand(name, service.Engine)
	}
	loads, running := g.peerLoads(), 0
	for _, u := range g.snapshot.Load().services[name] {
		running += int(u.running.Load()) + int(loads[u.key].Running)
	}
	capacity := plainConcurrency
	if service.MaxConns > 0 {
		capacity = min(capacity, service.MaxConns)
	}
	return float64(running) / float64(capacity)
}
