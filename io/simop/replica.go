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
	"time"
)

// Replica is a stand-in of a plain service's replica or of a model engine.
type Replica struct {
	ID      string
	Service string
	server  *httptest.Server

	mu      sync.Mutex
	stage   string // Empty for a plain service.
	orders  int64
	tokens  []int64        // Fencing tokens of the accepted orders.
	runs    map[string]int // By request id.
	reads   map[string]int // Prompts processed only, by request id.
	left    []time.Duration
	handle  http.HandlerFunc // Answers requests in place of the usual way, if not nil.
	events  int
	pause   time.Duration   // Between events.
	cutAt   int             // Breaks streams off after so many events; 0 for never.
	dropped int             // Requests whose callers left.
	kept    map[string]bool // Handles of prompts that were processed and not taken yet.
}

// Option changes a Replica.
type Option func(*Replica)

// WithListener has the replica listen there instead of at a free loopback address.
func WithListener(l net.Listener) Option {
	return func(r *Replica) { r.server.Listener = l }
}

// NewReplica returns a running Replica; stage is empty for a plain service.
func NewReplica(id, service, stage string, opts ...Option) *Replica {
	r := &Replica{ID: id, Service: service, stage: stage, runs: map[string]int{}, reads: map[string]int{}, kept: map[string]bool{}, events: 3}
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(r.serve))
	for _, opt := range opts {
		usual := r.server.Listener
		opt(r)
		if r.server.Listener != usual {
			_ = usual.Close() // Nobody has been told of it.
		}
	}
	r.server.Start()
	return r
}

// Addr returns where the replica listens.
func (r *Replica) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(r.server.Listener.Addr().String())
}

// Close ends the replica at once.
func (r *Replica) Close() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// SetHandler has f answer requests in place of the usual way; nil for the usual way.
func (r *Replica) SetHandler(f http.HandlerFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handle = f
}

// SetStream sets the number of events of a stream, the pause between them and after how many it breaks off.
func (r *Replica) SetStream(events int, pause time.Duration, cutAt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events, r.pause, r.cutAt = events, pause, cutAt
}

// Runs returns how often the request ran.
func (r *Replica) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Prefills returns how often the request's prompt was processed without a run.
func (r *Replica) Prefills(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads[id]
}

// RemainingTimes returns the times that requests stated as left, in milliseconds.
func (r *Replica) RemainingTimes() []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Duration(nil), r.left...)
}

// Disconnects returns how many requests ended because their callers left.
func (r *Replica) Disconnects() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// HeldCaches returns how many processed prompts nobody has taken or freed.
func (r *Replica) HeldCaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.kept)
}

// TakeCache hands over the KV cache of a handle, as another engine asks for it.
func (r *Replica) TakeCache(handle string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	had := r.kept[handle]
	delete(r.kept, handle)
	return had
}

// OrderTokens returns the fencing tokens of the orders that were accepted.
func (r *Replica) OrderTokens() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int64(nil), r.tokens...)
}

// Restart forgets all that the replica knew, as at a new start under the same id.
func (r *Replica) Restart(stage string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage, r.orders, r.tokens = stage, 0, nil
}

// Stage returns the replica's stage.
func (r *Replica) Stage() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stage
}

// Registration returns the replica's entry in the store.
func (r *Replica) Registration(state string) []byte {
	return r.RegistrationAt(state, r.Addr())
}

// RegistrationAt returns the same with another address, as of a relay before the replica.
func (r *Replica) RegistrationAt(state string, addr netip.AddrPort) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z","version":"v1","slots":64,"state":%q,"stage":%q,"sequence":0}`,
		r.Service, addr, state, r.Stage())
}

// freePath is where a handle is freed by its id.
const freePath = "/api/kv-handle/"

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	handle := r.handle
	r.mu.Unlock()
	switch {
	case req.URL.Path == "/api/report":
		r.report(w)
	case req.Header.Get("X-Target-Instance") != "" && req.Header.Get("X-Target-Instance") != r.ID:
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case req.URL.Path == "/api/order":
		r.order(w, req)
	case strings.HasPrefix(req.URL.Path, freePath):
		if !r.TakeCache(strings.TrimPrefix(req.URL.Path, freePath)) {
			w.WriteHeader(http.StatusNotFound)
		}
	case handle != nil:
		handle(w, req)
	default:
		r.ServeDefault(w, req)
	}
}

// ServeDefault answers a request in the usual way.
func (r *Replica) ServeDefault(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	left, _ := strconv.ParseInt(req.Header.Get("X-Deadline-Remaining-Ms"), 10, 64)
	r.mu.Lock()
	r.left = append(r.left, time.Duration(left)*time.Millisecond)
	stage, events, pause, cutAt := r.stage, r.events, r.pause, r.cutAt
	if req.Header.Get("X-Stage") == "prefill" {
		r.reads[id]++
		r.kept["h-"+id] = true
		r.mu.Unlock()
		w.Header().Set("X-Attempt-Id", id)
		write(w, struct {
			Handle string `json:"kvHandle"`
			Tokens int    `json:"tokens"`
		}{Handle: "h-" + id, Tokens: 1})
		return
	}
	r.runs[id]++
	r.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", r.ID+"."+id)
	if stage == "" {
		_, _ = fmt.Fprintf(w, "%s %s by %s", req.Method, req.URL.Path, r.ID) // A caller that left sees nothing.
		return
	}
	r.stream(w, req, events, pause, cutAt)
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, events int, pause time.Duration, cutAt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for i := after + 1; i <= events; i++ {
		if cutAt > 0 && i > cutAt {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // In the middle of an event.
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, r.ID)
		_ = control.Flush()
		select {
		case <-time.After(pause):
		case <-req.Context().Done():
			r.mu.Lock()
			r.dropped++
			r.mu.Unlock()
			return
		}
	}
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	write(w, struct {
		Stage    string `json:"stage"`
		Sequence int64  `json:"sequence"`
	}{Stage: r.stage, Sequence: r.orders})
}

func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
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
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(r.tokens) > 0 && o.Token < r.tokens[len(r.tokens)-1]:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Expected != nil && *o.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		r.orders++
		r.tokens = append(r.tokens, o.Token)
		r.stage = o.Stage
		w.WriteHeader(http.StatusAccepted)
	}
}
