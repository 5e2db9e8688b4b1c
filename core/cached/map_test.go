package cached_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/cached"
	"pimentoseam/core/call"
)

func TestHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := []call.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 4000}}
		chains := cached.Prefixes("m", parts)
		m := cached.New()
		m.Record("whole", chains, 0)
		m.Record("first", chains[:1], 0)
		m.Record("gap", chains[1:], 0)
		m.Record("under way", chains, time.Second)
		m.Record("whole", chains, time.Second) // It keeps them all the same.
		held, soon := m.Lookup(chains, parts)
		for engine, want := range map[string]int{"whole": 4500, "first": 500, "gap": 0, "none": 0, "under way": 0} {
			if held[engine] != want {
				t.Errorf("%s: got %d tokens, want %d", engine, held[engine], want)
			}
		}
		if soon["under way"] != 4500 || soon["first"] != 500 {
			t.Errorf("once it is processed: got %v", soon)
		}
		if _, other := m.Lookup(cached.Prefixes("n", parts), parts); len(other) != 0 {
			t.Errorf("another model: got %v, want nothing", other)
		}
		m.Remove("whole")
		time.Sleep(2 * time.Second)
		if held, _ = m.Lookup(chains, parts); held["whole"] != 0 || held["under way"] != 4500 {
			t.Errorf("after a restart and two seconds: got %v", held)
		}
		// Other prompts push out what is not used.
		time.Sleep(time.Minute)
		if _, got := m.Lookup(chains, parts); len(got) != 0 {
			t.Errorf("after a minute without use: got %v, want nothing", got)
		}
	})
}
