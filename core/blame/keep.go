package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pimentoseam/core/leave"
)

// addCrash adds a crash or a possible one, or what is new of a known one, and reports whether anything is new.
func (l *Ledger) addCrash(c Crash, isSure bool) bool {
	at := timeOf(c.Age)
	if time.Since(at) >= evidenceTTL || (!isSure && time.Since(at) >= unsureTTL) {
		return false
	}
	known := l.crashOf(c.Run, at, isSure)
	isNew := known == nil
	if isNew {
		if l.numAt(at) >= maxPerMoment {
			return false
		}
		l.prune()
		if !isSure && l.numUnsure() >= maxUnsure {
			l.dropOldestCrash(true)
		}
		if len(l.crashes) >= maxCrashes {
			l.dropOldestCrash(l.numUnsure() > 0)
		}
		known = &crash{at: at, before: l.traffic, isUnsure: !isSure}
		l.crashes[c.Run] = known
	}
	isConfirmed := isSure && known.isUnsure
	known.isUnsure = known.isUnsure && !isSure
	share := (maxCrashParts - known.size()) / max(1, min(len(c.Suspects), maxSuspects+maxLateSuspects))
	var added []Suspect
	for _, s := range c.Suspects {
		if l.addSuspect(known, s, share) {
			added = append(added, s)
		}
	}
	slices.SortStableFunc(known.suspects, l.compareSuspects)
	known.suspects = known.first(maxSuspects, maxLateSuspects)
	changed := isNew || isConfirmed || slices.ContainsFunc(added, func(s Suspect) bool { return known.indexOf(s) >= 0 })
	isFull := false
	for l.size() > maxKeptParts && len(l.crashes) > 1 {
		l.dropOldestCrash(false)
		isFull = true
	}
	if isNew || isFull {
		l.forgetSent()
	}
	return changed
}

// crashOf returns the known crash of a run, nil for none. One of the same engine at nearly the same time is the same.
func (l *Ledger) crashOf(run leave.Run, at time.Time, isSure bool) *crash {
	if known := l.crashes[run]; known != nil {
		return known
	}
	for other, c := range l.crashes {
		if other.Key == run.Key && c.at.Sub(at).Abs() < c.restart(isSure) {
			return c
		}
	}
	return nil
}

// indexOf returns the index of a request among the suspects, -1 if it isn't among them.
func (c *crash) indexOf(s Suspect) int {
	return slices.IndexFunc(c.suspects, func(o Suspect) bool {
		return o.Begun == s.Begun && o.isLate() == s.isLate() && o.own() == s.own()
	})
}

// numAt returns the number of crashes at one moment.
func (l *Ledger) numAt(at time.Time) int {
	n := 0
	for _, c := range l.crashes {
		if c.at.Sub(at).Abs() < minSpacing {
			n++
		}
	}
	return n
}

// addSuspect adds a request, or parts of one that is known, to the suspects of a crash and reports whether anything is new. The
// last part of a request tells it apart from the others. Parts that were answered after the crash aren't added, nor more than
// there is room for.
func (l *Ledger) addSuspect(c *crash, s Suspect, room int) bool {
	if len(s.Parts) == 0 {
		return false
	}
	own := s.own()
	i := c.indexOf(s)
	known := make(map[Part]bool)
	if i >= 0 {
		for _, p := range c.suspects[i].Parts {
			known[p] = true
		}
	}
	var added []Part
	for j, p := range s.Parts {
		at, ok := l.answers.last(p)
		isCleared := ok && at.After(c.at) && j < len(s.Parts)-1
		if !known[p] && !isCleared {
			known[p] = true
			added = append(added, p)
		}
	}
	if i >= 0 {
		added = l.trim(added, max(0, room))
		if len(added) == 0 {
			return false
		}
		list := c.suspects[i].Parts
		c.suspects[i].Parts = slices.Concat(list[:len(list)-1], added, []Part{own})
	} else {
		added = l.trim(added, max(minTrimmed, room))
		c.suspects = append(c.suspects, Suspect{Begun: s.Begun, Parts: added, After: s.After})
	}
	for _, p := range added {
		l.sent[p] += 0 // Counts from now on.
	}
	return true
}

