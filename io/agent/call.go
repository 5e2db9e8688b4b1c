package agent

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
	"pimentoseam/core/health"
	"pimentoseam/io/link"
)

const (
	readBufferSize = 8 << 10 // bytes
	// orphanTimeout is the minimum time without a link after which a call is cancelled.
	orphanTimeout = 5 * time.Second
	// minFailureTime is the minimum time after which a cancelled call counts as a failure of the upstream.
	minFailureTime = 900 * time.Millisecond
	// failingRetryAfter is the retry-after that is sent while the upstream is failing.
	failingRetryAfter = time.Second
	// nonRepeatableGrace is the time beyond the deadline in which the answer of a non-idempotent call may still arrive.
	nonRepeatableGrace = 30 * time.Second
	// endedRetention is how long the answer of an ended call is retained until the entry has consumed it.
	endedRetention = 5 * time.Second
)

// callID identifies one attempt of a request.
type callID struct {
	id      string
	attempt uint32
}

// call is one attempt of a request at the upstream.
type call struct {
	agent       *Agent
	run         *frame.Run
	outbox      *outbox
	ctx         context.Context
	cancel      context.CancelFunc
	consumed    chan struct{} // Closed when the entry has consumed the whole answer.
	consumeOnce sync.Once
	attempt     *health.Call // The call that the circuit breaker has allowed; nil before.
}

