package census_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/census"
)

// TestCount guards against entries that count too short: ones that are still listed, and all of them while nobody is heard.
func TestCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := census.New()
		c.Note(netip.MustParseAddrPort("10.0.0.2:9"), census.Heard)
		c.Note(netip.MustParseAddrPort("10.0.0.3:9"), census.Listed)
		c.Note(netip.MustParseAddrPort("10.0.0.4:9"), census.Address)
		for _, step := range []struct {
			wait    time.Duration
			isAlone bool
			want    int
		}{
			{0, false, 3},
			{time.Minute, false, 3},
			{time.Hour, true, 3},
			{time.Minute, false, 3},
			{2 * time.Minute, false, 0},
		} {
			time.Sleep(step.wait)
			if n := c.Count(step.isAlone); n != step.want {
				t.Errorf("%v later, alone %v: %d entries, want %d", step.wait, step.isAlone, n, step.want)
			}
		}
		c.Note(netip.MustParseAddrPort("10.0.0.3:9"), census.Listed)
		c.Note(netip.MustParseAddrPort("10.0.0.3:9"), census.Heard)
		time.Sleep(4 * time.Minute)
		if n := c.Count(false); n != 1 {
			t.Errorf("%d entries 4 minutes after one was listed, want 1", n)
		}
	})
}
