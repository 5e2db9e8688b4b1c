package dedup

import (
	"container/list"
	"sync"
	"time"
)

// State is the state of an idempotency key in a Table.
type State string

// The states of a key.
const (
	Fresh      State = "fresh"   // Not in the table; Begin has then claimed the key for its caller, Lookup has not.
	Running    State = "running" // Claimed; the request is in progress.
	Done       State = "done"    // Completed with an answer.
	Tombstoned State = "barred"  // The request has not run at this upstream and never will.
	Unknown    State = "unknown" // The request may have run; its outcome is not known.
	Mismatch   State = "clash"   // The key was used for a request with another fingerprint.
	Future     State = "ahead"   // Minted further in the future than the maximum clock skew.
)

// Answer is the stored response to a request.
type Answer struct {
	Status int
	Type   string
	Body   []byte
}

// record is the state of one key. It is settled once its state is final: Done, Tombstoned or Unknown.
type record struct {
	key         string
	minted      time.Time
	fingerprint uint64 // The hash of the request.
	state       State
	answer      Answer
	settledAt   time.Time
	element     *list.Element // The position in Table.settled; nil while running.
	done        chan struct{} // Closed when the key is no longer Running.
}

// Table stores the states of idempotency keys, bounded by memory and retention.
type Table struct {
	maxSkew   time.Duration
	retention time.Duration
	maxBytes  int

	mu                sync.Mutex
	records           map[string]*record
	settled           *list.List // The settled records, the oldest first.
	startWatermark    time.Time  // Keys minted up to this time may have run before the Table was created.
	evictionWatermark time.Time  // Keys minted up to this time may have been evicted.
	bytes             int        // The memory charged for records.
}

// Option configures a Table.
type Option func(*Table)

// WithMaxSkew sets the maximum clock skew between two VMs; the default is 2 s.
func WithMaxSkew(d time.Duration) Option {
	return func(t *Table) { t.maxSkew = d }
}

// WithRetention sets how long a key is retained after its state became final; the default is 10 min.
func WithRetention(d time.Duration) Option {
	return func(t *Table) { t.retention = d }
}

// WithMaxBytes sets the maximum memory for records and answers; the default is 16 MiB.
func WithMaxBytes(bytes int) Option {
	return func(t *Table) { t.maxBytes = bytes }
}

const (
	defaultMaxSkew   = 2 * time.Second
	defaultRetention = 10 * time.Minute
	defaultMaxBytes  = 16 << 20
	recordBytes      = 256 // Memory charged for a record in addition to its answer.
)

// New returns a Table for a process that started at the given time; keys minted before then, allowing
// for clock skew, are Unknown.
func New(start time.Time, opts ...Option) *Table {
	t := &Table{
		maxSkew:   defaultMaxSkew,
		retention: defaultRetention,
		maxBytes:  defaultMaxBytes,
		records:   make(map[string]*record),
		settled:   list.New(),
	}
	for _, opt := range opts {
		opt(t)
	}
	t.startWatermark = start.Add(t.maxSkew)
	return t
}

// Begin claims key, which was minted at the given time for a request with the given fingerprint.
// Only the caller that gets Fresh may run the request, and it must then call Settle, MarkUnknown, Reject
// or Release.
func (t *Table) Begin(key string, minted time.Time, fingerprint uint64) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expire(now)
	if found, ok := t.records[key]; ok {
		if found.state != Tombstoned && found.fingerprint != fingerprint {
			return Mismatch
		}
		return found.state
	}
	if minted.After(now.Add(t.maxSkew)) {
		return Future
	}
	if !minted.After(t.startWatermark) || !minted.After(t.evictionWatermark) {
		return Unknown
	}
	t.add(&record{key: key, minted: minted, fingerprint: fingerprint, state: Running, done: make(chan struct{})})
	return Fresh
}

// Tombstone returns the state of key, after it has set a tombstone if the key is new, so that the request
// can't run here later. The previous process of this upstream rejected new keys from the time stoppedAt
// on, so that keys minted after it can't have run there; stoppedAt is zero if that is not known.
func (t *Table) Tombstone(key string, minted, stoppedAt time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.expire(now)
	if found, ok := t.records[key]; ok {
		return found.state
	}
	if minted.After(now.Add(t.maxSkew)) {
		return Future
	}
	afterStop := !stoppedAt.IsZero() && minted.After(stoppedAt.Add(t.maxSkew))
	if (!afterStop && !minted.After(t.startWatermark)) || !minted.After(t.evictionWatermark) {
		return Unknown
	}
	r := &record{key: key, minted: minted, done: make(chan struct{})}
	t.add(r)
	t.settle(r, Tombstoned, Answer{})
	return Tombstoned
}

// Settle stores the answer for a claimed key.
func (t *Table) Settle(key string, answer Answer) {
	t.finish(key, Done, answer)
}

// MarkUnknown records that the outcome of a claimed key's request is unknown.
func (t *Table) MarkUnknown(key string) {
	t.finish(key, Unknown, Answer{})
}

// Reject replaces the claim of a key by a tombstone; its request must not have run here.
func (t *Table) Reject(key string) {
	t.finish(key, Tombstoned, Answer{})
}

// Release removes the claim of a key whose request did not run, so that it may be claimed again.
func (t *Table) Release(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[key]
	if !ok {
		return
	}
	if r.state != Running {
		return
	}
	close(r.done)
	delete(t.records, key)
	t.bytes -= recordBytes
}

// Ended returns a channel that is closed when key is no longer Running, or nil if the key is not in the table.
func (t *Table) Ended(key string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.records[key]
	if !ok {
		return nil
	}
	return found.done
}

// Lookup returns the state and the answer of key without claiming it.
func (t *Table) Lookup(key string) (State, Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[key]
	if !ok {
		return Fresh, Answer{}
	}
	return r.state, r.answer
}

// Bytes returns the memory charged for the stored keys.
func (t *Table) Bytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

func (t *Table) add(r *record) {
	t.records[r.key] = r
	t.bytes += recordBytes
}

// finish settles key if it is Running.
func (t *Table) finish(key string, state State, answer Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[key]
	if !ok {
		return
	}
	if r.state != Running {
		return
	}
	t.settle(r, state, answer)
}

// settle sets the final state of r and evicts the oldest settled records while the table exceeds its memory.
func (t *Table) settle(r *record, state State, answer Answer) {
	r.state = state
	r.answer = answer
	r.settledAt = time.Now()
	close(r.done)
	r.element = t.settled.PushBack(r)
	t.bytes += len(answer.Body)
	for t.bytes > t.maxBytes && t.settled.Len() > 0 {
		t.evict()
	}
}

// expire evicts the settled records whose retention is over.
func (t *Table) expire(now time.Time) {
	for t.settled.Len() > 0 {
		oldest := t.settled.Front().Value.(*record)
		if now.Sub(oldest.settledAt) < t.retention {
			return
		}
		t.evict()
	}
}

// evict removes the oldest settled record and raises the eviction watermark, so that its key is still rejected.
func (t *Table) evict() {
	r := t.settled.Front().Value.(*record)
	t.settled.Remove(r.element)
	delete(t.records, r.key)
	t.bytes -= recordBytes + len(r.answer.Body)
	if r.minted.After(t.evictionWatermark) {
		t.evictionWatermark = r.minted
	}
}
