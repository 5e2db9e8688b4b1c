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

// TestSpread sends requests on reports that never change and compares the fullest candidate
// of the shipped choice with that of the naive least reported load.
func TestSpread(t *testing.T) {
	fullest := func(c *pick.Chooser) int {
		all := fleet(50)
		for i := range all {
			all[i].Reported = 1
		}
		all[7].Reported = 0 // reported as the least loaded
		counts := make([]int, len(all))
		for range 1000 {
			counts[c.ChoosePrefill("", all)]++
		}
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		return most
	}
	naive := fullest(pick.New(seeded(), pick.WithChoices(0)))
	shipped := fullest(pick.New(seeded()))
	if naive != 1000 {
		t.Errorf("least reported load sent %d of 1000 to one candidate, want all", naive)
	}
	if shipped > 100 {
		t.Errorf("two choices sent %d of 1000 to one of 50 candidates, want at most 100", shipped)
	}
}

func TestAffinity(t *testing.T) {
	c := pick.New(seeded())
	all := fleet(8)
	home := c.ChoosePrefill("prefix", all)
	for range 20 {
		if got := c.ChoosePrefill("prefix", all); got != home {
			t.Fatalf("got %d, want the prefix's home %d", got, home)
		}
	}
	all[home].Reported = 10
	if got := c.ChoosePrefill("prefix", all); got == home {
		t.Error("a home loaded beyond the bound was chosen")
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
		t.Errorf("with no room for outputs a prompt went to %s, want the mixed engine", all[got].Name)
	}
	if got := c.ChoosePrefill("", all[1:2]); got != -1 {
		t.Errorf("got %d of decode engines only, want none", got)
	}
}
