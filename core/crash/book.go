package crash

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/digest"
	"pimentoseam/core/leave"
)

const (
	// suspectCrashes is the number of crashes since its last answer from which on a request runs only as a trial. Few sound
	// requests are at two (docs/design/crashes.md).
	suspectCrashes = 2
	// evidenceTTL is how long a crash counts. A request that comes rarely crashes upstreams minutes apart.
	evidenceTTL = 10 * time.Minute
	// reportTTL is how long a crash or an answer is reported to other entries. Alerts repeat it about ten times meanwhile.
	reportTTL = 5 * time.Second
	// trialLease is how long a trial of another entry is in progress after the last word of it. Alerts reach an entry of another
	// zone every second and a half.
	trialLease = 3 * time.Second
	// holdTTL is how long the trials that failed are remembered after the last one, beyond the longest time of a hold.
	holdTTL = 6 * time.Hour

	// The limits of an entry's state, which then has about 150 kB.
	maxCrashes  = 64
	maxSuspects = 64 // Of a crash.
	maxHolds    = 256
	maxAnswers  = 1024
	maxTrials   = 128
	maxServices = 64
)

// State is what may be done with a request.
type State string

// The states of a request.
const (
	Free    State = "free"
	Suspect State = "suspect" // It may run as a trial only.
	Trying  State = "trying"  // A trial is in progress.
	Held    State = "held"    // It must not run before some time has passed.
)

// Book holds what is known of requests that were at crashes. It is safe for concurrent use.
type Book struct {
	isActive  atomic.Bool // Any request was at a crash since its last answer.
	hasTrials atomic.Bool // A trial is known, in progress or not.

	mu      sync.Mutex
	crashes map[leave.Run]*event
	counts  map[digest.Sum]int // Crashes of each request since its last answer, from crashes and answers.
	answers map[digest.Sum]*answer
	served  map[uint32]time.Time // When each service last answered any request.
	holds   map[digest.Sum]*hold
	trials  map[uint64]*trial // By id, with those that have just ended.
	expired time.Time         // When expire did its work last.
}

// event is the crash of one run of an upstream.
type event struct {
	at       time.Time
	service  uint32
	suspects []digest.Sum // Only the request that was tried there, if one was.
	isTrial  bool
}

// answer is the last answer to a request that was at crashes.
type answer struct {
	at   time.Time
	told time.Time // When it became known, or another entry turned out not to know it.
	turn uint32    // Rises with each answer, so that no clock and no delay decides whether a hold is older.
}

// hold is the consequence of trials that crashed upstreams.
type hold struct {
	strikes int       // Trials that failed since the last answer.
	sure    int       // Those of them that nothing but the request explains.
	last    time.Time // The last one.
	turn    uint32    // That of the last answer before them.
}

// trial is a run of a suspect alone.
type trial struct {
	request  digest.Sum
	run      leave.Run // The upstream; zero if it isn't known beforehand.
	renewed  time.Time // The last word of the entry that makes it.
	isOwn    bool      // This entry makes it.
	hasEnded bool
}

// New returns an empty Book.
func New() *Book {
	return &Book{
		crashes: make(map[leave.Run]*event), counts: make(map[digest.Sum]int), answers: make(map[digest.Sum]*answer),
		served: make(map[uint32]time.Time), holds: make(map[digest.Sum]*hold), trials: make(map[uint64]*trial),
	}
}

// IsActive reports whether any request was at a crash since its last answer, so that Check may return another state than Free.
func (b *Book) IsActive() bool {
	return b.isActive.Load()
}

