package crash

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pimentoseam/core/digest"
	"pimentoseam/core/leave"
)

// The limits of a report. It goes to all entries of a zone many times, and crashes of many engines at a time must not fill the links
// of VMs: with a few holds it has about 2 kB.
const (
	maxReportedCrashes  = 8
	maxReportedRequests = 8 // Of a crash.
	maxReportedAnswers  = 24
	maxReportedHolds    = 64
	maxReportedTrials   = 24
)

// Report is what an entry tells the others.
type Report struct {
	Crashes []crashNote  `cbor:"1,keyasint,omitempty"` // Recent crashes, the newest first.
	Answers []answerNote `cbor:"2,keyasint,omitempty"` // Recent answers to requests that were at crashes.
	Holds   []Hold       `cbor:"3,keyasint,omitempty"` // All requests of which trials have failed.
	Trials  []trialNote  `cbor:"4,keyasint,omitempty"`
	Served  []servedNote `cbor:"5,keyasint,omitempty"` // When services last answered any request.
}

// crashNote is the crash of one run of an upstream.
type crashNote struct {
	Run      leave.Run    `cbor:"1,keyasint"`
	Age      uint32       `cbor:"2,keyasint"` // Milliseconds since the crash.
	Service  uint32       `cbor:"3,keyasint"`
	Requests []digest.Sum `cbor:"4,keyasint"` // Those that broke off there, or the one that was tried.
	Trial    bool         `cbor:"5,keyasint,omitempty"`
}

// answerNote is an answer to a request that was at crashes.
type answerNote struct {
	Request digest.Sum `cbor:"1,keyasint"`
	Age     uint32     `cbor:"2,keyasint"` // Milliseconds since the answer.
	Turn    uint32     `cbor:"3,keyasint"` // Rises with each answer to the request.
}

// Hold is a request of which trials have failed.
type Hold struct {
	Request digest.Sum `cbor:"1,keyasint"`
	Strikes uint32     `cbor:"2,keyasint"` // Trials that have crashed an upstream.
	Sure    uint32     `cbor:"3,keyasint"` // Those that nothing else explains.
	Age     uint32     `cbor:"4,keyasint"` // Milliseconds since the last one.
	Turn    uint32     `cbor:"5,keyasint"` // That of the last answer before them; a later answer ends the hold.
}

// trialNote is a trial in progress, or one that has just ended.
type trialNote struct {
	Request digest.Sum `cbor:"1,keyasint"`
	ID      uint64     `cbor:"2,keyasint"` // Of two trials of one request, the lower one has precedence.
	Run     leave.Run  `cbor:"3,keyasint"` // The upstream.
	Age     uint32     `cbor:"4,keyasint"` // Milliseconds since the last word of the entry that makes it.
	Ended   bool       `cbor:"5,keyasint,omitempty"`
}

// servedNote states when a service last answered any request.
type servedNote struct {
	Service uint32 `cbor:"1,keyasint"`
	Age     uint32 `cbor:"2,keyasint"` // Milliseconds.
}

// IsEmpty reports whether r states nothing.
func (r *Report) IsEmpty() bool {
	return r == nil || len(r.Crashes)+len(r.Answers)+len(r.Holds)+len(r.Trials) == 0
}

// Left returns how much longer the request must not run; at most 0 if the next trial may be made.
func (h *Hold) Left() time.Duration {
	return (&hold{strikes: int(h.Strikes), sure: int(h.Sure)}).pause() - time.Duration(h.Age)*time.Millisecond
}

// report returns the hold for other entries.
func (h *hold) report(d digest.Sum) *Hold {
	return &Hold{Request: d, Strikes: uint32(h.strikes), Sure: uint32(h.sure), Age: ageOf(h.last), Turn: h.turn}
}

// Holds returns the requests of which trials have failed, the latest first.
func (b *Book) Holds() []Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	return b.holdList()
}

// holdList is Holds; the lock must be held.
func (b *Book) holdList() []Hold {
	list := make([]Hold, 0, len(b.holds))
	for d, h := range b.holds {
		list = append(list, *h.report(d))
	}
	slices.SortFunc(list, func(a, o Hold) int { return compareAge(a.Age, o.Age) })
	return list
}

// Report returns what other entries must know, nil for nothing.
func (b *Book) Report() *Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	r := &Report{Holds: b.reportedHolds()}
	for run, e := range b.crashes {
		if time.Since(e.at) < reportTTL {
			r.Crashes = append(r.Crashes, crashNote{Run: run, Age: ageOf(e.at), Service: e.service, Trial: e.isTrial})
		}
	}
	slices.SortFunc(r.Crashes, func(a, o crashNote) int { return compareAge(a.Age, o.Age) })
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxReportedCrashes)]
	for i := range r.Crashes {
		r.Crashes[i].Requests = b.reportedRequests(b.crashes[r.Crashes[i].Run])
	}
	for d, a := range b.answers {
		if time.Since(a.told) < reportTTL {
			r.Answers = append(r.Answers, answerNote{Request: d, Age: ageOf(a.at), Turn: a.turn})
		}
	}
	slices.SortFunc(r.Answers, func(a, o answerNote) int { return compareAge(a.Age, o.Age) })
	r.Answers = r.Answers[:min(len(r.Answers), maxReportedAnswers)]
	for id, t := range b.trials {
		if t.isOwn && !t.hasEnded {
			t.renewed = time.Now()
		}
		r.Trials = append(r.Trials, trialNote{Request: t.request, ID: id, Run: t.run, Age: ageOf(t.renewed), Ended: t.hasEnded})
	}
	slices.SortFunc(r.Trials, func(a, o trialNote) int { return compareAge(a.Age, o.Age) })
	r.Trials = r.Trials[:min(len(r.Trials), maxReportedTrials)]
	if r.IsEmpty() {
		return nil
	}
	for service, at := range b.served {
		r.Served = append(r.Served, servedNote{Service: service, Age: ageOf(at)})
	}
	return r
}

