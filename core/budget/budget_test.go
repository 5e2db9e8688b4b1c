package budget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/budget"
)

// TestWindow lets three entries repeat whenever they may and checks every window of the bound.
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
			b.Share(entries)
			budgets = append(budgets, b)
		}
		var first, repeats []int
		for i := range 1200 {
			f, r := 0, 0
			for n, b := range budgets {
				// One entry is busy, one comes and goes, one has no requests of its own.
				if n == 0 || (n == 1 && (i/200)%2 == 0) {
					b.First()
					f++
				}
				for range 5 {
					if b.Repeat() {
						r++
					}
				}
			}
			first, repeats = append(first, f), append(repeats, r)
			time.Sleep(step)
		}
		width := int(window / step)
		for end := width; end <= len(first); end++ {
			f, r := 0, 0
			for i := end - width; i < end; i++ {
				f, r = f+first[i], r+repeats[i]
			}
			if float64(r) > ratio*float64(f)+slack {
				t.Fatalf("window to step %d: %d repeats of %d requests, bound %.1f", end, r, f, ratio*float64(f)+slack)
			}
			if r == 0 {
				t.Fatalf("window to step %d: no repeats at all", end)
			}
		}
	})
}
