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
		prefixes := cached.Prefixes("m", parts)
		m := cached.New()
		m.Record("whole", prefixes, 0)
		m.Record("first", prefixes[:1], 0)
		m.Record("gap", prefixes[1:], 0)
		m.Record("under way", prefixes, time.Second)
		m.Record("whole", prefixes, time.Second) // Processes them again, but has them cached already.
		tokens, cachedAfterBacklog := m.Lookup(prefixes, parts)
		for engine, want := range map[string]int{"whole": 4500, "first": 500, "gap": 0, "none": 0, "under way": 0} {
			if tokens[engine] != want {
				t.Errorf("%s: got %d tokens, want %d", engine, tokens[engine], want)
			}
		}
		if cachedAfterBacklog["under way"] != 4500 || cachedAfterBacklog["first"] != 500 {
			t.Errorf("after processing: got %v, want 4500 for \"under way\" and 500 for \"first\"", cachedAfterBacklog)
		}
		if _, other := m.Lookup(cached.Prefixes("n", parts), parts); len(other) != 0 {
			t.Errorf("another model: got %v, want none", other)
		}
		m.Remove("whole")
		time.Sleep(2 * time.Second)
		if tokens, _ = m.Lookup(prefixes, parts); tokens["whole"] != 0 || tokens["under way"] != 4500 {
			t.Errorf("after a restart and two seconds: got %v, want none for \"whole\" and 4500 for \"under way\"", tokens)
		}
		// Prefixes expire without further use, since other prompts evict them.
		time.Sleep(time.Minute)
		if _, got := m.Lookup(prefixes, parts); len(got) != 0 {
			t.Errorf("after a minute without use: got %v, want none", got)
		}
	})
}
