package gate

import (
	"errors"
	"net/http"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/blame"
	"pimentoseam/core/call"
	"pimentoseam/core/head"
	"pimentoseam/core/shed"
	"pimentoseam/io/front"
	"pimentoseam/io/guard"
	"pimentoseam/io/intake"
	"pimentoseam/platform"
)

const (
	// defaultMaxBodyBytes limits a request body if the configuration states no limit.
	defaultMaxBodyBytes = 8 << 20
	// maxBodyTime limits how long a request body may take to arrive if the deadline is later.
	maxBodyTime = 10 * time.Second
	// defaultTimeout is the timeout of a route that has none. It also caps a longer time that a caller states.
	defaultTimeout = 30 * time.Second
)

// retryPriority is the most urgent priority that a retry gets. Its target has passed already, so it yields to
// requests that can still meet theirs.
const retryPriority = beat.NumPriorities - 1

// callerDisconnected reports whether the caller has closed its connection.
func (x *exchange) callerDisconnected() bool {
	return front.CallerDisconnected(x.r)
}

// serve handles one request of a caller.
func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if !g.isReady() {
		// The reason also covers a missing upstream list.
		g.refuse(w, r, "no configuration yet", time.Second)
		return
	}
	config := g.config.Load()
	table := config.table
	// The path exactly as it was sent is also what the upstream gets. An upstream may decode it otherwise than net/http does.
	path := head.Path(r.RequestURI)
	rt := table.Find(r.Host, path)
	if rt == nil {
		g.log.Info("no route", "id", "", "host", r.Host, "path", path, "version", table.Version)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	caller, ok := g.authenticate(w, r, config, rt)
	if !ok {
		return
	}
	c, err := platform.ReadCall(r.Header)
	if err != nil {
		g.log.Info("invalid", "host", r.Host, "err", err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	service := rt.PickService()
	x := &exchange{
		gate: g, w: w, r: r, call: c, route: rt, table: table, service: service,
		budget: g.budget(service), outage: g.outage(service), arrived: arrived, deadline: arrived.Add(requestTimeout(c, rt.Timeout)),
		parts: blame.Parts(c.Parts), tried: make(map[*upstream]bool), permits: make(map[*upstream]bool), full: make(map[*upstream]bool), decodeTime: config.decodeTimes[service],
		organisation: caller.Name, ownPriority: caller.PriorityOr(rt.Priority),
	}
	x.priority = x.ownPriority
	if c.Remaining > 0 {
		x.maxStatedRemaining = config.maxStatedRemaining[rt.Name].Add(c.Remaining)
	}
	// A resumed stream has started in time already, so it keeps its priority although it states less remaining time.
	if c.LastEventID == "" && (&shed.Request{StatedRemaining: c.Remaining, MaxStated: x.maxStatedRemaining}).IsRetry() {
		x.priority = max(x.ownPriority, retryPriority)
	}
	if !x.readBody() {
		return
	}
	defer func() {
		g.intake.Drop(x.body)
		x.body = nil
	}()
	if !x.mayBegin() {
		x.refuseStopping()
		return
	}
	x.run()
}

// requestTimeout returns how long a request may take: the shorter of the caller's and the route's limit. The limit
// of a route without one is defaultTimeout.
func requestTimeout(c *call.Call, routeTimeout time.Duration) time.Duration {
	d := defaultTimeout
	if routeTimeout > 0 {
		d = routeTimeout
	}
	if c.Remaining > 0 {
		d = min(d, c.Remaining)
	}
	return d
}

// readBody reads the request's body. If it returns false, it has sent an error response.
func (x *exchange) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := x.gate.intake.Read(x.w, x.r, limit, maxBodyTime, x.deadline)
	if err == nil {
		x.body = body
		return true
	}
	x.gate.log.Info("body not read", "id", x.call.ID, "limit", limit, "err", err)
	var refusal *intake.Refusal
	if errors.As(err, &refusal) && refusal.Status == http.StatusServiceUnavailable {
		guard.Refuse(x.w)
		return false
	}
	x.w.Header().Set("Connection", "close")
	status := http.StatusRequestTimeout
	if refusal != nil {
		status = refusal.Status
	}
	if malformed := front.MalformedBody(x.r); malformed != nil {
		status = malformed.Status
	}
	x.w.WriteHeader(status)
	return false
}
