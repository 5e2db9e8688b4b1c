package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
	"pimentoseam/core/pick"
)

const (
	maxAttempts           = 3
	maxSilence            = 5 * time.Second // silence of a running request after which it is given up
	minFirstTimeout       = time.Second     // least time that the first sign of an answer is waited for
	maxRelinkWait         = 2 * time.Second // time to get a new link for a resume
	unavailableRetryAfter = time.Second     // when to come back if no upstream is usable
	attemptRetryAfter     = 200 * time.Millisecond
	minRetryTime          = 100 * time.Millisecond // time that must remain for another attempt
)

// request is one request of a caller on its way through the entry.
type request struct {
	entry      *Entry
	id         string
	caller     *conf.Caller
	class      *conf.Class
	target     *conf.Target
	view       *view
	run        frame.Run
	prefix     string
	ctx        context.Context
	start      time.Time
	deadline   time.Time
	sink       sink
	attemptNum uint32
	tried      map[*upstream]bool
	mayHaveRun bool // an attempt that has ended may have run
}

// sink takes the bytes of an answer in order.
type sink interface {
	// head is called once before the first byte.
	writeHeader(status int, contentType string)
	// write takes bytes; an error means that the caller is gone.
	write(p []byte) error
	// delivered reports whether the caller has seen any byte.
	hasDelivered() bool
	// reset forgets what was not delivered, before another attempt.
	reset()
}

// outcome is how an attempt ended; a nil fault means a whole answer.
type outcome struct {
	fault      *fault.Error
	tombstoned bool
	callerGone bool
	linkLost   bool
}

// relay tries upstreams until one gives a whole answer or no further try is permitted.
func (q *request) relay() *fault.Error {
	q.entry.budget.Earn()
	q.tried = make(map[*upstream]bool)
	for {
		up := q.choosePrefill()
		if up == nil {
			return q.finalFault(fault.Retry("no upstream can take the request", unavailableRetryAfter))
		}
		q.tried[up] = true
		result := q.execute(up)
		if result.callerGone || result.fault == nil {
			return nil
		}
		if !q.mayRetry(result) {
			return q.finalFault(result.fault)
		}
		q.mayHaveRun = q.mayHaveRun || result.fault.Kind != fault.NotRun
		if result.tombstoned && result.fault.Kind == fault.Unknown {
			delete(q.tried, up) // the request never reached it, so it may be tried again
		}
		q.sink.reset()
	}
}

// truth turns "not run" into "unknown" if an earlier attempt may have run.
func (q *request) finalFault(fail *fault.Error) *fault.Error {
	if fail.Kind == fault.NotRun && q.mayHaveRun {
		fail.Kind = fault.Unknown
		fail.Status = http.StatusServiceUnavailable
	}
	return fail
}

// serve runs the request at up, or its prompt at up and its output at another engine.
func (q *request) execute(up *upstream) outcome {
	q.run.KVHandle = ""
	if up.beat.Load().Role != rolePrefill {
		return q.runAttempt(up)
	}
	if result := q.prefill(up); result.callerGone || result.fault != nil {
		return result
	}
	next := q.chooseDecode()
	if next == nil {
		return outcome{fault: fault.Retry("no upstream can take the output", unavailableRetryAfter)}
	}
	return q.runAttempt(next)
}

// handle names a KV cache at the engine that processed the prompt.
type prefillResponse struct {
	Handle string `json:"handle"`
}

// prepare has up process the prompt and keeps the name of the resulting KV cache.
func (q *request) prefill(up *upstream) outcome {
	out := &bufferSink{}
	prefill := *q
	prefill.sink = out
	prefill.run.Path = "/v1/prefill"
	result := prefill.runAttempt(up)
	q.attemptNum = prefill.attemptNum
	if result.callerGone || result.fault != nil {
		return result
	}
	var h prefillResponse
	if err := json.Unmarshal(out.body, &h); err != nil || h.Handle == "" {
		return outcome{fault: fault.New(fault.Failed, "the engine gave no KV cache")}
	}
	q.run.KVHandle = h.Handle
	q.mayHaveRun = true
	return outcome{}
}

