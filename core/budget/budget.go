package budget

import (
	"sync"
	"time"
)

const (
	// bucketsPerWindow is the resolution of the sliding window. Requests and retries count for up to one bucket
	// longer than the window.
	bucketsPerWindow = 20
	// safetyMargin is the fraction of the budget that stays unused, since an entry learns of joining entries late
	// and takes too large a part of the slack until then.
	safetyMargin = 0.15
)

// Budget limits the retries of one entry in a sliding window to ratio × requests + slack, less the safety margin. The
// requests are those of this entry, and the slack is divided among the entries.
type Budget struct {
	bucketWidth time.Duration

	mu      sync.Mutex
	ratio   float64
	slack   float64
	entries int
	buckets [bucketsPerWindow + 1]bucket
	start   time.Time
}

type bucket struct {
	index    int64 // number of bucket widths since the start
	requests int
	retries  int
}

// New returns a Budget for one service. The limit for all entries together is ratio × requests + slack retries in
// every interval of that length; each entry uses only 85 % of its part (see safetyMargin).
func New(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, bucketWidth: window / bucketsPerWindow, entries: 1, start: time.Now()}
}

// SetLimits replaces the ratio and the slack and keeps the counts.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// SetEntries sets the number of entries that divide the slack.
func (b *Budget) SetEntries(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, entries)
}

// RecordRequest counts a request when it is sent for the first time.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
}

// HasRetry reports whether AllowRetry would permit a retry now; it counts nothing.
func (b *Budget) HasRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRetry(b.current())
}

// AllowRetry reports whether a request may be sent again and counts the retry if so.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current()
	if !b.hasRetry(current) {
		return false
	}
	current.retries++
	return true
}

// Usage is the state of a Budget in the window that ends now.
type Usage struct {
	Requests int
	Retries  int
	Allowed  float64 // Retries that the window allows for this entry.
	Entries  int     // Number of entries that divide the slack.
}

// Usage returns the present state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(b.current())
}

// hasRetry reports whether the window that ends with the current bucket has a retry left.
func (b *Budget) hasRetry(current *bucket) bool {
	u := b.usage(current)
	return float64(u.Retries+1) <= u.Allowed
}

// usage returns the state in the window that ends with the current bucket.
func (b *Budget) usage(current *bucket) Usage {
	u := Usage{Entries: b.entries}
	for _, k := range b.buckets {
		if k.index > current.index-int64(len(b.buckets)) {
			u.Requests += k.requests
			u.Retries += k.retries
		}
	}
	u.Allowed = (b.ratio*float64(u.Requests) + b.slack/float64(b.entries)) * (1 - safetyMargin)
	return u
}

// current returns the bucket of the current time, emptied if it held an older one.
func (b *Budget) current() *bucket {
	index := int64(time.Since(b.start) / b.bucketWidth)
	k := &b.buckets[index%int64(len(b.buckets))]
	if k.index != index {
		*k = bucket{index: index}
	}
	return k
}
