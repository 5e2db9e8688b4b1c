package rank_test

import (
	"fmt"
	"slices"
	"testing"

	"pimentoseam/core/rank"
)

// TestOrder checks that removing a name reassigns only the keys ranked first to it, and evenly.
func TestOrder(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	moved := map[string]int{}
	for i := range 5000 {
		key := fmt.Sprint("key", i)
		before := rank.Order(key, names)
		after := rank.Order(key, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "c" }))
		want := slices.DeleteFunc(slices.Clone(before), func(n string) bool { return n == "c" })
		if !slices.Equal(after, want) {
			t.Fatalf("%s: got %v, want %v", key, after, want)
		}
		if before[0] == "c" {
			moved[after[0]]++
		}
	}
	for _, n := range []string{"a", "b", "d", "e"} {
		if moved[n] < 150 || moved[n] > 350 {
			t.Errorf("%s got %d of about 1000 reassigned keys, want about 250", n, moved[n])
		}
	}
}
