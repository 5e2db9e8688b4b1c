package permit

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// burstTime is the time whose permits an owner saves up while nobody asks, besides one permit.
	burstTime = 250 * time.Millisecond
	// maxQueue limits the asks that wait for a permit of one limit.
	maxQueue = 64
	// maxOffer limits the time after which callers are told to come back. Most have given up by then.
	maxOffer = 10 * time.Second
	// repeatTime is how long a granted ask is remembered, in case its answer was lost and it is sent again.
	repeatTime = time.Second
)

// Queue holds the permits of a limit that its owner may give out, and the asks that wait for one, the most urgent first.
type Queue struct {
	tokens  float64
	at      time.Time // When tokens was up to date. In the future, no permit is given out before.
	waiting []waiter
	offered time.Time // When the caller that was refused last may come back.
	granted map[uint64]time.Time
}

// waiter is an ask that waits.
type waiter struct {
	ask      Ask
	from     netip.AddrPort
	deadline time.Time
}

// New returns a queue that gives out its first permit some time after start.
func New(start time.Time) *Queue {
	return &Queue{at: start, granted: make(map[uint64]time.Time)}
}

// refill adds the permits of the time that has passed at a rate a second.
func (q *Queue) refill(rate float64) {
	now := time.Now()
	if passed := now.Sub(q.at); passed > 0 {
		q.tokens += rate * passed.Seconds()
		q.at = now
	}
	q.tokens = min(q.tokens, 1+rate*burstTime.Seconds())
}

// wait returns the time until there are n permits.
func (q *Queue) wait(n int, rate float64) time.Duration {
	missing := float64(n) - q.tokens
	return max(0, time.Until(q.at)) + max(0, time.Duration(missing/rate*float64(time.Second)))
}

// Add handles an ask and returns the answers to it and to those that it displaces.
func (q *Queue) Add(a Ask, from netip.AddrPort, rate float64) []Reply {
	replies := q.Advance(rate)
	now := time.Now()
	if at, ok := q.granted[a.ID]; ok && now.Sub(at) < repeatTime {
		return append(replies, Reply{To: from, Answer: Answer{ID: a.ID, Outcome: Granted}})
	}
	if i := slices.IndexFunc(q.waiting, func(w waiter) bool { return w.ask.ID == a.ID }); i >= 0 {
		return append(replies, Reply{To: from, Answer: Answer{ID: a.ID, Outcome: Queued, After: milliseconds(q.wait(i+1, rate))}})
	}
	position := len(q.waiting)
	for position > 0 && q.waiting[position-1].ask.Priority > a.Priority {
		position--
	}
	w := waiter{ask: a, from: from, deadline: now.Add(time.Duration(a.Wait) * time.Millisecond)}
	wait := q.wait(position+1, rate)
	switch {
	case wait <= 0:
		return append(replies, q.grant(w))
	case wait > time.Until(w.deadline) || position >= maxQueue:
		return append(replies, q.refuse(w, rate))
	}
	q.waiting = slices.Insert(q.waiting, position, w)
	replies = append(replies, Reply{To: from, Answer: Answer{ID: a.ID, Outcome: Queued, After: milliseconds(wait)}})
	return append(replies, q.drop(rate)...)
}

// Advance gives permits to the asks that wait for them, and refuses those that wait in vain.
func (q *Queue) Advance(rate float64) []Reply {
	q.refill(rate)
	var replies []Reply
	for len(q.waiting) > 0 && q.tokens >= 1 && !time.Now().Before(q.at) {
		w := q.waiting[0]
		q.waiting = q.waiting[1:]
		replies = append(replies, q.grant(w))
	}
	return append(replies, q.drop(rate)...)
}

// grant takes a permit for an ask.
func (q *Queue) grant(w waiter) Reply {
	now := time.Now()
	for id, at := range q.granted {
		if now.Sub(at) >= repeatTime {
			delete(q.granted, id)
		}
	}
	q.tokens--
	q.granted[w.ask.ID] = now
	return Reply{To: w.from, Answer: Answer{ID: w.ask.ID, Outcome: Granted}}
}

// drop refuses the asks that can't get a permit in time, and those beyond maxQueue.
func (q *Queue) drop(rate float64) []Reply {
	var replies []Reply
	kept := q.waiting[:0:0]
	for _, w := range q.waiting {
		if len(kept) >= maxQueue || q.wait(len(kept)+1, rate) > time.Until(w.deadline) {
			replies = append(replies, q.refuse(w, rate))
			continue
		}
		kept = append(kept, w)
	}
	q.waiting = kept
	return replies
}

// refuse refuses an ask and tells when there will be room. Callers that are to come back get one time after the other.
func (q *Queue) refuse(w waiter, rate float64) Reply {
	after := q.wait(len(q.waiting)+1, rate)
	if w.ask.Final {
		now := time.Now()
		offer := now.Add(after)
		if next := q.offered.Add(time.Duration(float64(time.Second) / rate)); next.After(offer) {
			offer = next
		}
		if limit := now.Add(maxOffer); offer.After(limit) {
			offer = limit
		}
		q.offered, after = offer, offer.Sub(now)
	}
	return Reply{To: w.from, Answer: Answer{ID: w.ask.ID, Outcome: Refused, After: milliseconds(max(after, time.Millisecond))}}
}

// GrantAll gives a permit to all asks that wait, since the limit has ended.
func (q *Queue) GrantAll() []Reply {
	var replies []Reply
	for _, w := range q.waiting {
		replies = append(replies, q.grant(w))
	}
	q.waiting = nil
	return replies
}

// Dissolve refuses all asks that wait, since another entry has become the owner.
func (q *Queue) Dissolve() []Reply {
	var replies []Reply
	for _, w := range q.waiting {
		replies = append(replies, Reply{To: w.from, Answer: Answer{ID: w.ask.ID, Outcome: Moved}})
	}
	q.waiting = nil
	return replies
}

// Next returns when Advance has something to do, and false if no ask waits.
func (q *Queue) Next(rate float64) (time.Time, bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	at := time.Now().Add(q.wait(1, rate))
	for _, w := range q.waiting {
		if w.deadline.Before(at) {
			at = w.deadline
		}
	}
	return at, true
}

// milliseconds returns d in whole milliseconds, rounded up.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, (d+time.Millisecond-1)/time.Millisecond), math.MaxUint32))
}
