package entry

import (
	"net/http"
	"time"

	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
	"pimentoseam/io/link"
)

const ackEvery = window / 4 // bytes consumed between two acknowledgements

// transfer moves the answer of one attempt to the request's sink.
type transfer struct {
	request  *request
	attempt  *attempt
	received int64
	acked    int64
	headed   bool
}

// run returns when the attempt has ended.
func (t *transfer) run() outcome {
	q := t.request
	whole := time.NewTimer(time.Until(q.deadline))
	defer whole.Stop()
	silent := time.NewTimer(q.patience())
	defer silent.Stop()
	for {
		frames := t.attempt.next()
		for _, f := range frames {
			if end := t.take(f); end != nil {
				return *end
			}
		}
		if len(frames) > 0 {
			silent.Reset(progressMax)
		}
		if t.attempt.lost() && !t.relink() {
			return t.broken("the link to the upstream broke", true)
		}
		select {
		case <-t.attempt.signal:
		case <-q.ctx.Done():
			t.cancel()
			return outcome{gone: true}
		case <-whole.C:
			t.cancel()
			return t.broken("the answer was not whole by its deadline", false)
		case <-silent.C:
			t.cancel()
			return t.broken("the upstream made no progress", true)
		}
	}
}

// patience returns how long the first sign of an answer is waited for. An urgent request that
// may be repeated is tried elsewhere soon after its deadline for the first token.
func (q *request) patience() time.Duration {
	if q.run.NonRepeatable {
		return progressMax
	}
	return min(max(2*q.class.FirstDeadline.Duration(), firstMin), progressMax)
}

func (t *transfer) cancel() {
	t.attempt.ask(frame.Cancel, 0)
	t.request.entry.events.Add("cancel", t.request.id, t.attempt.up.conf.Load().Name, "")
}

func (t *transfer) broken(text string, lost bool) outcome {
	kind := fault.Failed
	if t.request.run.NonRepeatable || lost {
		kind = fault.Unknown
	}
	return outcome{fault: &fault.Error{Kind: kind, Message: text, RetryAfter: fastRetry}, lost: lost}
}

// relink waits for a new link to the same agent and resumes the answer there.
// A non-idempotent request is sent again instead, since its agent knows its key.
func (t *transfer) relink() bool {
	if t.request.run.NonRepeatable {
		return false
	}
	var next *link.Conn
	ready := func() bool {
		next = t.attempt.up.link.Load()
		return next != nil && next != t.attempt.conn
	}
	if !t.request.wait(ready) {
		return false
	}
	t.attempt.conn = next
	t.attempt.ask(frame.Resume, t.received)
	t.request.entry.events.Add("resume", t.request.id, t.attempt.up.conf.Load().Name, "")
	return true
}

// wait polls ready for the time that a new link may take; it reports false if the time is over or the caller is gone.
func (q *request) wait(ready func() bool) bool {
	deadline := time.NewTimer(min(relinkMax, time.Until(q.deadline)))
	defer deadline.Stop()
	poll := time.NewTicker(dialMin / 4)
	defer poll.Stop()
	for !ready() {
		select {
		case <-deadline.C:
			return false
		case <-q.ctx.Done():
			return false
		case <-poll.C:
		}
	}
	return true
}

// take handles one frame; it returns an outcome when the attempt has ended.
func (t *transfer) take(f frame.Frame) *outcome {
	switch m := f.(type) {
	case *frame.Part:
		return t.part(m)
	case *frame.End:
		return t.end(m)
	case *frame.Run, *frame.Control, *frame.Beat:
		return nil
	}
	return nil
}

func (t *transfer) part(m *frame.Part) *outcome {
	if m.Offset > t.received {
		end := t.broken("a part of the answer is missing", true)
		t.cancel()
		return &end
	}
	if skip := t.received - m.Offset; skip > 0 {
		m.Data = m.Data[min(skip, int64(len(m.Data))):]
	}
	if m.Status != 0 && !t.headed {
		t.headed = true
		if retried := t.refused(m.Status); retried != nil {
			t.cancel()
			return retried
		}
		t.request.sink.head(m.Status, m.Type)
	}
	if len(m.Data) == 0 {
		return nil
	}
	t.received += int64(len(m.Data))
	if err := t.request.sink.write(m.Data); err != nil {
		t.cancel()
		return &outcome{gone: true}
	}
	if t.received-t.acked >= ackEvery {
		t.acked = t.received
		t.attempt.ask(frame.Consumed, t.received)
	}
	return nil
}

// refused turns a server error of an idempotent request into one that may be tried elsewhere.
func (t *transfer) refused(status int) *outcome {
	lostCache := status == http.StatusFailedDependency && t.request.run.KVHandle != ""
	if t.request.run.NonRepeatable || (status < http.StatusInternalServerError && !lostCache) {
		return nil
	}
	end := t.broken("the upstream answered "+http.StatusText(status), false)
	return &end
}

func (t *transfer) end(m *frame.End) *outcome {
	if m.Kind != "" {
		return &outcome{fault: &fault.Error{Kind: m.Kind, Message: m.Text, RetryAfter: m.RetryAfter}, barred: m.Tombstoned}
	}
	if m.Offset != t.received {
		end := t.broken("the answer is not whole", true)
		return &end
	}
	t.attempt.ask(frame.Consumed, t.received)
	return &outcome{}
}
