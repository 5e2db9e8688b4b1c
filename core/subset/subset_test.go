package subset_test

import (
	"fmt"
	"testing"

	"pimentoseam/core/rank"
	"pimentoseam/core/subset"
)

// TestBalance checks how evenly subsets cover the names; rendezvous hashing leaves some names out.
func TestBalance(t *testing.T) {
	var names []string
	for i := range 315 {
		names = append(names, fmt.Sprint("u", i))
	}
	const clients, size = 123, 8
	p := subset.New(size)
	shipped, naive := map[string]int{}, map[string]int{}
	for i := range clients {
		for _, n := range p.Of(i, names) {
			shipped[n]++
		}
		for _, n := range rank.Order(fmt.Sprint("e", i), names)[:size] {
			naive[n]++
		}
	}
	mean := float64(clients*size) / float64(len(names))
	maxUses, minUses, naiveMax, naiveUnused := 0, clients, 0, 0
	for _, n := range names {
		maxUses, minUses = max(maxUses, shipped[n]), min(minUses, shipped[n])
		naiveMax = max(naiveMax, naive[n])
		if naive[n] == 0 {
			naiveUnused++
		}
	}
	t.Logf("mean %.2f: shuffled rounds %d to %d clients a name, rendezvous up to %d, with %d of %d names unused", mean, minUses, maxUses, naiveMax, naiveUnused, len(names))
	if float64(maxUses) > 1.5*mean || minUses == 0 {
		t.Errorf("from %d to %d clients a name, want at most 1.5 times the mean %.2f and no name unused", minUses, maxUses, mean)
	}
}