// Check returns what may be done with a request, given its digests, the one that fewest requests share first. If it is held, it
// returns for how much longer.
func (b *Book) Check(digests ...digest.Sum) (State, time.Duration) {
	if !b.IsActive() {
		return Free, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	strictest, left := Free, time.Duration(0)
	for _, d := range digests {
		state, l := b.check(d)
		if strictness[state] > strictness[strictest] {
			strictest = state
		}
		left = max(left, l)
	}
	return strictest, left
}

// strictness orders the states.
var strictness = map[State]int{Free: 0, Suspect: 1, Trying: 2, Held: 3}

// check returns what one digest of a request allows; the lock must be held.
func (b *Book) check(d digest.Sum) (State, time.Duration) {
	h := b.holds[d]
	if h == nil && b.counts[d] < suspectCrashes {
		return Free, 0
	}
	if h != nil {
		if left := h.pause() - time.Since(h.last); left > 0 {
			return Held, left
		}
	}
	for _, t := range b.trials {
		if t.request == d && t.isLive() {
			return Trying, 0
		}
	}
	return Suspect, 0
}

// Begin announces a trial of a suspect at a run of an upstream, zero if that isn't known yet. It returns the id of the trial and
// the first of the request's digests that is suspect, which the trial is of; and false if none is or the request is being tried.
func (b *Book) Begin(run leave.Run, digests ...digest.Sum) (uint64, digest.Sum, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var suspect *digest.Sum
	for _, d := range digests {
		switch state, _ := b.check(d); state {
		case Suspect:
			if suspect == nil {
				suspect = &d
			}
		case Trying, Held:
			return 0, digest.Sum{}, false
		case Free:
		}
	}
	if suspect == nil || len(b.trials) >= maxTrials {
		return 0, digest.Sum{}, false
	}
	id := rand.Uint64()
	b.trials[id] = &trial{request: *suspect, run: run, isOwn: true, renewed: time.Now()}
	b.hasTrials.Store(true)
	return id, *suspect, true
}

// Confirm reports whether a trial may be made: no other one of the request has precedence, and none has failed meanwhile.
// Otherwise it ends the trial.
func (b *Book) Confirm(id uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.trials[id]
	if own == nil || !own.isLive() {
		return false
	}
	state, _ := b.check(own.request)
	isFirst := true
	for other, t := range b.trials {
		if t.request == own.request && t.isLive() && other < id {
			isFirst = false
		}
	}
	if state == Trying && isFirst {
		return true
	}
	own.end()
	return false
}

// End ends a trial.
func (b *Book) End(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.trials[id]; t != nil {
		t.end()
	}
}

// TrialAt reports whether a request is tried at a run of an upstream, where other requests should not go.
func (b *Book) TrialAt(run leave.Run) bool {
	if !b.hasTrials.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.trials {
		if t.run == run && t.isLive() {
			return true
		}
	}
	return false
}

// Answered records that an upstream of a service has answered a request; it asks for the digests only if any request is known.
// It reports whether the request was at a crash and is clear now.
func (b *Book) Answered(service uint32, digests func() []digest.Sum) bool {
	if !b.IsActive() {
		return false
	}
	list := digests()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serve(service, time.Now())
	wasKnown := false
	for _, d := range list {
		if b.counts[d] > 0 || b.holds[d] != nil {
			b.answer(d, time.Now(), b.nextTurn(d))
			wasKnown = true
		}
	}
	if wasKnown {
		b.update()
	}
	return wasKnown
}

// Lift clears a request at an operator's wish and reports whether it was known.
func (b *Book) Lift(d digest.Sum) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts[d] == 0 && b.holds[d] == nil {
		return false
	}
	b.answer(d, time.Now(), b.nextTurn(d))
	b.update()
	return true
}

// turn returns the turn of the last known answer to a request.
func (b *Book) turn(d digest.Sum) uint32 {
	if a := b.answers[d]; a != nil {
		return a.turn
	}
	return 0
}

// nextTurn returns the turn of an answer that ends what is known of a request.
func (b *Book) nextTurn(d digest.Sum) uint32 {
	turn := b.turn(d)
	if h := b.holds[d]; h != nil {
		turn = max(turn, h.turn)
	}
	return turn + 1
}

// Crashed records that a run of an upstream has crashed under some requests of this entry, given the digests of all of them.
// tried is the digest that a trial there was of, nil for none. It returns the hold that follows, nil for none.
func (b *Book) Crashed(run leave.Run, service uint32, requests []digest.Sum, tried *digest.Sum) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	if tried == nil {
		// The entry that makes a trial there tells of it; if it is the cause, the others are not.
		if d, ok := b.triedAt(run); ok {
			b.addCrash(run, &event{at: time.Now(), service: service, suspects: []digest.Sum{d}, isTrial: true})
		} else {
			var suspects []digest.Sum // Each one once.
			for _, d := range requests {
				if !slices.Contains(suspects, d) {
					suspects = append(suspects, d)
				}
			}
			// Those that were at crashes before come first, in case there are too many.
			slices.SortStableFunc(suspects, func(a, o digest.Sum) int { return cmp.Compare(b.counts[o], b.counts[a]) })
			b.addCrash(run, &event{at: time.Now(), service: service, suspects: suspects})
		}
		b.update()
		return nil
	}
	h := b.holds[*tried]
	if h == nil {
		h = &hold{turn: b.turn(*tried)}
	}
	if b.isSure(*tried, service) {
		h.sure++
	}
	h.strikes++
	h.last = time.Now()
	b.addHold(*tried, h)
	b.addCrash(run, &event{at: time.Now(), service: service, suspects: []digest.Sum{*tried}, isTrial: true})
	b.update()
	return h.report(*tried)
}

// isSure reports whether nothing but the request explains why a trial of it has crashed an upstream: others were answered since
// it was last at a crash, or all crashes since its first one are due to it or to others that are held.
func (b *Book) isSure(d digest.Sum, service uint32) bool {
	var first, last time.Time
	for _, e := range b.crashes {
		if e.service != service || !slices.Contains(e.suspects, d) {
			continue
		}
		if first.IsZero() || e.at.Before(first) {
			first = e.at
		}
		if e.at.After(last) {
			last = e.at
		}
	}
	if b.served[service].After(last) {
		return true
	}
	for _, e := range b.crashes {
		isExplained := e.isTrial || slices.ContainsFunc(e.suspects, func(s digest.Sum) bool { return s == d || b.holds[s] != nil })
		if e.service == service && !e.at.Before(first) && !isExplained {
			return false
		}
	}
	return true
}

