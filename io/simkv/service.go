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
	maxValueBytes  = 1 << 20
	readRate       = 2000             // Calls per second.
	writeRate      = 400              // Calls per second.
	maxWait        = 10 * time.Second // Longest time for which a watch is held.
	expiryInterval = 50 * time.Millisecond
)

// RevisionHeader is the name of the header that carries the revision of a key.
const RevisionHeader = "Kv-Revision"

// Counts are the numbers of calls to the service; Refused counts those above its rate limits.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
}

type item struct {
	value            []byte
	previousValue    []byte
	revision         int64
	previousRevision int64  // 0 if the key is new.
	lease            string // Empty for none.
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Service is an in-memory key-value store with compare-and-swap, leases and watches.
type Service struct {
	faults *simflt.Set
	reads  *rate.Limiter
	writes *rate.Limiter

	mu sync.Mutex
	// revision increases with each write and each new lease. Deletes and lease expiry don't increase it, so a watch
	// doesn't report them.
	revision int64
	items    map[string]*item
	leases   map[string]*lease
	counts   Counts
	changed  chan struct{} // Closed and replaced at each change.
}

// New returns an empty Service with the platform's rate limits.
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
	mux.HandleFunc("GET /v1/keys/{key...}", s.serveGet)
	mux.HandleFunc("PUT /v1/keys/{key...}", s.servePut)
	mux.HandleFunc("DELETE /v1/keys/{key...}", s.serveDelete)
	mux.HandleFunc("POST /v1/leases", s.serveGrant)
	mux.HandleFunc("PUT /v1/leases/{id}", s.serveRenew)
	mux.HandleFunc("DELETE /v1/leases/{id}", s.serveRevoke)
	limited := s.countCalls(s.faults.Wrap(s.limitRate(mux)))
	outer := http.NewServeMux()
	outer.HandleFunc("GET /counts", s.serveCounts)
	outer.Handle("/", limited)
	return outer
}

// countCalls counts each call, including those that are refused or hit by a fault.
func (s *Service) countCalls(next http.Handler) http.Handler {
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

// limitRate refuses calls above the rate limits with status 429.
func (s *Service) limitRate(next http.Handler) http.Handler {
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

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(&s.counts)
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = 0
	}
	deadline := time.NewTimer(min(wait, maxWait))
	defer deadline.Stop()
	for {
		found, value, revision, stale, changed := s.read(key, r)
		if revision > after || wait == 0 || stale {
			writeItem(w, found, value, revision)
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

// writeItem sends the value and the revision of a key.
func writeItem(w http.ResponseWriter, found bool, value []byte, revision int64) {
	w.Header().Set(RevisionHeader, strconv.FormatInt(revision, 10))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

// read returns the value of key, its revision, whether a fault made the value stale, and the channel that is
// closed at the next change.
func (s *Service) read(key string, r *http.Request) (found bool, value []byte, revision int64, stale bool, changed chan struct{}) {
	_, staleFault := s.faults.Trigger(simflt.Stale, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		return false, nil, 0, false, s.changed
	}
	if staleFault && it.previousRevision > 0 {
		return true, it.previousValue, it.previousRevision, true, s.changed
	}
	return true, it.value, it.revision, false, s.changed
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	expected, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is missing", http.StatusBadRequest)
		return
	}
	revision, ok := s.swap(r.PathValue("key"), value, expected, r.URL.Query().Get("lease"))
	w.Header().Set(RevisionHeader, strconv.FormatInt(revision, 10))
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
}

// swap writes value and attaches the key to a lease, unless leaseID is empty. It returns the new revision. It writes
// nothing and returns the current revision if that isn't expected, 0 for a key that doesn't exist; it writes nothing
// and returns 0 if the lease doesn't exist.
func (s *Service) swap(key string, value []byte, expected int64, leaseID string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
		return 0, false
	}
	old, ok := s.items[key]
	if !ok {
		old = &item{}
	}
	if old.revision != expected {
		return old.revision, false
	}
	s.revision++
	s.items[key] = &item{value: value, previousValue: old.value, revision: s.revision, previousRevision: old.revision, lease: leaseID}
	s.notify()
	return s.revision, true
}

func (s *Service) serveDelete(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, r.PathValue("key"))
	s.notify()
}

// notify wakes all watches; the lock must be held.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// LeaseResponse is the body of the response to a request for a lease.
type LeaseResponse struct {
	Lease string `json:"lease"` // ID of the new lease.
}

func (s *Service) serveGrant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "ttl is missing", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := fmt.Sprintf("lease-%d", s.revision)
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	_ = json.NewEncoder(w).Encode(&LeaseResponse{Lease: id})
}

func (s *Service) serveRenew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[r.PathValue("id")]
	if !ok || time.Now().After(l.expires) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
}

func (s *Service) serveRevoke(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(r.PathValue("id"))
}

// endLease ends a lease and deletes the keys attached to it; the lock must be held.
func (s *Service) endLease(id string) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.lease == id {
			delete(s.items, key)
		}
	}
	s.notify()
}

// ExpireLeases ends expired leases periodically until stop is closed.
func (s *Service) ExpireLeases(stop <-chan struct{}) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		s.expire(time.Now())
	}
}

// expire ends the leases that expired before now.
func (s *Service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}
