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

// Name names a fault.
type Name string

// The faults that a stand-in may have.
const (
	Refuse Name = "refuse" // Answers 503 at once.
	Delay  Name = "delay"  // Answers after Span.
	Lose   Name = "lose"   // Does the work, then closes the connection without an answer.
	Freeze Name = "freeze" // Holds each call until the fault is switched off.
	Stale  Name = "stale"  // Reads return the value before the newest.
	Crash  Name = "crash"  // An engine's next change ends half done.
	Late   Name = "late"   // Load reports and lists are Span old.
)

// Fault is one switch; Count limits how many calls it hits, 0 for all.
type Fault struct {
	Name  Name      `json:"name"`
	On    bool      `json:"on"`
	Span  span.Span `json:"span,omitempty"`
	Count int       `json:"count,omitempty"`
	Verb  string    `json:"verb,omitempty"` // HTTP method that is hit, empty for all
	Path  string    `json:"path,omitempty"` // start of the URL paths that are hit
}

// Set holds the faults of one stand-in.
type Set struct {
	mu     sync.Mutex
	faults map[Name]Fault
	thaw   chan struct{}
}

// New returns a Set with all faults off.
func New() *Set {
	return &Set{faults: make(map[Name]Fault), thaw: make(chan struct{})}
}

// Put switches a fault on or off.
func (s *Set) Put(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.On {
		s.faults[f.Name] = f
		return
	}
	delete(s.faults, f.Name)
	if f.Name == Freeze {
		close(s.thaw)
		s.thaw = make(chan struct{})
	}
}

// Hit reports whether the fault applies to a call, and counts the hit.
func (s *Set) Hit(name Name, r *http.Request) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.faults[name]
	if !ok || (f.Verb != "" && f.Verb != r.Method) || !strings.HasPrefix(r.URL.Path, f.Path) {
		return Fault{}, false
	}
	if f.Count == 1 {
		delete(s.faults, name)
	}
	if f.Count > 1 {
		f.Count--
		s.faults[name] = f
	}
	return f, true
}

func (s *Set) thawed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.thaw
}

// Wrap serves POST /faults and applies the faults to all other calls of next.
func (s *Set) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			s.serve(w, r)
			return
		}
		s.apply(w, r, next)
	})
}

func (s *Set) serve(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(f)
}

func (s *Set) apply(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if _, ok := s.Hit(Refuse, r); ok {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f, ok := s.Hit(Delay, r); ok {
		time.Sleep(f.Span.Duration())
	}
	if _, ok := s.Hit(Freeze, r); ok {
		select {
		case <-s.thawed():
		case <-r.Context().Done():
			return
		}
	}
	if _, ok := s.Hit(Lose, r); ok {
		next.ServeHTTP(&sink{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// sink discards an answer.
type sink struct {
	header http.Header
	body   bytes.Buffer
}

// Header returns the discarded header.
func (s *sink) Header() http.Header { return s.header }

// Write discards p.
func (s *sink) Write(p []byte) (int, error) { return s.body.Write(p) }

// WriteHeader discards the status.
func (s *sink) WriteHeader(int) {}
