package entry

import (
	"sync"

	"pimentoseam/core/frame"
	"pimentoseam/io/link"
)

const windowBytes = 64 << 10 // An agent may send this many bytes of an answer without an acknowledgement.

// attemptID identifies an attempt in the frames of a link.
type attemptID struct {
	requestID string
	num       uint32 // The number of the attempt, starting at 1.
}

// attempt is one execution of a request at one upstream.
type attempt struct {
	id     attemptID
	up     *upstream
	conn   *link.Conn
	signal chan struct{} // Signals that frames arrived or the link closed.

	mu     sync.Mutex
	frames []frame.Frame // The frames that were not yet taken.
}

func (e *Entry) newAttempt(id attemptID, up *upstream) *attempt {
	a := &attempt{id: id, up: up, conn: up.link.Load(), signal: make(chan struct{}, 1)}
	e.attempts.Store(id, a)
	up.inFlight.Add(1)
	return a
}

func (e *Entry) endAttempt(a *attempt) {
	e.attempts.Delete(a.id)
	a.up.inFlight.Add(-1)
}

// deliver queues a frame for its attempt, and drops it if the attempt has ended.
func (e *Entry) deliver(id attemptID, f frame.Frame) {
	v, ok := e.attempts.Load(id)
	if !ok {
		return
	}
	a := v.(*attempt)
	a.mu.Lock()
	a.frames = append(a.frames, f)
	a.mu.Unlock()
	a.wake()
}

func (a *attempt) wake() {
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// takeFrames returns the frames that arrived since the last call.
func (a *attempt) takeFrames() []frame.Frame {
	a.mu.Lock()
	defer a.mu.Unlock()
	frames := a.frames
	a.frames = nil
	return frames
}

// isLinkClosed reports whether the attempt's link is closed.
func (a *attempt) isLinkClosed() bool {
	select {
	case <-a.conn.Done():
		return true
	default:
		return false
	}
}

// sendControl sends a control frame to the agent. A failed send closes the link, which wakes the attempt.
func (a *attempt) sendControl(verb frame.Verb, offset int64) {
	_ = a.conn.Send(&frame.Control{ID: a.id.requestID, Attempt: a.id.num, Verb: verb, Offset: offset})
}
