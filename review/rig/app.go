//go:build review

package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Server is a stand-in of a replica. It runs up to slots requests at a time, queues up to queue further ones and rejects
// the rest with X-Not-Executed.
type Server struct {
	ID      string
	Service string
	Stage   string // Of a model engine; empty for a plain service.

	rig    *Rig
	server *http.Server
	addr   netip.AddrPort
	work   func(w http.ResponseWriter, r *http.Request)
	slots  chan struct{}
	queue  chan struct{}

	mu       sync.Mutex
	arrivals map[string]int // Number of arrivals by attempt id.
	runs     map[string]int // Number of runs by attempt id.
	beats    int
	born     int64
}

// NewServer starts a replica whose runs do work, and registers it in the store.
func (r *Rig) NewServer(id, service, stage string, slots, queue int, work func(w http.ResponseWriter, req *http.Request)) (*Server, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(NewHost(), 0).String())
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Service: service, Stage: stage, rig: r, addr: netip.MustParseAddrPort(l.Addr().String()), work: work,
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue),
		arrivals: make(map[string]int), runs: make(map[string]int), born: time.Now().UnixMilli(),
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }() // Ends with the rig.
	s.Register("ready")
	return s, nil
}

// Register writes the replica's entry into the store.
func (s *Server) Register(state string) {
	s.mu.Lock()
	s.beats++
	stage := ""
	if s.Stage != "" {
		stage = fmt.Sprintf(`"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],`, s.Stage)
	}
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z-a","version":"v1","slots":%d,"state":%q,%s"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		s.Service, s.addr, cap(s.slots), state, stage, s.beats, s.born)
	s.mu.Unlock()
	s.rig.Store.Put("servers/"+s.ID, []byte(entry))
}

// Addr returns the address at which the replica listens.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Close stops the replica.
func (s *Server) Close() { _ = s.server.Close() }

// Runs returns how often an attempt ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Arrivals returns how often an attempt arrived.
func (s *Server) Arrivals(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[id]
}

// IDs returns the ids of all attempts that ran.
func (s *Server) IDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id := range s.runs {
		ids = append(ids, id)
	}
	return ids
}

func (s *Server) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", s.ID)
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == "/health":
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals[id]++
	s.mu.Unlock()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // The caller has closed the channel.
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	reject := func() {
		s.rig.Note("%s rejects %s", s.ID, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		reject()
		return
	}
	left := 30 * time.Second
	if ms, err := strconv.ParseFloat(req.Header.Get("X-Deadline-Remaining-Ms"), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	ctx, cancel := context.WithTimeout(req.Context(), left)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		reject()
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rig.Note("%s runs %s %s %s, %d bytes", s.ID, id, req.Method, req.URL.Path, len(body))
	w.Header().Set("X-Response-Seal", "3e1b."+s.ID+"."+id)
	s.work(w, req.WithContext(ctx))
	if ctx.Err() != nil {
		s.rig.Note("%s ends %s early: %v", s.ID, id, ctx.Err())
	}
}

// Work returns what a plain replica does: it works for d and returns a body that names the request.
func Work(d time.Duration) func(w http.ResponseWriter, req *http.Request) {
	return func(w http.ResponseWriter, req *http.Request) {
		select {
		case <-time.After(d):
		case <-req.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		fmt.Fprintf(w, "%s done", req.Header.Get("X-Attempt-Id"))
	}
}