// trim returns n parts at most, in their order: the last one, and those that are most suspect. Parts that no engine is known to
// have answered come first, of these the ones that were at other crashes, then the parts whose last answer is the oldest.
func (l *Ledger) trim(parts []Part, n int) []Part {
	if len(parts) <= n {
		return parts
	}
	if n == 0 {
		return nil
	}
	type place struct {
		index     int
		answered  time.Time
		isSuspect bool
	}
	order := make([]place, len(parts)-1)
	for i, p := range parts[:len(parts)-1] {
		order[i].index = i
		order[i].answered, _ = l.answers.last(p)
		_, order[i].isSuspect = l.sent[p]
	}
	slices.SortStableFunc(order, func(a, b place) int {
		return cmp.Or(a.answered.Compare(b.answered), compareFirst(a.isSuspect, b.isSuspect))
	})
	order = order[:n-1]
	slices.SortFunc(order, func(a, b place) int { return cmp.Compare(a.index, b.index) })
	list := make([]Part, 0, n)
	for _, k := range order {
		list = append(list, parts[k.index])
	}
	return append(list, parts[len(parts)-1])
}

// compareSuspects orders suspects that were begun before others and late ones last, and among each those first that have a part besides
// their own that no engine is known to have answered.
func (l *Ledger) compareSuspects(a, b Suspect) int {
	if c := cmp.Or(compareFirst(a.Begun, b.Begun), compareFirst(!a.isLate(), !b.isLate())); c != 0 {
		return c
	}
	return compareFirst(l.hasUnanswered(a.shared()), l.hasUnanswered(b.shared()))
}

// own returns the part that only this request has.
func (s Suspect) own() Part {
	return s.Parts[len(s.Parts)-1]
}

// shared returns the parts that other requests may have, too.
func (s Suspect) shared() []Part {
	return s.Parts[:len(s.Parts)-1]
}

// compareFirst orders true before false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// has reports whether one request at the crash has all of the given parts.
func (c *crash) has(parts []Part) bool {
	return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return isSubset(parts, s.Parts) })
}

// first returns the first of the late suspects and of the others, as many as the limits allow.
func (c *crash) first(limit, lateLimit int) []Suspect {
	soon := c.numSoon()
	late := c.suspects[soon:]
	return slices.Concat(c.suspects[:min(soon, limit)], late[:min(len(late), lateLimit)])
}

// size returns the number of parts that are kept of the crash.
func (c *crash) size() int {
	n := 0
	for _, s := range c.suspects {
		n += len(s.Parts)
	}
	return n
}

// size returns the number of parts that are kept of all crashes.
func (l *Ledger) size() int {
	n := 0
	for _, c := range l.crashes {
		n += c.size()
	}
	return n
}

// prune drops the parts that were answered after a crash from its suspects, but for the own part of each, which stands for the
// request, and parts of blocks
// and holds. Crashes that are still reported keep them, since the answers are reported with them.
func (l *Ledger) prune() {
	blocked := l.limited()
	for _, c := range l.crashes {
		if time.Since(c.at) < reportTTL {
			continue
		}
		for i, s := range c.suspects {
			own := s.own()
			c.suspects[i].Parts = slices.DeleteFunc(s.Parts, func(p Part) bool {
				at, ok := l.answers.last(p)
				return ok && at.After(c.at) && p != own && !blocked[p]
			})
		}
	}
}

// restart returns the shortest time until another crash, or a possible one, of the same engine.
func (c *crash) restart(isSure bool) time.Duration {
	if c.isUnsure || !isSure {
		return minUnsureRestart
	}
	return minRestart
}

// numUnsure returns the number of possible crashes.
func (l *Ledger) numUnsure() int {
	n := 0
	for _, c := range l.crashes {
		if c.isUnsure {
			n++
		}
	}
	return n
}

// dropOldestCrash makes room for another crash; one that is only possible goes first if isUnsure is set.
func (l *Ledger) dropOldestCrash(isUnsure bool) {
	runs := slices.SortedFunc(maps.Keys(l.crashes), func(a, b leave.Run) int {
		return cmp.Or(compareFirst(isUnsure && l.crashes[a].isUnsure, isUnsure && l.crashes[b].isUnsure), l.crashes[a].at.Compare(l.crashes[b].at), cmp.Compare(a.Key, b.Key))
	})
	delete(l.crashes, runs[0])
}

// forgetSent drops the counts of parts that are no longer suspect.
func (l *Ledger) forgetSent() {
	suspect := make(map[Part]bool, len(l.sent))
	for _, c := range l.crashes {
		for _, s := range c.suspects {
			for _, p := range s.Parts {
				suspect[p] = true
			}
		}
	}
	maps.DeleteFunc(l.sent, func(p Part, _ int) bool { return !suspect[p] })
}
