package gate

import (
	"sync"
	"time"
)

// demandSpan is the least time that a rate is measured over.
const demandSpan = 400 * time.Millisecond

// demand measures how much prompt work the callers of this entry ask for.
type demand struct {
	mu    sync.Mutex
	asked uint64 // Count at the beginning of the span.
	began time.Time
	last  uint64 // Rate of the span before.
}

// rate returns how fast a count has risen lately, a second.
func (d *demand) rate(asked uint64) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.began.IsZero() {
		d.began, d.asked = now, asked
		return 0
	}
	if span := now.Sub(d.began); span >= demandSpan {
		d.last = uint64(float64(asked-d.asked) / span.Seconds())
		d.began, d.asked = now, asked
	}
	return d.last
}

// demanded returns the prompt work that the callers of all entries ask for, in engines.
func (g *Gate) demanded() float64 {
	sum := g.demand.rate(g.prompted.Load())
	for _, p := range g.gossip.LivePeers() {
		sum += p.Beat.PromptWork
	}
	return float64(sum) / 1000 // Milliseconds a second.
}
