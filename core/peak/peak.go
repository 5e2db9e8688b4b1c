package peak

import (
	"sync"
	"time"
)

// window is the minimum time that a duration counts; the maximum is twice as long.
const window = 20 * time.Second

// Peak is a windowed maximum that is safe for concurrent use.
type Peak struct {
	mu          sync.Mutex
	windowStart time.Time
	current     time.Duration // maximum of the current window
	previous    time.Duration // maximum of the previous window
}

// New returns a Peak without durations.
func New() *Peak {
	return &Peak{}
}

// Add records a duration and returns the maximum of the recent ones, including d.
func (p *Peak) Add(d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.windowStart) > window {
		if now.Sub(p.windowStart) > 2*window {
			p.current = 0
		}
		p.windowStart, p.previous, p.current = now, p.current, 0
	}
	p.current = max(p.current, d)
	return max(p.current, p.previous)
}
