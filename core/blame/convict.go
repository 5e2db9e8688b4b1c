package blame

import (
	"maps"
	"math"
	"slices"
	"time"
)

// moments counts crashes that lie minSpacing apart.
type moments struct {
	n    int
	last time.Time
}

func (m *moments) add(at time.Time) {
	if m.n == 0 || at.Sub(m.last) >= minSpacing {
		m.n++
		m.last = at
	}
}

// evidence is what speaks against one part: the crashes since its last answer at which it was suspect.
type evidence struct {
	first  *crash  // The first of these crashes.
	begun  moments // Those with a request that was begun.
	any    moments // All of them.
	common []Part  // The parts that came with it each time.
}

// convict returns the sets of parts that the crashes are due to.
func (l *Ledger) convict() [][]Part {
	crashes := slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	lastAt, count := make(map[Part]*crash), make(map[Part]int)
	for _, c := range crashes {
		for _, s := range c.suspects {
			for _, p := range s.Parts {
				if lastAt[p] != c {
					lastAt[p] = c
					count[p]++
				}
			}
		}
	}
	var sets [][]Part
	for p, n := range count {
		if n < minBegun {
			continue
		}
		if e := l.against(p, crashes); l.isConvicted(p, e, crashes) {
			sets = append(sets, e.common)
		}
	}
	return sets
}

// against collects the evidence against a part.
func (l *Ledger) against(p Part, crashes []*crash) *evidence {
	answered, wasAnswered := l.answers.last(p)
	e := &evidence{}
	for _, c := range crashes {
		if !c.at.After(answered) {
			continue
		}
		begun, found := false, false
		for _, s := range l.suspects(c, p) {
			if !slices.Contains(s.Parts, p) {
				continue
			}
			if e.first == nil {
				e.first, e.common = c, slices.Clone(s.Parts)
			}
			e.common = slices.DeleteFunc(e.common, func(q Part) bool { return !slices.Contains(s.Parts, q) })
			begun, found = begun || s.Begun, true
		}
		if found {
			e.any.add(c.at)
		}
		if begun {
			e.begun.add(c.at)
		}
	}
	// A part against which less speaks isn't needed to tell the prompts that crash engines.
	e.common = slices.DeleteFunc(e.common, func(q Part) bool {
		at, ok := l.answers.last(q)
		return q != p && ok && (!wasAnswered || at.After(e.first.at))
	})
	return e
}

// suspects returns the requests that a crash may be due to as far as a part is concerned: none if another block explains
// it, and only those that were begun if one of them has a part that was not answered before.
func (l *Ledger) suspects(c *crash, p Part) []Suspect {
	for _, b := range l.blocks {
		if !slices.Contains(b.parts, p) && b.explains(c) {
			return nil
		}
	}
	begun := c.begun()
	if slices.ContainsFunc(begun, l.hasUnanswered) {
		return begun
	}
	return c.suspects
}

// explains reports whether a request with the blocked parts was at the engine.
func (b *block) explains(c *crash) bool {
	return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return isSubset(b.parts, s.Parts) })
}

// begun returns the requests that were begun.
func (c *crash) begun() []Suspect {
	n := 0
	for _, s := range c.suspects {
		if s.Begun {
			n++
		}
	}
	return c.suspects[:n]
}

// hasUnanswered reports whether a request has a part that no engine is known to have answered.
func (l *Ledger) hasUnanswered(s Suspect) bool {
	return slices.ContainsFunc(s.Parts, func(p Part) bool {
		_, ok := l.answers.last(p)
		return !ok
	})
}

// isConvicted reports whether the evidence suffices to block a part.
func (l *Ledger) isConvicted(p Part, e *evidence, crashes []*crash) bool {
	factor := 1
	if _, ok := l.answers.last(p); ok {
		factor = answeredFactor
	}
	if e.first == nil {
		return false
	}
	if n := e.begun.n; n >= factor*minBegun && l.chance(p, e.first, crashes, (*crash).begun, n) <= maxChance {
		return true
	}
	all := func(c *crash) []Suspect { return c.suspects }
	n := e.any.n
	return n >= factor*minOther && l.chance(p, e.first, crashes, all, n) <= maxChance
}

// chance returns the probability with which a sound part would have been at n or more of the crashes since the first one, and
// in none of the answers. It would have its share of the requests that were sent also among the suspects and the answers.
func (l *Ledger) chance(p Part, first *crash, crashes []*crash, suspects func(*crash) []Suspect, n int) float64 {
	var all moments
	suspected, suspectedWith := 0, 0
	for _, c := range crashes {
		if c.at.Before(first.at) || len(l.suspects(c, p)) == 0 {
			continue
		}
		all.add(c.at)
		for _, s := range suspects(c) {
			suspected++
			if slices.Contains(s.Parts, p) {
				suspectedWith++
			}
		}
	}
	// The estimates can be below what is known from the suspects, which were sent, too.
	sent := max(suspected, l.entries*(l.traffic.sent-first.before.sent))
	share := min(1, float64(max(suspectedWith, l.entries*l.sent[p]))/float64(sent))
	perCrash := float64(suspected) / float64(all.n)
	atCrash := 1 - math.Pow(1-share, perCrash)
	answered := float64(l.entries * (l.traffic.answered - first.before.answered))
	return tail(max(n, all.n), n, atCrash) * math.Pow(1-share, answered)
}

// tail returns the probability of n or more successes in trials that each succeed with the given probability.
func tail(trials, n int, probability float64) float64 {
	sum := 0.0
	for k := n; k <= trials; k++ {
		ways, _ := math.Lgamma(float64(trials + 1))
		chosen, _ := math.Lgamma(float64(k + 1))
		rest, _ := math.Lgamma(float64(trials - k + 1))
		sum += math.Exp(ways-chosen-rest) * math.Pow(probability, float64(k)) * math.Pow(1-probability, float64(trials-k))
	}
	return min(1, sum)
}