// triedAt returns the request that is, or has just been, tried at a run of an upstream.
func (b *Book) triedAt(run leave.Run) (digest.Sum, bool) {
	for _, t := range b.trials {
		if t.run == run && (t.isLive() || time.Since(t.renewed) < trialLease) {
			return t.request, true
		}
	}
	return digest.Sum{}, false
}

// addCrash adds a crash, or the suspects of a known one, and reports whether anything is new. A trial explains a crash alone.
func (b *Book) addCrash(run leave.Run, e *event) bool {
	e.suspects = e.suspects[:min(len(e.suspects), maxSuspects)]
	known := b.crashes[run]
	switch {
	case known == nil:
		if len(b.crashes) >= maxCrashes {
			runs := slices.SortedFunc(maps.Keys(b.crashes), func(r, o leave.Run) int { return b.crashes[r].at.Compare(b.crashes[o].at) })
			delete(b.crashes, runs[0])
		}
		b.crashes[run] = e
		return true
	case known.isTrial && !e.isTrial:
		return false
	case e.isTrial && !known.isTrial:
		known.suspects, known.isTrial = e.suspects, true
		return true
	}
	changed := false
	for _, d := range e.suspects {
		if len(known.suspects) < maxSuspects && !slices.Contains(known.suspects, d) {
			known.suspects = append(known.suspects, d)
			changed = true
		}
	}
	return changed
}

// addHold replaces the hold of a request. The one whose last trial is the longest ago gives way if there are too many.
func (b *Book) addHold(d digest.Sum, h *hold) {
	if b.holds[d] == nil && len(b.holds) >= maxHolds {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(b.holds)), func(a, o digest.Sum) int { return b.holds[a].last.Compare(b.holds[o].last) })
		delete(b.holds, oldest)
	}
	b.holds[d] = h
}

// answer records an answer to a request and ends its hold if that is of an earlier turn. It reports whether the answer is news.
func (b *Book) answer(d digest.Sum, at time.Time, turn uint32) bool {
	if a := b.answers[d]; a != nil && turn <= a.turn {
		return false
	}
	if b.answers[d] == nil && len(b.answers) >= maxAnswers {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(b.answers)), func(a, o digest.Sum) int { return b.answers[a].at.Compare(b.answers[o].at) })
		delete(b.answers, oldest)
	}
	b.answers[d] = &answer{at: at, told: time.Now(), turn: turn}
	if h := b.holds[d]; h != nil && h.turn < turn {
		delete(b.holds, d)
	}
	return true
}

// serve records when a service answered.
func (b *Book) serve(service uint32, at time.Time) {
	if _, ok := b.served[service]; (ok || len(b.served) < maxServices) && at.After(b.served[service]) {
		b.served[service] = at
	}
}

// update counts the crashes of each request since its last answer.
func (b *Book) update() {
	clear(b.counts)
	for _, e := range b.crashes {
		for _, d := range e.suspects {
			if a := b.answers[d]; a == nil || e.at.After(a.at) {
				b.counts[d]++
			}
		}
	}
	b.isActive.Store(len(b.counts)+len(b.holds) > 0)
}

// expireInterval is the time between looks for what no longer counts, which entries with many peers need not take with each
// alert.
const expireInterval = time.Second

// expire drops what no longer counts.
func (b *Book) expire() {
	if time.Since(b.expired) < expireInterval {
		return
	}
	b.expired = time.Now()
	maps.DeleteFunc(b.crashes, func(_ leave.Run, e *event) bool { return time.Since(e.at) >= evidenceTTL })
	maps.DeleteFunc(b.answers, func(_ digest.Sum, a *answer) bool { return time.Since(a.at) >= evidenceTTL })
	maps.DeleteFunc(b.holds, func(_ digest.Sum, h *hold) bool { return time.Since(h.last) >= holdTTL })
	maps.DeleteFunc(b.trials, func(_ uint64, t *trial) bool { return !t.isLive() && time.Since(t.renewed) >= trialLease })
	b.hasTrials.Store(len(b.trials) > 0)
	b.update()
}

const (
	// firstPause is the time from a trial that failed until the next one, in case the crash had another cause. It doubles with
	// each one that isn't sure.
	firstPause = 2 * time.Second
	maxDoubled = 4 // Doublings of firstPause at most.
	// secondPause and longPause are the times from the second trial that is sure, and from later ones.
	secondPause = 10 * time.Minute
	longPause   = time.Hour
)

// pause returns the time from the last trial that failed until the next one.
func (h *hold) pause() time.Duration {
	switch {
	case h.sure >= 3:
		return longPause
	case h.sure == 2:
		return secondPause
	}
	return firstPause << min(max(0, h.strikes-1), maxDoubled)
}

// isLive reports whether the trial is in progress.
func (t *trial) isLive() bool {
	return !t.hasEnded && (t.isOwn || time.Since(t.renewed) < trialLease)
}

// end ends the trial; it is remembered for trialLease.
func (t *trial) end() {
	t.hasEnded, t.renewed = true, time.Now()
}

// compareAge orders the newest first.
func compareAge(a, b uint32) int { return cmp.Compare(a, b) }
