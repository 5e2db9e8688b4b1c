package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/budget"
)

// TestWindow lets three entries retry whenever the budget permits and checks the limit in every window.
func TestWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			ratio, slack = 0.2, 58.0
			window       = 10 * time.Second
			step         = 50 * time.Millisecond
			entries      = 3
		)
		var budgets []*budget.Budget
		for range entries {
			b := budget.New(ratio, slack, window)
			b.SetEntries(entries)
			budgets = append(budgets, b)
		}
		var requests, retries []int
		for i := range 1200 {
			sent, retried := 0, 0
			for n, b := range budgets {
				// The first entry always gets requests, the second at intervals, the third never.
				if n == 0 || (n == 1 && (i/200)%2 == 0) {
					b.RecordRequest()
					sent++
				}
				for range 5 {
					if b.TakeRetry() != nil {
						retried++
					}
				}
			}
			requests, retries = append(requests, sent), append(retries, retried)
			time.Sleep(step)
		}
		checkWindows(t, requests, retries, int(window/step), ratio, slack, 1)
	})
}

// TestRestarts guards against retries beyond the limit in a window in which processes end and others take their places.
func TestRestarts(t *testing.T) {
	const (
		ratio, slack = 0.2, 56.0
		window       = 10 * time.Second
		step         = 50 * time.Millisecond
		entries      = 4
	)
	for name, lives := range map[string][]time.Duration{
		"once, after a pause":   {time.Minute, time.Minute},
		"each 0.7 s":            {time.Minute, 700 * time.Millisecond},
		"each 4 s":              {time.Minute, 4 * time.Second},
		"each 9.9 s":            {30 * time.Second, 9900 * time.Millisecond},
		"each 10.2 s":           {30 * time.Second, 10200 * time.Millisecond},
		"each 15 s, from begin": {15 * time.Second},
	} {
		for _, isGreedy := range []bool{true, false} { // Otherwise, it retries only shortly before an end and after the start.
			t.Run(fmt.Sprint(name, ", always ", isGreedy), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var requests, retries []int
					for len(requests) < 3600 {
						life := lives[min(len(lives)-1, boolInt(len(requests) > 0))]
						var budgets []*budget.Budget
						for range entries {
							b := budget.New(ratio, slack, window)
							b.SetEntries(entries)
							budgets = append(budgets, b)
						}
						for end := time.Now().Add(life); time.Now().Before(end); time.Sleep(step) {
							sent, retried := 0, 0
							for _, b := range budgets {
								b.RecordRequest()
								sent++
								for isGreedy || time.Until(end) < 2*step || time.Until(end) > life-time.Second {
									if b.TakeRetry() == nil {
										break
									}
									retried++
								}
							}
							requests, retries = append(requests, sent), append(retries, retried)
						}
					}
					checkWindows(t, requests, retries, int(window/step), ratio, slack, 0)
				})
			})
		}
	}
}

// hasRetry reports whether a retry is allowed now.
func hasRetry(b *budget.Budget) bool {
	g := b.TakeRetry()
	g.Return()
	return g != nil
}

// boolInt returns 1 for true.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestStart guards against a process that has no retries at all in its first window: it earns them.
func TestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(0.2, 56, 10*time.Second)
		if hasRetry(b) || !b.Usage().IsClosed {
			t.Error("a retry before the first request, or an open reserve")
		}
		for range 100 {
			b.RecordRequest()
		}
		n := 0
		for b.TakeRetry() != nil {
			n++
		}
		if n != 8 {
			t.Errorf("%d retries after 100 requests, want 8: 0.5 x 0.85 x 0.2 of them", n)
		}
		time.Sleep(11 * time.Second)
		if g := b.TakeRetry(); g.Part() != budget.Reserve || b.Usage().IsClosed {
			t.Errorf("a retry after a window is from %q, want the reserve", g.Part())
		}
	})
}

// TestFirstStart guards against a system that has no reserve when it starts for the first time.
func TestFirstStart(t *testing.T) {
	for _, isFirst := range []bool{true, false} {
		b := budget.New(0.2, 56, 10*time.Second, budget.WithFirstStart(isFirst))
		if hasRetry(b) != isFirst {
			t.Errorf("first start %v: a retry is allowed: %v", isFirst, hasRetry(b))
		}
	}
}

// TestReturn guards against a retry that was not made and stays counted.
func TestReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget.New(0, 3, 10*time.Second)
		time.Sleep(11 * time.Second)
		var grants []*budget.Grant
		for g := b.TakeRetry(); g != nil; g = b.TakeRetry() {
			grants = append(grants, g)
		}
		time.Sleep(time.Second)
		for _, g := range grants {
			g.Return()
		}
		for range grants {
			if b.TakeRetry() == nil {
				t.Errorf("no retry after all of %d were returned", len(grants))
			}
		}
		if len(grants) != 1 || hasRetry(b) {
			t.Errorf("%d retries, more left: %v; want 1 of a reserve of 1.275", len(grants), hasRetry(b))
		}
	})
}

// checkWindows checks the limit in every window of a number of steps, and that each has a number of retries at least.
func checkWindows(t *testing.T, requests, retries []int, steps int, ratio, slack float64, minRetries int) {
	t.Helper()
	for end := steps; end <= len(requests); end++ {
		sent, retried := 0, 0
		for i := end - steps; i < end; i++ {
			sent, retried = sent+requests[i], retried+retries[i]
		}
		if float64(retried) > ratio*float64(sent)+slack {
			t.Fatalf("window to step %d: %d retries of %d requests, limit %.1f", end, retried, sent, ratio*float64(sent)+slack)
		}
		if retried < minRetries {
			t.Fatalf("window to step %d: %d retries, want %d at least", end, retried, minRetries)
		}
	}
}

// TestEntries guards against a budget that refuses repeats, or allows too many, because many entries divide it. It logs the table of
// docs/design/repeats.md: the share of needed repeats that are granted.
func TestEntries(t *testing.T) {
	const (
		ratio, slack = 0.2, 94.0
		window       = 10 * time.Second
		step         = 10 * time.Millisecond
		windows      = 5
	)
	t.Log("entries | failing 0.05: first window, later | failing 0.15: first window, later")
	for _, entries := range []int{3, 10, 23, 27, 30, 40, 60, 100} {
		row := fmt.Sprint(entries)
		for _, failing := range []float64{0.05, 0.15} {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, uint64(entries)))
				var budgets []*budget.Budget
				for range entries {
					b := budget.New(ratio, slack, window)
					b.SetEntries(entries)
					budgets = append(budgets, b)
				}
				var requests, retries []int
				var needed, granted [windows]float64
				for i := range windows * int(window/step) {
					sent, retried := 0, 0
					for range 4 { // 400 requests a second.
						b := budgets[random.IntN(entries)]
						b.RecordRequest()
						sent++
						if random.Float64() >= failing {
							continue
						}
						n := i * int(step) / int(window)
						needed[n]++
						if b.TakeRetry() != nil {
							granted[n]++
							retried++
						}
					}
					requests, retries = append(requests, sent), append(retries, retried)
					time.Sleep(step)
				}
				checkWindows(t, requests, retries, int(window/step), ratio, slack, 0)
				later := (granted[2] + granted[3] + granted[4]) / (needed[2] + needed[3] + needed[4])
				row += fmt.Sprintf(" | %.2f, %.2f", granted[0]/needed[0], later)
				if failing == 0.05 && later < 0.95 {
					t.Errorf("%d entries grant %.2f of repeats that are a quarter of what the ratio allows, want 0.95", entries, later)
				}
			})
		}
		t.Log(row)
	}
}
