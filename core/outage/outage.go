package outage

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// usualLength is how long an outage of all upstreams of a service lasts at least: a process that has ended starts again
	// and is listed some two seconds later.
	usualLength = 2 * time.Second
	// maxReturn limits the time after which callers may come back, before they are spread.
	maxReturn = 10 * time.Second
	// spread is the share of that time by which callers come back later at most, so that they don't return together.
	spread = 0.5
)

// Outage follows whether one service has an upstream that can be used. Its methods may be called concurrently.
type Outage struct {
	mu    sync.Mutex
	since time.Time // The first refusal of the present outage; zero if there is none.
}

// ReturnAfter returns when a caller may come back who is refused because no upstream can be used for a time to come. An outage
// is expected to last as long again as it has lasted.
func (o *Outage) ReturnAfter(unusable time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		o.since = time.Now()
	}
	after := min(max(usualLength, unusable, time.Since(o.since)), maxReturn)
	return after + time.Duration(spread*rand.Float64()*float64(after))
}

// End records that an upstream of the service can be used.
func (o *Outage) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = time.Time{}
}
