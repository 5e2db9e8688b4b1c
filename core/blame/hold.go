package blame

import (
	"maps"
	"slices"
	"time"
)

const (
	// minHold is the number of crashes, of any causes, after which a part that was at all of them and in no answer is held: of
	// the prompts with it, one at a time goes to an engine until it is known whether they crash engines.
	minHold = 3
	// minHoldBegun replaces minHold for a part that was never answered, while others were, if requests with it had been begun and had
	// no event each time. Few requests are in that state at any moment, and few of them have such a part.
	minHoldBegun = 2
	// minInHold is the number of trials of a held part that must have crashed engines to make up for crashes at one moment, which
	// count once, and for an answer before them.
	minInHold = 2
	// minOtherAnswers is the number of answers of all entries that show that engines answer other prompts than those with a part
	// that was never answered. Fewer can be missing by chance.
	minOtherAnswers = 20
	// maxHeldShare is the largest share of the requests that is held for a part that was answered before, or while few answers
	// are known. A part of most prompts can't be told from an engine that crashes whatever it gets.
	maxHeldShare = 0.5
	// maxFreeCrashes is the number of crashes without a held part, more than those with it, after which the hold ends: other
	// causes crash the engines.
	maxFreeCrashes = 3
	// minAnswers is the number of answers that end a hold whose parts were at minOther crashes, which crashes of others don't end. Prompts
	// that crash engines may be answered now and then.
	minAnswers = 2
	// holdTTL is how long a part is held at most; the crashes that caused the hold count as long.
	holdTTL = evidenceTTL
	// liftedTTL is how long a hold that was lifted is remembered, so that it doesn't return at once. After minRepeated more crashes
	// with its parts it may.
	liftedTTL   = time.Minute
	minRepeated = 2
	maxHolds    = 8

	// reviewPause is the minimum time between two looks at the evidence without a new crash.
	reviewPause = 250 * time.Millisecond
)

// hold keeps prompts with a set of parts, which may crash engines, from going to engines freely.
type hold struct {
	parts    []Part // In ascending order.
	began    time.Time
	before   traffic      // Of this entry until then.
	sent     map[Part]int // Of the parts, by this entry until then.
	trials   int
	late     int       // Trials that began after minOther crashes; see maxLateTrials.
	isOften  bool      // Its parts were at minOther crashes.
	last     time.Time // Of the trials.
	lifted   time.Time // Zero while it is in force.
	answers  int       // To prompts with the parts since it began, minSpacing apart.
	answered time.Time // The last one of them.
	judged   time.Time // When isDecisive was found out last.
	decisive bool
}

// covers reports whether a crash came after the part of evidence was held. Those at the same moment as the hold's cause don't.
func (h *hold) covers(at time.Time) bool {
	return h != nil && at.Sub(h.began) >= minSpacing
}

// isInForce reports whether the hold keeps prompts back.
func (h *hold) isInForce() bool {
	return h.lifted.IsZero() && time.Since(h.began) < holdTTL
}

// lift ends the hold unless that was done.
func (h *hold) lift() {
	if h.lifted.IsZero() {
		h.lifted = time.Now()
	}
}

// pause returns the time from the hold, or the last trial, until the next trial.
func (h *hold) pause() time.Duration {
	switch {
	case h.trials == 0:
		return trialPause
	case h.trials < freeTrials:
		return secondPause
	}
	return min(maxPause, laterPause<<min(h.trials-freeTrials, maxTrials))
}

// since returns the time from which the next pause is counted.
func (h *hold) since() time.Time {
	if h.trials == 0 {
		return h.began
	}
	return h.last
}

// holdOf returns the hold in force that has the part, nil for none.
func (l *Ledger) holdOf(p Part) *hold {
	for _, h := range l.holds {
		if h.isInForce() && slices.Contains(h.parts, p) {
			return h
		}
	}
	return nil
}

// holdSuspects holds the parts that are most suspect without being convicted, and lifts the holds that other crashes refute.
func (l *Ledger) holdSuspects(list []*evidence, s *scene) {
	list = slices.DeleteFunc(list, func(e *evidence) bool { return !l.mayHold(e) })
	most := 0
	for _, e := range list {
		most = max(most, e.runs)
	}
	for _, e := range list {
		if 2*e.runs >= most || l.isNewBegun(e) || l.isNewOften(e) {
			l.addHold(s.heldParts(e), time.Now(), Change{Cause: ByCrashes, Crashes: e.runs})
		}
	}
	for _, h := range l.holds {
		h.isOften = h.isOften || l.numWith(h.parts) >= minOther
		var with, without moments
		for i, c := range s.crashes {
			switch {
			case c.isUnsure || !h.covers(c.at) || len(s.explained[i]) > 0:
			case c.has(h.parts):
				with.add(c.at)
			case l.isDueToOthers(c, h):
			default:
				without.add(c.at)
			}
		}
		if without.n >= with.n+maxFreeCrashes && !h.isOften {
			l.noteEnd(h, ByOthers)
			h.lift()
		}
	}
}

