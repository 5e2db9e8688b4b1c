package simop

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Replica simulates a replica of a plain service or a model engine.
type Replica struct {
	ID      string
	Service string
	server  *httptest.Server

	hasCrashed atomic.Bool

	mu             sync.Mutex
	stage          string            // Empty for a plain service.
	born           int64             // Start time in Unix milliseconds, 0 if it is not stated.
	beats          int64             // Number of registrations so far.
	acceptedOrders int64             // Number of accepted orders since the start.
	orderTokens    []int64           // Fencing tokens of the accepted orders.
	runs           map[string]int    // Number of runs by attempt ID.
	prefills       map[string]int    // Number of prefills without a run by attempt ID.
	remaining      []time.Duration   // Remaining times that requests stated, in order of arrival.
	handler        http.HandlerFunc  // Replaces ServeDefault unless nil.
	events         int               // Number of events of a stream.
	pause          time.Duration     // Pause after each event.
	abortAfter     int               // Number of events after which a stream is aborted; 0 for never.
	disconnects    int               // Number of streams whose callers disconnected.
	heldCaches     map[string]bool   // Handles of KV caches that were neither taken nor released.
	unframed       bool              // Answers have neither a length nor chunks and end with their connection.
	leaving        bool              // Every answer states that the replica leaves.
	retryAfter     string            // Unless empty, every call is turned away with this Retry-After.
	healthChecks   int               // Number of health checks.
	turnedAway     int               // Number of calls that were turned away.
	onCall         func(id string)   // Called with the attempt ID of each call, empty if it has none.
	onArrival      func(*Arrival)    // Called with each request or prompt once it is answered.
	limit          string            // Unless empty, every answer names this limit.
	busy           bool              // Its report says that an order is in progress.
	conns          map[net.Conn]bool // The open connections.
	mostConns      int               // The most connections that were open at a time.
	arrivals       []time.Time       // Times of all calls, including those that were turned away.
	crashes        []*Crash          // The requests that crash the replica.
	onStage        func()            // Unless nil, called after each order.
	onOrder        func()            // Unless nil, called with each order in place of carrying it out; the connection is closed.
}

// Option configures a Replica.
type Option func(*Replica)

// WithListener sets the listener, which by default uses a free loopback port.
func WithListener(l net.Listener) Option {
	return func(r *Replica) { r.server.Listener = l }
}

// NewReplica starts and returns a Replica; stage is "prefill" or "decode", or empty for a plain service.
func NewReplica(id, service, stage string, opts ...Option) *Replica {
	r := &Replica{ID: id, Service: service, stage: stage, runs: map[string]int{}, prefills: map[string]int{}, heldCaches: map[string]bool{}, conns: map[net.Conn]bool{}, events: 3}
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(r.serve))
	r.server.Config.ConnState = r.countConn
	for _, opt := range opts {
		previous := r.server.Listener
		opt(r)
		if r.server.Listener != previous {
			_ = previous.Close() // It was never used.
		}
	}
	r.server.Start()
	return r
}

// Addr returns the address at which the replica listens.
func (r *Replica) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(r.server.Listener.Addr().String())
}

// Close stops the replica and closes its connections without waiting for requests.
func (r *Replica) Close() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// StopListening closes the listener and leaves open connections alone.
func (r *Replica) StopListening() {
	_ = r.server.Listener.Close() // It may be closed already.
}

// Crash ends the replica as a crash of its process does: open connections are closed and new ones refused.
func (r *Replica) Crash() {
	r.hasCrashed.Store(true)
	r.StopListening()
	r.server.CloseClientConnections()
}

// Replace closes the open connections and changes the start time, as when a process is killed and started anew at once.
func (r *Replica) Replace() {
	r.SetBorn(time.Now().UnixMilli())
	r.server.CloseClientConnections()
}

// SetHandler makes f serve requests instead of ServeDefault; nil restores the default.
func (r *Replica) SetHandler(f http.HandlerFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handler = f
}

// SetStream sets the number of events of a stream, the pause after each and the number of events after which
// the stream is aborted, 0 for never.
func (r *Replica) SetStream(events int, pause time.Duration, abortAfter int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events, r.pause, r.abortAfter = events, pause, abortAfter
}

// Runs returns how often the attempt with the given ID ran.
func (r *Replica) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Prefills returns how often the prompt of the attempt with the given ID was processed without a run.
func (r *Replica) Prefills(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prefills[id]
}

