package trial_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/model"
	"pimentoseam/core/pick"
	"pimentoseam/core/roles"
	"pimentoseam/core/trace"
	"pimentoseam/core/trial"
)

// policy is a named way to run a site's fleet; the baselines are naive versions of the shipped one.
type policy struct {
	name string
	opts func(site trace.Site, m *trace.Maker) []trial.Option
}

// follower sets the split to the newest mix, whatever a change costs.
type follower struct {
	mix float64
}

func (f *follower) Observe(d roles.Demand) {
	if total := d.Prompt + d.Output; total > 0 {
		f.mix = d.Prompt / total
	}
}

func (f *follower) Next(fleet roles.Fleet) (roles.Change, bool) {
	engines := fleet.Prefill + fleet.Decode
	want := min(max(int(math.Round(f.mix*float64(engines))), 1), engines-1)
	switch {
	case want > fleet.Prefill:
		return roles.Change{From: roles.Decode, To: roles.Prefill}, true
	case want < fleet.Prefill:
		return roles.Change{From: roles.Prefill, To: roles.Decode}, true
	}
	return roles.Change{}, false
}

// clairvoyant is the shipped planner told the true demand of the time a change takes effect.
type clairvoyant struct {
	*roles.Planner
	maker *trace.Maker
	begun time.Time
}

const foresight = 20 * time.Second

func (c *clairvoyant) Observe(roles.Demand) {
	if c.begun.IsZero() {
		c.begun = time.Now()
	}
	prompt, output := c.maker.Demand(time.Since(c.begun) + foresight)
	c.Planner.Observe(roles.Demand{Prompt: prompt, Output: output})
}

func split(site trace.Site) roles.Fleet {
	return roles.Fleet{Prefill: site.Engines / 2, Decode: site.Engines - site.Engines/2}
}

// reported is the platform's load report: every second, 1 to 5 s late.
func reported() trial.Option {
	return trial.WithReports(time.Second, time.Second, 5*time.Second)
}

func naiveAdmission() trial.Option {
	return trial.WithAdmission(admit.WithReserve(0), admit.WithAging(0), admit.WithPrefillLimit(0), admit.WithQuantum(0))
}

var policies = []policy{
	{"shipped", func(trace.Site, *trace.Maker) []trial.Option {
		return []trial.Option{trial.WithPlanner(roles.New())}
	}},
	{"all-mixed", func(trace.Site, *trace.Maker) []trial.Option { return nil }},
	{"static-split", func(site trace.Site, _ *trace.Maker) []trial.Option {
		return []trial.Option{trial.WithFleet(split(site)), reported(), naiveAdmission(), trial.WithRetries(false),
			trial.WithChooser(pick.New(pick.WithChoices(0), pick.WithAffinityBound(0), pick.WithDecodeLimit(0)), false)}
	}},
	{"follower", func(site trace.Site, _ *trace.Maker) []trial.Option {
		return []trial.Option{trial.WithFleet(split(site)), trial.WithPlanner(&follower{mix: 0.5}), reported(), naiveAdmission(),
			trial.WithRetries(false), trial.WithChooser(pick.New(pick.WithChoices(0), pick.WithAffinityBound(0), pick.WithDecodeLimit(0)), false)}
	}},
	{"clairvoyant", func(_ trace.Site, m *trace.Maker) []trial.Option {
		return []trial.Option{trial.WithPlanner(&clairvoyant{Planner: roles.New(), maker: m})}
	}},
}

// setup is one point of a measurement.
type setup struct {
	site   trace.Site
	shape  trace.Shape
	load   float64
	eq     model.Equations
	length time.Duration
}

const trialLength = 4 * time.Minute

func point(site trace.Site, period time.Duration, load float64) setup {
	return setup{site: site, shape: trace.Shape{Period: period, Depth: 1}, load: load, eq: model.Default(), length: trialLength}
}

// run serves one seeded trace with the options of a policy.
func run(t *testing.T, s setup, seed uint64, p policy) *trial.Result {
	t.Helper()
	maker := trace.New(s.site, s.shape, s.load, trial.Costs(s.eq))
	requests := maker.Make(seed, s.length)
	var result *trial.Result
	synctest.Test(t, func(*testing.T) {
		result = trial.New(s.eq, s.site.Engines, seed, p.opts(s.site, maker)...).Run(requests, s.length)
	})
	return result
}

// bound returns the share of requests that a fluid fleet could serve whose engines are
// specialised at no cost at each moment, urgent requests first.
func bound(s setup) float64 {
	maker := trace.New(s.site, s.shape, s.load, trial.Costs(s.eq))
	urgent, slow, urgentWork, slowWork := 0.0, 0.0, 0.0, 0.0
	cost := trial.Costs(s.eq)
	for _, r := range maker.Make(1, s.length) {
		work := float64(r.Prompt)*cost.Prompt.Seconds() + float64(r.Output)*cost.Output.Seconds()
		if r.Class.Priority == 0 {
			urgent++
			urgentWork += work
			continue
		}
		slow++
		slowWork += work
	}
	free := s.length.Seconds()*float64(s.site.Engines) - urgentWork
	return (urgent + slow*min(free/slowWork, 1)) / (urgent + slow)
}

func byName(name string) policy {
	for _, p := range policies {
		if p.name == name {
			return p
		}
	}
	panic("no policy " + name)
}

// TestTargets checks the stated targets on short fixed traces; make bench measures them at length.
func TestTargets(t *testing.T) {
	for _, site := range []trace.Site{trace.Addis(), trace.Midtjylland()} {
		t.Run(site.Name, func(t *testing.T) {
			s := point(site, 2*time.Minute, 0.9)
			s.length = 2 * time.Minute
			shipped := run(t, s, 1, byName("shipped"))
			static := run(t, s, 1, byName("static-split"))
			naive := run(t, s, 1, byName("follower"))
			if got := shipped.Urgent.Share(); got < 0.99 {
				t.Errorf("urgent goodput %.4f at 90%% load, want at least 0.99", got)
			}
			if got, want := shipped.Goodput(), 0.95*bound(s); got < want {
				t.Errorf("goodput %.4f, want at least %.4f, 95%% of the bound", got, want)
			}
			if got, want := shipped.Goodput(), 1.2*static.Goodput(); got < want {
				t.Errorf("goodput %.4f, want at least %.4f, 1.2 times the static split's", got, want)
			}
			if shipped.Changes*4 > naive.Changes || shipped.Goodput() < naive.Goodput() {
				t.Errorf("%d changes and goodput %.4f, want a quarter of the follower's %d at no less than %.4f",
					shipped.Changes, shipped.Goodput(), naive.Changes, naive.Goodput())
			}
			s.load = 1.3
			if got := run(t, s, 1, byName("shipped")).Urgent.Share(); got < 0.97 {
				t.Errorf("urgent goodput %.4f at 130%% load, want at least 0.97", got)
			}
			s.load, s.shape = 0.9, trace.Shape{}
			if got := run(t, s, 1, byName("shipped")).Changes; got != 0 {
				t.Errorf("%d role changes under noise, want none", got)
			}
		})
	}
}
