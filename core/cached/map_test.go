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
		chains := cached.Chains("m", parts)
		m := cached.New()
		m.Note("whole", chains)
		m.Note("first", chains[:1])
		m.Note("gap", chains[1:])
		held := m.Held(chains, parts)
		for engine, want := range map[string]int{"whole": 4500, "first": 500, "gap": 0, "none": 0} {
			if held[engine] != want {
				t.Errorf("%s: got %d tokens, want %d", engine, held[engine], want)
			}
		}
		if other := m.Held(cached.Chains("n", parts), parts); len(other) != 0 {
			t.Errorf("another model: got %v, want nothing", other)
		}
		m.Forget("whole")
		if got := m.Held(chains, parts)["whole"]; got != 0 {
			t.Errorf("after a restart: got %d tokens, want 0", got)
		}
		// Other prompts push out what is not used.
		time.Sleep(time.Minute)
		if got := m.Held(chains, parts); len(got) != 0 {
			t.Errorf("after a minute without use: got %v, want nothing", got)
		}
	})
}
