package split_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/split"
)

// observe feeds a demand each half second, as the lead does, and returns the split it leads to.
func observe(p *split.Planner, prompt, output float64, length time.Duration, n, now int) int {
	for range int(length / (500 * time.Millisecond)) {
		p.Observe(prompt, output)
		now = p.PrefillCount(n, now)
		time.Sleep(500 * time.Millisecond)
	}
	return now
}

func TestWant(t *testing.T) {
	tests := []struct {
		name           string
		prompt, output float64 // Engines' worth.
		n, now         int
		length         time.Duration
		least, most    int // Prompt engines at the end.
	}{
		{"before traffic", 0, 0, 12, 4, 5 * time.Second, 7, 7},
		{"prompts up", 9, 2, 12, 7, 20 * time.Second, 8, 9},
		{"outputs up", 9, 4, 12, 7, 20 * time.Second, 6, 7},
		{"little of both leaves the split", 3.6, 2, 12, 7, 10 * time.Second, 6, 7},
		{"outputs only", 0.2, 6, 12, 7, 60 * time.Second, 1, 4},
		{"two engines", 1, 0.2, 2, 1, 20 * time.Second, 1, 1},
		{"one engine stays as it is", 1, 0.2, 1, 0, 20 * time.Second, 0, 0},
		{"a large fleet", 30, 10, 53, 18, 30 * time.Second, 37, 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := split.New()
				got := observe(p, test.prompt, test.output, test.length, test.n, test.now)
				if got < test.least || got > test.most {
					t.Errorf("got %d prompt engines of %d, want %d to %d", got, test.n, test.least, test.most)
				}
			})
		})
	}
}

// TestSteady has engines vanish for two seconds, as when they restart: no role may change for that.
func TestSteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := split.New()
		now := observe(p, 5, 2.5, 15*time.Second, 12, 7)
		for range 4 {
			p.Observe(5, 2.5)
			if got := p.PrefillCount(8, now); got != now {
				t.Fatalf("with 8 of 12 engines for a moment: got %d prompt engines, want %d", got, now)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestBursts has outputs come in bursts, as when the mix swings: between two of them no more engines may
// process prompts than leave places for the next.
func TestBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := split.New()
		now := observe(p, 6, 2.5, 10*time.Second, 12, 7)
		now = observe(p, 6, 3.8, 8*time.Second, 12, now)
		for i := range 70 {
			p.Observe(8.5, 1.9)
			if now = p.PrefillCount(12, now); now > 8 {
				t.Fatalf("%v after the burst: got %d prompt engines, want 8 at most", time.Duration(i)*500*time.Millisecond, now)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestFirstDemand starts with the low demand of the first second: the prior split must survive it.
func TestFirstDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := split.New()
		now := observe(p, 0, 0, 5*time.Second, 12, 4)
		for range 8 {
			p.Observe(2, 0.5)
			if got := p.PrefillCount(12, now); got < now {
				t.Fatalf("got %d prompt engines after the first demand, want %d still", got, now)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}
