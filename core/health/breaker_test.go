package health_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/health"
)

func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := health.New()
		for range 3 {
			if !b.Allow() {
				t.Fatal("a closed breaker refused a call")
			}
			b.Failure()
		}
		if b.Allow() || !b.IsOpen() {
			t.Error("three consecutive failures did not open the breaker")
		}
		time.Sleep(1100 * time.Millisecond)
		if !b.Allow() || b.Allow() {
			t.Error("want exactly one probe call after the open time")
		}
		b.Failure()
		time.Sleep(1100 * time.Millisecond)
		if b.Allow() {
			t.Error("want a longer open time after a failed probe")
		}
		time.Sleep(time.Second)
		if !b.Allow() {
			t.Error("want a probe after the longer open time")
		}
		b.Success()
		if !b.Allow() || b.IsOpen() {
			t.Error("a success did not close the breaker")
		}
	})
}
