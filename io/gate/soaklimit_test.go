package gate_test

import (
	"fmt"
	"time"

	"pimentoseam/io/simop"
)

// namedLimit is a limit that a replica names in TestSoak, with the requests that count: those of calm gates.
type namedLimit struct {
	perSecond float64
	from      time.Time
	arrivals  []limitedArrival
	most      int // The most requests that counted in a limitWindow.
}

// limitedArrival is a request that a replica with a limit got.
type limitedArrival struct {
	at time.Time
	id string
}

// nameLimit has a replica name a limit for some time, unless it names one already.
func (c *soakCluster) nameLimit(r *simop.Replica, perSecond float64, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits[r] != nil {
		return
	}
	l := &namedLimit{perSecond: perSecond, from: time.Now()}
	c.limits[r] = l
	r.SetOnCall(func(id string) { c.recordLimited(l, id) })
	r.SetLimit(fmt.Sprint(perSecond))
	c.limiting.Go(func() {
		time.Sleep(length)
		r.SetOnCall(nil)
		r.SetLimit("")
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.limits, r)
		if allowed := l.allowed(); l.most > allowed {
			c.excesses = append(c.excesses, fmt.Sprintf("%s got %d requests in %v from calm gates, %d allowed at a limit of %v from %v: %v",
				r.ID, l.most, limitWindow, allowed, perSecond, l.from.Format(time.TimeOnly), l.arrivals))
		}
	})
}

// allowed returns the requests that may arrive in a limitWindow.
func (l *namedLimit) allowed() int {
	return int(limitShare*l.perSecond*limitWindow.Seconds() + limitSlack)
}

// recordLimited records a request that reached a replica with a limit.
func (c *soakCluster) recordLimited(l *namedLimit, id string) {
	if id == "" {
		return // The agent, which may have started again and know nothing.
	}
	gate := c.gateOf(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.isCalm(gate) && now.Sub(l.from) > toldTime {
		l.arrivals = append(l.arrivals, limitedArrival{at: now, id: id})
	}
	if time.Since(l.from) < contactTime {
		return
	}
	n := 0
	for _, a := range l.arrivals {
		if time.Since(a.at) <= limitWindow {
			n++
		}
	}
	l.most = max(l.most, n)
}
