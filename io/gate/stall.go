package gate

import (
	"context"
	"maps"
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
	done   chan struct{} // Closed when the watch has ended.
	grant  *budget.Grant // For the repeat elsewhere; nil unless the attempt was cancelled. Valid once done is closed.
}

// watchStall returns the context of an attempt at an engine, whose work is expected to take a time. The attempt is cancelled once
// the engine has been silent for longer than stallTimeout plus that time and the work can be repeated elsewhere, unless mayMove
// is false. end must be called after the attempt.
func (x *exchange) watchStall(ctx context.Context, u *upstream, work time.Duration, mayMove bool) (context.Context, *stallWatch) {
	attemptCtx, cancel := context.WithCancel(ctx)
	w := &stallWatch{cancel: cancel, done: make(chan struct{})}
	if !mayMove {
		close(w.done)
		return attemptCtx, w
	}
	takeRepeat := x.takeRepeat(u)
	go func() {
		defer close(w.done)
		if w.grant = u.awaitStall(attemptCtx, work, takeRepeat); w.grant != nil {
			cancel()
		}
	}()
	return attemptCtx, w
}

// end ends the watch and, the first time, returns the grant for a repeat elsewhere, nil if the attempt was not cancelled. The
// response must be closed before, or its connection is not reused.
func (w *stallWatch) end() *budget.Grant {
	w.cancel()
	<-w.done
	grant := w.grant
	w.grant = nil
	return grant
}

// awaitStall returns what takeRepeat returns, once that isn't nil and the upstream has been silent for longer than stallTimeout
// plus the estimated time of the work that is sent to it now; nil if ctx ends first.
func (u *upstream) awaitStall(ctx context.Context, work time.Duration, takeRepeat func() *budget.Grant) *budget.Grant {
	limit, sent := stallTimeout+work, proc.Uptime()
	wait := limit
	for {
		proc.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return nil
		}
		wait = limit - time.Duration(proc.Uptime()-max(sent, u.lastReceived.Load()))
		if wait > 0 {
			continue
		}
		if grant := takeRepeat(); grant != nil {
			return grant
		}
		wait = stallCheckInterval
	}
}

// takeRepeat returns a function that takes the permission for a repeat at an engine other than the present one and those already
// tried, or returns nil if there is none. A silent engine may only be slow, so its work is not given up without one.
func (x *exchange) takeRepeat(present *upstream) func() *budget.Grant {
	tried := maps.Clone(x.tried) // The function runs beside the attempt.
	tried[present] = true
	return func() *budget.Grant {
		for _, u := range x.gate.snapshot.Load().services[x.service] {
			if tried[u] || !u.isUsable() || u.isLeaving() || u.info.Load().Role == member.Prefill {
				continue
			}
			if !x.gate.isLimited(u) {
				return x.budget.TakeRetry()
			}
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
