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
	// earnedShare is the fraction of the budget that is earned by each request and needs no knowledge of the past, so that a
	// process has it from its first request on. The rest is the reserve.
	earnedShare = 0.5
)

// Budget limits the retries of one entry to ratio × requests + slack in every window, less the safety margin, also over any
// number of restarts. The requests are those of this entry, and the slack is divided among the entries.
//
// The budget has two parts. The earned part is a token bucket that starts empty; each request adds to it, and it holds no more
// than its part of the slack. The retries of all processes of an entry in a window are limited by what was stored when the
// window began and by the requests in it. The reserve is a sliding window over the requests and retries of this process. It is
// closed until a window after the start of the process, when retries of the process before are no longer in the window, unless it
// is known that there was none.
type Budget struct {
	window      time.Duration
	bucketWidth time.Duration
	start       time.Time // Of the process.
	isFirst     bool      // No process came before.

	mu      sync.Mutex
	ratio   float64
	slack   float64
	entries int
	earned  float64 // Retries that the earned part holds.
	buckets [bucketsPerWindow + 1]bucket
}

type bucket struct {
	index    int64 // Number of bucket widths since the start.
	requests int
	earned   int // Retries from the earned part.
	reserve  int // Retries from the reserve.
}

// Option configures a Budget.
type Option func(*Budget)

// WithStart sets when the process started, by default now.
func WithStart(start time.Time) Option {
	return func(b *Budget) { b.start = start }
}

// WithFirstStart sets whether no process of the entry came before this one.
func WithFirstStart(isFirst bool) Option {
	return func(b *Budget) { b.isFirst = isFirst }
}

// New returns a Budget for one service. The limit for all entries together is ratio × requests + slack retries in
// every interval of that length; each entry uses only 85 % of its part (see safetyMargin).
func New(ratio, slack float64, window time.Duration, opts ...Option) *Budget {
	b := &Budget{ratio: ratio, slack: slack, window: window, bucketWidth: window / bucketsPerWindow, entries: 1, start: time.Now()}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// SetLimits replaces the ratio and the slack and keeps the counts.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
	b.earned = min(b.earned, b.maxEarned())
}

// SetEntries sets the number of entries that divide the slack.
func (b *Budget) SetEntries(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, entries)
	b.earned = min(b.earned, b.maxEarned())
}

// RecordRequest counts a request when it is sent for the first time.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().requests++
	b.earned = min(b.earned+b.share()*b.ratio, b.maxEarned())
}

// Grant is the permission for one retry.
type Grant struct {
	budget    *Budget
	index     int64 // Of the bucket in which the retry is counted.
	isReserve bool
}

// Part names a part of a Budget.
type Part string

// The parts of a Budget, and None for a retry that no part grants.
const (
	Earned  Part = "earned"
	Reserve Part = "reserve"
	None    Part = "none"
)

// Part returns the part of the budget that the grant is from; None for nil.
func (g *Grant) Part() Part {
	switch {
	case g == nil:
		return None
	case g.isReserve:
		return Reserve
	}
	return Earned
}

// TakeRetry counts a retry and returns its permission, or nil if the request may not be sent again.
func (b *Budget) TakeRetry() *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current()
	g := &Grant{budget: b, index: current.index}
	switch {
	case b.earned >= 1:
		b.earned--
		current.earned++
	case b.usage(current).Reserve >= 1:
		current.reserve++
		g.isReserve = true
	default:
		return nil
	}
	return g
}

// Return takes back the count of a retry that was not made; nil has no effect.
func (g *Grant) Return() {
	if g == nil {
		return
	}
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.at(g.index)
	switch {
	case k.index != g.index: // The window has passed.
	case g.isReserve:
		k.reserve--
	default:
		k.earned--
		b.earned = min(b.earned+1, b.maxEarned())
	}
}

// Usage is the state of a Budget in the window that ends now.
type Usage struct {
	Requests int
	Retries  int
	Earned   float64 // Retries that the earned part holds.
	Reserve  float64 // Retries that the reserve allows now.
	IsClosed bool    // The reserve is closed since the process has just started.
	Entries  int     // Number of entries that divide the slack.
}

// Usage returns the present state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(b.current())
}

// usage returns the state in the window that ends with the current bucket.
func (b *Budget) usage(current *bucket) Usage {
	// A retry that the process before has sent last may arrive a little later than its end.
	isClosed := !b.isFirst && time.Since(b.start) <= b.window+b.bucketWidth
	u := Usage{Earned: b.earned, Entries: b.entries, IsClosed: isClosed}
	used := 0
	for _, k := range b.buckets {
		if k.index > current.index-int64(len(b.buckets)) {
			u.Requests += k.requests
			u.Retries += k.earned + k.reserve
			used += k.reserve
		}
	}
	if !isClosed {
		u.Reserve = (1-safetyMargin-b.share())*(b.ratio*float64(u.Requests)+b.slack/float64(b.entries)) - float64(used)
	}
	return u
}

// share returns the fraction of the budget that is earned, less the safety margin. It is 0 where so many entries divide the slack
// that the earned part could not hold one retry.
func (b *Budget) share() float64 {
	const share = earnedShare * (1 - safetyMargin)
	if share*b.slack/float64(b.entries) < 1 {
		return 0
	}
	return share
}

// maxEarned returns the number of retries that the earned part can hold.
func (b *Budget) maxEarned() float64 {
	return b.share() * b.slack / float64(b.entries)
}

// current returns the bucket of the current time, emptied if it held an older one.
func (b *Budget) current() *bucket {
	index := int64(time.Since(b.start) / b.bucketWidth)
	k := b.at(index)
	if k.index != index {
		*k = bucket{index: index}
	}
	return k
}

// at returns the bucket that holds an index, or an older or later one in its place.
func (b *Budget) at(index int64) *bucket {
	return &b.buckets[index%int64(len(b.buckets))]
}
