package blame

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// trialPause is the time from a hold, or a trial, until the next trial of the same parts, so that the crashes count as two.
	trialPause = 2 * minSpacing
	// secondPause is the time from the first trial until the second one. The first one's engine may still read a long prompt before that.
	secondPause = 1500 * time.Millisecond
	// freeTrials is the number of trials that are made whatever they would show. Each later one must suffice to block the parts if
	// it crashes an engine, or wait for laterPause, which doubles each time up to maxPause, since at most three requests may reach
	// engines from some seconds after the fifth crash on.
	freeTrials = 2
	// decisiveTrials is the number of those after them that don't wait if they are expected to suffice. A crash may have more suspects than
	// expected.
	decisiveTrials = 1
	laterPause     = 20 * time.Second
	maxPause       = 2 * time.Minute
	// maxLateTrials is the number of trials that are begun once the parts were at minOther crashes, over all entries. If the parts are
	// neither blocked nor answered by then, the next one waits for shutPause, whatever the evidence says.
	maxLateTrials = 2
	shutPause     = 5 * time.Minute
	// trialTTL is how long a trial is known and reported at least; one of a hold in force that ran is for as long as the hold.
	trialTTL = 10 * time.Second
	// maxTrials limits the trials that are known. While no engine is up, many of them begin and don't run; those give way first.
	maxTrials = 32
)

// trial is the run of one prompt with held parts.
type trial struct {
	parts  []Part
	at     time.Time
	isVoid bool // It did not run.
	isLate bool // The parts had been at minOther crashes.
}

// Begin begins a trial of a prompt with held parts and returns its id, or false if none may be made now. Other entries must be told
// before it runs; see Confirm.
func (l *Ledger) Begin(parts []Part) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holdOn(parts)
	if h == nil || time.Since(h.since()) < trialPause {
		return 0, false
	}
	if h.trials > 0 && time.Since(h.last) < secondPause && !l.hasCrashed(h) {
		return 0, false // The last trial may still be in progress.
	}
	if h.late >= maxLateTrials && time.Since(h.last) < shutPause {
		return 0, false
	}
	if wait := h.pause() - time.Since(h.since()); wait > 0 && (h.trials < freeTrials || h.trials >= freeTrials+decisiveTrials || !l.isDecisive(h)) {
		return 0, false
	}
	id := rand.Uint64()
	return id, l.addTrial(id, h.parts, time.Now(), l.numWith(h.parts) >= minOther)
}

// hasCrashed reports whether an engine has crashed under the held parts since the last trial.
func (l *Ledger) hasCrashed(h *hold) bool {
	for _, c := range l.crashes {
		if c.at.After(h.last) && c.has(h.parts) {
			return true
		}
	}
	return false
}

// Confirm reports whether a trial that was begun may run: no other entry has begun one at the same time that goes first.
func (l *Ledger) Confirm(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.trials[id]
	if own == nil {
		return false
	}
	for other, t := range l.trials {
		if other < id && !t.isVoid && isSubset(own.parts, t.parts) && t.at.Sub(own.at).Abs() < trialPause {
			return false
		}
	}
	return true
}

// Void records that a trial did not run, so that it doesn't delay the next one.
func (l *Ledger) Void(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.trials[id]; t != nil {
		l.voidTrial(t)
	}
}

// voidTrial marks a trial as void and reports whether that is new.
func (l *Ledger) voidTrial(t *trial) bool {
	if t.isVoid {
		return false
	}
	t.isVoid = true
	for _, h := range l.holds {
		if h.isTriedBy(t) && h.trials > 0 {
			h.trials--
			if t.isLate && h.late > 0 {
				h.late--
			}
		}
	}
	return true
}

// isTriedBy reports whether a trial is one of the hold's parts, as they are now or were before.
func (h *hold) isTriedBy(t *trial) bool {
	return isSubset(h.parts, t.parts) || isSubset(t.parts, h.parts)
}

// isDecisive reports whether one more crash under the held parts would block them, as found out within reviewPause.
func (l *Ledger) isDecisive(h *hold) bool {
	if time.Since(h.judged) < reviewPause {
		return h.decisive
	}
	h.judged, h.decisive = time.Now(), false
	s := l.scene(true)
	for _, e := range l.judge(s) {
		if e.held == h && e.hasTrials(1) && (l.chance(e, s, onlySoon, 1) <= maxChance || (e.isLate && l.chance(e, s, withLate, 1) <= maxChance)) {
			h.decisive = true
		}
	}
	return h.decisive
}

// mergeTrial adds what another entry reports of a trial and reports whether it is new.
func (l *Ledger) mergeTrial(r Trial, isLate bool) bool {
	changed := l.addTrial(r.ID, r.Parts, timeOf(r.Age), isLate)
	if t := l.trials[r.ID]; t != nil && r.Void && l.voidTrial(t) {
		changed = true
	}
	return changed
}

// addTrial records a trial of this or another entry and reports whether it is new.
func (l *Ledger) addTrial(id uint64, parts []Part, at time.Time, isLate bool) bool {
	t := &trial{parts: parts, at: at}
	if l.trials[id] != nil || len(parts) == 0 || len(parts) > maxBlockParts || !l.isKept(t) {
		return false
	}
	if len(l.trials) >= maxTrials && !l.dropVoidTrial() {
		return false
	}
	t.isLate = isLate
	l.trials[id] = t
	for _, h := range l.holds {
		if h.isTriedBy(t) {
			h.trials++
			if isLate {
				h.late++
				h.isOften = true
			}
			if at.After(h.last) {
				h.last = at
			}
		}
	}
	return true
}

// isKept reports whether a trial is recent or one of a hold in force, whose trials all count.
func (l *Ledger) isKept(t *trial) bool {
	return time.Since(t.at) < trialTTL || !t.isVoid && slices.ContainsFunc(l.holds, func(h *hold) bool {
		return h.isInForce() && h.isTriedBy(t) && !t.at.Before(h.began)
	})
}

// dropVoidTrial drops the oldest trial that did not run and reports whether there was one.
func (l *Ledger) dropVoidTrial() bool {
	var oldest *trial
	var id uint64
	for other, t := range l.trials {
		if t.isVoid && (oldest == nil || t.at.Before(oldest.at)) {
			id, oldest = other, t
		}
	}
	delete(l.trials, id)
	return oldest != nil
}

// numWith returns the number of crashes at which a request had all of the given parts, without possible ones.
func (l *Ledger) numWith(parts []Part) int {
	n := 0
	for _, c := range l.crashes {
		if !c.isUnsure && c.has(parts) {
			n++
		}
	}
	return n
}
