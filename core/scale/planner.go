package scale

import (
	"math"
	"time"
)

const (
	// targetUtilisation is the share of the upstreams that is planned to be busy. Above it, queues grow while further ones
	// boot.
	targetUtilisation = 0.7
	// fastTime and slowTime are the time constants of the two averages of the demand whose difference shows the trend.
	fastTime = 3 * time.Second
	slowTime = 15 * time.Second
	// warmUp is the time of observation before the first decision; the averages show nothing before.
	warmUp = slowTime
	// minHold is the shortest time for which fewer upstreams must suffice before some are stopped. It is longer than the
	// bursts of callers, and one that boots costs as much as it saves in this time.
	minHold = time.Minute
	// holdBoots is that time in boot times.
	holdBoots = 2
)

// Rules are the limits of a service's upstreams in one availability zone.
type Rules struct {
	Min, Max int
	Boot     time.Duration // Time until an upstream that was asked for serves requests.
	Roles    int           // Number of roles, each of which needs an upstream.
}

// Subject is what one decision sets the number of upstreams of.
type Subject struct {
	Service string
	Zone    string
}

// Demand is the demand for a service in an availability zone.
type Demand struct {
	Rules   Rules
	Current int     // Number of upstreams.
	Busy    float64 // Number of upstreams that the demand keeps busy.
}

// Planner decides the number of upstreams of a service in one availability zone.
type Planner struct {
	desired    int
	fast, slow float64       // Averages of the demand, in busy upstreams.
	began      time.Duration // Time of the first observation.
	observed   time.Duration // Time of the last one.
	fewerSince time.Duration // Since when fewer upstreams have sufficed; 0 if they don't.
	peak       int           // Most upstreams needed since then.
}

// New returns a Planner that begins with the present number of upstreams.
func New(current int) *Planner {
	return &Planner{desired: current}
}

// Observe records the demand, as the number of upstreams that it keeps busy.
func (p *Planner) Observe(demand float64, now time.Duration) {
	if p.observed == 0 {
		p.began, p.observed, p.fast, p.slow = now, now, demand, demand
		return
	}
	passed := max(0, now-p.observed)
	p.observed = now
	p.fast += (demand - p.fast) * (1 - math.Exp(-passed.Seconds()/fastTime.Seconds()))
	p.slow += (demand - p.slow) * (1 - math.Exp(-passed.Seconds()/slowTime.Seconds()))
}

// Desired returns the number of upstreams that the zone needs when one that is asked for now has booted, and false before
// enough is known.
func (p *Planner) Desired(rules Rules, now time.Duration) (int, bool) {
	if p.observed == 0 || now-p.began < warmUp {
		return 0, false
	}
	need := p.need(rules)
	if need >= p.desired {
		p.desired, p.fewerSince = need, 0
		return p.desired, true
	}
	if p.fewerSince == 0 {
		p.fewerSince, p.peak = now, need
	}
	p.peak = max(p.peak, need)
	if now-p.fewerSince >= max(minHold, holdBoots*rules.Boot) {
		p.desired, p.fewerSince = p.peak, 0
	}
	p.desired = min(p.desired, max(rules.Max, rules.least()))
	return p.desired, true
}

// need returns the number of upstreams for the demand that the trend leads to within the boot time. A falling trend isn't
// extended, since the demand may stay.
func (p *Planner) need(rules Rules) int {
	slope := max(0, (p.fast-p.slow)/(slowTime-fastTime).Seconds())
	forecast := p.fast + slope*rules.Boot.Seconds()
	// A need just above a whole number is that number; sums of many small loads are never exact.
	const tolerance = 1e-6
	n := int(math.Ceil(forecast/targetUtilisation - tolerance))
	return max(rules.least(), min(n, rules.Max))
}

// least returns the smallest number of upstreams.
func (r Rules) least() int {
	return max(r.Min, r.Roles)
}
