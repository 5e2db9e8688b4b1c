package gate

import (
	"errors"
	"io"
	"net/http"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/call"
	"pimentoseam/core/shed"
	"pimentoseam/io/door"
	"pimentoseam/platform"
)

const (
	// bodyBytes bounds a body until the configuration states its own limit.
	bodyBytes = 8 << 20
	// bodyTime bounds how long a body may take to arrive if the caller's time is longer.
	bodyTime = 10 * time.Second
	// plainTime is the deadline of a request if neither the caller nor the route states one.
	plainTime = 30 * time.Second
)

// latePriority is the least priority of requests whose callers have come back: they go behind those that can
// still be in time.
const latePriority = beat.NumPriorities - 1

// left reports whether the caller has closed its connection.
func (x *exchange) left() bool {
	return door.ClientDisconnected(x.r)
}

// serve takes one request from its route to its answer.
func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if door.HasAmbiguousLength(r) {
		g.log.Info("invalid", "host", r.Host, "err", "a length beside a transfer coding")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !g.serves() {
		g.refuse(w, r, "no configuration yet", time.Second)
		return
	}
	config := g.config.Load()
	table := config.table
	rt := table.Find(r.Host, r.URL.Path)
	if rt == nil {
		g.log.Info("no route", "id", "", "host", r.Host, "path", r.URL.Path, "version", table.Version)
		w.WriteHeader(http.StatusNotFound)
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
		budget: g.budget(service), arrived: arrived, deadline: arrived.Add(patience(c, rt.Timeout)),
		tried: make(map[*upstream]bool), hold: config.holds[service], priority: rt.Priority,
	}
	if c.Remaining > 0 {
		x.full = config.fulls[rt.Name].Add(c.Remaining)
	}
	// A stream that the caller goes on with has begun in time.
	if c.LastEventID == "" && (&shed.Request{StatedRemaining: c.Remaining, MaxStated: x.full}).IsRetry() {
		x.priority = max(rt.Priority, latePriority)
	}
	if !x.readBody() {
		return
	}
	x.run()
}

// patience returns how long a request may take, by its caller and its route.
func patience(c *call.Call, timeout time.Duration) time.Duration {
	d := plainTime
	if timeout > 0 {
		d = timeout
	}
	if c.Remaining > 0 {
		d = min(d, c.Remaining)
	}
	return d
}

// readBody reads the request's body; it answers and returns false if that can't be done.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	limit := x.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = bodyBytes
	}
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(time.Now().Add(min(bodyTime, time.Until(x.deadline)))); err != nil {
		x.gate.log.Error("no read deadline", "id", x.call.ID, "err", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	large := new(http.MaxBytesError)
	switch {
	case err == nil:
		x.body = body
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			x.gate.log.Error("no read deadline", "id", x.call.ID, "err", err)
		}
		return true
	case errors.As(err, &large):
		x.gate.log.Info("body too large", "id", x.call.ID, "limit", limit)
		x.w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		x.gate.log.Info("body not read", "id", x.call.ID, "err", err)
		x.w.Header().Set("Connection", "close")
		x.w.WriteHeader(http.StatusRequestTimeout)
	}
	return false
}
