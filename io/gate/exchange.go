package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"pimentoseam/core/alive"
	"pimentoseam/core/blame"
	"pimentoseam/core/budget"
	"pimentoseam/core/call"
	"pimentoseam/core/digest"
	"pimentoseam/core/head"
	"pimentoseam/core/health"
	"pimentoseam/core/mean"
	"pimentoseam/core/member"
	"pimentoseam/core/outage"
	"pimentoseam/core/repeat"
	"pimentoseam/core/route"
	"pimentoseam/io/client"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	// maxRejections is the number of rejections after which a request is not sent again.
	maxRejections = 3
	// responseBufferSize is the number of bytes of a response that are read before any are sent to the caller, so that
	// a response that ends early can be replaced by that of another upstream.
	responseBufferSize = 256 << 10
	// minRemaining is the shortest remaining time in which a request is sent again; no upstream responds faster.
	minRemaining = 5 * time.Millisecond
)

// exchange is the state of one request of a caller until its response is complete.
type exchange struct {
	gate               *Gate
	w                  http.ResponseWriter
	r                  *http.Request
	call               *call.Call
	route              *route.Route
	table              *route.Table
	service            string
	budget             *budget.Budget
	outage             *outage.Outage // Of the service.
	body               []byte
	arrived            time.Time
	deadline           time.Time
	maxStatedRemaining time.Duration // Largest remaining time that callers of the route stated recently; 0 if this one stated none.
	decodeTime         *mean.Mean    // Mean time from the first event of a stream to its end.
	organisation       string        // That the request belongs to; empty for none.
	room               float64       // Part of the room for its service that the request may use; see fair.Shares.
	ownPriority        int           // That of the organisation, or else of the route.
	priority           int           // 0 is the most urgent. Retries have a less urgent one than their own.
	parts              []blame.Part  // The parts of the prompt.
	digests            []digest.Sum  // Nil until they are needed; see identity.

	health       *health.Call       // The last attempt, which is settled once for all exits; nil before the first.
	trial        *trial             // Nil unless the request is a suspect that is tried.
	checked      <-chan struct{}    // Closed when it is known whether the upstream of the last attempt has crashed.
	isPartTrial  bool               // The prompt has held parts and is sent to find out whether they crash engines.
	partTrial    uint64             // Its id.
	outlived     bool               // The engine has not crashed soon after the first event.
	hasFailed    bool               // An upstream closed the connection of an attempt.
	sentAt       time.Time          // When the last attempt was sent.
	firstEvent   time.Time          // When its first event arrived; zero before.
	delivered    int                // Number of attempts that reached an upstream.
	account      repeat.Account     // Of the calls that reached upstreams.
	cause        repeat.Cause       // What ended the last call.
	grant        *budget.Grant      // For the next call if that is a repeat.
	sentTo       []netip.AddrPort   // The addresses that the request may have reached.
	possibleRuns int                // Number of attempts that may have run.
	rejections   int                // Number of attempts that an upstream or its circuit breaker rejected, or that failed in prefill.
	tried        map[*upstream]bool // Upstreams that must not be tried again.
	permits      map[*upstream]bool // Upstreams with a limit to which the request may be sent once.
	full         map[*upstream]bool // Upstreams with a limit that have no room for the request.
	waits        int                // Number of waits for permits.
	probed       bool               // An upstream was chosen because it hadn't answered for long; see overdue.
	roomAfter    time.Duration      // Time until an upstream with a limit has room, if the request can't wait for it.
	headSent     bool               // The response head has been sent to the caller.
	timeToHead   time.Duration      // Time from the request's arrival until the response head was sent.
	lastUpstream string             // Id of the upstream of the last attempt.
	onResponse   func()             // Called when the response head is sent.
	lastEventID  string             // Id of the last stream event that the caller received.
	events       int                // Number of events that were sent to the caller.
	begun        bool               // An upstream has begun to run the request; see countBegun.
}

// identity returns the digests of the request, the one that fewest requests share first. They are computed only if needed, since
// a body can be long.
func (x *exchange) identity() []digest.Sum {
	if x.digests == nil {
		credentials, others := platform.Identity(x.r.Header, x.organisation)
		r := &digest.Request{
			Service: x.service, Method: x.r.Method, Host: x.r.Host, Path: x.r.URL.EscapedPath(), Query: x.r.URL.RawQuery,
			Prompt: x.call.Prompt(), Credentials: credentials, Others: others, Body: x.body,
		}
		x.digests = []digest.Sum{r.Exact(), r.Similar()}
		if r.Prompt != "" {
			x.digests = x.digests[1:] // The last part of a prompt tells requests apart.
		}
	}
	return x.digests
}

