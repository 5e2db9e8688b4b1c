package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestOutdated checks that an entry counts as outdated once maxPropagation has passed since it first learned
// of a newer revision, even if it learned of still newer ones later.
func TestOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Entry{catchUpSignal: make(chan struct{}, 1)}
		check := func(want bool, when string) {
			t.Helper()
			if got := e.isOutdated(); got != want {
				t.Errorf("%s: got outdated %v, want %v", when, got, want)
			}
		}
		e.view.Store(&view{revision: 4})
		e.observeRevision(4)
		time.Sleep(2 * maxPropagation)
		check(false, "no newer revision observed")
		e.observeRevision(5)
		check(false, "newer revision just observed")
		time.Sleep(maxPropagation / 2)
		e.observeRevision(6)
		time.Sleep(maxPropagation/2 + time.Second)
		check(true, "first newer revision observed too long ago")
		e.view.Store(&view{revision: 6})
		check(false, "newest revision in force")
		e.observeRevision(7)
		check(false, "newer revision just observed again")
		time.Sleep(maxPropagation + time.Second)
		check(true, "second newer revision observed too long ago")
	})
}

// TestOwnersAt checks the owners of keys minted before, between and after changes of the membership.
func TestOwnersAt(t *testing.T) {
	start := time.Now()
	first, second, current := &upstream{}, &upstream{}, &upstream{}
	v := &view{
		targets: map[string][]*upstream{"app": {current}},
		previousOwners: map[string][]ownership{"app": {
			{until: start, isUnknown: true},
			{until: start.Add(time.Minute), upstreams: []*upstream{first}},
			{until: start.Add(2 * time.Minute), upstreams: []*upstream{second}},
		}},
	}
	tests := []struct {
		minted time.Duration
		want   *upstream
	}{
		{-time.Second, nil},
		{0, first},
		{time.Minute - 1, first},
		{time.Minute, second},
		{3 * time.Minute, current},
	}
	for _, test := range tests {
		ups, ok := v.ownersAt("app", start.Add(test.minted))
		if ok != (test.want != nil) || (ok && ups[0] != test.want) {
			t.Errorf("minted at %v: got %p, %v, want %p", test.minted, ups, ok, test.want)
		}
	}
}
