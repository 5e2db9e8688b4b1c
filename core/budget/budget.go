package budget

import (
	"sync"
	"time"
)

const (
	// buckets is how many parts a window has; the oldest is counted whole.
	buckets = 20
	// reserve is the share of the budget that stays unused, since entries count each other late.
	reserve = 0.15
)

// Budget permits repeats of at most ratio x first sends + slack in a window, slack divided by the entries.
type Budget struct {
	width time.Duration

	mu      sync.Mutex
	ratio   float64
	slack   float64
	entries int
	parts   [buckets + 1]part
	start   time.Time
}

type part struct {
	index   int64
	first   int
	repeats int
}

// New returns a Budget for one service; window is the span that the bound holds for.
func New(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, width: window / buckets, entries: 1, start: time.Now()}
}

// Bound replaces the ratio and the slack; what has been counted stays.
func (b *Budget) Bound(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// Share tells the budget how many entries divide it.
func (b *Budget) Share(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, entries)
}

// First records the first send of a request.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current().first++
}

// Repeat reports whether a request may be sent once more and counts it if so.
func (b *Budget) Repeat() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.current()
	first, repeats := 0, 0
	for _, p := range b.parts {
		if p.index > now.index-int64(len(b.parts)) {
			first += p.first
			repeats += p.repeats
		}
	}
	allowed := (b.ratio*float64(first) + b.slack/float64(b.entries)) * (1 - reserve)
	if float64(repeats+1) > allowed {
		return false
	}
	now.repeats++
	return true
}

// current returns the part of the present moment.
func (b *Budget) current() *part {
	index := int64(time.Since(b.start) / b.width)
	p := &b.parts[index%int64(len(b.parts))]
	if p.index != index {
		*p = part{index: index}
	}
	return p
}
