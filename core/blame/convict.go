package blame

import (
	"math"
	"slices"
	"time"
)

// minSuspected is the number of crashes since its last answer from which on a part is judged.
const minSuspected = min(minBegun, minOther, minHold, minHoldBegun)

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
	part      Part
	spots     []spot  // Where it was at these crashes, if that counts.
	first     *crash  // The first of these crashes.
	runs      int     // Number of these crashes.
	present   int     // Number of crashes since its last answer that it was at, whatever they are due to.
	begun     moments // Those with a request that was begun.
	soon      moments // Those with a request that had no event yet or its first one lately.
	any       moments // All of them.
	begunRuns int     // Number of crashes with a request that was begun.
	requests  int     // Number of requests with the part at these crashes.
	isLate    bool    // Some of these requests had their first event long before.
	held      *hold   // The hold of the part; nil for none.
	inHold    moments // Those of the crashes that the hold has not prevented.
	common    []Part  // The parts that came with it each time.
}

// judge returns what speaks against each part that was at minSuspected or more crashes. Of parts against which the same speaks it
// has one.
func (l *Ledger) judge(s *scene) []*evidence {
	seen := make(map[uint64]bool)
	var list []*evidence
	for _, p := range s.order {
		sign := l.signature(s, p)
		if seen[sign] {
			continue
		}
		seen[sign] = true
		if e := l.against(p, s); e.runs >= minSuspected {
			list = append(list, e)
		}
	}
	return list
}

// against collects the evidence against a part.
func (l *Ledger) against(p Part, s *scene) *evidence {
	answered, wasAnswered := l.answers.last(p)
	e := &evidence{part: p, held: l.holdOf(p)}
	last, lastBegun, lastPresent := -1, -1, -1
	own := make(map[Part]bool)
	for _, at := range s.spots[p] {
		c := s.crashes[at.crash]
		if !c.at.After(answered) {
			continue
		}
		if at.crash != lastPresent {
			lastPresent = at.crash
			e.present++
		}
		if at.suspect >= l.numSuspects(s, at.crash, p) {
			continue
		}
		suspect := c.suspects[at.suspect]
		own[suspect.own()] = true
		if e.first == nil {
			e.first = c
		}
		e.spots = append(e.spots, at)
		if at.crash != last {
			last = at.crash
			e.runs++
			e.any.add(c.at)
			if e.held.covers(c.at) {
				e.inHold.add(c.at)
			}
		}
		switch {
		case suspect.isLate():
			e.isLate = true
			continue
		case suspect.Begun:
			e.begun.add(c.at)
			if at.crash != lastBegun {
				lastBegun = at.crash
				e.begunRuns++
			}
		}
		e.soon.add(c.at)
	}
	e.requests = len(own)
	if e.first == nil {
		return e
	}
	first := e.spots[0]
	for _, q := range s.crashes[first.crash].suspects[first.suspect].Parts {
		// A part against which less speaks isn't needed to tell the prompts that crash engines.
		at, ok := l.answers.last(q)
		isLess := ok && (!wasAnswered || at.After(e.first.at))
		if q == p || (!isLess && s.hasAll(q, e.spots)) {
			e.common = append(e.common, q)
		}
	}
	if extra := len(e.common) - maxBlockParts; extra > 0 {
		// The last ones tell most prompts apart.
		e.common = e.common[extra:]
		if !slices.Contains(e.common, p) {
			e.common[0] = p
		}
	}
	return e
}

// numSuspects returns how many suspects of a crash it may be due to as far as a part is concerned, from the first one on: none if
// another block explains it or, if the part was answered before, a hold of parts that weren't; only those that were begun if one of
// them has a part that was not answered before; no late ones if another one shares such a part with others and the part was
// answered before.
func (l *Ledger) numSuspects(s *scene, crash int, p Part) int {
	_, wasAnswered := l.answers.last(p)
	if s.isExplained(crash, p) || (wasAnswered && s.isDueToHeld(crash, p)) {
		return 0
	}
	c := s.crashes[crash]
	begun := c.suspects[:c.numBegun()]
	if slices.ContainsFunc(begun, func(s Suspect) bool { return l.hasUnanswered(s.Parts) }) {
		return len(begun)
	}
	soon := c.suspects[:c.numSoon()]
	if wasAnswered && slices.ContainsFunc(soon, func(s Suspect) bool { return l.hasUnanswered(s.shared()) }) {
		return len(soon)
	}
	return len(c.suspects)
}

// numSoon returns the number of requests that had no event or their first one lately, which come before the late ones.
func (c *crash) numSoon() int {
	n := 0
	for _, s := range c.suspects {
		if !s.isLate() {
			n++
		}
	}
	return n
}

