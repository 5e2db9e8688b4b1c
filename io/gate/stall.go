package gate

import (
	"context"
	"maps"
	"sync"
	"time"

	"pimentoseam/core/budget"
	"pimentoseam/core/member"
	"pimentoseam/core/repeat"
	"pimentoseam/io/proc"
)

// stallTimeout is the silence, beyond the estimated time of its work, after which an engine is considered stalled.
// A live engine responds to several prompts a second.
const stallTimeout = time.Second

// stallCheckInterval is how often it is checked whether the work of a stalled engine can be repeated elsewhere.
const stallCheckInterval = 200 * time.Millisecond

// stallWatch cancels an attempt once its engine has stalled and another one may have the work.
type stallWatch struct {
	cancel context.CancelFunc

	mu      sync.Mutex
	isEnded bool
	grant   *budget.Grant // For the repeat elsewhere; nil unless the attempt is cancelled.
}

// watchStall returns the context of an attempt at an engine, whose work is expected to take a time. The attempt is cancelled once
// the engine has been silent for longer than stallTimeout plus that time and the work can be repeated elsewhere, unless mayMove
// is false. end must be called after the attempt.
func (x *exchange) watchStall(ctx context.Context, u *upstream, phase repeat.Phase, work time.Duration, mayMove bool) (context.Context, *stallWatch) {
	attemptCtx, cancel := context.WithCancel(ctx)
	w := &stallWatch{cancel: cancel}
	if mayMove {
		takeRepeat := x.takeRepeat(u, phase)
		go u.awaitStall(attemptCtx, work, func() bool { return w.fire(takeRepeat) })
	}
	return attemptCtx, w
}

// fire cancels the attempt if it goes on and takeRepeat grants a repeat, and reports whether it did.
func (w *stallWatch) fire(takeRepeat func() *budget.Grant) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isEnded {
		return false
	}
	if w.grant = takeRepeat(); w.grant == nil {
		return false
	}
	w.cancel()
	return true
}

// end ends the watch and, the first time, returns the grant for a repeat elsewhere, nil if the attempt was not cancelled. The
// response must be closed before, or its connection is not reused.
func (w *stallWatch) end() *budget.Grant {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isEnded = true
	w.cancel()
	grant := w.grant
	w.grant = nil
	return grant
}

// awaitStall calls onStall once the upstream has been silent for longer than stallTimeout plus the estimated time of the work that
// is sent to it now, and again until that returns true or ctx ends.
func (u *upstream) awaitStall(ctx context.Context, work time.Duration, onStall func() bool) {
	limit, sent := stallTimeout+work, proc.Uptime()
	wait := limit
	for {
		proc.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		wait = limit - time.Duration(proc.Uptime()-max(sent, u.lastReceived.Load()))
		if wait > 0 {
			continue
		}
		if onStall() {
			return
		}
		wait = stallCheckInterval
	}
}

// takeRepeat returns a function that takes the permission for a repeat at an engine other than the present one and those already
// tried, or returns nil if there is none. A silent engine may only be slow, so its work is not given up without one.
func (x *exchange) takeRepeat(present *upstream, phase repeat.Phase) func() *budget.Grant {
	tried := maps.Clone(x.tried) // The function runs beside the attempt.
	tried[present] = true
	isLogged := false
	return func() *budget.Grant {
		for _, u := range x.gate.snapshot.Load().services[x.service] {
			if tried[u] || !u.isUsable() || u.isLeaving() || u.info.Load().Role == member.Prefill {
				continue
			}
			if x.gate.isLimited(u) {
				continue
			}
			grant := x.budget.TakeRetry()
			if grant == nil && !isLogged {
				isLogged = true // The function is called again and again.
				x.logNotGranted(phase, repeat.Stalled)
			}
			return grant
		}
		return nil
	}
}

// handleStall reports whether an attempt was cancelled because its engine stalled, which grant shows. If so, it opens the engine's
// circuit breaker and keeps the grant for the next call; otherwise it returns it.
func (x *exchange) handleStall(ctx context.Context, u *upstream, id string, began time.Time, grant *budget.Grant) bool {
	if grant == nil || ctx.Err() != nil || x.callerDisconnected() {
		grant.Return()
		return false
	}
	x.gate.log.Warn("engine stalled", "id", x.call.ID, "upstream", id, "events", x.events, "took", time.Since(began))
	u.breaker.Trip()
	x.cause, x.grant = repeat.Stalled, grant
	return true
}
