package simflt

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"pimentoseam/core/span"
)

// Name is the name of a fault.
type Name string

// The faults that can be injected.
const (
	Refuse       Name = "refuse" // Responds with status 503 at once.
	Delay        Name = "delay"  // Handles the call after Duration.
	DropResponse Name = "lose"   // Handles the call, then closes the connection without a response.
	Freeze       Name = "freeze" // Blocks each call until the fault is switched off.
	Stale        Name = "stale"  // Reads return the previous value of a key.
	Crash        Name = "crash"  // An engine crashes while it executes a command.
	Exit         Name = "exit"   // The process of an engine or a plain service ends when it begins to answer a request that contains ExitText.
	Lag          Name = "late"   // Load reports and VM lists are as old as Duration.
)

// ExitText is the text of a request to which Exit applies.
const ExitText = "exit the engine"

// Fault switches a fault on or off and selects the calls that it applies to.
type Fault struct {
	Name       Name      `json:"name"`
	On         bool      `json:"on"`
	Duration   span.Span `json:"span,omitempty"`  // Delay or age, for faults that have one.
	MaxCalls   int       `json:"count,omitempty"` // Number of calls after which the fault ends; 0 for no limit.
	Method     string    `json:"verb,omitempty"`  // HTTP method of the affected calls; empty for all.
	PathPrefix string    `json:"path,omitempty"`  // Prefix of the URL paths of the affected calls; empty for all.
}

// Set holds the active faults of one simulated service.
type Set struct {
	mu       sync.Mutex
	faults   map[Name]Fault
	unfrozen chan struct{} // Closed and replaced when Freeze is switched off.
}

// New returns a Set with all faults off.
func New() *Set {
	return &Set{faults: make(map[Name]Fault), unfrozen: make(chan struct{})}
}

// Configure switches a fault on or off.
func (s *Set) Configure(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.On {
		s.faults[f.Name] = f
		return
	}
	delete(s.faults, f.Name)
	if f.Name == Freeze {
		close(s.unfrozen)
		s.unfrozen = make(chan struct{})
	}
}

// Trigger reports whether the fault applies to a call; if so, it counts the call and returns the fault.
func (s *Set) Trigger(name Name, r *http.Request) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.faults[name]
	if !ok || (f.Method != "" && f.Method != r.Method) || !strings.HasPrefix(r.URL.Path, f.PathPrefix) {
		return Fault{}, false
	}
	if f.MaxCalls == 1 {
		delete(s.faults, name)
	}
	if f.MaxCalls > 1 {
		f.MaxCalls--
		s.faults[name] = f
	}
	return f, true
}

// untilUnfrozen returns the channel that is closed when Freeze is switched off.
func (s *Set) untilUnfrozen() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unfrozen
}

// Wrap returns a handler that configures the faults at /faults and injects them into all other calls to next.
func (s *Set) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			s.serveFaults(w, r)
			return
		}
		s.inject(w, r, next)
	})
}

func (s *Set) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Configure(f)
}

func (s *Set) inject(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if _, ok := s.Trigger(Refuse, r); ok {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f, ok := s.Trigger(Delay, r); ok {
		time.Sleep(f.Duration.Duration())
	}
	if _, ok := s.Trigger(Freeze, r); ok {
		select {
		case <-s.untilUnfrozen():
		case <-r.Context().Done():
			return
		}
	}
	if _, ok := s.Trigger(DropResponse, r); ok {
		next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// discardWriter is a ResponseWriter that sends nothing; it collects the body in a buffer that nobody reads.
type discardWriter struct {
	header http.Header
	body   bytes.Buffer
}

// Header returns a header that is never sent.
func (w *discardWriter) Header() http.Header { return w.header }

// Write appends p to the buffer.
func (w *discardWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// WriteHeader discards the status.
func (w *discardWriter) WriteHeader(int) {}