// isDueToOthers reports whether a crash may be due to other parts than those of a hold, so that it says nothing of these: another
// hold in force has the parts of a suspect, or a suspect that was begun has a part that was never answered.
func (l *Ledger) isDueToOthers(c *crash, h *hold) bool {
	if slices.ContainsFunc(c.suspects, func(s Suspect) bool { return s.Begun && l.hasUnanswered(s.shared()) }) {
		return true
	}
	return slices.ContainsFunc(l.holds, func(other *hold) bool { return other != h && other.isInForce() && c.has(other.parts) })
}

// heldParts returns the parts to hold for the evidence against one of them: those that came with it each time, without the own
// part of a request that came again if there are others.
func (s *scene) heldParts(e *evidence) []Part {
	if len(e.common) < 2 {
		return e.common
	}
	own := s.crashes[e.spots[0].crash].suspects[e.spots[0].suspect].own()
	return slices.DeleteFunc(slices.Clone(e.common), func(p Part) bool { return p == own })
}

// isNewBegun reports whether a part was never answered, though others were, and was at enough crashes under requests that were
// begun to be held for that.
func (l *Ledger) isNewBegun(e *evidence) bool {
	_, wasAnswered := l.answers.last(e.part)
	return !wasAnswered && e.begunRuns >= minHoldBegun && l.haveOthersAnswers()
}

// isNewOften reports whether a part was never answered, though others were, and was at so many crashes that it is held even if
// blocks explain most of them. Several parts that crash engines are at many crashes together.
func (l *Ledger) isNewOften(e *evidence) bool {
	_, wasAnswered := l.answers.last(e.part)
	return !wasAnswered && e.present >= minOther && l.haveOthersAnswers()
}

// haveOthersAnswers reports whether engines have answered enough prompts, estimated from those of this entry. Entries tell each other
// of answers to suspect parts.
func (l *Ledger) haveOthersAnswers() bool {
	return l.entries*l.traffic.answered >= minOtherAnswers
}

// mayHold reports whether the evidence suffices to hold a part.
func (l *Ledger) mayHold(e *evidence) bool {
	if l.isNewBegun(e) || l.isNewOften(e) {
		return true
	}
	if e.runs < minHold {
		return false
	}
	// A sound request that broke off late may have come again. A session's requests have the same last part.
	if e.isLate && e.requests < minHold && e.runs < minOther {
		return false
	}
	_, wasAnswered := l.answers.last(e.part)
	if wasAnswered && e.any.n < minHold {
		return false
	}
	if !wasAnswered && l.haveOthersAnswers() {
		return true
	}
	sent := max(len(e.spots), l.entries*(l.traffic.sent-e.first.before.sent))
	return float64(max(len(e.spots), l.entries*l.sent[e.part])) <= maxHeldShare*float64(sent)
}

// addHold holds a set of parts unless it, or a part of it, is held already or was lately. A set of fewer parts replaces one of
// more, whose traffic and trials remain known. change has the cause and the crashes for the log.
func (l *Ledger) addHold(parts []Part, began time.Time, change Change) bool {
	if len(parts) == 0 || len(parts) > maxBlockParts || time.Since(began) >= holdTTL || l.isAnswered(parts, began) {
		return false
	}
	parts = slices.Sorted(slices.Values(parts))
	if slices.ContainsFunc(l.holds, func(h *hold) bool { return isSubset(h.parts, parts) }) {
		return false
	}
	if slices.ContainsFunc(l.blocks, func(b *block) bool { return isSubset(b.parts, parts) }) {
		return false
	}
	added := &hold{parts: parts, began: began, before: l.traffic, sent: make(map[Part]int)}
	for _, p := range parts {
		added.sent[p] = l.sent[p]
	}
	l.holds = slices.DeleteFunc(l.holds, func(h *hold) bool {
		if !isSubset(parts, h.parts) {
			return false
		}
		l.noteEnd(h, ByNarrower)
		added.began, added.before, added.sent = h.began, h.before, h.sent
		added.trials, added.late, added.isOften, added.last, added.lifted = h.trials, h.late, h.isOften, h.last, h.lifted
		return true
	})
	if len(l.holds) >= maxHolds {
		l.noteEnd(l.holds[0], ByRoom)
		l.holds = l.holds[1:]
	}
	l.holds = append(l.holds, added)
	if added.isInForce() {
		change.Parts, change.IsHeld, change.Trials = added.parts, true, added.trials
		l.note(change)
	}
	return true
}