// again reports whether another attempt is permitted after a failed one.
func (q *request) mayRetry(result outcome) bool {
	if q.sink.hasDelivered() || result.fault.Kind == fault.Invalid || int(q.attemptNum) >= maxAttempts {
		return false
	}
	if time.Until(q.deadline) < minRetryTime {
		return false
	}
	return result.tombstoned || q.entry.budget.Spend()
}

// rolePrefill is the role of an engine that processes prompts only.
const rolePrefill = "prefill"

// choose returns a usable upstream that was not tried, or nil.
func (q *request) choosePrefill() *upstream {
	ups, candidates := q.candidates()
	i := q.entry.chooser.ChoosePrefill(q.prefix, candidates)
	if i < 0 {
		return nil
	}
	return ups[i]
}

// chooseOutput returns a usable upstream for the output after a prompt, or nil.
func (q *request) chooseDecode() *upstream {
	ups, candidates := q.candidates()
	i := q.entry.chooser.ChooseDecode(candidates)
	if i < 0 {
		return nil
	}
	return ups[i]
}

// candidates lists the usable upstreams that were not tried.
func (q *request) candidates() ([]*upstream, []pick.Candidate) {
	var ups []*upstream
	var candidates []pick.Candidate
	for _, u := range q.view.targets[q.target.Name] {
		if q.tried[u] || !u.isUsable() {
			continue
		}
		ups = append(ups, u)
		candidates = append(candidates, u.candidate(q.class.Priority))
	}
	return ups, candidates
}

// candidate describes the upstream to a request of the given priority.
func (u *upstream) candidate(priority int) pick.Candidate {
	b := u.beat.Load()
	c := pick.Candidate{
		Name:       u.conf.Load().Name,
		Role:       b.Role,
		Backlog:    b.Backlog,
		Reported:   b.Running + b.Queued,
		Slots:      b.Slots,
		Unreported: int(u.inFlight.Load() - u.inFlightAtBeat.Load()),
	}
	if priority > 0 {
		c.Reported, c.Slots = b.LowPriority, b.LowPrioritySlots
	}
	return c
}

// try runs one attempt at up.
func (q *request) runAttempt(up *upstream) outcome {
	q.attemptNum++
	run := q.run
	run.ID, run.Attempt = q.id, q.attemptNum
	run.TotalTimeout = time.Until(q.deadline)
	run.FirstTimeout = max(time.Until(q.start.Add(q.class.FirstDeadline.Duration())), 0)
	run.Window = windowBytes
	conn := up.link.Load()
	if conn == nil {
		return outcome{fault: fault.Retry("the upstream is not reachable", attemptRetryAfter), linkLost: true}
	}
	a := q.entry.newAttempt(attemptID{q.id, q.attemptNum}, up)
	defer q.entry.endAttempt(a)
	a.conn = conn
	q.entry.events.Add("attempt", q.id, up.conf.Load().Name, "")
	attemptCount.Add(1)
	if err := conn.Send(&run); err != nil {
		return outcome{fault: fault.New(fault.Unknown, "the upstream is not reachable"), linkLost: true}
	}
	t := &transfer{request: q, attempt: a}
	return t.run()
}

// invalid returns an Invalid error with status 400.
func invalidRequest(text string) *fault.Error {
	return fault.New(fault.Invalid, text)
}

func (e *Entry) newRequest(r *http.Request, name, kind string) (*request, *fault.Error) {
	v := e.view.Load()
	if v.revision == 0 {
		return nil, fault.Retry("the entry has no configuration yet", unavailableRetryAfter)
	}
	c, fail := v.caller(r)
	if fail != nil {
		return nil, fail
	}
	t, fail := v.target(c, name, kind)
	if fail != nil {
		return nil, fail
	}
	requestCount.Add(1)
	class := v.doc.Class(c.Class)
	now := time.Now()
	q := &request{entry: e, caller: c, class: class, target: t, view: v, start: now, deadline: now.Add(class.TotalDeadline.Duration())}
	q.run = frame.Run{Target: name, Caller: c.Name, Priority: class.Priority}
	return q, nil
}
