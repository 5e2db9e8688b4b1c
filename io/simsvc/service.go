package simsvc

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"pimentoseam/io/simai"
	"pimentoseam/io/simflt"
)

// Reply is the answer to each call; Run is the number of calls with its key so far, 1 without a key.
type Reply struct {
	Key    string `json:"key"`
	Run    int    `json:"run"`
	Digest string `json:"digest"`
	Server string `json:"server"`
	Path   string `json:"path"`
}

// Service counts the calls with each idempotency key.
type Service struct {
	name     string
	callTime time.Duration
	faults   *simflt.Set
	mu       sync.Mutex
	runs     map[string]int
}

// New returns a Service whose calls take callTime each.
func New(name string, callTime time.Duration, faults *simflt.Set) *Service {
	return &Service{name: name, callTime: callTime, faults: faults, runs: make(map[string]int)}
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	outer := http.NewServeMux()
	outer.HandleFunc("GET /runs", s.serveRuns)
	outer.Handle("/", s.faults.Wrap(mux))
	return outer
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	run := s.countRun(key)
	time.Sleep(s.callTime)
	if _, ok := s.faults.Trigger(simflt.Exit, r); ok && strings.Contains(string(body)+r.URL.Path, simflt.ExitText) {
		os.Exit(1)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(&Reply{Key: key, Run: run, Digest: simai.Digest(body), Server: s.name, Path: r.URL.Path})
}

// countRun counts a call with the key and returns the new count.
func (s *Service) countRun(key string) int {
	if key == "" {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}
