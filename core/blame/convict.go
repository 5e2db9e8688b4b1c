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

// chance returns the probability with which a sound part would have been at n crashes and not been answered since the first
// of them. Each time, a request breaks off with the probability with which those without the part do.
func (l *Ledger) chance(p Part, first *crash, crashes []*crash, suspects func(*crash) []Suspect, n int) float64 {
	broken := 1.0 // None at all would allow no estimate.
	for _, c := range crashes {
		if c.at.Before(first.at) {
			continue
		}
		for _, s := range suspects(c) {
			if !slices.Contains(s.Parts, p) {
				broken++
			}
		}
	}
	answered := float64((l.total - first.total) * l.entries)
	return math.Pow(broken/(broken+answered), float64(n))
}