// reportedRequests returns some of the requests of a crash: those that were at others, and a random choice of the rest, so that
// the next reports bring what this one doesn't.
func (b *Book) reportedRequests(e *event) []digest.Sum {
	list := slices.Clone(e.suspects)
	if len(list) <= maxReportedRequests {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, o digest.Sum) int {
		return cmp.Compare(min(b.counts[o], suspectCrashes), min(b.counts[a], suspectCrashes))
	})
	return list[:maxReportedRequests]
}

// reportedHolds returns the latest holds and a random choice of the others.
func (b *Book) reportedHolds() []Hold {
	list := b.holdList()
	if len(list) <= maxReportedHolds {
		return list
	}
	rest := list[maxReportedHolds/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return list[:maxReportedHolds]
}

// Merge adds what another entry reports. It returns the holds that are new and whether anything is that others must know soon.
func (b *Book) Merge(r *Report) (added []Hold, changed bool) {
	if r.IsEmpty() {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire()
	for _, s := range r.Served {
		b.serve(s.Service, timeOf(s.Age))
	}
	isNew := false
	for _, a := range r.Answers {
		wasSuspect := b.counts[a.Request] >= suspectCrashes || b.holds[a.Request] != nil
		if time.Duration(a.Age)*time.Millisecond < evidenceTTL && b.answer(a.Request, timeOf(a.Age), a.Turn) {
			isNew, changed = true, changed || wasSuspect
		}
	}
	for _, c := range r.Crashes {
		at := timeOf(c.Age)
		if time.Since(at) < evidenceTTL && b.addCrash(c.Run, &event{at: at, service: c.Service, suspects: slices.Clone(c.Requests), isTrial: c.Trial}) {
			isNew = true
		}
	}
	for _, h := range r.Holds {
		if b.mergeHold(h) {
			added, changed = append(added, h), true
		}
	}
	for _, t := range r.Trials {
		changed = b.mergeTrial(t) || changed
	}
	if isNew || changed {
		before := b.suspects()
		b.update()
		// A crash by itself spreads with the regular reports.
		changed = changed || b.suspects() > before
	}
	return added, changed
}

// mergeHold adds the hold of a request that another entry reports, and reports whether it is news.
func (b *Book) mergeHold(h Hold) bool {
	last := timeOf(h.Age)
	if h.Strikes == 0 || time.Since(last) >= holdTTL {
		return false
	}
	if a := b.answers[h.Request]; a != nil && a.turn > h.Turn {
		a.told = time.Now() // The other entry doesn't know it.
		return false
	}
	known := b.holds[h.Request]
	if known == nil || known.turn < h.Turn {
		b.addHold(h.Request, &hold{strikes: int(h.Strikes), sure: int(h.Sure), last: last, turn: h.Turn})
		return true
	}
	if known.turn > h.Turn {
		return false
	}
	isNews := int(h.Strikes) > known.strikes || int(h.Sure) > known.sure
	known.strikes, known.sure = max(known.strikes, int(h.Strikes)), max(known.sure, int(h.Sure))
	if isNews && last.After(known.last) {
		known.last = last
	}
	return isNews
}

// mergeTrial adds a trial that another entry reports, and reports whether it is news.
func (b *Book) mergeTrial(t trialNote) bool {
	renewed := timeOf(t.Age)
	if time.Since(renewed) >= trialLease {
		return false
	}
	known := b.trials[t.ID]
	switch {
	case known == nil && len(b.trials) < maxTrials:
		b.trials[t.ID] = &trial{request: t.Request, run: t.Run, renewed: renewed, hasEnded: t.Ended}
		b.hasTrials.Store(true)
		return !t.Ended
	case known == nil || known.isOwn:
		return false // This entry knows better of its own ones.
	}
	isNews := t.Ended && !known.hasEnded
	known.hasEnded = known.hasEnded || t.Ended
	if renewed.After(known.renewed) {
		known.renewed = renewed
	}
	return isNews
}

// Known returns the number of requests that are suspect and of those of which trials have failed.
func (b *Book) Known() (suspects, held int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects(), len(b.holds)
}

// suspects returns the number of requests that are suspect.
func (b *Book) suspects() int {
	n := 0
	for count := range maps.Values(b.counts) {
		if count >= suspectCrashes {
			n++
		}
	}
	return n
}

// ageOf returns the milliseconds since a time.
func ageOf(at time.Time) uint32 {
	return uint32(max(0, time.Since(at)).Milliseconds())
}

// timeOf returns the time that was age milliseconds ago.
func timeOf(age uint32) time.Time {
	return time.Now().Add(-time.Duration(age) * time.Millisecond)
}
