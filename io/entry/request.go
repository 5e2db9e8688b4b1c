package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"pimentoseam/core/blame"
	"pimentoseam/core/conf"
	"pimentoseam/core/digest"
	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
	"pimentoseam/core/pick"
)

const (
	maxAttempts           = 3
	maxCrashes            = 2                      // A request under which so many upstreams have crashed is not tried again.
	maxSilence            = 5 * time.Second        // An attempt fails if its upstream sends no frame for this long.
	minFirstTimeout       = time.Second            // Minimum wait for the first frame of an answer.
	maxRelinkWait         = 2 * time.Second        // Maximum wait for a new link to the same upstream.
	unavailableRetryAfter = time.Second            // The retry-after when no upstream can take the request.
	attemptRetryAfter     = 200 * time.Millisecond // The retry-after when an attempt failed.
	minRetryTime          = 100 * time.Millisecond // Another attempt is made only if this much time remains.
)

// request is the state of a caller's request while the entry relays it.
type request struct {
	entry          *Entry
	id             string
	caller         *conf.Caller
	class          *conf.Class
	target         *conf.Target
	view           *view
	run            frame.Run    // The frame that each attempt sends, without the fields that differ by attempt.
	prefixHash     string       // The hash of the prompt's prefix.
	parts          []blame.Part // The messages of the prompt.
	path           string       // As the caller sent it, with the query.
	digests        []digest.Sum // Nil until they are needed; see identity.
	trial          *trial       // Nil unless the request is a suspect that is tried.
	isMessageTrial bool         // It has held messages and is sent to find out whether they crash engines.
	messageTrial   uint64       // Its id.
	crashes        int          // The attempts under which an upstream has crashed.
	ctx            context.Context
	start          time.Time
	deadline       time.Time
	sink           sink
	attemptNum     uint32 // The number of the latest attempt, starting at 1.
	tried          map[*upstream]bool
	mayHaveRun     bool // An earlier attempt may have run.
}

// sink receives the bytes of an answer in order.
type sink interface {
	// writeHeader sets the status and the content type; it is called before the first write.
	writeHeader(status int, contentType string)
	// write appends bytes to the answer; an error ends the request.
	write(p []byte) error
	// end ends an answer that its upstream has ended; an error means that it is not complete.
	end() error
	// hasDelivered reports whether any byte was sent to the caller.
	hasDelivered() bool
	// reset discards the bytes that were not sent to the caller, before another attempt.
	reset()
}

// outcome is the result of an attempt; a nil fault means a complete answer unless callerGone is set.
type outcome struct {
	fault       *fault.Error
	safeToRetry bool // Another attempt is safe and free of the retry budget; a key has a tombstone at the agent.
	callerGone  bool // The caller has disconnected.
	isFinal     bool // No other attempt is made.
	mayStillRun bool // The upstream may still be running the request or an earlier one with its key; a new link may help.
}

// relay tries upstreams until one returns a complete answer or no further attempt is permitted.
func (q *request) relay() *fault.Error {
	q.entry.budget.Earn()
	q.tried = make(map[*upstream]bool)
	defer q.endTrial()
	for {
		if fail := q.checkCrashes(); fail != nil {
			return q.finalFault(fail)
		}
		up := q.chooseFirst()
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
		if result.safeToRetry && result.fault.Kind == fault.Unknown {
			delete(q.tried, up) // The agent has no answer of the attempt to resume, so the upstream may be tried again.
		}
		q.sink.reset()
	}
}

// finalFault returns fail for the caller, changed from "not run" to "unknown" if an earlier attempt may have run.
func (q *request) finalFault(fail *fault.Error) *fault.Error {
	if fail.Kind == fault.NotRun && q.mayHaveRun {
		fail.Kind = fault.Unknown
		fail.Status = http.StatusServiceUnavailable
	}
	return fail
}

// execute runs the request at up, or its prefill at up and its decode at another engine.
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
		return outcome{fault: fault.Retry("no upstream can decode the output", unavailableRetryAfter)}
	}
	return q.runAttempt(next)
}

// prefillResponse is the body of an engine's answer to a prefill; its handle refers to the KV cache of the prompt.
type prefillResponse struct {
	Handle string `json:"handle"`
}

