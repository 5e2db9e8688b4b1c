package admit

import (
	"time"
)

// schedule refuses tickets that would miss their deadline and starts the next ones while slots are free.
func (q *Queue) schedule(now time.Time) {
	q.refuseLate(now)
	for q.running < q.slots {
		next := q.next(now)
		if next == nil {
			return
		}
		q.remove(next)
		q.start(next, now)
	}
}

func (q *Queue) refuseLate(now time.Time) {
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if now.Add(q.timeToFirstTokenIfStarted(t)).After(t.Deadline) {
			t.done = true
			t.Notify(&Refused{Reason: TooLate, RetryAfter: q.retryAfter(t.Priority)})
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// timeToFirstTokenIfStarted estimates the time to the first token of t if it started now. Prompts of priority 0 are
// processed before others, so only their own processing counts.
func (q *Queue) timeToFirstTokenIfStarted(t *Ticket) time.Duration {
	if t.Priority == 0 {
		return q.prefillTime(t)
	}
	return maxStartDelay + time.Duration(float64(q.prefillTokens+t.Prompt)/q.prefillRate*float64(time.Second))
}

func (q *Queue) start(t *Ticket, now time.Time) {
	q.urgentLoad.add(float64(q.running-q.lowRunning), now)
	t.running, t.inPrefill = true, true
	t.startedAt = now
	if q.prefillTokens == 0 {
		q.prefillSince = now
	}
	q.prefillTokens += t.Prompt
	q.running++
	if t.Priority > 0 {
		q.lowRunning++
	}
	q.virtualTime[t.Priority] = max(q.virtualTime[t.Priority], t.virtualStart)
	q.pruneCallers()
	t.Notify(nil)
}

// pruneCallers limits the size of virtualFinish. Once that holds 2*defaultMaxQueued callers, it deletes those whose
// virtual finish time is at most the virtual time of every priority. A priority that has started no ticket doesn't
// count, except for priority 0: its virtual time is then 0, so no caller is deleted.
func (q *Queue) pruneCallers() {
	if len(q.virtualFinish) < 2*defaultMaxQueued {
		return
	}
	minTime := q.virtualTime[0]
	for _, v := range q.virtualTime {
		minTime = min(minTime, v)
	}
	for caller, finish := range q.virtualFinish {
		if finish <= minTime {
			delete(q.virtualFinish, caller)
		}
	}
}

// next returns the ticket to start next, or nil if none may start.
func (q *Queue) next(now time.Time) *Ticket {
	var best *Ticket
	limit := q.slots - q.reservedSlots()
	q.minVirtualStart = q.minVirtualStarts()
	for _, t := range q.waiting {
		if t.Priority > 0 && (q.lowRunning >= limit || q.exceedsPrefillLimit(t)) {
			continue
		}
		if best == nil || q.less(t, best, now) {
			best = t
		}
	}
	return best
}

// exceedsPrefillLimit reports whether t must wait because too many prompt tokens are being processed. A prompt
// above the limit may be processed alone.
func (q *Queue) exceedsPrefillLimit(t *Ticket) bool {
	return q.prefillLimit > 0 && q.prefillTokens > 0 && q.prefillTokens+t.Prompt > q.prefillLimit
}

// less reports whether a goes before b. It orders by priority with aging, processed prompts first, callers
// within their fair share, deadline and arrival.
func (q *Queue) less(a, b *Ticket, now time.Time) bool {
	if pa, pb := q.agedPriority(a, now), q.agedPriority(b, now); pa != pb {
		return pa < pb
	}
	if a.Prefilled != b.Prefilled {
		return a.Prefilled
	}
	if oa, ob := q.isOverShare(a), q.isOverShare(b); oa != ob {
		return ob
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

// agedPriority returns the ticket's priority raised by one level for each aging period that it has waited.
// Aging never raises a ticket to priority 0.
func (q *Queue) agedPriority(t *Ticket, now time.Time) int {
	if q.agingPeriod <= 0 || t.Priority == 0 {
		return t.Priority
	}
	return max(t.Priority-int(now.Sub(t.queuedAt)/q.agingPeriod), 1)
}

// minVirtualStarts returns the minimum virtual start time of the waiting tickets for each priority that has any.
func (q *Queue) minVirtualStarts() map[int]float64 {
	starts := make(map[int]float64)
	for _, t := range q.waiting {
		if start, ok := starts[t.Priority]; !ok || t.virtualStart < start {
			starts[t.Priority] = t.virtualStart
		}
	}
	return starts
}

// isOverShare reports whether the ticket's virtual start time is more than the quantum after the earliest of the
// waiting tickets of its priority.
func (q *Queue) isOverShare(t *Ticket) bool {
	return q.quantum > 0 && t.virtualStart > q.minVirtualStart[t.Priority]+q.quantum
}

// timeToFirstToken estimates the time to the first token of a new ticket.
func (q *Queue) timeToFirstToken(t *Ticket) time.Duration {
	return max(q.slotWait(t.Priority), q.backlog(t.Priority)) + q.prefillTime(t)
}

// backlog estimates the time to process the prompts that go before a new ticket of a priority. It is 0 for priority
// 0, since upstreams process those prompts first.
func (q *Queue) backlog(priority int) time.Duration {
	if priority == 0 {
		return 0
	}
	tokens := q.prefillTokens
	for _, t := range q.waiting {
		if t.Priority <= priority {
			tokens += t.Prompt
		}
	}
	return time.Duration(float64(tokens) / q.prefillRate * float64(time.Second))
}

// slotWait estimates how long a new ticket of a priority waits for a slot.
func (q *Queue) slotWait(priority int) time.Duration {
	ahead := 0
	for _, t := range q.waiting {
		if t.Priority <= priority {
			ahead++
		}
	}
	slots, running := q.slots, q.running
	if priority > 0 {
		slots, running = q.slots-q.reservedSlots(), q.lowRunning
	}
	slots = max(slots, 1)
	excess := ahead + running - slots + 1 // Tickets that must end first.
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(q.slotTime) * float64(excess) / float64(slots))
}

// prefillTime estimates the time to process the prompt of t alone.
func (q *Queue) prefillTime(t *Ticket) time.Duration {
	return time.Duration(float64(t.Prompt) / q.prefillRate * float64(time.Second))
}

func (q *Queue) retryAfter(priority int) time.Duration {
	return max(q.slotWait(priority), q.backlog(priority), minRetryAfter)
}
