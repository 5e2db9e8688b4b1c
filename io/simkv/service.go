package simkv

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pimentoseam/io/simflt"
)

const (
	maxValue    = 1 << 20 // bytes
	readRate    = 2000    // calls per second
	writeRate   = 400     // calls per second
	defaultWait = 10 * time.Second
	sweepEvery  = 50 * time.Millisecond
)

// RevisionHeader carries the revision of a key.
const RevisionHeader = "Kv-Revision"

// Counts are the calls to the service; Refused are those above its limits.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
}

type item struct {
	value    []byte
	before   []byte
	revision int64
	previous int64
	lease    string
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Service keeps values in memory with compare-and-swap, leases and watches.
type Service struct {
	faults *simflt.Set
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	clock   int64
	items   map[string]*item
	leases  map[string]*lease
	counts  Counts
	changed chan struct{}
}

// New returns an empty Service with the platform's limits of calls per second.
func New(faults *simflt.Set) *Service {
	return &Service{
		faults:  faults,
		reads:   rate.NewLimiter(readRate, readRate),
		writes:  rate.NewLimiter(writeRate, writeRate),
		items:   make(map[string]*item),
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
	}
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/keys/{key...}", s.get)
	mux.HandleFunc("PUT /v1/keys/{key...}", s.put)
	mux.HandleFunc("DELETE /v1/keys/{key...}", s.remove)
	mux.HandleFunc("POST /v1/leases", s.grant)
	mux.HandleFunc("PUT /v1/leases/{id}", s.renew)
	mux.HandleFunc("DELETE /v1/leases/{id}", s.revoke)
	limited := s.tally(s.faults.Wrap(s.limit(mux)))
	outer := http.NewServeMux()
	outer.HandleFunc("GET /counts", s.count)
	outer.Handle("/", limited)
	return outer
}

// tally counts each call, also those that are refused.
func (s *Service) tally(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if r.Method == http.MethodGet {
			s.counts.Reads++
		} else {
			s.counts.Writes++
		}
		s.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

func (s *Service) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limiter := s.writes
		if r.Method == http.MethodGet {
			limiter = s.reads
		}
		if limiter.Allow() {
			next.ServeHTTP(w, r)
			return
		}
		s.mu.Lock()
		s.counts.Refused++
		s.mu.Unlock()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
	})
}

func (s *Service) count(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(&s.counts)
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	deadline := time.NewTimer(min(wait, defaultWait))
	defer deadline.Stop()
	for {
		found, value, revision, stale, changed := s.read(key, r)
		if revision > after || wait == 0 || stale {
			answer(w, found, value, revision)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, found bool, value []byte, revision int64) {
	w.Header().Set(RevisionHeader, strconv.FormatInt(revision, 10))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

// read returns the value of key, its revision, whether it is a stale one, and what tells of the next change.
func (s *Service) read(key string, r *http.Request) (found bool, value []byte, revision int64, old bool, changed chan struct{}) {
	_, stale := s.faults.Trigger(simflt.Stale, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		return false, nil, 0, false, s.changed
	}
	if stale && it.previous > 0 {
		return true, it.before, it.previous, true, s.changed
	}
	return true, it.value, it.revision, false, s.changed
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > maxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	want, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is missing", http.StatusBadRequest)
		return
	}
	revision, ok := s.swap(r.PathValue("key"), value, want, r.URL.Query().Get("lease"))
	w.Header().Set(RevisionHeader, strconv.FormatInt(revision, 10))
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
}

// swap stores value if the key's revision is want, 0 for a key that does not exist.
func (s *Service) swap(key string, value []byte, want int64, holder string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[holder]; holder != "" && !ok {
		return 0, false
	}
	old, ok := s.items[key]
	if !ok {
		old = &item{}
	}
	if old.revision != want {
		return old.revision, false
	}
	s.clock++
	s.items[key] = &item{value: value, before: old.value, revision: s.clock, previous: old.revision, lease: holder}
	s.announce()
	return s.clock, true
}

func (s *Service) remove(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, r.PathValue("key"))
	s.announce()
}

func (s *Service) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// LeaseResponse is the answer to a request for a lease.
type LeaseResponse struct {
	Lease string `json:"lease"`
}

func (s *Service) grant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl is missing", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock++
	id := fmt.Sprintf("lease-%d", s.clock)
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	_ = json.NewEncoder(w).Encode(&LeaseResponse{Lease: id})
}

func (s *Service) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[r.PathValue("id")]
	if !ok || time.Now().After(l.end) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
}

func (s *Service) revoke(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(r.PathValue("id"))
}

// drop ends a lease and deletes the keys under it.
func (s *Service) drop(id string) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.lease == id {
			delete(s.items, key)
		}
	}
	s.announce()
}

// ExpireLeases ends leases that ran out, until stop is closed.
func (s *Service) ExpireLeases(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		s.sweep(time.Now())
	}
}

func (s *Service) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.drop(id)
		}
	}
}
