//go:build review

package rig

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Prompts states how an engine treats prompts with one part.
type Prompts struct {
	Bad     string
	Crashes bool          // The engine crashes when it begins to write an answer on the part.
	Read    time.Duration // How long it reads such a prompt.
	First   int           // Events that it has written when it crashes.
}

// Engine is a stand-in of a model replica that may crash when it begins to write an answer on one part of a prompt. Its
// address then refuses connections, and it is back under its id some time later.
type Engine struct {
	ID   string
	Addr netip.AddrPort

	rig     *Rig
	prompts *Prompts
	down    time.Duration
	events  int
	gap     time.Duration
	onCrash func(at time.Time)

	mu       sync.Mutex
	server   *http.Server
	closed   bool
	beats    int
	arrivals map[string]time.Time // By attempt id, the first at this engine.
	begun    map[string]time.Time // When the first event of an attempt was written.
}

// StartEngine starts an engine and registers it in the store.
func (r *Rig) StartEngine(id string, prompts *Prompts, down time.Duration, events int, gap time.Duration, onCrash func(at time.Time)) (*Engine, error) {
	host := NewHost()
	port, err := freePort(host)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		ID: id, Addr: netip.AddrPortFrom(host, port), rig: r, prompts: prompts, down: down, events: events, gap: gap, onCrash: onCrash,
		arrivals: make(map[string]time.Time), begun: make(map[string]time.Time),
	}
	return e, e.start()
}

// start listens and registers a new run.
func (e *Engine) start() error {
	l, err := net.Listen("tcp", e.Addr.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.mu.Lock()
	e.server = server
	e.beats = 1
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }() // Ends with the run.
	e.rig.Store.Put("servers/"+e.ID, fmt.Appendf(nil, `{"service":"lm","address":%q,"zone":"z-a","version":"v1","slots":64,"state":"ready","stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],"coldRemainingMs":0,"sequence":1,"born":%d}`,
		e.Addr, time.Now().UnixMilli()))
	return nil
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	server := e.server
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// crash ends the present run and starts the next one later.
func (e *Engine) crash(id string) {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return // Another request has crashed it just before.
	}
	now := time.Now()
	e.rig.Note("%s crashes under %s", e.ID, id)
	e.onCrash(now)
	go func() {
		_ = server.Close()
		time.Sleep(e.down)
		for {
			e.mu.Lock()
			closed := e.closed
			e.mu.Unlock()
			if closed {
				return
			}
			if err := e.start(); err == nil {
				e.rig.Note("%s is back", e.ID)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// Arrival returns when an attempt first reached the engine.
func (e *Engine) Arrival(id string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.arrivals[id]
	return at, ok
}

// Begun reports whether an answer to the attempt was begun.
func (e *Engine) Begun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.begun[id]
	return ok
}

func (e *Engine) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", e.ID)
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if _, ok := e.arrivals[id]; !ok {
		e.arrivals[id] = time.Now()
	}
	e.mu.Unlock()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	isBad := false
	for entry := range strings.SplitSeq(req.Header.Get("X-Prompt-Prefix"), ",") {
		name, _, _ := strings.Cut(entry, ":")
		isBad = isBad || name == e.prompts.Bad
	}
	read := 20 * time.Millisecond
	if isBad {
		read = e.prompts.Read
	}
	select {
	case <-time.After(read):
	case <-req.Context().Done():
		return // The caller has left, or the engine has crashed.
	}
	crashAfter := -1
	if isBad && e.prompts.Crashes {
		crashAfter = e.prompts.First
	}
	if crashAfter == 0 {
		e.crash(id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "3e1b."+e.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	control := http.NewResponseController(w)
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= e.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", i, i, e.events)
		if control.Flush() != nil {
			return
		}
		e.mu.Lock()
		if _, ok := e.begun[id]; !ok {
			e.begun[id] = time.Now()
		}
		e.mu.Unlock()
		if crashAfter > 0 && i >= after+crashAfter {
			time.Sleep(5 * time.Millisecond) // The events are on their way.
			e.crash(id)
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(e.gap):
		case <-req.Context().Done():
			return
		}
	}
}
