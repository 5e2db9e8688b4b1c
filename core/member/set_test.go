package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/member"
)

func upstream(id string) *member.Upstream {
	return &member.Upstream{ID: id, Service: "s", State: member.Ready}
}

func usable(s *member.Set) int {
	return len(s.Usable()["s"])
}

// TestLapse loses the entries of all upstreams with an outage of the list: those that come back within
// two seconds stay in use all the while, the others are gone then.
func TestLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := member.New()
		for _, id := range []string{"a", "b", "c"} {
			s.Put(upstream(id), 1)
		}
		s.Unavailable()
		time.Sleep(100 * time.Millisecond)
		for _, id := range []string{"a", "b", "c"} {
			if got := s.Remove(id, 5); got != member.Kept {
				t.Fatalf("remove %s: got %s, want kept", id, got)
			}
		}
		if usable(s) != 3 {
			t.Errorf("just after the lapse: %d usable, want 3", usable(s))
		}
		time.Sleep(time.Second)
		s.Put(upstream("a"), 6)
		s.Put(upstream("b"), 7)
		time.Sleep(1500 * time.Millisecond)
		if gone := s.Expire(); len(gone) != 1 || gone[0] != "c" {
			t.Errorf("expired %v, want c", gone)
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
		s.Remove("a", 2)
		if usable(s) != 2 {
			t.Errorf("one of three removed without an outage: %d usable, want 2", usable(s))
		}
		leaving := upstream("b")
		leaving.State = member.Draining
		s.Put(leaving, 3)
		if usable(s) != 1 {
			t.Errorf("one leaving: %d usable, want 1", usable(s))
		}
		if got := s.Remove("b", 4); got != member.Gone {
			t.Errorf("remove one that was leaving: got %s, want gone", got)
		}
		// Most of the service at once looks like a lapse, though no call to the list has failed.
		s.Remove("c", 5)
		if usable(s) == 0 {
			t.Error("the last one removed at once: none usable, want it for a moment")
		}
	})
}

// TestOrder tells changes late and twice, as another entry does.
func TestOrder(t *testing.T) {
	s := member.New()
	leaving := upstream("a")
	leaving.State = member.Draining
	s.Put(leaving, 9)
	if s.Put(upstream("a"), 8) {
		t.Error("an older state was taken over")
	}
	if usable(s) != 0 {
		t.Error("a leaving upstream is usable after an older state was told")
	}
	s.Remove("a", 12)
	if s.Put(upstream("a"), 11) || usable(s) != 0 {
		t.Error("a removed upstream came back by an older state")
	}
	if !s.Put(upstream("a"), 13) || usable(s) != 1 {
		t.Error("an upstream that starts again under its id is not taken over")
	}
}
