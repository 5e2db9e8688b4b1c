package simop

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is the JSON form of a key in requests and responses.
type item struct {
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	Revision      int64  `json:"revision"`
	Created       int64  `json:"createRev,omitempty"`
	Lease         int64  `json:"lease,omitempty"`
	Removed       bool   `json:"removed,omitempty"`
	StoreRevision int64  `json:"currentRev,omitempty"` // Revision of the store at the time of the read.
}

// Mode is a fault mode of the store.
type Mode string

// The fault modes of the store.
const (
	Up             Mode = "up"
	Refusing       Mode = "busy"    // Rejects every call with status 503 and aborts waiting watches.
	Hanging        Mode = "silent"  // Accepts calls without responding.
	WatchesStalled Mode = "muted"   // Watches report no changes.
	HistoryLost    Mode = "dropped" // Compacts the history once and switches to Up.
)

// Store simulates the platform's metadata store.
type Store struct {
	server *httptest.Server

	mu        sync.Mutex
	changed   chan struct{} // Closed and replaced at each change of a key or the mode.
	mode      Mode
	revision  int64
	compacted int64                    // Watches from an earlier revision are rejected with status 410.
	items     map[string]item          // Current items by key.
	history   []item                   // Changes since the compacted revision, oldest first.
	leases    map[int64]*time.Timer    // Expiry timers by lease ID.
	calls     map[string]int           // Number of calls by path.
	era       int64                    // Number of returns from an older copy, sent with all responses.
	copied    *storeCopy               // The copy that FallBack returns to; nil for none.
	slow      map[string]time.Duration // Delays of range reads by prefix.
}

// storeCopy is a copy of the store's state.
type storeCopy struct {
	revision int64
	items    map[string]item
	leases   map[int64]bool
}

// NewStore starts and returns an empty Store.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), mode: Up, revision: 1, items: map[string]item{}, leases: map[int64]*time.Timer{}, calls: map[string]int{}, slow: map[string]time.Duration{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Addr returns the address at which the store listens.
func (s *Store) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Listener.Addr().String())
}

// Close stops the store.
func (s *Store) Close() {
	s.SetMode(Refusing)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetMode changes the fault mode.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == HistoryLost {
		s.history, s.compacted, m = nil, s.revision, Up
	}
	s.mode = m
	s.notify()
}

// SetEra sets the era that the store states.
func (s *Store) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// TakeCopy makes a copy of the present state for FallBack.
func (s *Store) TakeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{revision: s.revision, items: maps.Clone(s.items), leases: make(map[int64]bool)}
	for id := range s.leases {
		c.leases[id] = true
	}
	s.copied = c
}

// FallBack returns to the last copy and begins the next era. What was written since the copy is lost, the leases too,
// and revisions and lease IDs are given out again.
func (s *Store) FallBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, timer := range s.leases {
		if !s.copied.leases[id] {
			timer.Stop()
			delete(s.leases, id)
		}
	}
	s.items, s.revision = maps.Clone(s.copied.items), s.copied.revision
	for key, it := range s.items {
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			delete(s.items, key) // The lease has ended since the copy was made.
		}
	}
	s.history, s.compacted = nil, s.revision
	s.era++
	s.notify()
}

// SetRangeDelay delays reads of all keys with a prefix.
func (s *Store) SetRangeDelay(prefix string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow[prefix] = d
}

// Calls returns the number of calls to a path, rejected ones included.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a key without a lease, as the operator or a replica does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key, nil if it doesn't exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.notify()
}

// notify wakes all waiting calls; the lock must be held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// hang blocks a call until its caller disconnects or the mode changes. The mode matters because the server
// doesn't notice that a caller disconnects while the body of its request is unread.
func (s *Store) hang(r *http.Request) {
	for {
		s.mu.Lock()
		mode, changed := s.mode, s.changed
		s.mu.Unlock()
		if mode != Hanging {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	mode := s.mode
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	switch {
	case mode == Refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case mode == Hanging:
		s.hang(r)
		panic(http.ErrAbortHandler)
	}
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/"), "/")
	switch path {
	case "kv-key":
		s.serveGet(w, r.URL.Query().Get("key"))
	case "kv-range":
		s.serveRange(w, r.URL.Query().Get("pathPrefix"))
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease":
		s.serveGrant(w, r)
	case "kv-keep", "kv-lease-end":
		s.serveLease(w, id, path == "kv-lease-end")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	it.StoreRevision = s.revision
	writeJSON(w, it)
}

func (s *Store) serveRange(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	delay := s.slow[prefix]
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	writeJSON(w, struct {
		Items    []item `json:"items"`
		HasMore  bool   `json:"hasMore"`
		Revision int64  `json:"currentRev"`
	}{Items: found, Revision: s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		mode, compacted, current, changed := s.mode, s.compacted, s.revision, s.changed
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if after < compacted || after > current {
			w.WriteHeader(http.StatusGone)
			return
		}
		if mode == Refusing {
			panic(http.ErrAbortHandler)
		}
		respond := len(events) > 0 && mode != WatchesStalled
		select {
		case <-timer.C:
			respond = true
		default:
		}
		if respond {
			if mode == WatchesStalled {
				events = []item{}
			}
			writeJSON(w, struct {
				Events   []item `json:"events"`
				Revision int64  `json:"currentRev"`
			}{Events: events, Revision: current})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			timer.Reset(0)
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, struct {
				Items []item `json:"items"`
			}{Items: []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	writeJSON(w, item{Revision: s.revision})
}

// leaseIDBase makes lease IDs large, as those of the platform are.
const leaseIDBase = 0x51_0000_0000_0000

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttlMs"`
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := leaseIDBase+s.revision, time.Duration(body.TTLMs)*time.Millisecond
	s.leases[id] = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})
	body.Lease = id
	writeJSON(w, body)
}

func (s *Store) serveLease(w http.ResponseWriter, name string, revoke bool) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	timer := s.leases[id]
	if timer == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if revoke {
		s.endLease(id)
	} else {
		timer.Reset(4 * time.Second) // The TTL is fixed at 4 s here.
	}
	writeJSON(w, leaseBody{TTLMs: 4000})
}

// endLease ends a lease and deletes its keys; the lock must be held.
func (s *Store) endLease(id int64) {
	if timer := s.leases[id]; timer != nil {
		timer.Stop()
		delete(s.leases, id)
	}
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// writeJSON sends v as the response.
func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // all messages of this package can be encoded
	}
	_, _ = w.Write(data) // On an error the caller receives an incomplete response.
}
