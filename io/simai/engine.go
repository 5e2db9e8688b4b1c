package simai

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/io/simflt"
)

// Settings are the engine's speed and behaviour.
type Settings struct {
	Name         string
	Slots        int           // Maximum number of concurrent requests.
	PrefillRate  float64       // Prompt tokens per second.
	TokenTime    time.Duration // Time per output token.
	ChangeTime   time.Duration // Time that the execution of a command takes.
	RejectsStale bool          // Rejects commands with a stale fencing token.
}

// Engine serves the chat interface, executes commands, and records commands, violations and request counts.
type Engine struct {
	settings Settings
	faults   *simflt.Set
	slots    chan struct{}

	started      atomic.Int64
	finished     atomic.Int64
	cancelled    atomic.Int64
	running      atomic.Int64
	promptTokens atomic.Int64

	mu             sync.Mutex
	state          State
	commands       []Command
	activeCommands int
	violations     []string
	caches         map[string]int // Lengths in tokens of the KV caches held for export, by id.
	samples        []sample       // Past loads, the oldest first.
}

// Counts are the numbers of requests. Cancelled includes requests that were cancelled while they waited for a slot,
// which Started doesn't count.
type Counts struct {
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Running   int64 `json:"running"`
}

// New returns an Engine with the role mixed.
func New(settings Settings, faults *simflt.Set) *Engine {
	return &Engine{
		settings: settings,
		faults:   faults,
		slots:    make(chan struct{}, settings.Slots),
		state:    State{Phase: Ready, Role: "mixed", Version: "v1"},
		caches:   make(map[string]int),
		samples:  []sample{{}},
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /v1/prefill", e.servePrefill)
	mux.HandleFunc("GET /v1/kv/{id}", e.serveCache)
	mux.HandleFunc("POST /orders", e.serveCommand)
	mux.HandleFunc("GET /orders", e.serveHistory)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("GET /load", e.serveLoad)
	outer := http.NewServeMux()
	outer.HandleFunc("GET /counts", e.serveCounts)
	outer.Handle("/", e.faults.Wrap(mux))
	return outer
}

// serveLoad reports the number of running requests; while the fault simflt.Lag is active, that of some time ago.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	lag := time.Duration(0)
	if f, ok := e.faults.Trigger(simflt.Lag, r); ok {
		lag = f.Duration.Duration()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.samples[0].running
	for _, s := range e.samples {
		if !s.at.After(now.Add(-lag)) {
			running = s.running
		}
	}
	_ = json.NewEncoder(w).Encode(&Counts{Running: running})
}

// sample is the number of running requests at a time.
type sample struct {
	at      time.Time
	running int64
}

const (
	maxSamples     = 600
	sampleInterval = 100 * time.Millisecond
)

// Sample records the load at regular intervals until stop is closed.
func (e *Engine) Sample(stop <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.samples = append(e.samples, sample{at: now, running: e.running.Load()})
			e.samples = e.samples[max(len(e.samples)-maxSamples, 0):]
			e.mu.Unlock()
		}
	}
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(&Counts{
		Started:   e.started.Load(),
		Finished:  e.finished.Load(),
		Cancelled: e.cancelled.Load(),
		Running:   e.running.Load(),
	})
}
