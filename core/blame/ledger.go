package blame

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"pimentoseam/core/leave"
)

const (
	// minBegun is the number of crashes that block a part if each time a request with it had been begun and had no event, a
	// state in which few requests are at any moment.
	minBegun = 3
	// minOther is the number of crashes if some of these requests were in another state, which is usual in any crash.
	minOther = 5
	// answeredFactor multiplies both numbers for a part that engines have answered before.
	answeredFactor = 2
	// maxChance is the largest probability with which a sound part would have been at as many crashes and in no answer by
	// chance. It is small because it applies to each of the many parts that an entry sees.
	maxChance = 1e-5
	// minSpacing is the time by which crashes must lie apart to count as two. Engines that end together have a common
	// cause, such as the loss of a rack.
	minSpacing = 250 * time.Millisecond
	// evidenceTTL is how long a crash counts. A part that comes rarely crashes engines minutes apart.
	evidenceTTL = 10 * time.Minute
	// blockTTL is how long parts are blocked. After it, an engine may have been replaced by one that answers them; if not,
	// they cost minBegun crashes again.
	blockTTL = 30 * time.Minute
	// reportTTL is how long a crash is reported to other entries. Alerts repeat it about twenty times meanwhile.
	reportTTL = 10 * time.Second

	// The limits of an entry's state, which then has about 200 kB.
	maxCrashes  = 64
	maxBlocks   = 64
	maxSuspects = 16 // Of a crash.
	maxParts    = 16 // Of a prompt.
	// The limits of a report, which then has less than 32 kB and fits into a datagram.
	maxReported       = 16 // Crashes.
	maxReportSuspects = 4  // Of a crash.
	maxReportAnswers  = 200
)

// Ledger holds the evidence against parts of prompts and the blocks that follow from it. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	crashes map[leave.Run]*crash
	answers *answerLog
	blocks  []*block // The oldest first.
	entries int
	traffic traffic
	sent    map[Part]int // Requests with each suspect part that this entry has sent since it became suspect.
}

// traffic counts what this entry has sent to engines and got from them.
type traffic struct {
	sent     int // Requests.
	answered int // Complete answers.
}

type crash struct {
	at       time.Time
	before   traffic   // Of this entry until then.
	suspects []Suspect // Those that were begun first.
}

type block struct {
	parts []Part // In ascending order.
	at    time.Time
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{crashes: make(map[leave.Run]*crash), answers: newAnswerLog(), entries: 1, sent: make(map[Part]int)}
}

// SetEntries sets the number of entries. The traffic of the others is estimated from that of this one.
func (l *Ledger) SetEntries(entries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(1, entries)
}

// Sent records that a prompt with the given parts was sent to an engine to be answered. A request without parts isn't counted.
func (l *Ledger) Sent(parts []Part) {
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traffic.sent++
	for _, p := range parts {
		if n, ok := l.sent[p]; ok {
			l.sent[p] = n + 1
		}
	}
}

// Answered records that an engine has answered a prompt with the given parts completely; without parts it does nothing.
func (l *Ledger) Answered(parts []Part) {
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.traffic.answered++
	for _, p := range parts {
		l.answers.add(p, time.Now())
	}
	l.dropAnswered()
}

// Crashed records that a run of an engine has crashed, and the requests of this entry that may have caused it. It returns
// the blocks that follow.
func (l *Ledger) Crashed(run leave.Run, suspects []Suspect) []Block {
	added, _ := l.Merge(&Report{Crashes: []Crash{{Run: run, Suspects: suspects}}})
	return added
}

// Merge adds what another entry reports. It returns the blocks that are new and whether anything is.
func (l *Ledger) Merge(r *Report) (added []Block, changed bool) {
	if r.IsEmpty() {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	for _, a := range r.Answers {
		if l.answers.add(a.Part, timeOf(a.Age)) {
			changed = true
		}
	}
	for _, b := range r.Blocks {
		if l.addBlock(b.Parts, timeOf(b.Age)) {
			added, changed = append(added, b), true
		}
	}
	for _, c := range r.Crashes {
		if l.addCrash(c) {
			changed = true
		}
	}
	l.dropAnswered()
	if !changed {
		return added, false
	}
	for _, parts := range l.convict() {
		if l.addBlock(parts, time.Now()) {
			added = append(added, Block{Parts: parts})
		}
	}
	return added, true
}

// Blocked reports whether a prompt with the given parts must go to no engine, and for how much longer.
func (l *Ledger) Blocked(parts []Part) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.blocks {
		if left := blockTTL - time.Since(b.at); left > 0 && isSubset(b.parts, parts) {
			return left, true
		}
	}
	return 0, false
}

// Blocks returns the blocks in force.
func (l *Ledger) Blocks() []Block {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	list := make([]Block, len(l.blocks))
	for i, b := range l.blocks {
		list[i] = Block{Parts: b.parts, Age: ageOf(b.at)}
	}
	return list
}

