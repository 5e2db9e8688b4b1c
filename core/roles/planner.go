package roles

import (
	"math"
	"slices"
	"time"
)

// Role is the kind of work that an engine accepts. A decode engine gets no prompts here; the decode engines of
// packages member, place and split also process prompts and correspond to Mixed.
type Role string

// The roles of an engine.
const (
	Mixed   Role = "mixed"   // prefill and decode
	Prefill Role = "prefill" // prefill only
	Decode  Role = "decode"  // decode only
)

var allRoles = []Role{Mixed, Prefill, Decode}

// IsKnown reports whether engines can take the role.
func (r Role) IsKnown() bool {
	return slices.Contains(allRoles, r)
}

// Fleet holds the number of engines of one model in each role.
type Fleet struct {
	Mixed   int
	Prefill int
	Decode  int
}

// Demand is the offered load, as the number of specialised engines that it would keep fully busy.
type Demand struct {
	Prompt float64 // prefill work
	Output float64 // decode work
}

// Change moves one engine from one role to another.
type Change struct {
	From Role
	To   Role
	Gain float64 // expected additional work over the horizon, in engine-seconds
}

// Planner compares the gain of each possible role change with its cost under the observed demand.
type Planner struct {
	horizon       time.Duration
	downtime      time.Duration
	cooldown      time.Duration
	mixedOverhead float64
	imbalance     float64
	minGain       float64
	maxAge        time.Duration

	shortAverage  Demand
	longAverage   Demand
	lastObserved  time.Time
	firstObserved time.Time
	lastChange    time.Time
}

// Option configures a Planner.
type Option func(*Planner)

// WithHorizon sets how long the present demand is expected to last.
func WithHorizon(d time.Duration) Option {
	return func(p *Planner) { p.horizon = d }
}

// WithDowntime sets how long an engine serves no requests during a change, including its drain.
func WithDowntime(d time.Duration) Option {
	return func(p *Planner) { p.downtime = d }
}

// WithCooldown sets the minimum time between two changes.
func WithCooldown(d time.Duration) Option {
	return func(p *Planner) { p.cooldown = d }
}

// WithMixedOverhead sets the fraction by which work takes longer on a mixed engine.
func WithMixedOverhead(fraction float64) Option {
	return func(p *Planner) { p.mixedOverhead = fraction }
}

// WithImbalance sets the fraction of extra capacity that specialised engines need, since their pools are
// never loaded evenly.
func WithImbalance(fraction float64) Option {
	return func(p *Planner) { p.imbalance = fraction }
}

// WithMinGain sets the minimum gain of a change, in engine-seconds.
func WithMinGain(gain float64) Option {
	return func(p *Planner) { p.minGain = gain }
}

const (
	defaultHorizon       = 180 * time.Second
	defaultDowntime      = 15 * time.Second
	defaultCooldown      = 20 * time.Second
	defaultMixedOverhead = 0.25
	defaultImbalance     = 0.6
	defaultMinGain       = 15.0             // engine-seconds
	defaultMaxAge        = 15 * time.Second // age of the newest observation
	shortTimeConstant    = 10 * time.Second // time constant of the short moving average
	longTimeConstant     = 40 * time.Second // time constant of the long moving average, and the minimum time of observation
)

// New returns a Planner without observations.
func New(opts ...Option) *Planner {
	p := &Planner{
		horizon: defaultHorizon, downtime: defaultDowntime, cooldown: defaultCooldown,
		mixedOverhead: defaultMixedOverhead, imbalance: defaultImbalance, minGain: defaultMinGain, maxAge: defaultMaxAge,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Observe adds the mean demand since the previous observation.
func (p *Planner) Observe(d Demand) {
	now := time.Now()
	if p.lastObserved.IsZero() {
		p.lastObserved, p.firstObserved = now, now
		p.shortAverage, p.longAverage = d, d
		return
	}
	elapsed := now.Sub(p.lastObserved)
	p.lastObserved = now
	p.shortAverage = p.shortAverage.average(d, elapsed, shortTimeConstant)
	p.longAverage = p.longAverage.average(d, elapsed, longTimeConstant)
}

// average returns the exponential moving average with the time constant after the newest demand.
func (d Demand) average(newest Demand, elapsed, timeConstant time.Duration) Demand {
	weight := 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
	return Demand{
		Prompt: d.Prompt + weight*(newest.Prompt-d.Prompt),
		Output: d.Output + weight*(newest.Output-d.Output),
	}
}

// Next returns the change to make now and whether there is one. A change that it returns starts the cooldown.
// It returns none while observations are outdated or too few, within the cooldown after a change, or
// unless the gain is sufficient under both the short and the long moving average of the demand.
func (p *Planner) Next(f Fleet) (Change, bool) {
	now := time.Now()
	if p.lastObserved.IsZero() || now.Sub(p.lastObserved) > p.maxAge || now.Sub(p.firstObserved) < longTimeConstant {
		return Change{}, false
	}
	if !p.lastChange.IsZero() && now.Sub(p.lastChange) < p.cooldown {
		return Change{}, false
	}
	best := Change{Gain: p.minGain}
	for _, from := range allRoles {
		for _, to := range allRoles {
			if from == to || f.count(from) == 0 {
				continue
			}
			gain := min(p.gain(f, from, to, p.shortAverage), p.gain(f, from, to, p.longAverage))
			if gain > best.Gain {
				best = Change{From: from, To: to, Gain: gain}
			}
		}
	}
	if best.From == "" {
		return Change{}, false
	}
	p.lastChange = now
	return best, true
}

// gain returns the work that a change adds over the horizon, less the work lost during its downtime, in
// engine-seconds.
func (p *Planner) gain(f Fleet, from, to Role, d Demand) float64 {
	total := d.Prompt + d.Output
	before := p.ServedFraction(f, d) * total
	during := p.ServedFraction(f.add(from, -1), d) * total
	after := p.ServedFraction(f.add(from, -1).add(to, 1), d) * total
	effective := (p.horizon - p.downtime).Seconds()
	return (after-before)*effective - (before-during)*p.downtime.Seconds()
}

// ServedFraction returns the fraction of the demand that the fleet can serve, at most 1.
func (p *Planner) ServedFraction(f Fleet, d Demand) float64 {
	mixed := float64(f.Mixed) / (1 + p.mixedOverhead)
	prefill := float64(f.Prefill) / (1 + p.imbalance)
	decode := float64(f.Decode) / (1 + p.imbalance)
	fraction := 1.0
	if total := d.Prompt + d.Output; total > 0 {
		fraction = min(fraction, (prefill+decode+mixed)/total)
	}
	if d.Prompt > 0 {
		fraction = min(fraction, (prefill+mixed)/d.Prompt)
	}
	if d.Output > 0 {
		fraction = min(fraction, (decode+mixed)/d.Output)
	}
	return fraction
}

func (f Fleet) count(r Role) int {
	switch r {
	case Prefill:
		return f.Prefill
	case Decode:
		return f.Decode
	}
	return f.Mixed
}

func (f Fleet) add(r Role, n int) Fleet {
	switch r {
	case Prefill:
		f.Prefill += n
	case Decode:
		f.Decode += n
	default:
		f.Mixed += n
	}
	return f
}
