package pace

import (
	"slices"
	"sync"
	"time"
)

// maxIntervals is the number of recent streams whose median pause is the usual one.
const maxIntervals = 64

// Interval learns the usual pause between the events of a service's streams. It is safe for concurrent use.
type Interval struct {
	mu     sync.Mutex
	recent []time.Duration
	next   int           // Index of the pause that the next one replaces, once there are maxIntervals.
	usual  time.Duration // The median of recent; 0 before the first.
}

// NewInterval returns an Interval without observations.
func NewInterval() *Interval {
	return &Interval{}
}

// Ratio records the mean pause between the events of a stream and returns its ratio to the usual pause, which includes this one.
// The ratio is within the limits of a factor of Meter.
func (i *Interval) Ratio(pause time.Duration) float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	pause = max(pause, time.Microsecond)
	if len(i.recent) < maxIntervals {
		i.recent = append(i.recent, pause)
	} else {
		i.recent[i.next] = pause
		i.next = (i.next + 1) % maxIntervals
	}
	sorted := slices.Sorted(slices.Values(i.recent))
	i.usual = sorted[len(sorted)/2]
	return min(max(float64(pause)/float64(i.usual), minFactor), maxFactor)
}

// Usual returns the usual pause, 0 if nothing is known.
func (i *Interval) Usual() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.usual
}
