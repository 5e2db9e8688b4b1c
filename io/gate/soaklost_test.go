package gate_test

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"pimentoseam/io/simop"
)

const (
	allowedLost  = 3                      // Requests that calm gates may leave without an answer.
	overlapTime  = 400 * time.Millisecond // Time for which a run may go on after another one has continued it.
	lateTerm     = 3 * time.Second        // Time after a SIGTERM up to which requests are sent, to their last byte, that may be cut at the end of the grace period.
	graceTime    = 4 * time.Second        // As in newSettings.
	graceShare   = 5.0 / 6                // Of the grace period, after which requests that still run may be cut.
	crashNotice  = 100 * time.Millisecond // Time in which TestSoak learns that a replica has crashed.
	requestLimit = 3 * time.Second        // The shortest time limit of a route, as in configure.
)

// interval is a time in which a gate or a replica had a fault.
type interval struct {
	from, to  time.Time
	isPlanned bool // A SIGTERM of a gate.
}

// faultLog records the faults of gates and replicas by name.
type faultLog map[string][]*interval

// begin records the begin of a fault and returns a function that records its end.
func (c *soakCluster) begin(name string, isPlanned bool) func() {
	i := &interval{from: time.Now(), isPlanned: isPlanned}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[name] = append(c.faults[name], i)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		i.to = time.Now()
	}
}

// find returns the latest fault of a name that overlaps with a time and that is planned or not; nil if there is none. A gate may be
// stopped again soon after its start.
func (f faultLog) find(name string, from, to time.Time, isPlanned bool) *interval {
	for _, i := range slices.Backward(f[name]) {
		if i.isPlanned == isPlanned && i.from.Before(to) && (i.to.IsZero() || i.to.After(from)) {
			return i
		}
	}
	return nil
}

// gateName returns the name of a gate.
func gateName(gate int) string {
	return fmt.Sprintf("gate-%d", gate)
}

// checkLost fails the test if calm gates have left more than allowedLost requests on kept connections without an answer though a
// sound replica got them, or if a gate has cut one of those that it had read before or after a SIGTERM. The lock must be held.
func (c *soakCluster) checkLost(arrivals map[string][]*soakArrival) {
	var lost []string
	for _, result := range c.results {
		at := arrivals[result.id]
		if result.status != 0 || len(at) == 0 || result.timedOut || result.ended.Sub(result.at) > requestLimit {
			continue
		}
		gate := gateName(c.gateOf(result.id))
		isSound := !slices.ContainsFunc(at, func(a *soakArrival) bool {
			return c.faults.find(a.replica, a.Begun.Add(-contactTime), result.ended, false) != nil
		})
		if !isSound || c.faults.find(gate, result.at.Add(-contactTime), result.ended, false) != nil {
			continue
		}
		term := c.faults.find(gate, result.at.Add(-graceTime), result.ended, true)
		switch {
		case term == nil && result.reused && !result.headSeen:
			lost = append(lost, result.id)
		case term == nil:
		case result.sent.Sub(term.from) <= lateTerm && float64(result.ended.Sub(term.from)) > graceShare*float64(graceTime):
		default:
			c.t.Errorf("%s was cut %v after it was sent, %v after the SIGTERM of %s; arrivals %v", result.id, result.ended.Sub(result.sent), result.ended.Sub(term.from), gate, at)
		}
	}
	c.t.Logf("%d requests without an answer from calm gates", len(lost))
	if len(lost) > allowedLost {
		c.t.Errorf("%d requests that sound replicas got had no answer from calm gates, want %d at most: %v", len(lost), allowedLost, lost)
	}
}

// checkOverlaps fails the test if a stream went on at another replica while the one before still worked on it. The lock must be
// held.
func (c *soakCluster) checkOverlaps(arrivals map[string][]*soakArrival) {
	for id, list := range arrivals {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.Prompt || b.Prompt || a.replica == b.replica || a.Status != http.StatusOK || b.Status != http.StatusOK {
					continue
				}
				overlap := a.Ended.Sub(b.Begun)
				if overlap > overlapTime && c.faults.find(gateName(c.gateOf(id)), a.Begun.Add(-contactTime), a.Ended, false) == nil {
					c.t.Errorf("%s went on at %s while %s worked on it for %v", id, b.replica, a.replica, overlap)
				}
			}
		}
	}
}

// soakArrival is an arrival at a replica.
type soakArrival struct {
	*simop.Arrival
	replica string
}

// String returns the replica, the time and the status.
func (a *soakArrival) String() string {
	return fmt.Sprintf("%s %s +%v status %d", a.replica, a.Begun.Format(time.StampMilli), a.Ended.Sub(a.Begun), a.Status)
}

// arrive returns a function that records the arrivals at a replica.
func (c *soakCluster) arrive(replica, service string) func(*simop.Arrival) {
	tally := c.repeats.arrive(service)
	return func(a *simop.Arrival) {
		tally(a)
		c.arrivalsMu.Lock()
		defer c.arrivalsMu.Unlock()
		c.arrivals[a.ID] = append(c.arrivals[a.ID], &soakArrival{Arrival: a, replica: replica})
	}
}

// sortedArrivals returns the arrivals of each request in order.
func (c *soakCluster) sortedArrivals() map[string][]*soakArrival {
	c.arrivalsMu.Lock()
	defer c.arrivalsMu.Unlock()
	for _, list := range c.arrivals {
		slices.SortFunc(list, func(a, b *soakArrival) int { return a.Begun.Compare(b.Begun) })
	}
	return c.arrivals
}
