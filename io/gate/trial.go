package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
	"pimentoseam/core/leave"
	"pimentoseam/io/proc"
)

const (
	// trialSettle is the time from the announcement of a trial until it begins: three hops to the entries of other zones, which
	// each send after 20 ms, and the time until a loaded process gets its processor. An announcement of another entry arrives
	// in it, and other requests leave the upstream.
	trialSettle = 100 * time.Millisecond
	// maxTrialWait is how long a copy of a request waits for the trial of another one, a settled trial and a usual run. Callers
	// come back later than that if they are refused.
	maxTrialWait = 2 * trialSettle
	trialPoll    = 20 * time.Millisecond // Time between two looks for the result.
	// maxCheckWait limits the wait for the check whether an upstream has crashed before its request is sent to another one.
	maxCheckWait = 150 * time.Millisecond
	// unclearTime is how long a trial whose upstream closed the connection, but accepts new ones, blocks the next trial. A new
	// run of the upstream registers within it.
	unclearTime = 2 * time.Second
	// minTrialRetry and maxTrialRetry limit the time after which a copy of a request that is being tried may come back.
	minTrialRetry = 250 * time.Millisecond
	maxTrialRetry = 600 * time.Millisecond
)

// trial is the run of a suspect alone.
type trial struct {
	of        digest.Sum // The digest of the request that is suspect.
	id        uint64
	upstream  *upstream // Where a plain request is tried; nil for a prompt, whose engines are chosen later.
	isUnclear bool      // The upstream closed the connection.
}

// mayRun reports whether the request may go to upstreams. If it is suspect of crashing them, it may as a trial, which other entries
// are told of first.
func (x *exchange) mayRun(ctx context.Context) bool {
	if x.isBlockedPrompt() || !x.mayRunHeld(ctx) {
		return false
	}
	switch x.awaitTrial(ctx) {
	case crash.Free:
		return true
	case crash.Suspect:
		return x.beginTrial(ctx) || x.awaitTrial(ctx) == crash.Free
	case crash.Trying, crash.Held:
	}
	return false
}

// mayRunHeld reports whether the prompt may go to an engine as far as held parts are concerned: it has none, or goes to find out
// whether they crash engines, which other entries are told of first. If its parts are held, it waits a short time.
func (x *exchange) mayRunHeld(ctx context.Context) bool {
	end := time.Now().Add(maxTrialWait)
	for x.gate.blame.Held(x.parts) {
		if id, ok := x.gate.blame.Begin(x.parts); ok {
			if x.gate.gossip.NumEntries() > 1 {
				x.gate.gossip.Trigger()
				proc.Sleep(ctx, trialSettle)
			}
			x.partTrial, x.isPartTrial = id, x.gate.blame.Confirm(id) && !x.isBlockedPrompt()
			x.gate.log.Info("trial of parts", "id", x.call.ID, "parts", x.call.PartNames(), "begins", x.isPartTrial, "left", time.Until(x.deadline))
			if x.isPartTrial {
				x.gate.meter.Count("trials of parts")
			}
			if !x.isPartTrial {
				x.gate.blame.Void(id)
			}
			return x.isPartTrial
		}
		if ctx.Err() != nil || x.callerDisconnected() || !time.Now().Before(end) {
			return false
		}
		proc.Sleep(ctx, trialPoll)
	}
	return true
}

// endPartTrial tells the other entries if a trial of the prompt's parts didn't run.
func (x *exchange) endPartTrial() {
	if x.isPartTrial && x.delivered == 0 && x.possibleRuns == 0 && !x.hasFailed {
		x.gate.blame.Void(x.partTrial)
		x.gate.gossip.Trigger()
	}
}

// awaitTrial returns what may be done with the request. While another copy of it is tried, it waits for the result for a short
// time, so that copies of a sound request are served as soon as one was.
func (x *exchange) awaitTrial(ctx context.Context) crash.State {
	end := time.Now().Add(maxTrialWait)
	for {
		state, _ := x.crashState()
		if state != crash.Trying || ctx.Err() != nil || x.callerDisconnected() || !time.Now().Before(end) {
			return state
		}
		proc.Sleep(ctx, trialPoll)
	}
}

// isBlockedPrompt reports whether parts of the prompt crash engines.
func (x *exchange) isBlockedPrompt() bool {
	_, blocked := x.gate.blame.Blocked(x.parts)
	return blocked
}

