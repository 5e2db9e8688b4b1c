package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"pimentoseam/core/budget"
	"pimentoseam/core/call"
	"pimentoseam/core/mean"
	"pimentoseam/core/route"
	"pimentoseam/io/outlet"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	// mostRejects bounds the upstreams that are asked in turn while none runs the request.
	mostRejects = 3
	// answerBuffer is how much of an answer is read before any of it is passed on, so that one that
	// breaks off can be replaced.
	answerBuffer = 256 << 10
	// leastLeft is the time below which a request is not sent again; no upstream answers in it.
	leastLeft = 5 * time.Millisecond
)

// exchange is one request of a caller on its way to an answer.
type exchange struct {
	gate     *Gate
	w        http.ResponseWriter
	r        *http.Request
	call     *call.Call
	route    *route.Route
	table    *route.Table
	service  string
	budget   *budget.Budget
	body     []byte
	arrived  time.Time
	deadline time.Time
	full     time.Duration // The most that callers of the route have said they have left.
	hold     *mean.Mean    // How long the service's outputs take from their first event on.
	priority int           // 0 is the most urgent.

	sent     bool               // A send that is no repeat has arrived.
	prompted bool               // So has a first request to process the prompt, which is no repeat either.
	arrivals int                // Sends that reached an upstream.
	ran      int                // Upstreams that may have run it.
	rejects  int                // Upstreams that did not run it.
	tried    map[*upstream]bool // That are not to be tried again.
	begun    bool               // The answer's head has been passed on.
	first    time.Duration      // When it was, from the request's arrival.
	by       string             // The upstream that was asked last.
	started  func()             // Called with the first event.
	last     string             // Id of the newest stream event that was passed on.
	pieces   int                // Events that were passed on.
}

// result is how one attempt at an upstream ended.
type result string

const (
	done      result = "done"      // The caller has its answer.
	notRun    result = "not run"   // It did not run and will not.
	maybeRun  result = "maybe run" // It may have run; the caller has no whole answer.
	abandoned result = "abandoned" // The caller has gone or the time is up.
	refused   result = "refused"   // The caller was told to come back.
	exhausted result = "exhausted" // No budget is left for another send; the last one did not run.
)

// run answers the request.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.last = x.call.LastEventID
	x.started = func() {}
	x.budget.RecordRequest()
	service := x.table.Services[x.service]
	var end result
	if service != nil && service.Engine != nil {
		end = x.runModel(ctx, service)
	} else {
		end = x.runPlain(ctx)
	}
	if end != done && end != refused {
		x.fail(ctx, end)
	}
}

// count adds to the counter of an outcome, in all and for the route.
func (x *exchange) count(outcome string) {
	x.gate.meter.Count(outcome)
	x.gate.meter.Count(outcome + " " + x.route.Name)
}

// fail gives the final answer of a request that got none.
func (x *exchange) fail(ctx context.Context, end result) {
	log := x.gate.log.With("id", x.call.ID, "route", x.route.Name, "service", x.service, "end", string(end),
		"upstream", x.by, "config", x.table.Version, "left", time.Until(x.deadline), "arrivals", x.arrivals, "ran", x.ran, "rejects", x.rejects, "took", time.Since(x.arrived))
	if x.left() {
		x.count("left")
		log.Info("caller left")
		panic(http.ErrAbortHandler)
	}
	if x.begun {
		x.count("broken")
		log.Warn("answer broken off", "events", x.pieces)
		panic(http.ErrAbortHandler)
	}
	if x.ran > 0 {
		code := http.StatusBadGateway
		if ctx.Err() != nil {
			code = http.StatusGatewayTimeout
		}
		x.count("unknown")
		log.Warn("outcome unknown", "status", code)
		x.w.WriteHeader(code)
		return
	}
	after := x.comeBack()
	x.count("refused")
	log.Warn("refused", "why", "no upstream", "after", after)
	setRetry(x.w, after)
	x.w.WriteHeader(http.StatusServiceUnavailable)
}

const (
	// Callers come back within this span, spread so that they do not return together.
	backMin = 80 * time.Millisecond
	backMax = 400 * time.Millisecond
)

// comeBack returns when the caller of a request that was not run may try again.
func (x *exchange) comeBack() time.Duration {
	return backMin + rand.N(backMax-backMin)
}

