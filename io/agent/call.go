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
	"pimentoseam/io/link"
)

const (
	readSize     = 8 << 10                // bytes read from the upstream at once
	orphanAfter  = 5 * time.Second        // time without a link after which a call is cancelled
	overdueMin   = 900 * time.Millisecond // least time after which a call without an answer counts as failed
	failingRetry = time.Second            // when to come back to an upstream that fails
	onceGrace    = 30 * time.Second       // time beyond the deadline to learn a non-idempotent call's answer
	keepEnded    = 5 * time.Second        // time that an ended answer waits to be taken
)

type callID struct {
	id      string
	attempt uint32
}

// call is one attempt of a request at this agent.
type call struct {
	agent  *Agent
	run    *frame.Run
	out    *outbox
	ctx    context.Context
	cancel context.CancelFunc
	taken  chan struct{} // closed once the entry has consumed the whole answer
	once   sync.Once
}

func (a *Agent) start(c *link.Conn, run *frame.Run) {
	id := callID{run.ID, run.Attempt}
	a.mu.Lock()
	if _, ok := a.calls[id]; ok {
		a.mu.Unlock()
		return
	}
	limit := run.TotalTimeout
	if run.NonRepeatable {
		limit += onceGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	k := &call{agent: a, run: run, out: newOutbox(c, run), ctx: ctx, cancel: cancel, taken: make(chan struct{})}
	a.calls[id] = k
	a.mu.Unlock()
	go k.serve()
}

func (a *Agent) ask(c *link.Conn, m *frame.Control) {
	a.mu.Lock()
	k := a.calls[callID{m.ID, m.Attempt}]
	a.mu.Unlock()
	switch m.Verb {
	case frame.Cancel:
		if k != nil && !k.run.NonRepeatable {
			a.events.Add("cancelled", m.ID, a.set.Name, "")
			k.cancel()
			k.take()
		}
	case frame.Consumed:
		if k != nil && k.out.ack(m.Offset) {
			k.take()
		}
	case frame.Resume:
		if k == nil || !k.out.resume(c, m.Offset) {
			// The request never came here or was given up, so another attempt adds no load.
			_ = c.Send(&frame.End{ID: m.ID, Attempt: m.Attempt, Kind: fault.Unknown, Text: "nothing to resume", SafeToRetry: true})
		}
	}
}

func (k *call) take() {
	k.once.Do(func() { close(k.taken) })
}

// serve runs the call and keeps its answer until it is taken.
func (k *call) serve() {
	go k.reap()
	k.perform()
	timer := time.NewTimer(keepEnded)
	defer timer.Stop()
	select {
	case <-k.taken:
	case <-timer.C:
	}
	k.cancel()
	k.out.close()
	k.agent.mu.Lock()
	defer k.agent.mu.Unlock()
	delete(k.agent.calls, callID{k.run.ID, k.run.Attempt})
}

// reap cancels the call when it has had no link for a while.
func (k *call) reap() {
	ticker := time.NewTicker(orphanAfter / 2)
	defer ticker.Stop()
	misses := 0
	for {
		select {
		case <-k.ctx.Done():
			k.out.close()
			return
		case <-ticker.C:
		}
		misses++
		if k.out.attached() {
			misses = 0
		}
		if misses > 2 && !k.run.NonRepeatable {
			k.agent.events.Add("orphaned", k.run.ID, k.agent.set.Name, "")
			k.cancel()
		}
	}
}

// refuse ends a call that did not run; the entry may take it elsewhere if the upstream only takes no new work.
func (k *call) refuse(r *admit.Refused) {
	k.agent.events.Add("refused", k.run.ID, k.agent.set.Name, r.Error())
	k.agent.log.Info("refused", "request", k.run.ID, "attempt", k.run.Attempt, "kind", fault.NotRun, "text", r.Error())
	// An earlier attempt may still be on its way here, so a later one that is refused bars the key.
	repeated := k.run.NonRepeatable && k.run.Attempt > 1
	elsewhere := repeated || r.Reason == admit.Stopping || r.Reason == admit.Failing
	if elsewhere && k.run.NonRepeatable {
		k.agent.table.Reject(k.run.Key)
	}
	k.out.finish(&frame.End{Kind: fault.NotRun, Text: r.Error(), RetryAfter: r.RetryAfter, SafeToRetry: elsewhere})
}

func (k *call) fail(kind fault.Kind, text string, after time.Duration) {
	k.agent.log.Info("refused", "request", k.run.ID, "attempt", k.run.Attempt, "kind", kind, "text", text)
	k.agent.events.Add("refused", k.run.ID, k.agent.set.Name, string(kind)+": "+text)
	k.out.finish(&frame.End{Kind: kind, Text: text, RetryAfter: after})
}

func (k *call) perform() {
	if k.run.NonRepeatable {
		k.performOnce()
		return
	}
	ticket, ok := k.admit()
	if !ok {
		return
	}
	defer k.agent.queue.Release(ticket)
	k.relay(ticket)
}

// admit waits for a place at the upstream; it reports false after it has ended the call.
func (k *call) admit() (*admit.Ticket, bool) {
	verdict := make(chan *admit.Refused, 1)
	ticket := &admit.Ticket{
		Caller:   k.run.Caller,
		Priority: k.run.Priority,
		Deadline: time.Now().Add(k.run.FirstTimeout),
		Prompt:   k.run.PromptTokens,
		Output:   k.run.OutputTokens,
		Notify:   func(r *admit.Refused) { verdict <- r },
	}
	if k.run.KVHandle != "" {
		ticket.Prefilled, ticket.Prompt = true, 0
		ticket.Deadline = time.Now().Add(k.run.TotalTimeout)
	}
	if !k.agent.health.Allow() {
		k.refuse(&admit.Refused{Reason: admit.Failing, RetryAfter: failingRetry})
		return nil, false
	}
	if refused := k.agent.queue.Offer(ticket); refused != nil {
		k.agent.health.Cancel()
		k.refuse(refused)
		return nil, false
	}
	select {
	case k.agent.offered <- struct{}{}:
	default:
	}
	select {
	case refused := <-verdict:
		if refused != nil {
			k.agent.health.Cancel()
			k.refuse(refused)
			return nil, false
		}
		return ticket, true
	case <-k.ctx.Done():
		k.agent.queue.Release(ticket)
		k.agent.health.Cancel()
		k.fail(fault.NotRun, "cancelled before it ran", 0)
		return nil, false
	}
}

// relay sends the request to the upstream and its answer to the outbox.
func (k *call) relay(ticket *admit.Ticket) {
	a := k.agent
	a.events.Add("sent", k.run.ID, a.set.Name, "")
	a.prompt.Add(int64(k.run.PromptTokens))
	sent := time.Now()
	answer, err := a.client.Do(k.ctx, k.run)
	k.judge(answer, err, sent)
	if err != nil {
		k.fail(fault.Failed, err.Error(), 0)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusServiceUnavailable {
		k.fail(fault.NotRun, "the upstream takes no work", time.Second)
		return
	}
	k.out.head(answer.StatusCode, answer.Header.Get("Content-Type"))
	k.copy(answer.Body, ticket)
}

// judge tells the breaker how a call to the upstream went. A call that was given up long after
// its first token was due counts as failed, since a frozen upstream answers nothing.
func (k *call) judge(answer *http.Response, err error, sent time.Time) {
	overdue := time.Since(sent) > max(2*k.run.FirstTimeout, overdueMin)
	switch {
	case k.ctx.Err() != nil && !overdue:
		k.agent.health.Cancel()
	case err != nil || answer.StatusCode >= http.StatusInternalServerError:
		k.agent.health.Failure()
	default:
		k.agent.health.Success()
	}
}

func (k *call) copy(body io.Reader, ticket *admit.Ticket) {
	buffer := make([]byte, readSize)
	first := true
	for {
		n, err := body.Read(buffer)
		if n > 0 && first {
			first = false
			k.agent.queue.FinishPrefill(ticket)
		}
		if n > 0 && !k.out.write(buffer[:n]) {
			k.fail(fault.Failed, "cancelled", 0)
			return
		}
		if err == io.EOF {
			k.agent.events.Add("answered", k.run.ID, k.agent.set.Name, "")
			k.agent.log.Info("answered", "request", k.run.ID, "attempt", k.run.Attempt, "caller", k.run.Caller)
			k.agent.output.Add(int64(k.run.OutputTokens))
			k.out.finish(&frame.End{})
			return
		}
		if err != nil {
			k.fail(fault.Failed, "the upstream's answer broke off", 0)
			return
		}
	}
}
