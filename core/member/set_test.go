package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/member"
	"pimentoseam/core/stamp"
)

// drainTime is how long after its removal an upstream may get requests.
const drainTime = 2 * time.Second

func upstream(id string) *member.Upstream {
	return &member.Upstream{ID: id, Service: "s", State: member.Ready}
}

func usable(s *member.Set) int {
	return len(s.Usable()["s"])
}

// TestLapse guards against losing a whole service to an outage of the list, in which the
// registrations of all its upstreams expire: those that are listed again within the removal grace of 1.7 s stay
// usable throughout, the others are dropped.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := member.New()
		for _, id := range []string{"a", "b", "c"} {
			s.Put(upstream(id), 1)
		}
		s.RecordOutage()
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"a", "b", "c"} {
			if got := s.Remove(id, 5, drainTime); got != member.Retained {
				t.Fatalf("remove %s: got %s, want kept", id, got)
			}
		}
		if usable(s) != 3 {
			t.Errorf("right after the registrations expired: %d usable, want 3", usable(s))
		}
		time.Sleep(time.Second)
		s.Put(upstream("a"), 6)
		s.Put(upstream("b"), 7)
		time.Sleep(1500 * time.Millisecond)
		if expired := s.Expire(); len(expired) != 1 || expired[0] != "c" {
			t.Errorf("expired %v, want c", expired)
		}
		if usable(s) != 2 {
			t.Errorf("after the return: %d usable, want 2", usable(s))
		}
	})
}

func TestRemove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := member.New()
		for _, id := range []string{"a", "b", "c"} {
			s.Put(upstream(id), 1)
		}
		s.Remove("a", 2, drainTime)
		if usable(s) != 2 {
			t.Errorf("one of three removed without an outage: %d usable, want 2", usable(s))
		}
		leaving := upstream("b")
		leaving.State = member.Draining
		s.Put(leaving, 3)
		if usable(s) != 1 {
			t.Errorf("one leaving: %d usable, want 1", usable(s))
		}
		if got := s.Remove("b", 4, drainTime); got != member.Removed {
			t.Errorf("remove one that was leaving: got %s, want gone", got)
		}
		// Losing most of a service at once counts as expired registrations, even if no call to the list has failed.
		s.Remove("c", 5, drainTime)
		if usable(s) == 0 {
			t.Error("last upstream removed: none usable, want it usable during the grace")
		}
	})
}

// TestRemovalGrace guards against upstreams that get requests after their drain time, and checks that an outage of the list
// gives their registrations the time to come back.
func TestRemovalGrace(t *testing.T) {
	tests := []struct {
		name             string
		drainTime, grace time.Duration
		outage           bool
	}{
		{"short drain time", 2 * time.Second, 1500 * time.Millisecond, false},
		{"long drain time", 5 * time.Second, 1700 * time.Millisecond, false},
		{"outage", 2 * time.Second, 1700 * time.Millisecond, true},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := member.New()
			s.Put(upstream("a"), 1)
			if _, ok := s.NextExpiry(); ok {
				t.Errorf("%s: an expiry before the removal", test.name)
			}
			if test.outage {
				s.RecordOutage()
			}
			time.Sleep(100 * time.Millisecond)
			s.Remove("a", 2, test.drainTime)
			if next, ok := s.NextExpiry(); !ok || time.Until(next) != test.grace {
				t.Errorf("%s: expires in %v, want %v", test.name, time.Until(next), test.grace)
			}
			time.Sleep(test.grace - time.Millisecond)
			if s.Expire(); usable(s) != 1 {
				t.Errorf("%s: %d usable before the end, want 1", test.name, usable(s))
			}
			time.Sleep(time.Millisecond)
			if s.Expire(); usable(s) != 0 {
				t.Errorf("%s: %d usable at the end, want 0", test.name, usable(s))
			}
		})
	}
}

// TestOrder applies changes late and repeatedly, as gossip from other entries does.
func TestOrder(t *testing.T) {
	s := member.New()
	leaving := upstream("a")
	leaving.State = member.Draining
	s.Put(leaving, 9)
	if s.Put(upstream("a"), 8) {
		t.Error("an older state was applied")
	}
	if usable(s) != 0 {
		t.Error("a leaving upstream is usable after an older state was applied")
	}
	s.Remove("a", 12, drainTime)
	if s.Put(upstream("a"), 11) || usable(s) != 0 {
		t.Error("an older state restored a removed upstream")
	}
	if !s.Put(upstream("a"), 13) || usable(s) != 1 {
		t.Error("an upstream that restarted under its id is not added")
	}
}