// RemainingTimes returns the remaining time that each request stated, with a resolution of a millisecond.
func (r *Replica) RemainingTimes() []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Duration(nil), r.remaining...)
}

// Disconnects returns the number of streams whose callers disconnected.
func (r *Replica) Disconnects() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disconnects
}

// HeldCaches returns the number of KV caches that were neither taken nor released.
func (r *Replica) HeldCaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.heldCaches)
}

// RemoveCache removes the KV cache of a handle, as a fetch by another engine does, and reports whether it was held.
func (r *Replica) RemoveCache(handle string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.heldCaches[handle]
	delete(r.heldCaches, handle)
	return held
}

// OrderTokens returns the fencing tokens of the accepted orders.
func (r *Replica) OrderTokens() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int64(nil), r.orderTokens...)
}

// Restart resets the stage and the accepted orders, as a restart of the engine under the same ID does.
func (r *Replica) Restart(stage string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage, r.acceptedOrders, r.orderTokens = stage, 0, nil
}

// SetBorn sets the start time that the replica states, in Unix milliseconds.
func (r *Replica) SetBorn(born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = born
}

// SetLeaving makes every answer state that the replica leaves.
func (r *Replica) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// SetUnframed makes answers to requests have neither a length nor chunks, so that they end with their connection.
func (r *Replica) SetUnframed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unframed = true
}

// SetRetryAfter makes the replica turn every call away with status 503 and this Retry-After, unless it is empty.
func (r *Replica) SetRetryAfter(retryAfter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryAfter = retryAfter
}

// countConn counts the open connections.
func (r *Replica) countConn(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[c] = true
		r.mostConns = max(r.mostConns, len(r.conns))
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// MostConns returns the most connections that were open at a time.
func (r *Replica) MostConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mostConns
}

// SetLimit makes every answer name a limit of requests a second, unless it is empty.
func (r *Replica) SetLimit(limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
}

// SetBusy sets whether the report says that an order is in progress.
func (r *Replica) SetBusy(busy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = busy
}

// SetOnCall sets a function that is called with the attempt ID of each call, empty if it has none; nil for none.
func (r *Replica) SetOnCall(onCall func(id string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onCall = onCall
}

// Arrivals returns the times of all calls in order.
func (r *Replica) Arrivals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.arrivals...)
}

// TurnedAway returns the number of calls that were turned away.
func (r *Replica) TurnedAway() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.turnedAway
}

// Stage returns the current stage, empty for a plain service.
func (r *Replica) Stage() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stage
}

// Registration returns the value under which the replica registers in the store, with the given state.
func (r *Replica) Registration(state string) []byte {
	return r.RegistrationAt(state, r.Addr())
}

// RegistrationAt is Registration with another address, such as that of a relay in front of the replica.
func (r *Replica) RegistrationAt(state string, addr netip.AddrPort) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beats++
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z","version":"v1","slots":64,"state":%q,"stage":%q,"sequence":%d,"born":%d}`,
		r.Service, addr, state, r.stage, r.beats, r.born)
}

// handlePath is the prefix of the path at which the KV cache of a handle is released.
const handlePath = "/api/kv-handle/"

// HealthPath is the path of health checks.
const HealthPath = "/health"

// HealthChecks returns the number of health checks.
func (r *Replica) HealthChecks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healthChecks
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	w, done := r.observe(w, req)
	defer done()
	r.mu.Lock()
	handler, leaving, retryAfter, limit := r.handler, r.leaving, r.retryAfter, r.limit
	r.arrivals = append(r.arrivals, time.Now())
	onCall := r.onCall
	if retryAfter != "" {
		r.turnedAway++
	}
	r.mu.Unlock()
	if onCall != nil {
		onCall(req.Header.Get("X-Attempt-Id"))
	}
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if id := req.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	switch {
	case retryAfter != "":
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	case req.URL.Path == HealthPath:
		w.Header().Set("X-Instance-Id", r.ID)
		r.mu.Lock()
		r.healthChecks++
		r.mu.Unlock()
	case req.URL.Path == "/api/report":
		r.serveReport(w)
	case req.Header.Get("X-Target-Instance") != "" && req.Header.Get("X-Target-Instance") != r.ID:
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case req.URL.Path == "/api/order":
		r.serveOrder(w, req)
	case strings.HasPrefix(req.URL.Path, handlePath):
		if !r.RemoveCache(strings.TrimPrefix(req.URL.Path, handlePath)) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		r.serveRun(w, req, handler)
	}
}

