package leave_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/leave"
)

// TestSet checks that a run that leaves stays known, that another run of the same upstream doesn't leave, and that a
// run without a stated start is forgotten after a minute.
func TestSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := leave.New()
		stated, unstated := leave.Run{Key: 1, Started: 5}, leave.Run{Key: 2}
		if !s.Add(stated) || !s.Add(unstated) {
			t.Error("added runs were known before")
		}
		if s.Add(stated) {
			t.Error("the same run is new again")
		}
		if s.Has(leave.Run{Key: 1, Started: 6}) {
			t.Error("the next run of the same upstream leaves, too")
		}
		if n := len(s.Runs(10)); n != 2 {
			t.Errorf("%d runs, want 2", n)
		}
		if n := len(s.Runs(1)); n != 1 {
			t.Errorf("%d runs, want the limit of 1", n)
		}
		time.Sleep(61 * time.Second)
		if !s.Has(stated) || s.Has(unstated) {
			t.Errorf("after a minute: stated %v, unstated %v, want true and false", s.Has(stated), s.Has(unstated))
		}
	})
}

// TestBounded adds more runs than the set keeps; the newest ones stay.
func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := leave.New()
		const added = 4200
		for i := range added {
			s.Add(leave.Run{Key: uint32(i), Started: 1})
			time.Sleep(time.Millisecond)
		}
		if n := len(s.Runs(added)); n != 4096 {
			t.Errorf("%d runs, want 4096", n)
		}
		if !s.Has(leave.Run{Key: added - 1, Started: 1}) || s.Has(leave.Run{Key: 0, Started: 1}) {
			t.Error("the oldest runs were not dropped first")
		}
	})
}