// TestCopy has the list come back from an older copy that shows upstreams which have left since. Those that were
// draining stay out, those that were removed stay out until they register again or 5 s are over, and a restarted one is
// used at once.
func TestCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registered := func(id string, started, registrations int64) *member.Upstream {
			u := upstream(id)
			u.Started, u.Registrations = started, registrations
			return u
		}
		s := member.New()
		s.Put(registered("draining", 1, 4), stamp.Join(1, 10))
		s.Put(registered("removed", 1, 4), stamp.Join(1, 11))
		s.Put(registered("restarted", 1, 4), stamp.Join(1, 12))
		draining := registered("draining", 1, 5)
		draining.State = member.Draining
		s.Put(draining, stamp.Join(1, 20))
		s.Remove("removed", stamp.Join(1, 21), drainTime)
		s.Remove("restarted", stamp.Join(1, 22), drainTime)
		time.Sleep(2 * time.Second)
		s.Expire()
		if usable(s) != 0 {
			t.Fatalf("%d usable before the copy, want none", usable(s))
		}
		s.Put(registered("draining", 1, 4), stamp.Join(2, 10))
		s.Put(registered("removed", 1, 4), stamp.Join(2, 11))
		s.Put(registered("restarted", 2, 1), stamp.Join(2, 12))
		if usable(s) != 1 {
			t.Errorf("%d usable after the copy, want only the restarted one", usable(s))
		}
		s.Put(registered("removed", 1, 5), stamp.Join(2, 13))
		s.Put(registered("draining", 1, 6), stamp.Join(2, 14))
		if usable(s) != 2 {
			t.Errorf("%d usable after both registered again, want the removed one, too", usable(s))
		}
	})
}

// TestCopyTimeout checks that an upstream that was removed and is listed by a copy only is used after 5 s, since its
// registration would have lapsed by then.
func TestCopyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := member.New()
		s.Put(upstream("a"), stamp.Join(1, 10))
		s.Remove("a", stamp.Join(1, 11), drainTime)
		time.Sleep(2 * time.Second)
		s.Expire()
		s.Put(upstream("a"), stamp.Join(2, 10))
		time.Sleep(4 * time.Second)
		s.Expire()
		if usable(s) != 0 {
			t.Error("usable 4 s after the copy listed it")
		}
		time.Sleep(time.Second)
		if admitted := s.Expire(); len(admitted) != 1 || usable(s) != 1 {
			t.Errorf("5 s after the copy listed it: admitted %v, %d usable, want a", admitted, usable(s))
		}
	})
}

// TestHasLeft guards against a run that counts as listed though it has stated that it leaves or its registration is gone, and against
// one that counts as gone though it was listed again.
func TestHasLeft(t *testing.T) {
	for name, test := range map[string]struct {
		change func(s *member.Set)
		want   bool
	}{
		"listed":           {func(*member.Set) {}, false},
		"draining":         {func(s *member.Set) { s.Put(&member.Upstream{ID: "a", Service: "s", State: member.Draining}, 2) }, true},
		"removed":          {func(s *member.Set) { s.Remove("a", 2, drainTime) }, true},
		"removed and back": {func(s *member.Set) { s.Remove("a", 2, drainTime); s.Put(upstream("a"), 3) }, false},
		"removed since":    {func(s *member.Set) { time.Sleep(time.Second); s.Remove("a", 2, drainTime) }, true},
		"draining since": {func(s *member.Set) {
			time.Sleep(time.Second)
			s.Put(&member.Upstream{ID: "a", Service: "s", State: member.Draining}, 2)
		}, true},
		"lapsed in outage": {func(s *member.Set) { s.RecordOutage(); s.Remove("a", 2, drainTime) }, true},
		"other run draining": {func(s *member.Set) {
			s.Put(&member.Upstream{ID: "a", Service: "s", Started: 5, State: member.Draining}, 2)
		}, false},
		"long ago": {func(s *member.Set) { s.Remove("a", 2, drainTime); time.Sleep(time.Hour) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, u := member.New(), upstream("a")
				s.Put(u, 1)
				test.change(s)
				if got := s.HasLeft(u); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}