func setRetry(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

// refuse answers a request that is not even looked at.
func (g *Gate) refuse(w http.ResponseWriter, r *http.Request, why string, after time.Duration) {
	g.log.Warn("refused", "id", platform.AttemptID(r.Header), "why", why, "after", after)
	setRetry(w, after)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// permit reports whether the request may be sent to an upstream; the first that arrives is no repeat.
func (x *exchange) permit() bool {
	return !x.sent || x.budget.AllowRetry()
}

// again reports whether a request whose last send ended this way may be sent once more.
func (x *exchange) again(ctx context.Context, end result) bool {
	if ctx.Err() != nil || time.Until(x.deadline) < leastLeft {
		return false
	}
	switch end {
	case notRun:
		return x.rejects < mostRejects
	case maybeRun:
		return x.route.IsRepeatable() && x.ran < x.route.MaxAttempts
	}
	return false
}

// runPlain sends the request to upstreams of a plain service until one answers.
func (x *exchange) runPlain(ctx context.Context) result {
	end := notRun
	for {
		u := x.gate.pickPlain(x.service, x.tried)
		if u == nil || !x.permit() {
			return end
		}
		x.tried[u] = true
		end = x.send(ctx, u, &call.Dispatch{Priority: -1, LastEventID: x.last})
		if !x.again(ctx, end) {
			return end
		}
	}
}

// send makes one attempt at an upstream and passes its answer on.
func (x *exchange) send(ctx context.Context, u *upstream, s *call.Dispatch) result {
	u.running.Add(1)
	defer u.running.Add(-1)
	before := x.arrivals
	answer, end := x.ask(ctx, u, s)
	x.sent = x.sent || x.arrivals > before
	if answer == nil {
		return end
	}
	defer answer.Close()
	return x.relay(ctx, u, answer)
}

// ask sends the request to an upstream and returns its answer once it says that it ran.
func (x *exchange) ask(ctx context.Context, u *upstream, s *call.Dispatch) (*outlet.Response, result) {
	if x.left() || ctx.Err() != nil {
		return nil, abandoned
	}
	info := u.info.Load()
	s.Instance, x.by = info.ID, info.ID
	s.Remaining = time.Until(x.deadline)
	if !u.breaker.Allow() {
		x.rejects++
		return nil, notRun
	}
	limit := 0
	if service := x.table.Services[x.service]; service != nil {
		limit = service.MaxConns / 2
	}
	answer, err := x.gate.outlet.Do(ctx, info.Addr, &outlet.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Header: platform.RequestHeader(x.r.Header, s), Matches: x.mine,
	}, limit)
	if err != nil {
		return nil, x.unanswered(ctx, u, err)
	}
	x.arrivals++
	u.heard.Store(proc.Uptime())
	reply := platform.ReadReply(answer.StatusCode, answer.Header)
	if reply.NotRun {
		x.rejects++
		u.breaker.Success()
		if reply.Instance != "" && reply.Instance != info.ID {
			u.moved.Store(true)
		} else {
			u.rest()
		}
		x.gate.log.Info("not run", "id", x.call.ID, "upstream", info.ID, "status", answer.StatusCode, "left", s.Remaining)
		x.drain(answer)
		return nil, notRun
	}
	return answer, done
}

// mine reports whether an answer belongs to this request.
func (x *exchange) mine(status int, h http.Header) bool {
	id := platform.ReadReply(status, h).ID
	return id == x.call.ID || (id == "" && status >= http.StatusBadRequest)
}

// drain reads the rest of a small answer, so that its connection can be kept.
func (x *exchange) drain(answer *outlet.Response) {
	if _, err := answer.ReadAll(answerBuffer); err != nil {
		x.gate.log.Debug("answer not read", "id", x.call.ID, "err", err)
	}
	answer.Close()
}

// unanswered returns what a failed send means.
func (x *exchange) unanswered(ctx context.Context, u *upstream, err error) result {
	id := u.info.Load().ID
	x.gate.log.Warn("no answer", "id", x.call.ID, "upstream", id, "err", err, "took", time.Since(x.arrived))
	var broken *outlet.NoResponse
	isBroken := errors.As(err, &broken)
	if isBroken {
		x.arrivals++
		x.ran++
	}
	if ctx.Err() != nil {
		u.breaker.Cancel()
		return abandoned
	}
	var full *outlet.LimitReached
	switch {
	case isBroken:
		u.breaker.Failure()
		return maybeRun
	case errors.As(err, &full):
		u.breaker.Cancel()
	default:
		u.breaker.Trip()
	}
	return notRun
}
