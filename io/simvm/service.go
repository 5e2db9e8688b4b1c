package simvm

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/io/simflt"
	"pimentoseam/io/vmlist"
)

// snapshot is the list from a time on.
type snapshot struct {
	from time.Time
	vms  []vmlist.VM
}

// Service serves the list; while the fault Lag is on, it serves the list of an earlier time.
type Service struct {
	faults  *simflt.Set
	mu      sync.Mutex
	history []snapshot // Oldest first.
}

// New returns a Service that starts with the given list.
func New(faults *simflt.Set, vms []vmlist.VM) *Service {
	return &Service{faults: faults, history: []snapshot{{vms: vms}}}
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", s.serveList)
	mux.HandleFunc("POST /v1/vms/{name}", s.serveChange)
	return s.faults.Wrap(mux)
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	lag := time.Duration(0)
	if f, ok := s.faults.Trigger(simflt.Lag, r); ok {
		lag = f.Duration.Duration()
	}
	body, err := json.Marshal(s.listAt(time.Now().Add(-lag)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := `"` + strconv.FormatUint(xxhash.Sum64(body), 16) + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeBody(w, r, body)
}

// writeBody sends body, compressed if the client accepts gzip.
func writeBody(w http.ResponseWriter, r *http.Request, body []byte) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	defer func() { _ = z.Close() }()
	_, _ = z.Write(body)
}

// listAt returns the list as it was at the time t.
func (s *Service) listAt(t time.Time) []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.history[0].vms
	for _, v := range s.history {
		if !v.from.After(t) {
			found = v.vms
		}
	}
	return found
}

// serveChange sets the state of a VM.
func (s *Service) serveChange(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.history[len(s.history)-1].vms
	next := append([]vmlist.VM(nil), newest...)
	for i := range next {
		if next[i].Name == r.PathValue("name") {
			next[i].State = vmlist.State(r.URL.Query().Get("state"))
			next[i].Since = time.Now()
		}
	}
	s.history = append(s.history, snapshot{from: time.Now(), vms: next})
}
