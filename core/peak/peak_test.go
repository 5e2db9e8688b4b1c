package peak_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/peak"
)

func TestPeak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := peak.New()
		steps := []struct {
			after, add, want time.Duration
		}{
			{0, 2 * time.Second, 2 * time.Second},
			{time.Second, 8 * time.Second, 8 * time.Second},
			{19 * time.Second, time.Second, 8 * time.Second},
			{10 * time.Second, 3 * time.Second, 8 * time.Second},
			{21 * time.Second, time.Second, 3 * time.Second},
			{time.Minute, time.Second, time.Second},
		}
		for i, s := range steps {
			time.Sleep(s.after)
			if got := p.Add(s.add); got != s.want {
				t.Errorf("step %d: got %v, want %v", i, got, s.want)
			}
		}
	})
}