// startCall starts the call of run, unless the entry has sent the same attempt before.
func (a *Agent) startCall(c *link.Conn, run *frame.Run) {
	id := callID{run.ID, run.Attempt}
	a.mu.Lock()
	if _, ok := a.calls[id]; ok {
		a.mu.Unlock()
		return
	}
	limit := run.TotalTimeout
	if run.NonRepeatable {
		limit += nonRepeatableGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	k := &call{agent: a, run: run, outbox: newOutbox(c, run), ctx: ctx, cancel: cancel, consumed: make(chan struct{})}
	a.calls[id] = k
	a.mu.Unlock()
	go k.serve()
}

// handleControl cancels, acknowledges or resumes a call.
func (a *Agent) handleControl(c *link.Conn, m *frame.Control) {
	a.mu.Lock()
	k := a.calls[callID{m.ID, m.Attempt}]
	a.mu.Unlock()
	switch m.Verb {
	case frame.Cancel:
		if k != nil && !k.run.NonRepeatable {
			a.events.Add("cancelled", m.ID, a.settings.Name, "")
			k.cancel()
			k.markConsumed()
		}
	case frame.Consumed:
		if k != nil && k.outbox.ack(m.Offset) {
			k.markConsumed()
		}
	case frame.Resume:
		if k == nil || !k.outbox.resume(c, m.Offset) {
			// The call isn't known here, because it never arrived, was cancelled or has been dropped, or its bytes are
			// no longer buffered.
			_ = c.Send(&frame.End{ID: m.ID, Attempt: m.Attempt, Kind: fault.Unknown, Text: "nothing to resume", SafeToRetry: true})
		}
	}
}

func (k *call) markConsumed() {
	k.consumeOnce.Do(func() { close(k.consumed) })
}

// serve executes the call and retains its answer until the entry has consumed it or endedRetention is over.
func (k *call) serve() {
	go k.cancelIfOrphaned()
	k.execute()
	timer := time.NewTimer(endedRetention)
	defer timer.Stop()
	select {
	case <-k.consumed:
	case <-timer.C:
	}
	k.cancel()
	k.outbox.close()
	k.agent.mu.Lock()
	defer k.agent.mu.Unlock()
	delete(k.agent.calls, callID{k.run.ID, k.run.Attempt})
}

// cancelIfOrphaned cancels a repeatable call that has had no link for orphanTimeout.
func (k *call) cancelIfOrphaned() {
	ticker := time.NewTicker(orphanTimeout / 2)
	defer ticker.Stop()
	misses := 0
	for {
		select {
		case <-k.ctx.Done():
			k.outbox.close()
			return
		case <-ticker.C:
		}
		misses++
		if k.outbox.hasLink() {
			misses = 0
		}
		if misses > 2 && !k.run.NonRepeatable {
			k.agent.events.Add("orphaned", k.run.ID, k.agent.settings.Name, "")
			k.cancel()
		}
	}
}

// refuse ends a call that did not run. The entry may send the request to another upstream if this one is stopping
// or failing, or if the call is a later attempt of a non-idempotent call.
func (k *call) refuse(r *admit.Refused) {
	k.agent.events.Add("refused", k.run.ID, k.agent.settings.Name, r.Error())
	k.agent.log.Info("refused", "request", k.run.ID, "attempt", k.run.Attempt, "kind", fault.NotRun, "text", r.Error())
	// A delayed earlier attempt may still arrive here, so the refusal of a later one sets a tombstone for the key.
	isRepeat := k.run.NonRepeatable && k.run.Attempt > 1
	canRetryElsewhere := isRepeat || r.Reason == admit.Stopping || r.Reason == admit.Failing
	if canRetryElsewhere && k.run.NonRepeatable {
		k.agent.table.Reject(k.run.Key)
	}
	k.outbox.finish(&frame.End{Kind: fault.NotRun, Text: r.Error(), RetryAfter: r.RetryAfter, SafeToRetry: canRetryElsewhere})
}

// fail ends the call with an error.
func (k *call) fail(kind fault.Kind, text string, retryAfter time.Duration) {
	k.failAfterCrash(kind, text, retryAfter, breakage{})
}

// failAtUpstream ends a call without a whole answer from the upstream, and states whether that has crashed.
func (k *call) failAtUpstream(text string) {
	k.failAfterCrash(fault.Failed, text, 0, k.breakage())
}

// breakage returns what the upstream did under the call.
func (k *call) breakage() breakage {
	if k.ctx.Err() != nil {
		return breakage{}
	}
	if at := k.agent.lastCrash(); !at.IsZero() {
		return breakage{crashedAt: at}
	}
	if !k.agent.isGone() {
		return breakage{}
	}
	return breakage{brokenAt: time.Now().Round(time.Millisecond)}
}

// failAfterCrash is fail with what the upstream did.
func (k *call) failAfterCrash(kind fault.Kind, text string, retryAfter time.Duration, b breakage) {
	k.agent.log.Info("refused", "request", k.run.ID, "attempt", k.run.Attempt, "kind", kind, "text", text)
	k.agent.events.Add("refused", k.run.ID, k.agent.settings.Name, string(kind)+": "+text)
	k.outbox.finish(&frame.End{Kind: kind, Text: text, RetryAfter: retryAfter, CrashedAt: b.crashedAt, BrokenAt: b.brokenAt})
}

func (k *call) execute() {
	defer func() {
		if k.attempt != nil {
			k.attempt.Cancel() // Does nothing if the result is known.
		}
	}()
	if k.run.NonRepeatable {
		k.executeOnce()
		return
	}
	ticket, ok := k.admit()
	if !ok {
		return
	}
	defer k.agent.queue.Release(ticket)
	k.relay(ticket)
}

// admit waits for a slot of the upstream; it returns false after it has ended the call.
func (k *call) admit() (*admit.Ticket, bool) {
	decision := make(chan *admit.Refused, 1)
	ticket := &admit.Ticket{
		Caller:   k.run.Caller,
		Priority: k.run.Priority,
		Deadline: time.Now().Add(k.run.FirstTimeout),
		Prompt:   k.run.PromptTokens,
		Output:   k.run.OutputTokens,
		Notify:   func(r *admit.Refused) { decision <- r },
	}
	if k.run.KVHandle != "" {
		ticket.Prefilled, ticket.Prompt = true, 0
		ticket.Deadline = time.Now().Add(k.run.TotalTimeout)
	}
	var ok bool
	if k.attempt, ok = k.agent.breaker.Allow(); !ok {
		k.refuse(&admit.Refused{Reason: admit.Failing, RetryAfter: failingRetryAfter})
		return nil, false
	}
	if refused := k.agent.queue.Offer(ticket); refused != nil {
		k.attempt.Cancel()
		k.refuse(refused)
		return nil, false
	}
	select {
	case k.agent.wake <- struct{}{}:
	default:
	}
	select {
	case refused := <-decision:
		if refused != nil {
			k.attempt.Cancel()
			k.refuse(refused)
			return nil, false
		}
		return ticket, true
	case <-k.ctx.Done():
		k.agent.queue.Release(ticket)
		k.attempt.Cancel()
		k.fail(fault.NotRun, "cancelled before it ran", 0)
		return nil, false
	}
}

// relay sends the request to the upstream and writes its answer to the outbox.
func (k *call) relay(ticket *admit.Ticket) {
	a := k.agent
	a.events.Add("sent", k.run.ID, a.settings.Name, "")
	a.promptTokens.Add(int64(k.run.PromptTokens))
	sentAt := time.Now()
	answer, err := a.client.Do(k.ctx, k.run)
	k.recordHealth(answer, err, sentAt)
	if err != nil {
		k.failAtUpstream(err.Error())
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusServiceUnavailable {
		k.fail(fault.NotRun, "the upstream accepts no work", time.Second)
		return
	}
	k.outbox.setHead(answer.StatusCode, answer.Header.Get("Content-Type"))
	k.copyBody(answer, ticket)
}

// recordHealth reports the result of a call to the circuit breaker. A call that is cancelled after twice its
// FirstTimeout, but not before minFailureTime, isn't ignored as cancelled: its error counts as a failure, since a
// frozen upstream returns no error by itself.
func (k *call) recordHealth(answer *http.Response, err error, sentAt time.Time) {
	isOverdue := time.Since(sentAt) > max(2*k.run.FirstTimeout, minFailureTime)
	switch {
	case k.ctx.Err() != nil && !isOverdue:
		k.attempt.Cancel()
	case err != nil || answer.StatusCode >= http.StatusInternalServerError:
		k.attempt.Failure()
	default:
		k.attempt.Success()
	}
}

// copyBody copies the upstream's answer to the outbox; its first bytes end the prefill.
func (k *call) copyBody(answer *http.Response, ticket *admit.Ticket) {
	buffer := make([]byte, readBufferSize)
	first := true
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && first {
			first = false
			k.agent.queue.FinishPrefill(ticket)
		}
		if n > 0 && !k.outbox.write(buffer[:n]) {
			k.fail(fault.Failed, "cancelled", 0)
			return
		}
		if err == io.EOF && k.agent.isCut(answer) {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			k.agent.events.Add("answered", k.run.ID, k.agent.settings.Name, "")
			k.agent.log.Info("answered", "request", k.run.ID, "attempt", k.run.Attempt, "caller", k.run.Caller)
			k.agent.outputTokens.Add(int64(k.run.OutputTokens))
			k.outbox.finish(&frame.End{})
			return
		}
		if err != nil {
			k.failAtUpstream("the upstream's answer ended early")
			return
		}
	}
}
