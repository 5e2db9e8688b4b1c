package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pimentoseam/core/pick"
)

func fleet(n int) []pick.Candidate {
	all := make([]pick.Candidate, n)
	for i := range all {
		all[i] = pick.Candidate{Name: fmt.Sprint("u", i), Role: "mixed", Slots: 10}
	}
	return all
}

func seeded() pick.Option {
	return pick.WithRandom(rand.New(rand.NewPCG(1, 1)).IntN)
}

// TestSpread checks that requests are not all sent to the upstream with the least reported load while reports are
// out of date. As a counterexample, comparing all candidates sends every request to that upstream.
func TestSpread(t *testing.T) {
	maxRequests := func(c *pick.Chooser) int {
		all := fleet(50)
		for i := range all {
			all[i].Reported = 1
		}
		all[7].Reported = 0 // the least reported load
		counts := make([]int, len(all))
		for range 1000 {
			counts[c.ChoosePrefill("", all)]++
		}
		maxCount := 0
		for _, n := range counts {
			maxCount = max(maxCount, n)
		}
		return maxCount
	}
	allChoices := maxRequests(pick.New(seeded(), pick.WithChoices(0)))
	twoChoices := maxRequests(pick.New(seeded()))
	if allChoices != 1000 {
		t.Errorf("least reported load sent %d of 1000 to one candidate, want all", allChoices)
	}
	if twoChoices > 100 {
		t.Errorf("two choices sent %d of 1000 to one of 50 candidates, want at most 100", twoChoices)
	}
}

func TestAffinity(t *testing.T) {
	c := pick.New(seeded())
	all := fleet(8)
	owner := c.ChoosePrefill("prefix", all)
	for range 20 {
		if got := c.ChoosePrefill("prefix", all); got != owner {
			t.Fatalf("got %d, want the prefix's owner %d", got, owner)
		}
	}
	all[owner].Reported = 10
	if got := c.ChoosePrefill("prefix", all); got == owner {
		t.Error("the prefix's owner was chosen with a load above the bound")
	}
}

func TestRoles(t *testing.T) {
	c := pick.New(seeded())
	all := []pick.Candidate{
		{Name: "p", Role: "prefill", Slots: 8},
		{Name: "d", Role: "decode", Slots: 8},
		{Name: "m", Role: "mixed", Slots: 8, Backlog: time.Second},
	}
	if got := c.ChoosePrefill("", all); got != 0 {
		t.Errorf("a prompt went to %s, want the prefill engine", all[got].Name)
	}
	if got := c.ChooseDecode(all); got == 0 {
		t.Error("an output went to the prefill engine")
	}
	all[1].Reported = 8
	if got := c.ChoosePrefill("", all); got != 2 {
		t.Errorf("with all decode slots in use a prompt went to %s, want the mixed engine", all[got].Name)
	}
	if got := c.ChoosePrefill("", all[1:2]); got != -1 {
		t.Errorf("got candidate %d of decode engines only, want none", got)
	}
}
