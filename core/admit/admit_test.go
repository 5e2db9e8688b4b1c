package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/admit"
)

// request is a ticket that records its notifications.
type request struct {
	*admit.Ticket
	notifiedAt    time.Time
	refused       *admit.Refused
	notifications int // Set to -1 to mark a ticket that the test has released, so that isRunning is false.
}

func offer(q *admit.Queue, caller string, priority int, deadline time.Duration, prompt int) *request {
	req := &request{}
	req.Ticket = &admit.Ticket{Caller: caller, Priority: priority, Deadline: time.Now().Add(deadline), Prompt: prompt}
	req.Notify = func(r *admit.Refused) {
		req.notifications++
		req.refused = r
		req.notifiedAt = time.Now()
	}
	if r := q.Offer(req.Ticket); r != nil {
		req.Notify(r)
	}
	return req
}

func (req *request) isRunning() bool { return req.notifications == 1 && req.refused == nil }

func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

func TestUrgentFirst(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		q := admit.New(1)
		running := offer(q, "a", 0, time.Minute, 1)
		slow := offer(q, "b", 2, time.Minute, 1)
		urgent := offer(q, "c", 0, time.Minute, 1)
		q.Release(running.Ticket)
		if !urgent.isRunning() || slow.notifications != 0 {
			t.Errorf("urgent request running: %t, slow request notified %d times; want the urgent one first", urgent.isRunning(), slow.notifications)
		}
	})
}

// TestRefusedAtOnce checks that a waiting request is refused at most 50 ms after its deadline, and that one that can't
// meet its deadline is refused when it is offered.
func TestRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		q := admit.New(1)
		offer(q, "a", 0, time.Minute, 1)
		waiting := offer(q, "b", 0, 300*time.Millisecond, 1)
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			q.Tick()
		}
		if waiting.refused == nil || waiting.refused.RetryAfter <= 0 {
			t.Fatalf("got %+v, want a refusal with a retry-after time", waiting.refused)
		}
		delay := waiting.notifiedAt.Sub(waiting.Deadline)
		if delay > 50*time.Millisecond {
			t.Errorf("refused %v after its deadline, want at most 50ms", delay)
		}
		if r := offer(q, "c", 0, 0, 100_000); r.refused == nil {
			t.Error("a request that can't meet its deadline was not refused when offered")
		}
	})
}

func TestCancelFreesPlace(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		q := admit.New(1)
		running := offer(q, "a", 0, time.Minute, 1)
		first := offer(q, "b", 0, time.Minute, 1)
		second := offer(q, "c", 0, time.Minute, 1)
		q.Release(first.Ticket)
		q.Release(running.Ticket)
		q.Release(running.Ticket)
		if !second.isRunning() || first.notifications != 0 {
			t.Errorf("second request running: %t, cancelled request notified %d times", second.isRunning(), first.notifications)
		}
		if load := q.Load(); load.Running != 1 || load.Queued != 0 {
			t.Errorf("got load %+v, want one running request and none queued", load)
		}
	})
}

// TestAging checks that a steady load of a higher priority does not starve requests of a lower one.
func TestAging(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		q := admit.New(2, admit.WithReserve(0))
		slow := offer(q, "slow", 5, time.Hour, 1)
		var busy []*request
		for range 4 {
			busy = append(busy, offer(q, "busy", 2, time.Hour, 1))
		}
		late := offer(q, "slow", 5, time.Hour, 1)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			busy = append(busy, offer(q, "busy", 2, time.Hour, 1))
			for _, req := range busy {
				if req.isRunning() {
					q.Release(req.Ticket)
				}
			}
			if slow.isRunning() {
				q.Release(slow.Ticket)
			}
			q.Tick()
		}
		if !late.isRunning() {
			t.Error("a request of low priority did not run in a minute of steady load of a higher priority")
		}
	})
}

// TestFairShare checks that a caller that floods the queue does not starve another one of the same priority. The
// case with quantum 0 turns fair shares off and checks that the other caller then starves.
func TestFairShare(t *testing.T) {
	for _, quantum := range []float64{0, 8} {
		t.Run(fmt.Sprint(quantum), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				q := admit.New(1, admit.WithQuantum(quantum))
				var all []*request
				for range 500 {
					all = append(all, offer(q, "greedy", 1, 50*time.Second, 1))
				}
				modest := offer(q, "modest", 1, 59*time.Second, 1)
				served := 0
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					if i := slices.IndexFunc(all, (*request).isRunning); i >= 0 {
						all[i].notifications = -1
						q.Release(all[i].Ticket)
						served++
					}
				}
				if quantum > 0 && !modest.isRunning() {
					t.Errorf("the modest caller still waits after %d requests of the greedy one", served)
				}
				if quantum == 0 && modest.isRunning() {
					t.Error("without fair shares the modest caller was served, so the test proves nothing")
				}
			})
		})
	}
}

func TestClosedQueue(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		q := admit.New(1)
		running := offer(q, "a", 0, time.Minute, 1)
		q.Close()
		refused := offer(q, "b", 0, time.Minute, 1)
		if refused.refused == nil || refused.refused.Reason != admit.Stopping {
			t.Errorf("got %+v, want a refusal because the upstream is stopping", refused.refused)
		}
		if !running.isRunning() {
			t.Error("the running request was refused")
		}
	})
}
