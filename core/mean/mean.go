package mean

import (
	"sync/atomic"
	"time"
)

// weight is the smoothing factor; the newest 20 durations make up about two thirds of the average.
const weight = 0.05

// Mean is a moving average that is safe for concurrent use.
type Mean struct {
	value atomic.Int64 // nanoseconds, 0 before the first duration
}

// New returns a Mean without durations.
func New() *Mean {
	return &Mean{}
}

// Add updates the average with a duration.
func (m *Mean) Add(d time.Duration) {
	for {
		old := m.value.Load()
		next := old + int64(weight*float64(int64(d)-old))
		if old == 0 {
			next = int64(d)
		}
		if m.value.CompareAndSwap(old, next) {
			return
		}
	}
}

// Value returns the average, or 0 before the first duration.
func (m *Mean) Value() time.Duration {
	return time.Duration(m.value.Load())
}
