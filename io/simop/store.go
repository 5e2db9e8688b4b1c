package simop

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key as it goes over the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"createRev,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	Current  int64  `json:"currentRev,omitempty"`
}

// Mode is how the store behaves.
type Mode string

// The modes of a store.
const (
	Up             Mode = "up"
	Refusing       Mode = "busy"    // Refuses every call.
	Hanging        Mode = "silent"  // Does not answer.
	WatchesStalled Mode = "muted"   // Watches hear nothing, even of changes.
	HistoryLost    Mode = "dropped" // Has forgotten its history once; Up from then on.
)

// Store is a stand-in of the platform's metadata store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	changed  chan struct{} // Closed at each change of keys or mode.
	mode     Mode
	revision int64
	oldest   int64 // Watches from before are refused.
	items    map[string]item
	history  []item
	leases   map[int64]*time.Timer
	calls    map[string]int
}

// NewStore returns a running Store without keys.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), mode: Up, revision: 1, items: map[string]item{}, leases: map[int64]*time.Timer{}, calls: map[string]int{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Addr returns where the store listens.
func (s *Store) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.server.Listener.Addr().String())
}

// Close ends the store.
func (s *Store) Close() {
	s.SetMode(Refusing)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetMode changes how the store behaves.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m == HistoryLost {
		s.history, s.oldest, m = nil, s.revision, Up
	}
	s.mode = m
	s.wake()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a key as the operator or a replica does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove takes a key away.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wake()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// silence keeps a call until its caller leaves or the store behaves otherwise; the server does not notice
// a caller that leaves while its body has not been read.
func (s *Store) silence(r *http.Request) {
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
	s.mu.Unlock()
	switch {
	case mode == Refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case mode == Hanging:
		s.silence(r)
		panic(http.ErrAbortHandler)
	}
	path, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/"), "/")
	switch path {
	case "kv-key":
		s.get(w, r.URL.Query().Get("key"))
	case "kv-range":
		s.list(w, r.URL.Query().Get("pathPrefix"))
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		s.transact(w, r)
	case "kv-lease":
		s.grant(w, r)
	case "kv-keep", "kv-lease-end":
		s.lease(w, id, path == "kv-lease-end")
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	i.Current = s.revision
	write(w, i)
}

func (s *Store) list(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	write(w, struct {
		Items   []item `json:"items"`
		More    bool   `json:"hasMore"`
		Current int64  `json:"currentRev"`
	}{Items: found, Current: s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		mode, oldest, current, changed := s.mode, s.oldest, s.revision, s.changed
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after < oldest {
			w.WriteHeader(http.StatusGone)
			return
		}
		if mode == Refusing {
			panic(http.ErrAbortHandler)
		}
		done := len(events) > 0 && mode != WatchesStalled
		select {
		case <-timer.C:
			done = true
		default:
		}
		if done {
			if mode == WatchesStalled {
				events = []item{}
			}
			write(w, struct {
				Events  []item `json:"events"`
				Current int64  `json:"currentRev"`
			}{Events: events, Current: current})
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

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
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
			write(w, struct {
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
	write(w, item{Revision: s.revision})
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttlMs"`
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(body.TTLMs)*time.Millisecond
	s.leases[id] = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.end(id)
	})
	body.Lease = id
	write(w, body)
}

func (s *Store) lease(w http.ResponseWriter, name string, end bool) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	timer := s.leases[id]
	if timer == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if end {
		s.end(id)
	} else {
		timer.Reset(4 * time.Second)
	}
	write(w, leaseBody{TTLMs: 4000})
}

// end ends a lease; the lock must be held.
func (s *Store) end(id int64) {
	if timer := s.leases[id]; timer != nil {
		timer.Stop()
		delete(s.leases, id)
	}
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func write(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // every message of this package encodes
	}
	_, _ = w.Write(data) // The caller sees a broken answer.
}