// prefill has up process the prompt and sets the handle of the resulting KV cache for the decode.
func (q *request) prefill(up *upstream) outcome {
	out := &bufferSink{}
	defer out.drop()
	sub := *q // Its crashes are copied back.
	sub.sink = out
	sub.run.Path = "/v1/prefill"
	result := sub.runAttempt(up)
	q.attemptNum, q.crashes = sub.attemptNum, sub.crashes
	if result.callerGone || result.fault != nil {
		return result
	}
	var resp prefillResponse
	if err := json.Unmarshal(out.body, &resp); err != nil || resp.Handle == "" {
		return outcome{fault: fault.New(fault.Failed, "the engine returned no KV cache handle")}
	}
	q.run.KVHandle = resp.Handle
	q.mayHaveRun = true
	return outcome{}
}

// mayRetry reports whether another attempt is permitted after the given outcome. After an outcome that is
// safeToRetry it takes nothing from the retry budget.
func (q *request) mayRetry(result outcome) bool {
	if q.crashes >= maxCrashes || (q.isTrial() && q.crashes > 0) || result.isFinal || q.sink.hasDelivered() || result.fault.Kind == fault.Invalid || int(q.attemptNum) >= maxAttempts {
		return false
	}
	if time.Until(q.deadline) < minRetryTime {
		return false
	}
	return result.safeToRetry || q.entry.budget.Spend()
}

// rolePrefill is the role of an engine that only processes prompts.
const rolePrefill = "prefill"

// chooseFirst returns an untried upstream that runs the whole request or its prefill, or nil.
func (q *request) chooseFirst() *upstream {
	ups, candidates := q.candidates()
	i := q.entry.chooser.ChoosePrefill(q.prefixHash, candidates)
	if i < 0 {
		return nil
	}
	return ups[i]
}

// chooseDecode returns an untried upstream for the decode that follows a prefill, or nil.
func (q *request) chooseDecode() *upstream {
	ups, candidates := q.candidates()
	i := q.entry.chooser.ChooseDecode(candidates)
	if i < 0 {
		return nil
	}
	return ups[i]
}

// candidates returns the usable upstreams that were not tried, and their candidates in the same order.
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

// candidate returns the upstream's state for the choice of an upstream for a request of the given priority.
func (u *upstream) candidate(priority int) pick.Candidate {
	b := u.beat.Load()
	c := pick.Candidate{
		Name:             u.conf.Load().Name,
		Role:             b.Role,
		Backlog:          b.Backlog,
		Reported:         b.Running + b.Queued,
		Slots:            b.Slots,
		UnreportedChange: int(u.inFlight.Load() - u.inFlightAtBeat.Load()),
	}
	if priority > 0 {
		c.Reported, c.Slots = b.LowPriority, b.LowPrioritySlots
	}
	return c
}

// runAttempt sends the request to up and relays its answer to the sink.
func (q *request) runAttempt(up *upstream) outcome {
	if !q.mayBegin() {
		return outcome{fault: q.stopFault(), isFinal: true}
	}
	q.attemptNum++
	run := q.run
	run.ID, run.Attempt = q.id, q.attemptNum
	run.TotalTimeout = time.Until(q.entry.period.Load().Bound(q.deadline))
	run.FirstTimeout = max(time.Until(q.start.Add(q.class.FirstDeadline.Duration())), 0)
	run.Window = windowBytes
	conn := up.link.Load()
	if conn == nil {
		return outcome{fault: fault.Retry("the upstream is not reachable", attemptRetryAfter), mayStillRun: true}
	}
	a := q.entry.newAttempt(attemptID{q.id, q.attemptNum}, up)
	defer q.entry.endAttempt(a)
	a.conn = conn
	q.entry.events.Add("attempt", q.id, up.conf.Load().Name, "")
	attemptCount.Add(1)
	q.entry.blame.Sent(q.parts)
	if err := conn.Send(&run); err != nil {
		return outcome{fault: fault.New(fault.Unknown, "the upstream is not reachable"), mayStillRun: true}
	}
	t := &transfer{request: q, attempt: a}
	return t.run()
}

// invalidRequest returns an Invalid error with status 400.
func invalidRequest(text string) *fault.Error {
	return fault.New(fault.Invalid, text)
}

// newRequest authenticates the caller and returns its request to the named target; kind is the kind of
// target that the path addresses.
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
	if !q.mayBegin() {
		return nil, q.stopFault()
	}
	return q, nil
}
