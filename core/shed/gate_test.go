package shed_test

import (
	"testing"
	"time"

	"pimentoseam/core/shed"
)

func TestDecide(t *testing.T) {
	long := shed.Load{Target: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, Left: 8 * time.Second}
	short := shed.Load{Target: 250 * time.Millisecond, Patience: 2 * time.Second, Left: 8 * time.Second}
	large := long
	large.Work = 900 * time.Millisecond
	tests := []struct {
		name  string
		load  shed.Load
		delay time.Duration
		left  time.Duration
		admit bool
	}{
		{"in time", long, 500 * time.Millisecond, 8 * time.Second, true},
		{"late at first", long, 1500 * time.Millisecond, 8 * time.Second, false},
		{"late after a return", long, 950 * time.Millisecond, 6 * time.Second, true},
		{"far behind after a return", long, 1500 * time.Millisecond, 6 * time.Second, false},
		{"hopeless after a return", long, 3 * time.Second, 6 * time.Second, false},
		{"its own work is too long to be in time", large, 1150 * time.Millisecond, 8 * time.Second, true},
		{"the same, far behind others", large, 1500 * time.Millisecond, 8 * time.Second, false},
		{"its own work after a return", large, 1150 * time.Millisecond, 6 * time.Second, true},
		{"hopeless for the deadline", long, 900 * time.Millisecond, time.Second, false},
		{"a little late", short, 270 * time.Millisecond, 8 * time.Second, true},
		{"late for the urgent", short, 600 * time.Millisecond, 8 * time.Second, false},
		{"late for the urgent after a return", short, 600 * time.Millisecond, 6700 * time.Millisecond, true},
		{"too late for the urgent", short, 1200 * time.Millisecond, 8 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := test.load
			l.Delay, l.Left, l.Stated, l.Full = test.delay, test.left, test.left, 8*time.Second
			v := shed.Decide(&l)
			if v.Admit != test.admit {
				t.Fatalf("got %+v, want admit %v", v, test.admit)
			}
			if !v.Admit && (v.After <= 0 || v.After > l.Left/3) {
				t.Errorf("come back after %v, want within a third of %v", v.After, l.Left)
			}
		})
	}
}

// TestOverload plays long prompts at 1.5 times what one engine processes, with and without refusals, and
// counts what callers get in time. Callers come back once, as they are told, and leave after their patience.
func TestOverload(t *testing.T) {
	const (
		work    = 150 * time.Millisecond
		every   = 100 * time.Millisecond
		callers = 600
	)
	play := func(refuse bool) (inTime, served int) {
		type visit struct {
			at, first time.Duration
			back      bool
		}
		var queue []visit
		for i := range callers {
			queue = append(queue, visit{at: time.Duration(i) * every, first: time.Duration(i) * every})
		}
		free := time.Duration(0) // When the engine has done all that it was given.
		for len(queue) > 0 {
			next := 0
			for i, v := range queue {
				if v.at < queue[next].at {
					next = i
				}
			}
			v := queue[next]
			queue = append(queue[:next], queue[next+1:]...)
			l := shed.Load{
				Delay: max(0, free-v.at) + work, Target: 800 * time.Millisecond, Patience: 3200 * time.Millisecond,
				Left: 8*time.Second - (v.at - v.first), Stated: 8*time.Second - (v.at - v.first), Full: 8 * time.Second,
			}
			if refuse {
				if verdict := shed.Decide(&l); !verdict.Admit {
					if !v.back {
						queue = append(queue, visit{at: v.at + verdict.After, first: v.first, back: true})
					}
					continue
				}
			}
			free = max(free, v.at) + work
			if l.Delay > l.Patience {
				continue // The caller has left; its prompt is processed all the same.
			}
			served++
			if free-v.first <= l.Target {
				inTime++
			}
		}
		return inTime, served
	}
	inTime, served := play(true)
	naiveInTime, naiveServed := play(false)
	t.Logf("in time %d and served %d of %d, without refusals %d and %d", inTime, served, callers, naiveInTime, naiveServed)
	if inTime < 2*naiveInTime {
		t.Errorf("%d in time, want twice the %d without refusals", inTime, naiveInTime)
	}
	if served < naiveServed {
		t.Errorf("%d served, want as many as the %d without refusals", served, naiveServed)
	}
}

// TestBack states what callers have left: those that come first state 0.85 to 1 of the most.
func TestBack(t *testing.T) {
	const full = 8 * time.Second
	for stated, want := range map[time.Duration]bool{0: false, full: false, 6900 * time.Millisecond: false, 6700 * time.Millisecond: true} {
		if got := (&shed.Load{Stated: stated, Full: full}).Back(); got != want {
			t.Errorf("%v of %v left: got %v, want %v", stated, full, got, want)
		}
	}
	// Who is refused comes back late enough to be known, whatever it stated first.
	for stated := 6800 * time.Millisecond; stated <= full; stated += 100 * time.Millisecond {
		l := shed.Load{Delay: 400 * time.Millisecond, Target: 250 * time.Millisecond, Patience: 2 * time.Second, Left: stated, Stated: stated, Full: full}
		v := shed.Decide(&l)
		if v.Admit {
			t.Fatalf("%v left: admitted, want it refused", stated)
		}
		l.Stated -= v.After
		if !l.Back() {
			t.Errorf("%v left, back after %v: not known", stated, v.After)
		}
	}
}
