package grace_test

import (
	"testing"
	"time"

	"pimentoseam/core/grace"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMayPass guards against requests that are passed on though the process may end before they do.
func TestMayPass(t *testing.T) {
	const length, delay = 8 * time.Second, 2500 * time.Millisecond
	p := grace.New(began, length, delay)
	for _, test := range []struct {
		name     string
		at       time.Duration // Of passing it on.
		limit    time.Duration // From then on.
		expected bool
	}{
		{"early, short", time.Second, time.Second, true},
		{"early, longer than the period", time.Second, 30 * time.Second, true},
		{"late, fits", 3 * time.Second, 4 * time.Second, true},
		{"late, ends in the time for replies", 3 * time.Second, 4500 * time.Millisecond, false},
		{"late, longer than the period", 3 * time.Second, 8 * time.Second, false},
		{"just before it is late", delay - 1, 8 * time.Second, true},
		{"just late", delay, 8 * time.Second, false},
		{"at the end, short", 7300 * time.Millisecond, 50 * time.Millisecond, true},
		{"after the time for answers", 7500 * time.Millisecond, 50 * time.Millisecond, false},
	} {
		now := began.Add(test.at)
		deadline := now.Add(test.limit)
		if got := p.MayPass(now, deadline); got != test.expected {
			t.Errorf("%s: %v, want %v", test.name, got, test.expected)
		}
		if bound := p.Bound(deadline); bound.After(deadline) || bound.After(p.AnswerBy()) {
			t.Errorf("%s: bound %v of deadline %v", test.name, bound, deadline)
		}
	}
}

// TestLengths guards against a process that cuts requests before the last sixth of the period, however short that is, and against
// one that is killed while it still answers.
func TestLengths(t *testing.T) {
	for _, length := range []time.Duration{200 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, time.Minute} {
		p := grace.New(began, length, 2500*time.Millisecond)
		lastSixth := began.Add(length - length/6)
		if p.AnswerBy().Before(lastSixth) || !p.AnswerBy().Before(p.End()) || !p.End().Before(began.Add(length)) {
			t.Errorf("%v: answers by %v, ends at %v", length, p.AnswerBy().Sub(began), p.End().Sub(began))
		}
		if late := p.LateAt().Sub(began); late > length/2 || late > 2500*time.Millisecond {
			t.Errorf("%v: late after %v", length, late)
		}
	}
}

// TestGoesOn guards against a process that refuses requests though it has no signal to stop.
func TestGoesOn(t *testing.T) {
	var p *grace.Period
	if deadline := began.Add(time.Hour); !p.MayPass(began, deadline) || !p.Bound(deadline).Equal(deadline) {
		t.Error("a request is refused or bounded without a period")
	}
}
