package admit

import (
	"time"
)

// advance drops late tickets and starts the best ones while slots are free.
func (q *Queue) advance(now time.Time) {
	q.dropLate(now)
	for q.running < q.slots {
		best := q.best(now)
		if best == nil {
			return
		}
		q.remove(best)
		q.begin(best, now)
	}
}

func (q *Queue) dropLate(now time.Time) {
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if now.Add(q.soonest(t)).After(t.Deadline) {
			t.left = true
			t.Notify(&Refused{Reason: TooLate, RetryAfter: q.retry(t.Priority)})
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// soonest returns the time until t would have its first token if it ran now.
func (q *Queue) soonest(t *Ticket) time.Duration {
	if t.Priority == 0 {
		return q.prefill(t)
	}
	return startDelay + time.Duration(float64(q.tokens+t.Prompt)/q.speed*float64(time.Second))
}

func (q *Queue) begin(t *Ticket, now time.Time) {
	q.urgent.add(float64(q.running-q.low), now)
	t.running, t.prompt = true, true
	t.started = now
	if q.tokens == 0 {
		q.busy = now
	}
	q.tokens += t.Prompt
	q.running++
	if t.Priority > 0 {
		q.low++
	}
	q.clock[t.Priority] = max(q.clock[t.Priority], t.start)
	q.forget()
	t.Notify(nil)
}

// forget drops the virtual times of callers that are no longer ahead.
func (q *Queue) forget() {
	if len(q.finish) < 2*defaultLength {
		return
	}
	lowest := q.clock[0]
	for _, c := range q.clock {
		lowest = min(lowest, c)
	}
	for caller, f := range q.finish {
		if f <= lowest {
			delete(q.finish, caller)
		}
	}
}

// best returns the ticket to start next, or nil.
func (q *Queue) best(now time.Time) *Ticket {
	var best *Ticket
	limit := q.slots - q.reserve()
	q.least = q.starts()
	for _, t := range q.waiting {
		if t.Priority > 0 && (q.low >= limit || q.crowded(t)) {
			continue
		}
		if best == nil || q.before(t, best, now) {
			best = t
		}
	}
	return best
}

// crowded reports whether the prompt of t must wait for those being processed.
func (q *Queue) crowded(t *Ticket) bool {
	return q.burst > 0 && q.tokens > 0 && q.tokens+t.Prompt > q.burst
}

// before orders by priority with aging, then callers within their share, then deadline.
func (q *Queue) before(a, b *Ticket, now time.Time) bool {
	if la, lb := q.level(a, now), q.level(b, now); la != lb {
		return la < lb
	}
	if a.Prefilled != b.Prefilled {
		return a.Prefilled
	}
	if ga, gb := q.greedy(a), q.greedy(b); ga != gb {
		return gb
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

// level is the ticket's priority less one for each aging period that it has waited.
// A ticket of a lower priority never passes one of priority 0.
func (q *Queue) level(t *Ticket, now time.Time) int {
	if q.aging <= 0 || t.Priority == 0 {
		return t.Priority
	}
	return max(t.Priority-int(now.Sub(t.joined)/q.aging), 1)
}

// starts returns the least virtual start time that waits in each priority.
func (q *Queue) starts() map[int]float64 {
	least := make(map[int]float64)
	for _, t := range q.waiting {
		if at, ok := least[t.Priority]; !ok || t.start < at {
			least[t.Priority] = t.start
		}
	}
	return least
}

// greedy reports whether the ticket's caller is ahead of another that waits.
func (q *Queue) greedy(t *Ticket) bool {
	return q.quantum > 0 && t.start > q.least[t.Priority]+q.quantum
}

// expected returns the time until t could have its first token.
func (q *Queue) expected(t *Ticket) time.Duration {
	return max(q.wait(t.Priority), q.backlog(t.Priority)) + q.prefill(t)
}

// backlog returns the time to process the prompts that go before a new ticket of the given priority.
func (q *Queue) backlog(priority int) time.Duration {
	if priority == 0 {
		return 0
	}
	tokens := q.tokens
	for _, t := range q.waiting {
		if t.Priority <= priority {
			tokens += t.Prompt
		}
	}
	return time.Duration(float64(tokens) / q.speed * float64(time.Second))
}

// wait estimates the wait for a slot of a new ticket of the given priority.
func (q *Queue) wait(priority int) time.Duration {
	ahead := 0
	for _, t := range q.waiting {
		if t.Priority <= priority {
			ahead++
		}
	}
	slots, running := q.slots, q.running
	if priority > 0 {
		slots, running = q.slots-q.reserve(), q.low
	}
	slots = max(slots, 1)
	busy := ahead + running - slots + 1
	if busy <= 0 {
		return 0
	}
	return time.Duration(float64(q.hold) * float64(busy) / float64(slots))
}

func (q *Queue) prefill(t *Ticket) time.Duration {
	return time.Duration(float64(t.Prompt) / q.speed * float64(time.Second))
}

func (q *Queue) retry(priority int) time.Duration {
	return max(q.wait(priority), q.backlog(priority), minRetry)
}
