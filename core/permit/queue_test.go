package permit_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/permit"
)

// TestUrgentAsksGoFirst checks the order of asks that wait, that those which can't be in time are refused at once, and that the
// queue is bounded.
func TestUrgentAsksGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 10
		q := permit.New(time.Now())
		time.Sleep(10 * time.Second)
		outcome := make(map[uint64]permit.Outcome)
		var order []uint64
		record := func(replies []permit.Reply) {
			for _, r := range replies {
				outcome[r.Answer.ID] = r.Answer.Outcome
				if r.Answer.Outcome == permit.Granted {
					order = append(order, r.Answer.ID)
				}
			}
		}
		id := uint64(0)
		ask := func(priority uint8, wait time.Duration) uint64 {
			id++
			record(q.Add(permit.Ask{ID: id, Priority: priority, Wait: uint32(wait.Milliseconds())}, netip.AddrPort{}, rate))
			return id
		}
		for range 3 {
			ask(2, 0) // What was saved.
		}
		refused := ask(0, 0)
		late, patient, urgent := ask(2, 140*time.Millisecond), ask(2, time.Second), ask(0, time.Second)
		if outcome[refused] != permit.Refused {
			t.Errorf("got %q for an ask that can't wait, want a refusal", outcome[refused])
		}
		if outcome[late] != permit.Refused {
			t.Errorf("got %q for an ask that an urgent one has made late, want a refusal at once", outcome[late])
		}
		order = nil
		for range 100 {
			record(q.Advance(rate))
			time.Sleep(10 * time.Millisecond)
		}
		if len(order) != 2 || order[0] != urgent || order[1] != patient {
			t.Errorf("got permits for %v, want %v", order, []uint64{urgent, patient})
		}
		for range 1000 {
			ask(1, time.Hour)
		}
		queued := 0
		for _, o := range outcome {
			if o == permit.Queued {
				queued++
			}
		}
		if queued > 64 {
			t.Errorf("%d asks wait, want 64 at most", queued)
		}
	})
}

// TestOffersAreSpread guards against callers that are all told to come back at the same time.
func TestOffersAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 5
		q := permit.New(time.Now())
		time.Sleep(10 * time.Second)
		const perPermit = 1000 / rate // Milliseconds.
		var last uint32
		for i := range uint64(20) {
			r := q.Add(permit.Ask{ID: i + 1, Final: true}, netip.AddrPort{}, rate)[0].Answer
			if r.Outcome == permit.Granted {
				continue
			}
			if last > 0 && r.After < last+perPermit {
				t.Errorf("got %d ms after %d ms, want %d ms more at least", r.After, last, perPermit)
			}
			last = r.After
		}
		if last == 0 {
			t.Error("no ask was refused")
		}
	})
}

// TestRepeatedAskTakesOnePermit checks an ask that is sent again because its answer was lost.
func TestRepeatedAskTakesOnePermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 0.9
		q := permit.New(time.Now())
		time.Sleep(10 * time.Second)
		from := netip.MustParseAddrPort("10.0.0.2:9")
		ask := permit.Ask{ID: 5}
		for range 3 {
			if r := q.Add(ask, from, rate); len(r) != 1 || r[0].Answer.Outcome != permit.Granted {
				t.Errorf("got %+v, want the permit", r)
			}
		}
		if r := q.Add(permit.Ask{ID: 6}, from, rate); r[0].Answer.Outcome != permit.Refused {
			t.Errorf("got %+v, want no second permit", r)
		}
	})
}