// result is the outcome of an attempt at an upstream.
type result string

const (
	// done means that the complete response was sent to the caller. As an outcome of roundTrip, it means that the
	// upstream has started to respond; as one of prefill, that the engine has returned the handle of the KV cache.
	done      result = "done"
	notRun    result = "not run"   // The request did not run and will not.
	maybeRun  result = "maybe run" // The request may have run; the caller has no complete response.
	abandoned result = "abandoned" // The caller has disconnected or the deadline has passed.
	refused   result = "refused"   // The caller has got a response that tells it when to retry.
	blocked   result = "blocked"   // No further attempt is made, because prompts with the same parts, or the request, crash upstreams.
	noShare   result = "no share"  // Not sent, because all upstreams are full and its organisation has had its fair share.
	stopping  result = "stopping"  // Not sent, because the process may end before the upstream has answered.
	limited   result = "limited"   // No further attempt is made, because the upstreams are at the limits that they have named.
	// exhausted means that no further attempt is made, because the retry budget is used up or there is no engine to
	// decode. An earlier attempt may have run.
	exhausted result = "exhausted"
)

// run serves the request.
func (x *exchange) run() {
	ctx, cancel := x.withStop(x.r.Context())
	defer cancel()
	x.lastEventID = x.call.LastEventID
	x.onResponse = func() {}
	x.budget.RecordRequest()
	x.countShare()
	defer x.endTrial()
	defer x.endPartTrial()
	defer x.returnGrant()
	outcome := blocked
	if x.mayRun(ctx) {
		outcome = x.runAt(ctx, x.table.Services[x.service])
	}
	switch outcome {
	case done, refused:
	case stopping:
		x.refuseStopping()
	default:
		x.fail(ctx, outcome)
	}
}

// runAt serves the request at a service.
func (x *exchange) runAt(ctx context.Context, service *route.Service) result {
	if service != nil && service.Engine != nil {
		return x.runModel(ctx, service)
	}
	return x.runPlain(ctx)
}

// count increments the counters of an outcome: the total and that of the route.
func (x *exchange) count(outcome string) {
	x.gate.meter.Count(outcome)
	x.gate.meter.Count(outcome + " " + x.route.Name)
}

// fail ends a request without a response from an upstream: it sends an error response, or aborts the connection
// if the caller has disconnected or the response has begun.
func (x *exchange) fail(ctx context.Context, outcome result) {
	log := x.gate.log.With("id", x.call.ID, "route", x.route.Name, "service", x.service, "end", string(outcome),
		"upstream", x.lastUpstream, "config", x.table.Version, "left", time.Until(x.deadline), "arrivals", x.delivered, "ran", x.possibleRuns, "rejects", x.rejections, "took", time.Since(x.arrived))
	if x.callerDisconnected() {
		x.count("left")
		log.Info("caller disconnected")
		panic(http.ErrAbortHandler)
	}
	if x.headSent {
		x.count("broken")
		log.Warn("response to caller aborted", "events", x.events)
		panic(http.ErrAbortHandler)
	}
	if x.possibleRuns > 0 {
		code := http.StatusBadGateway
		if ctx.Err() != nil {
			code = http.StatusGatewayTimeout
		}
		x.count("unknown")
		log.Warn("outcome unknown", "status", code)
		x.w.WriteHeader(code)
		return
	}
	retryAfter, why := x.retryAfter(), "no upstream"
	if outcome == blocked {
		retryAfter, why = x.blockedFor()
	} else if outcome == limited {
		retryAfter, why = spread(x.roomAfter), "upstreams at their limits"
		x.count("limit refusals")
	} else if outcome == noShare {
		why = "share"
	}
	if outcome == limited || outcome == noShare || x.rejections > 0 {
		x.countRefusal()
	}
	// "no upstream" covers every other request that did not run: without a usable upstream, after too many rejections, or when
	// the retry budget or the time was used up.
	x.count("refused")
	log.Warn("refused", "why", why, "organisation", x.organisation, "request", x.digests, "parts", x.call.PartNames(), "after", retryAfter)
	setRetryAfter(x.w, retryAfter)
	x.w.WriteHeader(http.StatusServiceUnavailable)
}

const (
	// Retry-After is random between these, so that callers don't retry all at once.
	minRetryAfter = 80 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
)

// retryAfter returns the time after which the caller of a request that did not run may retry: once upstreams can be expected
// back if all are down, once the first one accepts requests again if the others have asked for a pause, otherwise soon.
func (x *exchange) retryAfter() time.Duration {
	wait, isDown := x.gate.unusable(x.service)
	if isDown {
		return x.outage.ReturnAfter(wait)
	}
	x.outage.End()
	return wait + minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}

