package blame

import (
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
	// minRestart is the shortest time between two crashes of one engine. Entries name a run that they haven't heard of by the time
	// of its crash, which differs a little from one to another.
	minRestart = time.Second
	// minUnsureRestart replaces it for possible crashes. The requests to an engine that may have ended can break off one after the other.
	minUnsureRestart = 2500 * time.Millisecond
	// evidenceTTL is how long a crash counts. A part that comes rarely crashes engines minutes apart.
	evidenceTTL = 10 * time.Minute
	// blockTTL is how long parts are blocked. After it, an engine may have been replaced by one that answers them; if not,
	// they cost minBegun crashes again.
	blockTTL = 30 * time.Minute
	// unsureTTL is how long a possible crash counts. The registration of the next run, which shows that it was one, comes some seconds
	// after it, and then each entry makes it a crash.
	unsureTTL = 20 * time.Second
	// reportTTL is how long a crash is reported to other entries. Alerts repeat it about twenty times meanwhile.
	reportTTL = 10 * time.Second

	// The limits of an entry's state, which then has about 3 MB besides the answers.
	maxCrashes   = 64
	maxPerMoment = 16 // Crashes at one moment; a loss of many engines must not displace the others.
	maxUnsure    = 16 // Possible crashes; engines that break off answers must not displace crashes.
	maxBlocks    = 64
	maxSuspects  = 16 // Of a crash.
	// maxLateSuspects limits the late ones beside them, so that a busy engine's others don't displace all of these.
	maxLateSuspects = 8
	maxBlockParts   = 16 // Of a block; more parts that always came together would hardly tell more prompts apart.
	// maxCrashParts limits the parts of all suspects of a crash. One prompt fits: a header of 16,384 bytes has 5,461 parts at most.
	maxCrashParts = 6144
	// maxKeptParts limits the parts of all crashes; beyond it the oldest crash is dropped.
	maxKeptParts = 65536
	// minTrimmed is the number of parts that a suspect keeps at least.
	minTrimmed = 16
	// The limits of a report, which then has less than 32 kB and fits into a datagram.
	maxReported       = 16   // Crashes.
	maxReportSuspects = 4    // Of a crash, and as many late ones.
	maxReportStates   = 2    // Late suspects, and all others, have maxReportSuspects each.
	maxReportParts    = 1024 // Of all suspects. The parts beyond it are in the next reports.
	maxReportAnswers  = 200
)

// Ledger holds the evidence against parts of prompts and the blocks that follow from it. It is safe for concurrent use.
type Ledger struct {
	mu          sync.Mutex
	crashes     map[leave.Run]*crash
	answers     *answerLog
	blocks      []*block // The oldest first.
	entries     int
	traffic     traffic
	sent        map[Part]int // Requests with each suspect part that this entry has sent since it became suspect.
	turn        int          // Rises with each report.
	holds       []*hold      // The oldest first.
	trials      map[uint64]*trial
	released    map[Part]time.Time // When the holds of parts ended that were answered, which is told for reportTTL.
	decided     time.Time          // When the evidence was judged last.
	changes     []Change           // Not taken yet, the oldest first.
	hasLateNews bool               // Late suspects or possible crashes were added since the evidence was judged.
	suspected   map[Part]int       // Crashes since their last answers of the parts that were at minSuspected or more, as judged last.
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
	isUnsure bool      // The engine has closed connections, but wasn't seen to have ended.
}

type block struct {
	parts []Part // In ascending order.
	at    time.Time
}