// Held reports whether prompts with the given parts go to an engine one at a time only; see Begin.
func (l *Ledger) Held(parts []Part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdOn(parts) != nil
}

// NumHolds returns the number of sets of parts that are held.
func (l *Ledger) NumHolds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, h := range l.holds {
		if h.isInForce() {
			n++
		}
	}
	return n
}

// holdOn returns the hold in force on a prompt, nil for none. One of parts that were never answered comes first: a crash would be due
// to these.
func (l *Ledger) holdOn(parts []Part) *hold {
	if len(l.holds) == 0 {
		return nil
	}
	parts = l.contained(parts)
	var first *hold
	for _, h := range l.holds {
		if h.isInForce() && isSubset(h.parts, parts) && (first == nil || (l.isNew(h.parts) && !l.isNew(first.parts))) {
			first = h
		}
	}
	return first
}

// isNew reports whether no engine is known to have answered any of the parts.
func (l *Ledger) isNew(parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool {
		_, ok := l.answers.last(p)
		return ok
	})
}

// expireHolds drops holds and trials that no longer count, and holds whose parts were answered.
func (l *Ledger) expireHolds() {
	l.dropAnsweredHolds()
	l.holds = slices.DeleteFunc(l.holds, func(h *hold) bool {
		return time.Since(h.began) >= holdTTL || (!h.lifted.IsZero() && time.Since(h.lifted) >= liftedTTL)
	})
	maps.DeleteFunc(l.released, func(_ Part, at time.Time) bool { return time.Since(at) >= reportTTL })
	maps.DeleteFunc(l.trials, func(_ uint64, t *trial) bool { return !l.isKept(t) })
}

// dropAnsweredHolds ends the holds whose parts have been answered since, often enough.
func (l *Ledger) dropAnsweredHolds() {
	l.holds = slices.DeleteFunc(l.holds, func(h *hold) bool {
		if l.isAnswered(h.parts, latest(h.began, h.answered.Add(minSpacing))) {
			h.answers++
			h.answered = l.answeredAt(h.parts)
		}
		if h.answers == 0 || (h.answers < minAnswers && h.isOften) {
			return false
		}
		l.noteEnd(h, ByAnswer)
		for _, p := range h.parts {
			l.released[p] = time.Now()
		}
		return true
	})
}

// answeredAt returns when the part whose last answer is the oldest was answered last.
func (l *Ledger) answeredAt(parts []Part) time.Time {
	var oldest time.Time
	for _, p := range parts {
		if at, _ := l.answers.last(p); oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// decide blocks what the evidence suffices for, holds what is suspect, and returns the new blocks.
func (l *Ledger) decide() []Block {
	l.decided, l.hasLateNews = time.Now(), false
	s := l.scene(true)
	list := l.judge(s)
	var added []Block
	for _, e := range list {
		if l.isConvicted(e, s) && l.addBlock(e.common, time.Now()) {
			added = append(added, Block{Parts: e.common})
		}
	}
	l.holds = slices.DeleteFunc(l.holds, func(h *hold) bool {
		if !slices.ContainsFunc(l.blocks, func(b *block) bool { return isSubset(b.parts, h.parts) }) {
			return false
		}
		l.noteEnd(h, ByBlock)
		return true
	})
	if l.numUnsure() > 0 {
		s = l.scene(false)
		list = l.judge(s)
	}
	for i, c := range s.crashes {
		s.explained[i] = l.explaining(c) // New blocks explain crashes as the holds before them did.
	}
	l.suspected = make(map[Part]int)
	for _, e := range list {
		l.suspected[e.part] = e.runs
	}
	l.dropRefutedLifts()
	l.holdSuspects(list, s)
	return added
}

// dropRefutedLifts forgets that holds were lifted whose parts have been at minRepeated crashes since.
func (l *Ledger) dropRefutedLifts() {
	l.holds = slices.DeleteFunc(l.holds, func(h *hold) bool {
		if h.lifted.IsZero() {
			return false
		}
		crashes := 0
		for _, c := range l.crashes {
			if c.at.After(h.lifted) && c.has(h.parts) {
				crashes++
			}
		}
		return crashes >= minRepeated
	})
}

// Review returns the blocks that follow from answers to other prompts while parts are held, and from late suspects. It should be called
// a few times a second.
func (l *Ledger) Review() []Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if (len(l.holds) == 0 && !l.hasLateNews) || time.Since(l.decided) < reviewPause {
		return nil
	}
	return l.decide()
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
