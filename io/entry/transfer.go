package entry

import (
	"net/http"
	"time"

	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
	"pimentoseam/io/link"
)

const ackBytes = windowBytes / 4 // The number of bytes between two acknowledgements.

// transfer relays the answer of one attempt to the request's sink.
type transfer struct {
	request      *request
	attempt      *attempt
	received     int64 // Bytes received so far.
	acknowledged int64 // Bytes acknowledged so far.
	hasHead      bool  // The status of the answer was received.
	status       int   // The status of the answer.
}

// run relays frames until the attempt has ended.
func (t *transfer) run() outcome {
	q := t.request
	total := time.NewTimer(time.Until(q.deadline))
	defer total.Stop()
	silence := time.NewTimer(q.firstFrameTimeout())
	defer silence.Stop()
	for {
		frames := t.attempt.takeFrames()
		for _, f := range frames {
			if end := t.handleFrame(f); end != nil {
				return *end
			}
		}
		if len(frames) > 0 {
			silence.Reset(maxSilence)
		}
		if t.attempt.isLinkClosed() && !t.relink() {
			return t.failedOutcome("the link to the upstream was lost", true)
		}
		select {
		case <-t.attempt.signal:
		case <-q.ctx.Done():
			t.cancel()
			return outcome{callerGone: true}
		case <-q.entry.ending:
			t.cancel()
			end := t.failedOutcome("the entry is stopping", false)
			end.fault.Kind, end.isFinal = fault.Unknown, true
			return end
		case <-total.C:
			t.cancel()
			return t.failedOutcome("the answer was not complete by its deadline", false)
		case <-silence.C:
			t.cancel()
			return t.failedOutcome("the upstream made no progress", true)
		}
	}
}

// firstFrameTimeout returns the maximum wait for the first frame of an answer. A repeatable request with a
// short deadline for the first byte is tried elsewhere soon after that deadline.
func (q *request) firstFrameTimeout() time.Duration {
	if q.run.NonRepeatable {
		return maxSilence
	}
	return min(max(2*q.class.FirstDeadline.Duration(), minFirstTimeout), maxSilence)
}

func (t *transfer) cancel() {
	t.attempt.sendControl(frame.Cancel, 0)
	t.request.entry.events.Add("cancel", t.request.id, t.attempt.up.conf.Load().Name, "")
}

// failedOutcome returns the outcome of an attempt without a usable answer. Its kind is Unknown if the request
// may run only once or the upstream may still be running it.
func (t *transfer) failedOutcome(text string, mayStillRun bool) outcome {
	kind := fault.Failed
	if t.request.run.NonRepeatable || mayStillRun {
		kind = fault.Unknown
	}
	return outcome{fault: &fault.Error{Kind: kind, Message: text, RetryAfter: attemptRetryAfter}, mayStillRun: mayStillRun}
}

// relink waits for a new link to the same upstream, maybe to another agent process, and resumes the answer
// there. A non-repeatable request is sent again by tryOwner instead, since the agent recognises the key.
func (t *transfer) relink() bool {
	if t.request.run.NonRepeatable {
		return false
	}
	var next *link.Conn
	isReady := func() bool {
		next = t.attempt.up.link.Load()
		return next != nil && next != t.attempt.conn
	}
	if !t.request.waitUntil(isReady) {
		return false
	}
	t.attempt.conn = next
	t.attempt.sendControl(frame.Resume, t.received)
	t.request.entry.events.Add("resume", t.request.id, t.attempt.up.conf.Load().Name, "")
	return true
}

// waitUntil polls isReady for at most maxRelinkWait. It reports false on a timeout or if the caller has
// disconnected.
func (q *request) waitUntil(isReady func() bool) bool {
	deadline := time.NewTimer(min(maxRelinkWait, time.Until(q.deadline)))
	defer deadline.Stop()
	ticker := time.NewTicker(minDialWait / 4)
	defer ticker.Stop()
	for !isReady() {
		select {
		case <-deadline.C:
			return false
		case <-q.ctx.Done():
			return false
		case <-q.entry.ending:
			return false
		case <-ticker.C:
		}
	}
	return true
}

// handleFrame handles one frame; it returns an outcome when the attempt has ended.
func (t *transfer) handleFrame(f frame.Frame) *outcome {
	switch m := f.(type) {
	case *frame.Part:
		return t.handlePart(m)
	case *frame.End:
		return t.handleEnd(m)
	case *frame.Run, *frame.Control, *frame.Beat:
		return nil
	}
	return nil
}

func (t *transfer) handlePart(m *frame.Part) *outcome {
	if m.Offset > t.received {
		end := t.failedOutcome("a part of the answer is missing", true)
		t.cancel()
		return &end
	}
	if skip := t.received - m.Offset; skip > 0 {
		m.Data = m.Data[min(skip, int64(len(m.Data))):]
	}
	if m.Status != 0 && !t.hasHead {
		t.hasHead, t.status = true, m.Status
		if failed := t.retryableError(m.Status); failed != nil {
			t.cancel()
			return failed
		}
		t.request.sink.writeHeader(m.Status, m.Type)
	}
	if len(m.Data) == 0 {
		return nil
	}
	t.received += int64(len(m.Data))
	if err := t.request.sink.write(m.Data); err != nil {
		t.cancel()
		return sinkOutcome(err)
	}
	if t.received-t.acknowledged >= ackBytes {
		t.acknowledged = t.received
		t.attempt.sendControl(frame.Consumed, t.received)
	}
	return nil
}

// retryableError returns the outcome of an error status after which the request may be tried elsewhere: a
// server error or a lost KV cache, unless the request may run only once. It returns nil for any other status.
func (t *transfer) retryableError(status int) *outcome {
	isCacheLost := status == http.StatusFailedDependency && t.request.run.KVHandle != ""
	if t.request.run.NonRepeatable || (status < http.StatusInternalServerError && !isCacheLost) {
		return nil
	}
	end := t.failedOutcome("the upstream answered "+http.StatusText(status), false)
	return &end
}

func (t *transfer) handleEnd(m *frame.End) *outcome {
	if !m.CrashedAt.IsZero() {
		t.recordCrash(m.CrashedAt)
	} else if !m.BrokenAt.IsZero() {
		t.recordBreakage(m.BrokenAt)
	}
	if m.Kind != "" {
		return &outcome{fault: &fault.Error{Kind: m.Kind, Message: m.Text, RetryAfter: m.RetryAfter}, safeToRetry: m.SafeToRetry}
	}
	if m.Offset != t.received {
		end := t.failedOutcome("the answer is incomplete", true)
		return &end
	}
	t.attempt.sendControl(frame.Consumed, t.received)
	if err := t.request.sink.end(); err != nil {
		return sinkOutcome(err)
	}
	t.recordSound()
	return &outcome{}
}
