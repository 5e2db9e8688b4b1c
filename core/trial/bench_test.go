package trial_test

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/pick"
	"pimentoseam/core/roles"
	"pimentoseam/core/trace"
	"pimentoseam/core/trial"
	"pimentoseam/io/table"
)

// benchDir returns the output directory of make bench and skips the test if there is none.
func benchDir(t *testing.T) string {
	t.Helper()
	dir := os.Getenv("BENCH")
	if dir == "" {
		t.Skip("run by make bench")
	}
	return dir
}

const seeds = 10

// cell holds the results of one setup and policy over the seeds.
type cell struct {
	mu      sync.Mutex
	results []*trial.Result
}

// summary returns the median, minimum and maximum of a measure over the seeds.
func (c *cell) summary(measure func(*trial.Result) float64) (median, low, high float64) {
	var all []float64
	for _, r := range c.results {
		all = append(all, measure(r))
	}
	slices.Sort(all)
	return all[len(all)/2], all[0], all[len(all)-1]
}

// medianOf returns the median of a measure over balancing results.
func medianOf(spreads []*trial.BalancingResult, measure func(*trial.BalancingResult) float64) float64 {
	var all []float64
	for _, s := range spreads {
		all = append(all, measure(s))
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (c *cell) format(measure func(*trial.Result) float64) string {
	median, low, high := c.summary(measure)
	return fmt.Sprintf("%.3f (%.3f-%.3f)", median, low, high)
}

func urgentShare(r *trial.Result) float64    { return r.Urgent.GoodShare() }
func nonUrgentShare(r *trial.Result) float64 { return r.NonUrgent.GoodShare() }
func goodput(r *trial.Result) float64        { return r.Goodput() }
func changes(r *trial.Result) float64        { return float64(r.RoleChanges) }
func hitShare(r *trial.Result) float64       { return float64(r.Hits) / float64(max(r.Lookups, 1)) }

func firstTokenP99(r *trial.Result) float64 {
	return float64(r.Urgent.FirstToken.ValueAtQuantile(99)) / 1000
}

// row is a table row for one setup and policy.
type row struct {
	label  []string
	setup  setup
	policy policy
	cell   *cell
}

// measure runs all rows over n seeds in parallel.
func measure(t *testing.T, rows []*row, n uint64) {
	t.Run("runs", func(t *testing.T) {
		for _, r := range rows {
			r.cell = &cell{}
			for seed := uint64(1); seed <= n; seed++ {
				t.Run(fmt.Sprint(r.label, seed), func(t *testing.T) {
					t.Parallel()
					result := run(t, r.setup, seed, r.policy)
					r.cell.mu.Lock()
					defer r.cell.mu.Unlock()
					r.cell.results = append(r.cell.results, result)
				})
			}
		}
	})
}

func save(t *testing.T, tab *table.Table, dir, x, y string) {
	t.Helper()
	tab.Print(os.Stdout)
	if err := tab.Save(dir, x, y); err != nil {
		t.Fatal(err)
	}
}

var columns = []string{"goodput", "urgent", "slow", "changes", "first p99 ms"}

func (r *row) cells() []string {
	c := r.cell
	n, low, high := c.summary(changes)
	p99, _, _ := c.summary(firstTokenP99)
	return append(slices.Clone(r.label), c.format(goodput), c.format(urgentShare), c.format(nonUrgentShare),
		fmt.Sprintf("%.0f (%.0f-%.0f)", n, low, high), table.Float(p99, 0))
}

func TestTableLoad(t *testing.T) {
	dir := benchDir(t)
	for _, site := range []trace.Site{trace.Addis(), trace.Midtjylland()} {
		tab := table.New("load-"+site.Name, fmt.Sprintf("%s: load swept, swing of 2 min, %d seeds: median (least-greatest)", site.Name, seeds),
			append([]string{"load", "policy"}, columns...)...)
		var rows []*row
		for _, load := range []float64{0.6, 0.9, 1.1, 1.3} {
			for _, p := range policies {
				rows = append(rows, &row{label: []string{table.Float(load, 1), p.name}, setup: newSetup(site, 2*time.Minute, load), policy: p})
			}
		}
		measure(t, rows, seeds)
		for _, r := range rows {
			tab.Add(r.cells()...)
			median, _, _ := r.cell.summary(goodput)
			tab.Point(r.policy.name, r.setup.load, median)
		}
		for _, load := range []float64{0.6, 0.9, 1.1, 1.3} {
			tab.Add(table.Float(load, 1), "fluid bound", table.Float(fluidBound(newSetup(site, 2*time.Minute, load)), 3))
		}
		save(t, tab, dir, "load", "goodput")
	}
}

func TestTableSwing(t *testing.T) {
	dir := benchDir(t)
	site := trace.Addis()
	tab := table.New("swing", "addis at load 0.9: period, size and steepness of the swing, 3 seeds",
		append([]string{"period", "depth", "sudden", "policy"}, columns...)...)
	var rows []*row
	for _, period := range []time.Duration{0, time.Minute, 2 * time.Minute, 4 * time.Minute} {
		for _, depth := range []float64{0.5, 1} {
			for _, sudden := range []bool{false, true} {
				for _, name := range []string{"shipped", "static-split", "follower"} {
					s := newSetup(site, period, 0.9)
					s.cycle.Amplitude, s.cycle.IsSquare = depth, sudden
					label := []string{period.String(), table.Float(depth, 1), fmt.Sprint(sudden), name}
					rows = append(rows, &row{label: label, setup: s, policy: byName(name)})
				}
			}
		}
	}
	measure(t, rows, 3)
	for _, r := range rows {
		tab.Add(r.cells()...)
		if r.setup.cycle.Amplitude == 1 && r.setup.cycle.IsSquare {
			median, _, _ := r.cell.summary(goodput)
			tab.Point(r.policy.name, r.setup.cycle.Period.Minutes(), median)
		}
	}
	save(t, tab, dir, "period in minutes", "goodput")
}

// ablated returns the shipped policy with one part disabled.
func ablated(name string, opts ...trial.Option) policy {
	return policy{name, func(trace.Site, *trace.Generator) []trial.Option {
		return append([]trial.Option{trial.WithPlanner(roles.New())}, opts...)
	}}
}

func TestTableAblation(t *testing.T) {
	dir := benchDir(t)
	tab := table.New("ablation", "addis, swing of 2 min, one part off at a time, 5 seeds",
		append([]string{"load", "off"}, columns...)...)
	parts := []policy{
		ablated("nothing"),
		ablated("adaptive reserve", trial.WithAdmission(admit.WithReserve(0.125))),
		ablated("any reserve", trial.WithAdmission(admit.WithReserve(0))),
		ablated("prompt bound", trial.WithAdmission(admit.WithPrefillLimit(0))),
		ablated("aging", trial.WithAdmission(admit.WithAging(0))),
		ablated("fair share", trial.WithAdmission(admit.WithQuantum(0))),
		ablated("retries", trial.WithRetries(false)),
		ablated("prefix affinity", trial.WithChooser(pick.New(pick.WithAffinityBound(0)), false)),
		ablated("two choices", trial.WithChooser(pick.New(pick.WithChoices(1), pick.WithAffinityBound(0)), false)),
		ablated("planner", trial.WithPlanner(nil)),
	}
	var rows []*row
	for _, load := range []float64{0.9, 1.1} {
		for _, p := range parts {
			rows = append(rows, &row{label: []string{table.Float(load, 1), p.name}, setup: newSetup(trace.Addis(), 2*time.Minute, load), policy: p})
		}
	}
	measure(t, rows, 5)
	for _, r := range rows {
		tab.Add(append(r.cells(), r.cell.format(hitShare))...)
	}
	save(t, tab, dir, "", "")
}

func TestTableMixing(t *testing.T) {
	dir := benchDir(t)
	tab := table.New("mixing", "addis at load 0.9: cost of doing both in one step, 5 seeds",
		append([]string{"mixing", "policy"}, columns...)...)
	var rows []*row
	for _, mixing := range []float64{0.25, 0.6, 1, 1.5} {
		informed := policy{"planner", func(trace.Site, *trace.Generator) []trial.Option {
			return []trial.Option{trial.WithPlanner(roles.New(roles.WithMixedOverhead(mixing)))}
		}}
		for _, p := range []policy{byName("all-mixed"), informed, byName("follower"), byName("static-split")} {
			s := newSetup(trace.Addis(), 4*time.Minute, 0.9)
			s.length = 8 * time.Minute
			s.params.MixedOverhead = mixing
			rows = append(rows, &row{label: []string{table.Float(mixing, 2), p.name}, setup: s, policy: p})
		}
	}
	measure(t, rows, 5)
	for _, r := range rows {
		tab.Add(r.cells()...)
		median, _, _ := r.cell.summary(goodput)
		tab.Point(r.policy.name, r.setup.params.MixedOverhead, median)
	}
	save(t, tab, dir, "mixing", "goodput")
}

func TestTableLoss(t *testing.T) {
	dir := benchDir(t)
	tab := table.New("loss", "addis at load 0.7: engines lost after 1 min, 5 seeds", append([]string{"lost", "policy"}, columns...)...)
	var rows []*row
	for _, lost := range []int{0, 1, 3} {
		var failures []trial.EngineFailure
		for i := range lost {
			failures = append(failures, trial.EngineFailure{After: time.Minute, Index: 4 * i})
		}
		for _, name := range []string{"shipped", "static-split"} {
			base := byName(name)
			p := policy{name, func(site trace.Site, m *trace.Generator) []trial.Option {
				return append(base.opts(site, m), trial.WithEngineFailures(failures...))
			}}
			rows = append(rows, &row{label: []string{fmt.Sprint(lost), name}, setup: newSetup(trace.Addis(), 2*time.Minute, 0.7), policy: p})
		}
	}
	measure(t, rows, 5)
	for _, r := range rows {
		tab.Add(r.cells()...)
	}
	save(t, tab, dir, "", "")
}