// maxSpread is the share of a time until there is room by which callers may return later, so that those of one entry and of
// others don't come back together.
const maxSpread = 0.25

// spread returns d plus a random part of it.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(maxSpread*rand.Float64()*float64(d))
}

// setRetryAfter sets the Retry-After header, in seconds with three decimals.
func setRetryAfter(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
}

// refuse refuses a request before its route is known and its body is read.
func (g *Gate) refuse(w http.ResponseWriter, r *http.Request, reason string, retryAfter time.Duration) {
	g.log.Warn("refused", "id", platform.AttemptID(r.Header), "why", reason, "after", retryAfter)
	setRetryAfter(w, retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// mayRetry reports whether the request may be sent again after an attempt with the given outcome.
func (x *exchange) mayRetry(ctx context.Context, outcome result) bool {
	if ctx.Err() != nil || time.Until(x.deadline) < minRemaining {
		return false
	}
	switch outcome {
	case notRun:
		return x.rejections < maxRejections
	case maybeRun:
		if x.headSent && x.route.Kind != route.Stream {
			return false // Only a stream can be continued.
		}
		return x.route.IsRepeatable() && x.possibleRuns < x.route.MaxAttempts
	}
	return false
}

// runPlain sends the request to upstreams of a plain service until one runs it or no retry is allowed.
func (x *exchange) runPlain(ctx context.Context) result {
	if x.isHeldBack() {
		return noShare
	}
	outcome := notRun
	for {
		u := x.pickWithRoom(ctx)
		if u == nil {
			u = x.awaitPermit(ctx, x.fullUpstreams(isAny))
		}
		switch {
		case u == nil && x.roomAfter > 0 && outcome == notRun:
			return limited
		case u == nil || !x.allowCall(repeat.Run):
			return outcome
		}
		x.tried[u] = true
		outcome = x.attempt(ctx, u, &call.Dispatch{Priority: -1, LastEventID: x.lastEventID})
		if !x.mayRetry(ctx, outcome) {
			return outcome
		}
	}
}

// pickWithRoom returns the upstream of a plain service that the request is sent to next, with a permit if that has a limit; nil
// if none has room.
func (x *exchange) pickWithRoom(ctx context.Context) *upstream {
	if u := x.overdue(isAny); u != nil && x.holdPermit(ctx, u) {
		return u
	}
	for ctx.Err() == nil {
		u := x.trialUpstream()
		if u == nil {
			u = x.gate.pickPlain(x.service, x.tried, x.isFull)
		}
		if u == nil || x.holdPermit(ctx, u) {
			return u
		}
	}
	return nil
}

// allow reports whether the upstream's circuit breaker allows the attempt. The attempt's owner, attempt or prefill, settles it.
func (x *exchange) allow(u *upstream) (ok bool) {
	x.health, ok = u.breaker.Allow()
	return ok
}

// settle ends an attempt whose result is not known by then, as if it had not been made.
func (x *exchange) settle() {
	if x.health != nil {
		x.health.Cancel()
	}
}

// attempt sends the request to an upstream and relays the response to the caller.
func (x *exchange) attempt(ctx context.Context, u *upstream, dispatch *call.Dispatch) result {
	defer x.settle()
	u.running.Add(1)
	defer u.running.Add(-1)
	sentAt, run := x.sentAt, u.info.Load()
	resp, outcome := x.roundTrip(ctx, u, dispatch)
	if resp != nil {
		defer resp.Close()
		outcome = x.relay(ctx, u, resp)
	}
	if outcome == abandoned && x.sentAt != sentAt {
		x.abandon(run)
	}
	return outcome
}

// roundTrip sends the request to an upstream and returns its response, or nil and the outcome if there is none or
// the upstream did not run the request.
func (x *exchange) roundTrip(ctx context.Context, u *upstream, dispatch *call.Dispatch) (*client.Response, result) {
	defer x.returnGrant()
	if x.callerDisconnected() || ctx.Err() != nil {
		return nil, abandoned
	}
	if !x.mayBeSent(ctx) {
		return nil, blocked
	}
	if !x.mayBegin() {
		return nil, stopping
	}
	info := u.info.Load()
	dispatch.Instance, x.lastUpstream = info.ID, info.ID
	dispatch.Remaining, dispatch.Organisation = time.Until(x.gate.stop.period.Load().Bound(x.deadline)), x.organisation
	// An answer to another request may have asked for a pause since the upstream was chosen.
	if u.refusingFor() > 0 || !x.usePermit(u) || !x.allow(u) {
		x.rejections++
		return nil, notRun
	}
	x.sentAt, x.firstEvent = time.Now(), time.Time{}
	if crashes := x.gate.blame.Suspected(x.parts); crashes > 0 {
		x.gate.log.Info("suspect prompt sent", "id", x.call.ID, "upstream", info.ID, "parts", x.call.PartNames(), "crashes", crashes, "trial", x.isPartTrial, "prefill", dispatch.PrefillOnly)
	}
	if !dispatch.PrefillOnly {
		x.gate.blame.Sent(x.parts)
	}
	limit := 0
	if service := x.table.Services[x.service]; service != nil {
		limit = x.gate.connLimit(service.MaxConns)
	}
	resp, err := x.gate.pool.Do(ctx, info.Addr, &client.Request{
		Method: x.r.Method, Target: head.Origin(x.r.RequestURI), Host: x.r.Host, Body: x.body,
		Header: platform.RequestHeader(x.r.Header, dispatch), Matches: x.matches, IsRepeat: slices.Contains(x.sentTo, info.Addr),
	}, limit)
	x.sentTo = append(x.sentTo, info.Addr)
	if err != nil {
		return nil, x.handleError(ctx, u, info, dispatch, err)
	}
	x.delivered++
	u.lastReceived.Store(proc.Uptime())
	reply := platform.ReadReply(resp.StatusCode, resp.Header)
	x.recordArrival(dispatch, isAccepted(resp.StatusCode, reply))
	x.gate.observe(u, reply, x.sentAt)
	u.liveness.Observe(alive.Answer{Instance: reply.Instance, Opened: resp.Opened(), Sent: x.sentAt})
	if reply.NotRun {
		x.rejections++
		x.cause = repeat.Rejected
		x.health.Success()
		if reply.Instance != "" && reply.Instance != info.ID {
			u.replaced.Store(true)
			x.gate.mu.Lock()
			x.gate.confirmBreakages(func(run *member.Upstream) bool { return run.SameRun(info) })
			x.gate.mu.Unlock()
		} else {
			u.pause()
		}
		x.gate.log.Info("upstream did not run request", "id", x.call.ID, "upstream", info.ID, "status", resp.StatusCode, "left", dispatch.Remaining)
		x.discardBody(resp)
		resp.Close()
		return nil, notRun
	}
	return resp, done
}

// connShare is the share of an upstream's connections that all entries together use. The rest is for the agent beside it and
// for an entry that the others don't know yet.
const connShare = 0.9

// connLimit returns how many of the connections that an upstream accepts from all callers this entry may open; 0 for no limit.
func (g *Gate) connLimit(accepted int) int {
	if accepted <= 0 {
		return 0
	}
	return max(1, int(connShare*float64(accepted))/g.gossip.NumEntries())
}

// matches reports whether a response belongs to this request. An error response without an id is accepted on a new
// connection; on a reused one it may be a late copy of the response to an earlier request.
func (x *exchange) matches(status int, h http.Header, reused bool) bool {
	id := platform.ReadReply(status, h).ID
	if id == x.call.ID {
		return true
	}
	x.gate.meter.Count("response of another request")
	x.gate.log.Warn("response of another request", "id", x.call.ID, "upstream", x.lastUpstream, "from", id, "status", status, "reused", reused)
	return id == "" && status >= http.StatusBadRequest && !reused
}

// discardTimeout is how long the rest of a response that isn't passed on may take. It covers a round trip between regions;
// the connection isn't worth a longer delay of the next attempt.
const discardTimeout = 20 * time.Millisecond

// discardBody drops the rest of a small response, so that its connection can be reused.
func (x *exchange) discardBody(resp *client.Response) {
	if err := resp.Discard(responseBufferSize, discardTimeout); err != nil {
		x.gate.log.Info("rest of response not read", "id", x.call.ID, "upstream", x.lastUpstream, "err", err)
	}
}

// handleError updates the counters and the circuit breaker after a failed attempt and returns its outcome.
func (x *exchange) handleError(ctx context.Context, u *upstream, run *member.Upstream, dispatch *call.Dispatch, err error) result {
	id := run.ID
	x.gate.log.Warn("request to upstream failed", "id", x.call.ID, "request", x.identity(), "upstream", id, "parts", x.call.PartNames(), "err", err, "took", time.Since(x.arrived))
	var target *client.NoResponse
	noResponse := errors.As(err, &target)
	if noResponse {
		x.delivered++
		x.possibleRuns++
		x.recordArrival(dispatch, false)
		x.cause = repeat.NoResponse
	}
	if ctx.Err() != nil {
		return abandoned
	}
	var limitReached *client.LimitReached
	switch {
	case noResponse:
		x.accuse(u, run, false, 0)
		x.health.Failure()
		return maybeRun
	case !errors.As(err, &limitReached):
		x.health.Trip()
	}
	return notRun
}
