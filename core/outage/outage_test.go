package outage_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/outage"
)

// TestReturnAfter checks that callers come back later the longer an outage lasts, spread and within limits.
func TestReturnAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o outage.Outage
		check := func(unusable, least time.Duration) {
			t.Helper()
			shortest, longest := time.Hour, time.Duration(0)
			for range 200 {
				after := o.ReturnAfter(unusable)
				shortest, longest = min(shortest, after), max(longest, after)
			}
			if shortest < least || longest > least*3/2 {
				t.Errorf("got %v to %v, want %v to half more", shortest, longest, least)
			}
			if longest-shortest < least/4 {
				t.Errorf("got %v to %v, want them spread over a quarter of that at least", shortest, longest)
			}
		}
		check(0, 2*time.Second)
		check(5*time.Second, 5*time.Second)
		time.Sleep(4 * time.Second)
		check(0, 4*time.Second)
		time.Sleep(time.Hour)
		check(0, 10*time.Second)
		o.End()
		check(0, 2*time.Second)
	})
}
