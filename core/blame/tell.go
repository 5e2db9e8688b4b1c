package blame

import (
	"cmp"
	"slices"
	"time"

	"pimentoseam/core/leave"
)

// Report returns what other entries must know, nil for nothing.
func (l *Ledger) Report() *Report {
	r := &Report{Blocks: l.Blocks()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn++
	for _, c := range l.reportCrashes() {
		r.add(c.Crash, c.isSure)
	}
	r.Answers = l.reportAnswers()
	for _, h := range l.holds {
		if h.isInForce() {
			r.Holds = append(r.Holds, Block{Parts: h.parts, Age: ageOf(h.began)})
		}
	}
	for id, t := range l.trials {
		r.Trials = append(r.Trials, Trial{ID: id, Parts: t.parts, Age: ageOf(t.at), Void: t.isVoid})
		if t.isLate {
			r.LateTrials = append(r.LateTrials, id)
		}
	}
	if r.IsEmpty() {
		return nil
	}
	return r
}

// reportedCrash is a crash for a report.
type reportedCrash struct {
	Crash
	isSure bool
}

// reportCrashes returns the recent crashes, the newest first, with their most suspect requests. Of these it leaves out parts that
// were answered since. If the others are too many for one report, it has another section of them each time.
func (l *Ledger) reportCrashes() []reportedCrash {
	var runs []leave.Run
	for run, c := range l.crashes {
		if time.Since(c.at) < reportTTL {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b leave.Run) int {
		return cmp.Or(l.crashes[b].at.Compare(l.crashes[a].at), cmp.Compare(a.Key, b.Key))
	})
	runs = runs[:min(len(runs), maxReported)]
	var list []reportedCrash
	total := 0
	for _, run := range runs {
		c := l.crashes[run]
		reported := reportedCrash{Crash: Crash{Run: run, Age: ageOf(c.at)}, isSure: !c.isUnsure}
		for _, s := range c.first(maxReportSuspects, maxReportSuspects) {
			reported.Suspects = append(reported.Suspects, Suspect{Begun: s.Begun, Parts: l.unclearedParts(c, s), After: s.After})
			total += len(reported.Suspects[len(reported.Suspects)-1].Parts)
		}
		list = append(list, reported)
	}
	if total <= maxReportParts {
		return list
	}
	limit := maxReportParts / (maxReported * maxReportStates * maxReportSuspects)
	if spare := maxReportParts - limit*maxReportStates*maxReportSuspects*len(list); len(list) > 0 {
		limit += spare / (maxReportStates * maxReportSuspects * len(list))
	}
	for _, c := range list {
		for i, s := range c.Suspects {
			c.Suspects[i].Parts = section(s.Parts, limit, l.turn)
		}
	}
	return list
}

// unclearedParts returns a copy of the parts of a suspect that were not answered after the crash, and its own part.
func (l *Ledger) unclearedParts(c *crash, s Suspect) []Part {
	list := make([]Part, 0, len(s.Parts))
	for i, p := range s.Parts {
		if at, ok := l.answers.last(p); !ok || !at.After(c.at) || i == len(s.Parts)-1 {
			list = append(list, p)
		}
	}
	return list
}

// section returns limit parts at most: the last one, and another section of the others each turn.
func section(parts []Part, limit, turn int) []Part {
	if len(parts) <= limit {
		return parts
	}
	others, width := parts[:len(parts)-1], limit-1
	list := make([]Part, 0, limit)
	for i := range width {
		list = append(list, others[(turn*width+i)%len(others)])
	}
	return append(list, parts[len(parts)-1])
}

// reportAnswers returns when parts that are suspect of recent crashes, held, lately so, or blocked were answered last, the latter
// first.
func (l *Ledger) reportAnswers() []Answer {
	var list []Answer
	seen := make(map[Part]bool)
	add := func(p Part) {
		if seen[p] || len(list) >= maxReportAnswers {
			return
		}
		seen[p] = true
		if at, ok := l.answers.last(p); ok {
			list = append(list, Answer{Part: p, Age: ageOf(at)})
		}
	}
	for p := range l.limited() {
		add(p)
	}
	for p := range l.released {
		add(p)
	}
	for _, c := range l.crashes { // In another order each time.
		if time.Since(c.at) >= reportTTL {
			continue
		}
		for _, s := range c.suspects {
			for i := range s.Parts {
				add(s.Parts[(i+l.turn*maxReportAnswers)%len(s.Parts)])
			}
		}
	}
	return list
}
