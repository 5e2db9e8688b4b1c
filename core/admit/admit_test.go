package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/admit"
)

// waiter is a ticket that records what became of it.
type waiter struct {
	*admit.Ticket
	began   time.Time
	refused *admit.Refused
	told    int
}

func offer(q *admit.Queue, caller string, priority int, first time.Duration, prompt int) *waiter {
	w := &waiter{}
	w.Ticket = &admit.Ticket{Caller: caller, Priority: priority, Deadline: time.Now().Add(first), Prompt: prompt}
	w.Notify = func(r *admit.Refused) {
		w.told++
		w.refused = r
		w.began = time.Now()
	}
	if r := q.Offer(w.Ticket); r != nil {
		w.Notify(r)
	}
	return w
}

func (w *waiter) runs() bool { return w.told == 1 && w.refused == nil }

func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

func TestUrgentFirst(t *testing.T) {
	bubble(t, func(t *testing.T) {
		q := admit.New(1)
		running := offer(q, "a", 0, time.Minute, 1)
		slow := offer(q, "b", 2, time.Minute, 1)
		urgent := offer(q, "c", 0, time.Minute, 1)
		q.Release(running.Ticket)
		if !urgent.runs() || slow.told != 0 {
			t.Errorf("urgent runs %t, slow told %d times; want the urgent one first", urgent.runs(), slow.told)
		}
	})
}

// TestRefusedAtOnce checks that a request is refused as soon as its deadline can't be met.
func TestRefusedAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		q := admit.New(1)
		offer(q, "a", 0, time.Minute, 1)
		waiting := offer(q, "b", 0, 300*time.Millisecond, 1)
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			q.Tick()
		}
		if waiting.refused == nil || waiting.refused.RetryAfter <= 0 {
			t.Fatalf("got %+v, want a refusal with a time to come back", waiting.refused)
		}
		late := waiting.began.Sub(waiting.Deadline)
		if late > 50*time.Millisecond {
			t.Errorf("refused %v after its deadline, want at most 50ms", late)
		}
		if never := offer(q, "c", 0, 0, 100_000); never.refused == nil {
			t.Error("a request that can't meet its deadline was not refused when offered")
		}
	})
}

func TestCancelFreesPlace(t *testing.T) {
	bubble(t, func(t *testing.T) {
		q := admit.New(1)
		running := offer(q, "a", 0, time.Minute, 1)
		first := offer(q, "b", 0, time.Minute, 1)
		second := offer(q, "c", 0, time.Minute, 1)
		q.Release(first.Ticket)
		q.Release(running.Ticket)
		q.Release(running.Ticket)
		if !second.runs() || first.told != 0 {
			t.Errorf("second runs %t, cancelled told %d times", second.runs(), first.told)
		}
		if load := q.Load(); load.Running != 1 || load.Queued != 0 {
			t.Errorf("got load %+v, want one running", load)
		}
	})
}

// TestAging checks that slow work moves under a steady load of the priority above it.
func TestAging(t *testing.T) {
	bubble(t, func(t *testing.T) {
		q := admit.New(2, admit.WithReserve(0))
		slow := offer(q, "slow", 5, time.Hour, 1)
		var busy []*waiter
		for range 4 {
			busy = append(busy, offer(q, "busy", 2, time.Hour, 1))
		}
		late := offer(q, "slow", 5, time.Hour, 1)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			busy = append(busy, offer(q, "busy", 2, time.Hour, 1))
			for _, w := range busy {
				if w.runs() {
					q.Release(w.Ticket)
				}
			}
			if slow.runs() {
				q.Release(slow.Ticket)
			}
			q.Tick()
		}
		if !late.runs() {
			t.Error("a slow request did not run in a minute of steady load above it")
		}
	})
}

// TestFairShare lets one caller flood the queue; others of its priority still get their share.
func TestFairShare(t *testing.T) {
	for _, quantum := range []float64{0, 8} {
		t.Run(fmt.Sprint(quantum), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				q := admit.New(1, admit.WithQuantum(quantum))
				var all []*waiter
				for range 500 {
					all = append(all, offer(q, "greedy", 1, 50*time.Second, 1))
				}
				modest := offer(q, "modest", 1, 59*time.Second, 1)
				served := 0
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					if i := slices.IndexFunc(all, (*waiter).runs); i >= 0 {
						all[i].told = -1
						q.Release(all[i].Ticket)
						served++
					}
				}
				if quantum > 0 && !modest.runs() {
					t.Errorf("the modest caller waits after %d requests of the greedy one", served)
				}
				if quantum == 0 && modest.runs() {
					t.Error("without fair shares the modest caller was served, so the test shows nothing")
				}
			})
		})
	}
}

func TestClosedQueue(t *testing.T) {
	bubble(t, func(t *testing.T) {
		q := admit.New(1)
		running := offer(q, "a", 0, time.Minute, 1)
		q.Close()
		refused := offer(q, "b", 0, time.Minute, 1)
		if refused.refused == nil || refused.refused.Reason != admit.Stopping {
			t.Errorf("got %+v, want a refusal because it stops", refused.refused)
		}
		if !running.runs() {
			t.Error("the running request was told otherwise")
		}
	})
}