// numBegun returns the number of requests that were begun, which come first.
func (c *crash) numBegun() int {
	n := 0
	for _, s := range c.suspects {
		if s.Begun {
			n++
		}
	}
	return n
}

// hasUnanswered reports whether any of the parts is one that no engine is known to have answered.
func (l *Ledger) hasUnanswered(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		_, ok := l.answers.last(p)
		return !ok
	})
}

// isConvicted reports whether the evidence suffices to block a part.
func (l *Ledger) isConvicted(e *evidence, s *scene) bool {
	factor := 1
	if _, ok := l.answers.last(e.part); ok {
		factor = answeredFactor
	}
	if e.begun.n >= factor*minBegun && l.chance(e, s, onlyBegun, 0) <= maxChance {
		return true
	}
	if (e.soon.n >= factor*minOther || e.hasTrials(0)) && l.chance(e, s, onlySoon, 0) <= maxChance {
		return true
	}
	return e.isLate && (e.any.n >= factor*minOther || e.hasTrials(0)) && l.chance(e, s, withLate, 0) <= maxChance
}

// hasTrials reports whether enough trials of a held part have crashed engines, after more of them. They can't be due to what
// ended many engines at one moment, nor to what happened before the part was last answered.
func (e *evidence) hasTrials(more int) bool {
	return e.held != nil && e.runs+more >= minOther && min(e.inHold.n, e.held.trials)+more >= minInHold
}

// states are the states of requests at a crash that count.
type states string

// The states that count. In fewer of them there are fewer requests at any moment, so that it says more to be in one each time.
const (
	onlyBegun states = "begun"
	onlySoon  states = "soon" // Without an event, or with the first one lately.
	withLate  states = "all"
)

// has reports whether a suspect's state counts.
func (s states) has(suspect Suspect) bool {
	switch s {
	case onlyBegun:
		return suspect.Begun
	case onlySoon:
		return !suspect.isLate()
	}
	return true
}

// period is what happened in a time in which a part was sent freely, or was held.
type period struct {
	all, with     moments // Crashes, and those at which the part was suspect.
	suspected     int     // Suspects of the crashes.
	suspectedWith int     // Those with the part.
	sent          int     // Requests of this entry.
	sentWith      int     // Those with the part.
	answered      int     // Complete answers of this entry.
}

// chance returns the probability with which a sound part would have been at as many of the crashes since the first one, and in
// none of the answers. It would have its share of the requests that were sent also among the suspects and the answers. While a
// part is held, the share is another one. Only suspects in the given states count; more crashes under the part while it is held can
// be assumed.
func (l *Ledger) chance(e *evidence, s *scene, counted states, more int) float64 {
	free := &period{sent: l.traffic.sent - e.first.before.sent, sentWith: l.sent[e.part], answered: l.traffic.answered - e.first.before.answered}
	held := &period{}
	if e.held != nil {
		free.sent, free.sentWith, free.answered = e.held.before.sent-e.first.before.sent, e.held.sent[e.part], e.held.before.answered-e.first.before.answered
		held.sent, held.sentWith, held.answered = l.traffic.sent-e.held.before.sent, l.sent[e.part]-e.held.sent[e.part], l.traffic.answered-e.held.before.answered
	}
	spots := e.spots
	for i, c := range s.crashes {
		if c.at.Before(e.first.at) || l.numSuspects(s, i, e.part) == 0 {
			continue
		}
		during := free
		if e.held.covers(c.at) {
			during = held
		}
		during.all.add(c.at)
		for _, suspect := range c.suspects {
			if counted.has(suspect) {
				during.suspected++
			}
		}
		for ; len(spots) > 0 && spots[0].crash == i; spots = spots[1:] {
			if counted.has(c.suspects[spots[0].suspect]) {
				during.with.add(c.at)
				during.suspectedWith++
			}
		}
	}
	for range more {
		held.all.n, held.with.n = held.all.n+1, held.with.n+1
		held.suspected, held.suspectedWith = held.suspected+2, held.suspectedWith+1
	}
	return free.chance(l.entries) * held.chance(l.entries)
}

// chance returns the probability for a sound part to be at as many of the crashes in a period, and in none of the answers.
func (p *period) chance(entries int) float64 {
	// The estimates can be below what is known from the suspects, which were sent, too.
	sent := max(p.suspected, entries*p.sent)
	if sent == 0 {
		return 1
	}
	share := min(1, float64(max(p.suspectedWith, entries*p.sentWith))/float64(sent))
	n := p.with.n
	all := max(n, p.all.n)
	none := math.Pow(1-share, float64(entries*max(0, p.answered)))
	if all == 0 {
		return none
	}
	perCrash := float64(p.suspected) / float64(p.all.n)
	atCrash := 1 - math.Pow(1-share, perCrash)
	return tail(all, n, atCrash) * none
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
