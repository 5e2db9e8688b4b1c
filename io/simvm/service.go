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

type version struct {
	at  time.Time
	vms []vmlist.VM
}

// Service serves the list as it was some time ago.
type Service struct {
	faults  *simflt.Set
	mu      sync.Mutex
	history []version
}

// New returns a Service with the given list.
func New(faults *simflt.Set, vms []vmlist.VM) *Service {
	return &Service{faults: faults, history: []version{{vms: vms}}}
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", s.list)
	mux.HandleFunc("POST /v1/vms/{name}", s.change)
	return s.faults.Wrap(mux)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	lag := time.Duration(0)
	if f, ok := s.faults.Hit(simflt.Late, r); ok {
		lag = f.Span.Duration()
	}
	body, err := json.Marshal(s.at(time.Now().Add(-lag)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	mark := `"` + strconv.FormatUint(xxhash.Sum64(body), 16) + `"`
	w.Header().Set("ETag", mark)
	if r.Header.Get("If-None-Match") == mark {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	send(w, r, body)
}

// send compresses body if the reader takes that.
func send(w http.ResponseWriter, r *http.Request, body []byte) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	defer func() { _ = z.Close() }()
	_, _ = z.Write(body)
}

func (s *Service) at(t time.Time) []vmlist.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.history[0].vms
	for _, v := range s.history {
		if !v.at.After(t) {
			found = v.vms
		}
	}
	return found
}

func (s *Service) change(_ http.ResponseWriter, r *http.Request) {
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
	s.history = append(s.history, version{at: time.Now(), vms: next})
}
