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

// policy is a named set of options for a site's fleet: the shipped policy or one that it is compared with.
type policy struct {
	name string
	opts func(site trace.Site, m *trace.Generator) []trial.Option
}

// follower matches the split to the latest demand regardless of the cost of changes.
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

// clairvoyant is the shipped planner with the true demand at the time a change takes effect.
type clairvoyant struct {
	*roles.Planner
	generator *trace.Generator
	start     time.Time
}

const lookahead = 20 * time.Second

func (c *clairvoyant) Observe(roles.Demand) {
	if c.start.IsZero() {
		c.start = time.Now()
	}
	prompt, output := c.generator.Demand(time.Since(c.start) + lookahead)
	c.Planner.Observe(roles.Demand{Prompt: prompt, Output: output})
}

func evenSplit(site trace.Site) roles.Fleet {
	return roles.Fleet{Prefill: site.Engines / 2, Decode: site.Engines - site.Engines/2}
}

// platformReports returns the platform's load reports: every second, 1 to 5 s late.
func platformReports() trial.Option {
	return trial.WithReports(time.Second, time.Second, 5*time.Second)
}

func naiveAdmission() trial.Option {
	return trial.WithAdmission(admit.WithReserve(0), admit.WithAging(0), admit.WithPrefillLimit(0), admit.WithQuantum(0))
}

var policies = []policy{
	{"shipped", func(trace.Site, *trace.Generator) []trial.Option {
		return []trial.Option{trial.WithPlanner(roles.New())}
	}},
	{"all-mixed", func(trace.Site, *trace.Generator) []trial.Option { return nil }},
	{"static-split", func(site trace.Site, _ *trace.Generator) []trial.Option {
		return []trial.Option{trial.WithFleet(evenSplit(site)), platformReports(), naiveAdmission(), trial.WithRetries(false),
			trial.WithChooser(pick.New(pick.WithChoices(0), pick.WithAffinityBound(0), pick.WithDecodeLimit(0)), false)}
	}},
	{"follower", func(site trace.Site, _ *trace.Generator) []trial.Option {
		return []trial.Option{trial.WithFleet(evenSplit(site)), trial.WithPlanner(&follower{mix: 0.5}), platformReports(), naiveAdmission(),
			trial.WithRetries(false), trial.WithChooser(pick.New(pick.WithChoices(0), pick.WithAffinityBound(0), pick.WithDecodeLimit(0)), false)}
	}},
	{"clairvoyant", func(_ trace.Site, m *trace.Generator) []trial.Option {
		return []trial.Option{trial.WithPlanner(&clairvoyant{Planner: roles.New(), generator: m})}
	}},
}

// setup is the configuration of a run.
type setup struct {
	site   trace.Site
	cycle  trace.MixCycle
	load   float64
	params model.Params
	length time.Duration
}

const defaultLength = 4 * time.Minute

func newSetup(site trace.Site, period time.Duration, load float64) setup {
	return setup{site: site, cycle: trace.MixCycle{Period: period, Amplitude: 1}, load: load, params: model.DefaultParams(), length: defaultLength}
}

// run simulates one seeded trace with the options of a policy.
func run(t *testing.T, s setup, seed uint64, p policy) *trial.Result {
	t.Helper()
	generator := trace.New(s.site, s.cycle, s.load, trial.TokenCosts(s.params))
	requests := generator.Generate(seed, s.length)
	var result *trial.Result
	synctest.Test(t, func(*testing.T) {
		result = trial.New(s.params, s.site.Engines, seed, p.opts(s.site, generator)...).Run(requests, s.length)
	})
	return result
}

// fluidBound returns the fraction of requests that an idealised fleet could serve whose engines are
// specialised at no cost at any time, urgent requests first.
func fluidBound(s setup) float64 {
	generator := trace.New(s.site, s.cycle, s.load, trial.TokenCosts(s.params))
	urgent, slow, urgentWork, slowWork := 0.0, 0.0, 0.0, 0.0
	cost := trial.TokenCosts(s.params)
	for _, r := range generator.Generate(1, s.length) {
		work := float64(r.PromptTokens)*cost.Prompt.Seconds() + float64(r.OutputTokens)*cost.Output.Seconds()
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

// TestTargets checks the performance targets on short fixed traces; make bench uses longer ones.
func TestTargets(t *testing.T) {
	for _, site := range []trace.Site{trace.Addis(), trace.Midtjylland()} {
		t.Run(site.Name, func(t *testing.T) {
			s := newSetup(site, 2*time.Minute, 0.9)
			s.length = 2 * time.Minute
			shipped := run(t, s, 1, byName("shipped"))
			static := run(t, s, 1, byName("static-split"))
			naive := run(t, s, 1, byName("follower"))
			if got := shipped.Urgent.GoodShare(); got < 0.99 {
				t.Errorf("urgent goodput %.4f at 90%% load, want at least 0.99", got)
			}
			if got, want := shipped.Goodput(), 0.95*fluidBound(s); got < want {
				t.Errorf("goodput %.4f, want at least %.4f, 95%% of the bound", got, want)
			}
			if got, want := shipped.Goodput(), 1.2*static.Goodput(); got < want {
				t.Errorf("goodput %.4f, want at least %.4f, 1.2 times the static split's", got, want)
			}
			if shipped.RoleChanges*4 > naive.RoleChanges || shipped.Goodput() < naive.Goodput() {
				t.Errorf("%d changes and goodput %.4f, want a quarter of the follower's %d at no less than %.4f",
					shipped.RoleChanges, shipped.Goodput(), naive.RoleChanges, naive.Goodput())
			}
			s.load = 1.3
			if got := run(t, s, 1, byName("shipped")).Urgent.GoodShare(); got < 0.97 {
				t.Errorf("urgent goodput %.4f at 130%% load, want at least 0.97", got)
			}
			s.load, s.cycle = 0.9, trace.MixCycle{}
			if got := run(t, s, 1, byName("shipped")).RoleChanges; got != 0 {
				t.Errorf("%d role changes under noise, want none", got)
			}
		})
	}
}