// crashState returns what may be done with the request, and for how much longer it is held.
func (x *exchange) crashState() (crash.State, time.Duration) {
	if !x.gate.crashes.IsActive() {
		return crash.Free, 0
	}
	return x.gate.crashes.Check(x.identity()...)
}

// beginTrial announces a trial of the request and reports whether it may be made.
func (x *exchange) beginTrial(ctx context.Context) bool {
	var run leave.Run
	t := &trial{}
	if service := x.table.Services[x.service]; service == nil || service.Engine == nil {
		if t.upstream = x.gate.pickPlain(x.service, x.tried, x.isFull); t.upstream == nil {
			return true // The request is refused for want of an upstream.
		}
		run = runOf(t.upstream.info.Load())
	}
	if heard, known := x.gate.gossip.Reach(); heard < known {
		// Entries that can't be heard may know more.
		if err := x.gate.readStored(ctx); err != nil {
			x.gate.log.Info("blocks and holds not read", "id", x.call.ID, "heard", heard, "known", known, "err", err)
		}
	}
	id, d, ok := x.gate.crashes.Begin(run, x.identity()...)
	if !ok {
		return false
	}
	t.id, t.of = id, d
	if x.gate.gossip.NumEntries() > 1 {
		x.gate.gossip.Trigger()
		proc.Sleep(ctx, trialSettle)
	}
	mayBegin := x.gate.crashes.Confirm(id)
	x.gate.log.Info("trial", "id", x.call.ID, "request", d, "key", run.Key, "begins", mayBegin, "left", time.Until(x.deadline))
	if mayBegin {
		x.gate.meter.Count("trials")
		x.trial = t
	}
	return mayBegin
}

// trialUpstream returns the upstream at which a plain request is tried, nil if it isn't or the upstream can't take it.
func (x *exchange) trialUpstream() *upstream {
	if x.trial == nil || x.trial.upstream == nil {
		return nil
	}
	u := x.trial.upstream
	if !u.isUsable() || u.isLeaving() || x.tried[u] || x.isFull(u) {
		return nil
	}
	return u
}

// endTrial ends the trial, if the request is one: at once unless it isn't clear yet whether its upstream has crashed.
func (x *exchange) endTrial() {
	if x.trial == nil {
		return
	}
	end := func() {
		x.gate.crashes.End(x.trial.id)
		x.gate.gossip.Trigger()
	}
	if x.trial.isUnclear {
		time.AfterFunc(unclearTime, end)
		return
	}
	end()
}

// mayBeSent reports whether the request may be sent to the next upstream. An attempt whose upstream has crashed counts before the
// next one, and a trial is made once.
func (x *exchange) mayBeSent(ctx context.Context) bool {
	x.awaitCheck(ctx)
	if x.isBlockedPrompt() || (x.gate.blame.Held(x.parts) && (!x.isPartTrial || x.hasFailed)) {
		return false
	}
	if x.trial == nil {
		state, _ := x.crashState()
		return state == crash.Free
	}
	return x.possibleRuns == 0
}

// awaitCheck waits until it is known whether the upstream of the last attempt has crashed.
func (x *exchange) awaitCheck(ctx context.Context) {
	if x.checked == nil {
		return
	}
	timer := time.NewTimer(maxCheckWait)
	defer timer.Stop()
	select {
	case <-x.checked:
	case <-timer.C:
	case <-ctx.Done():
	}
	x.checked = nil
}

// blockedFor returns the time after which the caller of a request that is blocked may come back, and the reason for the log.
func (x *exchange) blockedFor() (time.Duration, string) {
	if left, blocked := x.gate.blame.Blocked(x.parts); blocked {
		return left, "its parts crash engines"
	}
	if state, left := x.crashState(); state == crash.Held {
		return left, "it crashes upstreams"
	}
	if x.gate.blame.Held(x.parts) {
		return minTrialRetry + rand.N(maxTrialRetry-minTrialRetry), "it is tried whether its parts crash engines"
	}
	return minTrialRetry + rand.N(maxTrialRetry-minTrialRetry), "it is tried whether it crashes upstreams"
}

// recordSound records that an upstream has answered the request. A server error can come from what stands before an upstream
// that has ended.
func (x *exchange) recordSound(status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	if x.gate.crashes.Answered(beat.Key(x.service), x.identity) {
		x.gate.log.Info("request cleared", "id", x.call.ID, "request", x.identity(), "upstream", x.lastUpstream, "status", status)
		x.gate.gossip.Trigger()
	}
}
