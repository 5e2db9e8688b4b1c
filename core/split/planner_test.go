package split_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/split"
)

// observe reports a constant demand every 500 ms, as the leader does, and returns the resulting number of
// prefill engines.
func observe(p *split.Planner, prefill, decode float64, duration time.Duration, engines, current int) int {
	for range int(duration / (500 * time.Millisecond)) {
		p.Observe(prefill, decode)
		current = p.PrefillCount(engines, current)
		time.Sleep(500 * time.Millisecond)
	}
	return current
}

func TestWant(t *testing.T) {
	tests := []struct {
		name                   string
		prefill, decode        float64 // Demand in engines.
		engines, current       int
		duration               time.Duration
		minPrefill, maxPrefill int // Prefill engines at the end.
	}{
		{"before traffic", 0, 0, 12, 4, 5 * time.Second, 7, 7},
		{"rising prefill demand", 9, 2, 12, 7, 20 * time.Second, 8, 9},
		{"rising decode demand", 9, 4, 12, 7, 20 * time.Second, 6, 7},
		{"a low demand keeps the split", 3.6, 2, 12, 7, 10 * time.Second, 6, 7},
		{"decode demand only", 0.2, 6, 12, 7, 60 * time.Second, 1, 4},
		{"two engines", 1, 0.2, 2, 1, 20 * time.Second, 1, 1},
		{"one engine is not split", 1, 0.2, 1, 0, 20 * time.Second, 0, 0},
		{"a large fleet", 30, 10, 53, 18, 30 * time.Second, 37, 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := split.New()
				got := observe(p, test.prefill, test.decode, test.duration, test.engines, test.current)
				if got < test.minPrefill || got > test.maxPrefill {
					t.Errorf("got %d prefill engines of %d, want %d to %d", got, test.engines, test.minPrefill, test.maxPrefill)
				}
			})
		})
	}
}

// TestSteady removes engines for two seconds, as a restart does, and checks that no role changes.
func TestSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := split.New()
		current := observe(p, 5, 2.5, 15*time.Second, 12, 7)
		for range 4 {
			p.Observe(5, 2.5)
			if got := p.PrefillCount(8, current); got != current {
				t.Fatalf("with 8 of 12 engines for 2 s: got %d prefill engines, want %d", got, current)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestBursts lets the decode demand fall after a burst and checks that enough decode engines remain for the
// next burst. Such bursts occur when the mix of prompts and outputs varies.
func TestBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := split.New()
		current := observe(p, 6, 2.5, 10*time.Second, 12, 7)
		current = observe(p, 6, 3.8, 8*time.Second, 12, current)
		for i := range 70 {
			p.Observe(8.5, 1.9)
			if current = p.PrefillCount(12, current); current > 8 {
				t.Fatalf("%v after the burst: got %d prefill engines, want at most 8", time.Duration(i)*500*time.Millisecond, current)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestFirstDemand checks that the low demand at the start of traffic does not change the initial split.
func TestFirstDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := split.New()
		current := observe(p, 0, 0, 5*time.Second, 12, 4)
		for range 8 {
			p.Observe(2, 0.5)
			if got := p.PrefillCount(12, current); got < current {
				t.Fatalf("got %d prefill engines after the first demand, want at least %d", got, current)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}