// Report returns what other entries must know, nil for nothing.
func (l *Ledger) Report() *Report {
	r := &Report{Blocks: l.Blocks()}
	l.mu.Lock()
	defer l.mu.Unlock()
	contested := make(map[Part]bool)
	for _, b := range l.blocks {
		for _, p := range b.parts {
			contested[p] = true
		}
	}
	for run, c := range l.crashes {
		if time.Since(c.at) >= reportTTL {
			continue
		}
		for _, s := range c.suspects {
			for _, p := range s.Parts {
				contested[p] = true
			}
		}
		r.Crashes = append(r.Crashes, Crash{Run: run, Age: ageOf(c.at), Suspects: slices.Clone(c.suspects[:min(len(c.suspects), maxReportSuspects)])})
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxReported)]
	for p := range contested {
		if at, ok := l.answers.last(p); ok && len(r.Answers) < maxReportAnswers {
			r.Answers = append(r.Answers, Answer{Part: p, Age: ageOf(at)})
		}
	}
	if r.IsEmpty() {
		return nil
	}
	return r
}

// addCrash adds a crash, or the suspects of a known one, and reports whether anything is new.
func (l *Ledger) addCrash(c Crash) bool {
	at := timeOf(c.Age)
	if time.Since(at) >= evidenceTTL {
		return false
	}
	known := l.crashes[c.Run]
	if known == nil {
		if len(l.crashes) >= maxCrashes {
			l.dropOldestCrash()
		}
		known = &crash{at: at, before: l.traffic}
		l.crashes[c.Run] = known
	}
	changed := len(known.suspects) == 0
	for _, s := range c.Suspects {
		s.Parts = s.Parts[:min(len(s.Parts), maxParts)]
		isKnown := func(o Suspect) bool { return o.Begun == s.Begun && slices.Equal(o.Parts, s.Parts) }
		if len(s.Parts) > 0 && !slices.ContainsFunc(known.suspects, isKnown) {
			known.suspects = append(known.suspects, s)
			changed = true
			for _, p := range s.Parts {
				l.sent[p] += 0 // Counts from now on.
			}
		}
	}
	slices.SortStableFunc(known.suspects, func(a, b Suspect) int { return compareBegun(a, b) })
	known.suspects = known.suspects[:min(len(known.suspects), maxSuspects)]
	return changed
}

// compareBegun orders suspects that were begun before others.
func compareBegun(a, b Suspect) int {
	switch {
	case a.Begun == b.Begun:
		return 0
	case a.Begun:
		return -1
	}
	return 1
}

// dropOldestCrash makes room for another crash.
func (l *Ledger) dropOldestCrash() {
	runs := slices.SortedFunc(maps.Keys(l.crashes), func(a, b leave.Run) int { return l.crashes[a].at.Compare(l.crashes[b].at) })
	delete(l.crashes, runs[0])
	l.forgetSent()
}

// forgetSent drops the counts of parts that are no longer suspect.
func (l *Ledger) forgetSent() {
	suspect := make(map[Part]bool)
	for _, c := range l.crashes {
		for _, s := range c.suspects {
			for _, p := range s.Parts {
				suspect[p] = true
			}
		}
	}
	maps.DeleteFunc(l.sent, func(p Part, _ int) bool { return !suspect[p] })
}

// addBlock blocks a set of parts and reports whether it is new. It replaces blocks of more parts, which it covers.
func (l *Ledger) addBlock(parts []Part, at time.Time) bool {
	if len(parts) == 0 || len(parts) > maxParts || time.Since(at) >= blockTTL || l.isAnswered(parts, at) {
		return false
	}
	parts = slices.Sorted(slices.Values(parts))
	if slices.ContainsFunc(l.blocks, func(b *block) bool { return isSubset(b.parts, parts) }) {
		return false
	}
	l.blocks = slices.DeleteFunc(l.blocks, func(b *block) bool { return isSubset(parts, b.parts) })
	l.blocks = append(l.blocks, &block{parts: parts, at: at})
	slices.SortFunc(l.blocks, func(a, b *block) int { return a.at.Compare(b.at) })
	l.blocks = l.blocks[max(0, len(l.blocks)-maxBlocks):]
	return true
}

// isAnswered reports whether engines have answered prompts with each of the parts after a time.
func (l *Ledger) isAnswered(parts []Part, after time.Time) bool {
	for _, p := range parts {
		if at, ok := l.answers.last(p); !ok || !at.After(after) {
			return false
		}
	}
	return true
}

// dropAnswered lifts the blocks whose parts have been answered since: the requests were at engines already.
func (l *Ledger) dropAnswered() {
	l.blocks = slices.DeleteFunc(l.blocks, func(b *block) bool { return l.isAnswered(b.parts, b.at) })
}

// expire drops crashes and blocks that no longer count.
func (l *Ledger) expire() {
	before := len(l.crashes)
	maps.DeleteFunc(l.crashes, func(_ leave.Run, c *crash) bool { return time.Since(c.at) >= evidenceTTL })
	if len(l.crashes) < before {
		l.forgetSent()
	}
	l.blocks = slices.DeleteFunc(l.blocks, func(b *block) bool { return time.Since(b.at) >= blockTTL })
}

// isSubset reports whether all parts of a are in b.
func isSubset(a, b []Part) bool {
	for _, p := range a {
		if !slices.Contains(b, p) {
			return false
		}
	}
	return true
}