// serveRun runs a request, which may crash the replica.
func (r *Replica) serveRun(w http.ResponseWriter, req *http.Request, handler http.HandlerFunc) {
	if crash := r.crashUnder(req); crash != nil {
		r.serveCrash(w, req, crash)
		return
	}
	if handler != nil {
		handler(w, req)
		return
	}
	r.ServeDefault(w, req)
}

// ServeDefault processes a prompt, streams events if the replica is an engine, or names the replica and the request.
func (r *Replica) ServeDefault(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	remainingMs, _ := strconv.ParseInt(req.Header.Get("X-Deadline-Remaining-Ms"), 10, 64)
	r.mu.Lock()
	r.remaining = append(r.remaining, time.Duration(remainingMs)*time.Millisecond)
	stage, events, pause, abortAfter := r.stage, r.events, r.pause, r.abortAfter
	if req.Header.Get("X-Stage") == "prefill" {
		r.prefills[id]++
		r.heldCaches["h-"+id] = true
		r.mu.Unlock()
		w.Header().Set("X-Attempt-Id", id)
		writeJSON(w, struct {
			Handle string `json:"kvHandle"`
			Tokens int    `json:"tokens"`
		}{Handle: "h-" + id, Tokens: 1})
		return
	}
	r.runs[id]++
	unframed := r.unframed
	r.mu.Unlock()
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity") // The server then sends none and ends the body with the connection.
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", r.ID+"."+id)
	if stage == "" {
		_, _ = fmt.Fprintf(w, "%s %s by %s", req.Method, req.URL.Path, r.ID) // Fails only if the caller has disconnected.
		return
	}
	r.serveStream(w, req, events, pause, abortAfter)
}

// firstEvent returns the id of the first event of the response to a request, which may ask for the rest of a stream.
func firstEvent(req *http.Request) int {
	after, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return after + 1
}

func (r *Replica) serveStream(w http.ResponseWriter, req *http.Request, events int, pause time.Duration, abortAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := firstEvent(req); i <= events; i++ {
		if abortAfter > 0 && i > abortAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // Aborts in the middle of an event.
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, r.ID)
		_ = control.Flush()
		select {
		case <-time.After(pause):
		case <-req.Context().Done():
			r.mu.Lock()
			r.disconnects++
			r.mu.Unlock()
			return
		}
	}
}

func (r *Replica) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, struct {
		Stage    string `json:"stage"`
		Busy     bool   `json:"busy"`
		Sequence int64  `json:"sequence"`
		Born     int64  `json:"born"`
	}{Stage: r.stage, Busy: r.busy, Sequence: r.acceptedOrders, Born: r.born})
}

// SetOnOrder makes the replica end at each order, as far as the agent sees, and calls f for it.
func (r *Replica) SetOnOrder(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onOrder = f
}

// SetOnStage sets a function that is called after each order, so that the replica can be registered again as real ones do.
func (r *Replica) SetOnStage(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onStage = f
}

func (r *Replica) serveOrder(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	onOrder := r.onOrder
	r.mu.Unlock()
	if onOrder != nil {
		onOrder()
		panic(http.ErrAbortHandler)
	}
	var o struct {
		Stage    string `json:"stage"`
		Holder   string `json:"holder"`
		Token    int64  `json:"fencingToken"`
		Expected *int64 `json:"expected"`
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.acceptOrder(w, o.Token, o.Expected, o.Stage)
}

// acceptOrder takes a stage unless the order is an old one.
func (r *Replica) acceptOrder(w http.ResponseWriter, token int64, expected *int64, stage string) {
	r.mu.Lock()
	onStage := r.onStage
	defer func() {
		r.mu.Unlock()
		if onStage != nil {
			onStage()
		}
	}()
	switch {
	case len(r.orderTokens) > 0 && token < r.orderTokens[len(r.orderTokens)-1]:
		w.WriteHeader(http.StatusPreconditionFailed)
	case expected != nil && *expected != r.acceptedOrders:
		w.WriteHeader(http.StatusConflict)
	default:
		r.acceptedOrders++
		r.orderTokens = append(r.orderTokens, token)
		r.stage = stage
		w.WriteHeader(http.StatusAccepted)
	}
}