// New returns an empty Ledger.
func New() *Ledger {
	return &Ledger{crashes: make(map[leave.Run]*crash), answers: newAnswerLog(), entries: 1, sent: make(map[Part]int), trials: make(map[uint64]*trial), released: make(map[Part]time.Time)}
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
	if len(l.sent) == 0 {
		return
	}
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

// Onset is the time since its first event up to which a request is among those that a crash is most likely due to. Most prompts that
// crash engines do so soon after their answer begins, which can be long after they were sent.
const Onset = time.Second

// outlivedFactor is how many times as long as the latest crash under held parts took after the first event an answer must go on to
// show that they are sound. Engines are slower in one run than in another.
const outlivedFactor = 2

// Outlived tells that an engine has answered a prompt with the given parts for some time since the first event and has not crashed.
// If held parts would have shown by then that they crash engines, they needn't be held until the answer is complete. It returns
// false if they may still do so.
func (l *Ledger) Outlived(parts []Part, since time.Duration) bool {
	if since <= Onset {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.holds) == 0 {
		return true
	}
	contained := l.contained(parts)
	isHeld := false
	for _, h := range l.holds {
		if !isSubset(h.parts, contained) {
			continue
		}
		if since <= outlivedFactor*l.latest(h) {
			return false
		}
		isHeld = true
	}
	if !isHeld {
		return true
	}
	for _, p := range parts {
		if _, isSuspect := l.sent[p]; isSuspect {
			l.answers.add(p, time.Now())
		}
	}
	l.dropAnswered()
	return true
}

// latest returns the longest time from the first event of a request with the held parts to a crash that it was at.
func (l *Ledger) latest(h *hold) time.Duration {
	longest := time.Duration(0)
	for _, c := range l.crashes {
		for _, s := range c.suspects {
			if s.After > longest && isSubset(h.parts, s.Parts) {
				longest = s.After
			}
		}
	}
	return longest
}

// Crashed records that a run of an engine has crashed at a time, and the requests of this entry that may have caused it. It returns
// the blocks that follow.
func (l *Ledger) Crashed(run leave.Run, at time.Time, suspects []Suspect) []Block {
	return l.record(run, at, suspects, true)
}

// BrokenOff records that a run of an engine may have crashed at a time: it has closed connections in the middle of requests, but wasn't
// seen to have ended. Parts can be held for that, but not blocked, unless Crashed tells the same later. It returns the blocks that
// follow from what was known before.
func (l *Ledger) BrokenOff(run leave.Run, at time.Time, suspects []Suspect) []Block {
	return l.record(run, at, suspects, false)
}

// record adds a crash, or a possible one, that this entry has seen.
func (l *Ledger) record(run leave.Run, at time.Time, suspects []Suspect, isSure bool) []Block {
	l.mu.Lock()
	if known := l.crashes[run]; known != nil && at.Sub(known.at) >= known.restart(isSure) {
		run.Started = at.UnixMilli() // It has started again since, which this entry hasn't heard of.
	}
	l.mu.Unlock()
	r := &Report{}
	r.add(Crash{Run: run, Age: ageOf(at), Suspects: suspects}, isSure)
	added, _ := l.Merge(r)
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
		if l.addCrash(c, true) {
			changed = true
		}
	}
	for _, c := range r.Unsure {
		if l.addCrash(c, false) {
			l.hasLateNews = true // As those below; there may be many.
		}
	}
	for _, c := range r.Late {
		if l.addCrash(c.crash(), true) {
			l.hasLateNews = true // Review judges it; it spreads with the regular reports.
		}
	}
	for _, c := range r.UnsureLate {
		if l.addCrash(c.crash(), false) {
			l.hasLateNews = true
		}
	}
	for _, h := range r.Holds {
		if l.addHold(h.Parts, timeOf(h.Age), Change{Cause: ByPeer}) {
			changed = true
		}
	}
	for _, t := range r.Trials { // Of these holds, too.
		if l.mergeTrial(t, slices.Contains(r.LateTrials, t.ID)) {
			changed = true
		}
	}
	l.dropAnswered()
	if !changed {
		return added, false
	}
	return append(added, l.decide()...), true
}

// Blocked reports whether a prompt with the given parts must go to no engine, and for how much longer.
func (l *Ledger) Blocked(parts []Part) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.blocks) == 0 {
		return 0, false
	}
	parts = l.contained(parts)
	for _, b := range l.blocks {
		if left := blockTTL - time.Since(b.at); left > 0 && isSubset(b.parts, parts) {
			return left, true
		}
	}
	return 0, false
}

// contained returns those of a prompt's parts, which may be thousands, that are in a block or a hold.
func (l *Ledger) contained(parts []Part) []Part {
	if len(parts) <= maxBlockParts {
		return parts
	}
	known := l.limited()
	var list []Part
	for _, p := range parts {
		if known[p] {
			list = append(list, p)
		}
	}
	return list
}

// limited returns the parts of blocks and holds.
func (l *Ledger) limited() map[Part]bool {
	known := make(map[Part]bool)
	for _, b := range l.blocks {
		for _, p := range b.parts {
			known[p] = true
		}
	}
	for _, h := range l.holds {
		for _, p := range h.parts {
			known[p] = true
		}
	}
	return known
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

// addBlock blocks a set of parts and reports whether it is new. It replaces blocks of more parts, which it covers.
func (l *Ledger) addBlock(parts []Part, at time.Time) bool {
	if len(parts) == 0 || len(parts) > maxBlockParts || time.Since(at) >= blockTTL || l.isAnswered(parts, at) {
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
	l.dropAnsweredHolds()
}

// expire drops crashes and blocks that no longer count.
func (l *Ledger) expire() {
	before := len(l.crashes)
	maps.DeleteFunc(l.crashes, func(_ leave.Run, c *crash) bool {
		return time.Since(c.at) >= evidenceTTL || (c.isUnsure && time.Since(c.at) >= unsureTTL)
	})
	if len(l.crashes) < before {
		l.forgetSent()
	}
	l.blocks = slices.DeleteFunc(l.blocks, func(b *block) bool { return time.Since(b.at) >= blockTTL })
	l.expireHolds()
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
