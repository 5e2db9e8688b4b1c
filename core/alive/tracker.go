package alive

import (
	"context"
	"sync"
	"time"
)

const (
	// gatherTime is the wait before a check, so that responses that end at the same time share it and a response to another
	// request can make it unnecessary.
	gatherTime = time.Millisecond
	// checkTimeout limits a check, and the wait of an end for its checks. A process that is paused answers once it is resumed, but callers of a stream disconnect after
	// two seconds without an event, so another upstream must continue it before.
	checkTimeout = time.Second
	// maxChecks limits the checks for one end. The first may fail because the upstream has just closed an idle connection.
	maxChecks = 3
	// restartTime is the time within which no process ends and listens again. Later, an answer on a new connection may be
	// that of another run, even under the same id.
	restartTime = 500 * time.Millisecond
	// listTime is the wait for the list to show another run, where an answer under the same id may be that of one that was started
	// at once. An entry reads the list every 350 ms at most.
	listTime = 500 * time.Millisecond
)

// Answer is what the answer to a request shows of the process that sent it.
type Answer struct {
	Instance  string    // The id that it states; empty for none.
	Opened    time.Time // When its connection was opened; zero if that is not known.
	Sent      time.Time // When the request was sent, at the earliest.
	IsRefused bool      // No process listens at the address.
	HasLost   bool      // A connection that was open before was found closed.
}

// End is when a response ended, as far as this process knows.
type End struct {
	Received  time.Time // Its last bytes arrived then, at the earliest.
	NotBefore time.Time // Its connection was still open then. A process that was suspended notices the end long afterwards.
	Noticed   time.Time
}

// Run is one run of an upstream.
type Run interface {
	// ID returns the id of the upstream.
	ID() string
	// IsLeaving reports whether the run may exit right after its last response: it has stated that it leaves, or its registration
	// is gone. That says nothing of whether a response is complete, since such a run can be killed as well.
	IsLeaving() bool
	// IsCurrent reports whether no other run of the upstream is known.
	IsCurrent() bool
	// Check sends a health check to the upstream's address, on a connection that was opened earlier if there is one.
	Check(ctx context.Context) (Answer, error)
}

// Verdict is what is known of a run at the end of one of its responses.
type Verdict string

// The verdicts on a run.
const (
	Alive    Verdict = "alive"    // It was alive after the end.
	Ended    Verdict = "ended"    // Its process has ended, or another one answers in its place.
	Unproven Verdict = "unproven" // Neither is known.
)

// IsComplete reports whether a response that ended with its connection counts as complete.
func (v Verdict) IsComplete() bool {
	return v == Alive
}

// Tracker collects the evidence that one run of an upstream is alive.
type Tracker struct {
	run Run

	mu       sync.Mutex
	evidence Answer // The answer of the run whose request was sent last.
	next     *round // The check that further ends can share, since it has not been sent; nil for none.
	running  *round // The check that was begun last; nil for none.
}

// round is a check that several ends share.
type round struct {
	latest End           // The one that was noticed last.
	done   chan struct{} // Closed when it is over.
	answer Answer
	err    error
}

// New returns a Tracker of a run.
func New(run Run) *Tracker {
	return &Tracker{run: run}
}

// Observe records an answer to a request.
func (t *Tracker) Observe(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Instance == t.run.ID() && a.Sent.After(t.evidence.Sent) {
		t.evidence = a
	}
}

// Decide returns what is known of the run one of whose responses has ended. It makes a check only if no other answer
// shows it. Nothing that the run has stated before counts.
func (t *Tracker) Decide(ctx context.Context, end End) Verdict {
	hasFailed := false
	// A check that others share may begin only after another one has timed out.
	checkCtx, cancel := context.WithDeadline(ctx, end.Noticed.Add(checkTimeout))
	defer cancel()
	for range maxChecks {
		if !t.run.IsCurrent() {
			break
		}
		a, err := t.check(checkCtx, end)
		switch {
		case err == nil && t.isOther(a):
			return Ended
		case err == nil && isSameProcess(a, end):
			return Alive
		case err == nil && time.Since(end.NotBefore) < restartTime:
			return t.decideNew(ctx, a.HasLost || hasFailed)
		case err == nil || time.Since(end.Noticed) >= checkTimeout || ctx.Err() != nil:
			return Unproven
		}
		hasFailed = true
	}
	return Unproven
}

// isOther reports whether an answer shows that the process has ended.
func (t *Tracker) isOther(a Answer) bool {
	return a.IsRefused || a.Instance != "" && a.Instance != t.run.ID()
}

// isSameProcess reports whether an answer shows that the process that sent a response was alive after its end. Only the answer to
// a request that was sent after the end does, since other bytes may have been on their way when the process was killed, and only
// on a connection that was open before, since that ends with its process.
func isSameProcess(a Answer, end End) bool {
	return a.Sent.After(end.Noticed) && !a.Opened.IsZero() && a.Opened.Before(end.NotBefore)
}

// decideNew judges an answer under the run's id on a new connection, soon after the end. If an older connection was lost with the
// response, the process may have been started anew.
func (t *Tracker) decideNew(ctx context.Context, isDoubtful bool) Verdict {
	if isDoubtful {
		wait(ctx, listTime)
	}
	if ctx.Err() == nil && t.run.IsCurrent() {
		return Alive
	}
	return Unproven
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// check returns the answer to a request that was sent after the end: one that is known, or that of a check.
func (t *Tracker) check(ctx context.Context, end End) (Answer, error) {
	t.mu.Lock()
	if isSameProcess(t.evidence, end) {
		defer t.mu.Unlock()
		return t.evidence, nil
	}
	r := t.next
	if r == nil {
		r = &round{done: make(chan struct{})}
		t.next = r
		go t.perform(r)
	}
	if end.Noticed.After(r.latest.Noticed) {
		r.latest = end
	}
	t.mu.Unlock()
	select {
	case <-r.done:
		return r.answer, r.err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// perform makes a check, unless an answer to another request shows enough by then. It waits for the check in progress, which
// says nothing of the ends since it was sent, and does not depend on the requests that wait for it. A run that leaves is checked
// without delay, since its process may end within a millisecond.
func (t *Tracker) perform(r *round) {
	defer close(r.done)
	t.mu.Lock()
	previous := t.running
	t.running = r
	t.mu.Unlock()
	if previous != nil {
		<-previous.done
	}
	if !t.run.IsLeaving() {
		time.Sleep(gatherTime)
	}
	t.mu.Lock()
	t.next = nil
	r.answer = t.evidence
	isProven := isSameProcess(r.answer, r.latest)
	t.mu.Unlock()
	if isProven {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	if r.answer, r.err = t.run.Check(ctx); r.err == nil {
		t.Observe(r.answer)
	}
}
