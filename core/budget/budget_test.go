package budget_test

import (
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
					if b.AllowRetry() {
						retried++
					}
				}
			}
			requests, retries = append(requests, sent), append(retries, retried)
			time.Sleep(step)
		}
		steps := int(window / step)
		for end := steps; end <= len(requests); end++ {
			sent, retried := 0, 0
			for i := end - steps; i < end; i++ {
				sent, retried = sent+requests[i], retried+retries[i]
			}
			if float64(retried) > ratio*float64(sent)+slack {
				t.Fatalf("window to step %d: %d retries of %d requests, limit %.1f", end, retried, sent, ratio*float64(sent)+slack)
			}
			if retried == 0 {
				t.Fatalf("window to step %d: no retries at all", end)
			}
		}
	})
}
