package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
	"pimentoseam/core/fault"
	"pimentoseam/core/leave"
)

// trialRetryAfter is the retry-after of a copy of a request that is being tried. Entries hear of the result within two heartbeats.
const trialRetryAfter = time.Second

// trial is the run of a suspect alone.
type trial struct {
	id uint64
	of digest.Sum // The digest of the request that is suspect.
}

// identity returns the digests of the request, the one that fewest requests share first. They are computed only if needed.
func (q *request) identity() []digest.Sum {
	if q.digests == nil {
		path, query, _ := strings.Cut(q.path, "?")
		r := &digest.Request{
			Service: q.target.Name, Method: q.run.Method, Path: path, Query: query, Credentials: q.caller.Name, Others: q.run.Type, Body: q.run.Body,
		}
		q.digests = []digest.Sum{r.Exact(), r.Similar()}
	}
	return q.digests
}

// service identifies the target in reports of crashes.
func (q *request) service() uint32 {
	return uint32(xxhash.Sum64String(q.target.Name))
}

// checkCrashes returns an error if the request must not run because it, or a message of it, crashes upstreams. If it is only suspect
// of that, it becomes a trial, which endTrial ends.
func (q *request) checkCrashes() *fault.Error {
	if left, ok := q.entry.blame.Blocked(q.parts); ok {
		return fault.Retry("prompts with the same messages crash engines", left)
	}
	if fail := q.checkHeld(); fail != nil {
		return fail
	}
	if q.trial != nil || !q.entry.crashes.IsActive() {
		return nil
	}
	state, left := q.entry.crashes.Check(q.identity()...)
	switch state {
	case crash.Free:
		return nil
	case crash.Held:
		return fault.Retry("the same request crashes upstreams", left)
	case crash.Trying, crash.Suspect:
	}
	// An agent's upstream is known only once it is chosen, so a trial of this interface names none.
	id, of, ok := q.entry.crashes.Begin(leave.Run{}, q.identity()...)
	if !ok {
		return fault.Retry("it is tried whether the same request crashes upstreams", trialRetryAfter)
	}
	q.trial = &trial{id: id, of: of}
	q.entry.log.Info("trial", "request", q.id, "digests", q.digests)
	return nil
}

// checkHeld returns an error if messages of the request are held since they may crash engines, unless it may run to find that out.
// That is told to other entries with the heartbeats, so that each entry may make such a trial.
func (q *request) checkHeld() *fault.Error {
	if q.isMessageTrial || !q.entry.blame.Held(q.parts) {
		return nil
	}
	id, ok := q.entry.blame.Begin(q.parts)
	if !ok {
		return fault.Retry("it is tried whether the same messages crash engines", trialRetryAfter)
	}
	q.messageTrial, q.isMessageTrial = id, true
	q.entry.log.Info("trial of messages", "request", q.id)
	return nil
}

// isTrial reports whether the request was sent to find out whether it, or messages of it, crash upstreams.
func (q *request) isTrial() bool {
	return q.trial != nil || q.isMessageTrial
}

// endTrial ends the trial if the request is one.
func (q *request) endTrial() {
	if q.isMessageTrial && q.attemptNum == 0 {
		q.entry.blame.Void(q.messageTrial)
	}
	if q.trial != nil {
		q.entry.crashes.End(q.trial.id)
	}
}

// recordCrash records that an upstream has crashed under this attempt.
func (t *transfer) recordCrash(at time.Time) {
	q, name := t.request, t.attempt.up.conf.Load().Name
	q.crashes++
	run := leave.Run{Key: uint32(xxhash.Sum64String(name)), Started: at.UnixMilli()} // Names the crash, as no start is known.
	var tried *digest.Sum
	if q.trial != nil {
		tried = &q.trial.of
	}
	hold := q.entry.crashes.Crashed(run, q.service(), q.identity(), tried)
	q.entry.log.Warn("upstream crashed", "request", q.id, "digests", q.digests, "upstream", name, "bytes", t.received, "crashes", q.crashes, "trial", tried != nil)
	if hold != nil {
		q.entry.logHolds([]crash.Hold{*hold}, "itself")
	}
	if len(q.parts) > 0 {
		added := q.entry.blame.Crashed(run, time.Now(), []blame.Suspect{{Begun: t.hasHead && t.received == 0, Parts: q.parts}})
		q.entry.logBlocks(added, "itself")
	}
}

// recordBreakage records that an upstream has broken off this attempt and may have crashed.
func (t *transfer) recordBreakage(at time.Time) {
	q, name := t.request, t.attempt.up.conf.Load().Name
	if len(q.parts) == 0 {
		return
	}
	q.entry.log.Warn("upstream broke off a request", "request", q.id, "upstream", name, "bytes", t.received, "trial", q.isMessageTrial)
	run := leave.Run{Key: uint32(xxhash.Sum64String(name)), Started: at.UnixMilli()}
	q.entry.blame.BrokenOff(run, time.Now(), []blame.Suspect{{Begun: t.hasHead && t.received == 0, Parts: q.parts}})
	q.entry.reviewCrashes() // Other attempts of the request follow at once.
}

// recordSound records that an upstream has answered the request. A server error says nothing of the request.
func (t *transfer) recordSound() {
	q := t.request
	if t.status >= http.StatusInternalServerError {
		return
	}
	q.entry.blame.Answered(q.parts)
	if q.entry.crashes.Answered(q.service(), q.identity) {
		q.entry.log.Info("request cleared", "request", q.id, "digests", q.digests)
	}
}

// mergeCrashes adds what the agent of an upstream passes on from other entries.
func (e *Entry) mergeCrashes(prompts *blame.Report, requests *crash.Report, agent string) {
	added, _ := e.blame.Merge(prompts)
	e.logBlocks(added, agent)
	holds, _ := e.crashes.Merge(requests)
	e.logHolds(holds, agent)
}

// logBlocks logs prompts that are blocked from now on.
func (e *Entry) logBlocks(blocks []blame.Block, source string) {
	for _, b := range blocks {
		e.events.Add("blocked", "", "", source)
		e.log.Warn("messages blocked", "parts", b.Parts, "from", source)
	}
}

// logChanges logs messages that are held from now on or no longer.
func (e *Entry) logChanges() {
	for _, c := range e.blame.TakeChanges() {
		message := "messages released"
		if c.IsHeld {
			message = "messages held"
		}
		e.log.Info(message, "parts", c.Parts, "cause", c.Cause, "crashes", c.Crashes, "trials", c.Trials)
	}
}

// reviewCrashes logs what follows from answers to other prompts while messages are held.
func (e *Entry) reviewCrashes() {
	e.logBlocks(e.blame.Review(), "itself")
	e.logChanges()
}

// logHolds logs requests that are held from now on.
func (e *Entry) logHolds(holds []crash.Hold, source string) {
	for _, h := range holds {
		e.events.Add("held", "", "", h.Request.String()+" from "+source)
		e.log.Warn("request held", "digest", h.Request, "strikes", h.Strikes, "sure", h.Sure, "left", h.Left(), "from", source)
	}
}
