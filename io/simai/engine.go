package simai

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/io/simflt"
)

// Settings are the engine's speeds and habits.
type Settings struct {
	Name    string
	Slots   int           // requests that run at once
	Prefill float64       // prompt tokens per second
	Step    time.Duration // time per output token
	Change  time.Duration // time that an order takes
	Fenced  bool          // refuses orders with an old fencing number
}

// Engine serves the chat interface, takes orders and records both.
type Engine struct {
	set    Settings
	faults *simflt.Set
	slots  chan struct{}

	started   atomic.Int64
	finished  atomic.Int64
	cancelled atomic.Int64
	running   atomic.Int64
	prompted  atomic.Int64

	mu     sync.Mutex
	state  State
	orders []Order
	flying int
	wrong  []string
	kept   map[string]int
	past   []sample
}

// Counts are the requests that the engine took.
type Counts struct {
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Running   int64 `json:"running"`
}

// New returns an Engine in role mixed.
func New(set Settings, faults *simflt.Set) *Engine {
	return &Engine{
		set:    set,
		faults: faults,
		slots:  make(chan struct{}, set.Slots),
		state:  State{Phase: Ready, Role: "mixed", Version: "v1"},
		kept:   make(map[string]int),
		past:   []sample{{}},
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /v1/prefill", e.prefill)
	mux.HandleFunc("GET /v1/kv/{id}", e.export)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /orders", e.history)
	mux.HandleFunc("GET /state", e.report)
	mux.HandleFunc("GET /load", e.load)
	outer := http.NewServeMux()
	outer.HandleFunc("GET /counts", e.count)
	outer.Handle("/", e.faults.Wrap(mux))
	return outer
}

// load reports the requests in progress, as they were some time ago while the fault late is on.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	lag := time.Duration(0)
	if f, ok := e.faults.Trigger(simflt.Lag, r); ok {
		lag = f.Duration.Duration()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.past[0].running
	for _, p := range e.past {
		if !p.at.After(now.Add(-lag)) {
			running = p.running
		}
	}
	_ = json.NewEncoder(w).Encode(&Counts{Running: running})
}

// sample is a past number of requests in progress.
type sample struct {
	at      time.Time
	running int64
}

const (
	pastKept = 600 // samples
	pastStep = 100 * time.Millisecond
)

// Sample keeps the past load until stop is closed.
func (e *Engine) Sample(stop <-chan struct{}) {
	ticker := time.NewTicker(pastStep)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.past = append(e.past, sample{at: now, running: e.running.Load()})
			e.past = e.past[max(len(e.past)-pastKept, 0):]
			e.mu.Unlock()
		}
	}
}

func (e *Engine) count(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(&Counts{
		Started:   e.started.Load(),
		Finished:  e.finished.Load(),
		Cancelled: e.cancelled.Load(),
		Running:   e.running.Load(),
	})
}
