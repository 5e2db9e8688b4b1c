package quota_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/leave"
	"pimentoseam/core/permit"
	"pimentoseam/core/quota"
)

const (
	window      = 4 * time.Second // Any such time counts: an upstream may get half more than its limit allows,
	slack       = 5               // plus so many requests.
	told        = time.Second     // After the first naming of a limit, this long nothing counts.
	gossipDelay = 100 * time.Millisecond
	tellEvery   = 500 * time.Millisecond
	askTimeout  = 80 * time.Millisecond
)

var run = leave.Run{Key: 7, Started: 11}

// fleet is entries that exchange limits and asks with delays, and one upstream.
type fleet struct {
	mu       sync.Mutex // Held while anything happens.
	entries  []*quota.Book
	cut      func(from, to int) bool // Reports whether datagrams from an entry to another one are lost.
	limit    float64
	granted  map[uint64]bool
	pending  map[uint64]permit.Ask
	arrivals []time.Time
}

// after calls do after a delay.
func (f *fleet) after(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		do()
	})
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 9)
}

func newFleet(n int, limit float64) *fleet {
	f := &fleet{limit: limit, cut: func(int, int) bool { return false }, granted: make(map[uint64]bool), pending: make(map[uint64]permit.Ask)}
	for i := range n {
		f.entries = append(f.entries, nil)
		f.start(i)
	}
	return f
}

// start starts an entry, which knows nothing.
func (f *fleet) start(i int) {
	f.entries[i] = quota.New(fmt.Sprint("e", i), addr(i))
}

func listed(leave.Run) bool { return true }

// tell sends the limits of an entry to all others.
func (f *fleet) tell(from int) {
	limits := f.entries[from].Limits(100)
	if len(limits) == 0 {
		return
	}
	for to, e := range f.entries {
		if to == from || f.cut(from, to) {
			continue
		}
		f.after(gossipDelay/2+rand.N(gossipDelay/2), func() {
			_, replies := e.Merge(limits, fmt.Sprint("e", from), listed)
			f.deliver(to, replies)
		})
	}
}

// deliver sends the replies of an owner.
func (f *fleet) deliver(owner int, replies []permit.Reply) {
	for _, r := range replies {
		to := owner
		if r.To.IsValid() {
			to = f.indexOf(r.To)
		}
		if f.cut(owner, to) {
			continue
		}
		f.after(time.Millisecond, func() {
			ask := f.pending[r.Answer.ID]
			f.entries[to].Answered(ask, r.Answer)
			if r.Answer.Outcome == permit.Granted && !f.granted[r.Answer.ID] {
				f.granted[r.Answer.ID] = true
				f.arrive(to)
			}
			if r.Answer.Outcome != permit.Queued {
				delete(f.pending, r.Answer.ID)
			}
		})
	}
}

func (f *fleet) indexOf(a netip.AddrPort) int {
	for i := range f.entries {
		if addr(i) == a {
			return i
		}
	}
	return -1
}

// arrive has a request of an entry reach the upstream, whose answer names the limit.
func (f *fleet) arrive(entry int) {
	sent := time.Now()
	f.arrivals = append(f.arrivals, sent)
	f.after(5*time.Millisecond, func() {
		if _, changed := f.entries[entry].Named(run, f.limit, sent); changed {
			f.tell(entry)
		}
	})
}

// request has an entry send a request if it gets a permit.
func (f *fleet) request(entry int, wait time.Duration) {
	e := f.entries[entry]
	l, ok := e.Get(run)
	if !ok {
		f.arrive(entry)
		return
	}
	if e.NoRoom(run) > 0 && wait == 0 {
		return
	}
	ask := permit.Ask{ID: rand.Uint64(), Run: run, Wait: uint32(wait.Milliseconds())}
	f.pending[ask.ID] = ask
	owner := f.indexOf(l.Addr)
	sent := time.Now()
	if !f.cut(entry, owner) {
		f.after(time.Millisecond, func() {
			from := addr(entry)
			if owner == entry {
				from = netip.AddrPort{}
			}
			f.deliver(owner, f.entries[owner].Ask(ask, from))
		})
	}
	f.after(askTimeout+wait, func() {
		if _, waits := f.pending[ask.ID]; !waits {
			return
		}
		delete(f.pending, ask.ID)
		if _, claimed := f.entries[entry].Unanswered(run, sent); claimed {
			f.tell(entry)
		}
	})
}

// play sends requests a second for a time, each at the entry that pick returns.
func (f *fleet) play(perSecond int, length, wait time.Duration, pick func(i int) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := time.Now().Add(length)
	next := time.Now()
	for i := 0; time.Now().Before(end); i++ {
		f.mu.Unlock()
		time.Sleep(time.Second / time.Duration(perSecond))
		f.mu.Lock()
		f.request(pick(i), wait)
		for n, e := range f.entries {
			replies, _ := e.Due()
			f.deliver(n, replies)
		}
		if time.Now().After(next) {
			next = next.Add(tellEvery)
			for n := range f.entries {
				f.tell(n)
			}
		}
	}
}

// check fails the test if some window after from has too many requests, or fewer than a share of the limit arrived.
func (f *fleet) check(t *testing.T, from time.Time, minUse float64) {
	t.Helper()
	var times []time.Time
	for _, at := range f.arrivals {
		if at.After(from) {
			times = append(times, at)
		}
	}
	allowed, most := int(1.5*f.limit*window.Seconds())+slack, 0
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	length := time.Since(from).Seconds()
	used := float64(len(times)) / (f.limit * length)
	t.Logf("%d entries, limit %v: at most %d in %v, %d allowed; %.2f of the limit used", len(f.entries), f.limit, most, window, allowed, used)
	if most > allowed {
		t.Errorf("got %d requests in %v, want %d at most", most, window, allowed)
	}
	if used < minUse {
		t.Errorf("got %.2f of the limit used, want %.2f at least", used, minUse)
	}
}

// TestLimitIsKeptAndUsed guards against a total that grows with the number of entries, and against shares that nobody can use.
func TestLimitIsKeptAndUsed(t *testing.T) {
	for _, n := range []int{1, 3, 9, 70} {
		for _, limit := range []float64{0.7, 5, 40} {
			for _, even := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d entries, limit %v, even %v", n, limit, even), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(n, limit)
						began := time.Now()
						f.play(100, 25*time.Second, 0, func(i int) int {
							if even {
								return i % n
							}
							return 0
						})
						minUse := 0.5
						if even {
							minUse = 0.75
						}
						f.check(t, began.Add(told), minUse)
					})
				})
			}
		}
	}
}

// TestWaitingAsksUseTheLimit is TestLimitIsKeptAndUsed for requests that wait for a permit.
func TestWaitingAsksUseTheLimit(t *testing.T) {
	for _, n := range []int{3, 70} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n, 5)
				began := time.Now()
				f.play(20, 25*time.Second, 500*time.Millisecond, func(i int) int { return i % n })
				f.check(t, began.Add(told), 0.75)
			})
		})
	}
}

// TestOwnerIsLost guards against a limit that nobody uses once its owner is lost, or that is given out twice when it returns.
func TestOwnerIsLost(t *testing.T) {
	for _, back := range []bool{false, true} {
		t.Run(fmt.Sprint(back), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n = 9
				f := newFleet(n, 5)
				began := time.Now()
				pick := func(i int) int { return i % n }
				f.play(100, 10*time.Second, 0, pick)
				l, _ := f.entries[0].Get(run)
				lost := f.indexOf(l.Addr)
				f.cut = func(from, to int) bool { return from == lost || to == lost }
				for i, e := range f.entries {
					if i != lost {
						e.SetReach(n-1, n)
					}
				}
				f.entries[lost].SetReach(1, n)
				f.play(100, 15*time.Second, 0, pick)
				if back {
					f.cut = func(int, int) bool { return false }
					for _, e := range f.entries {
						e.SetReach(n, n)
					}
				}
				f.play(100, 15*time.Second, 0, pick)
				f.check(t, began.Add(told), 0.5)
			})
		})
	}
}

// TestEntriesStartAgain guards against a limit that is given out anew by each entry that starts.
func TestEntriesStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		f := newFleet(n, 5)
		began := time.Now()
		for round := range 20 {
			f.play(100, 1500*time.Millisecond, 0, func(i int) int { return i % n })
			f.start(round % n)
			f.start((round + 4) % n)
		}
		f.check(t, began.Add(told), 0.3)
	})
}

// TestEntriesOutOfReach guards against entries that each give out the whole limit because they hear nothing of each other.
func TestEntriesOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		f := newFleet(n, 8)
		f.cut = func(from, to int) bool { return from != to }
		for _, e := range f.entries {
			e.SetReach(1, n)
		}
		began := time.Now()
		f.play(100, 40*time.Second, 0, func(i int) int { return i % n })
		f.check(t, began.Add(told+2*time.Second), 0.5)
	})
}

// TestLateAnswersChangeNothing guards against answers that were on their way undoing a newer limit or its end.
func TestLateAnswersChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := quota.New("e", addr(1))
		first := time.Now()
		time.Sleep(time.Second)
		if _, changed := b.Named(run, 7, first); !changed {
			t.Fatal("the first limit is not known")
		}
		time.Sleep(time.Second)
		sent := time.Now()
		time.Sleep(time.Second)
		if _, changed := b.Named(run, 2, sent); !changed {
			t.Fatal("a lower limit is not known")
		}
		if _, changed := b.Named(run, 7, first); changed {
			t.Error("a late answer has raised the limit")
		}
		if _, changed := b.Unnamed(run, first); changed {
			t.Error("a late answer has ended the limit")
		}
		time.Sleep(time.Second)
		sent = time.Now()
		time.Sleep(time.Second)
		if _, changed := b.Unnamed(run, sent); !changed {
			t.Error("the limit has not ended")
		}
		if _, changed := b.Named(run, 2, sent.Add(-time.Millisecond)); changed {
			t.Error("a late answer has brought the limit back")
		}
	})
}

// TestStateEndsWithRun checks that limits are dropped with the runs of their upstreams, that those of unlisted runs aren't taken
// over and that what is told is bounded.
func TestStateEndsWithRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := quota.New("e", addr(1))
		for i := range uint32(300) {
			b.Named(leave.Run{Key: i}, 5, time.Now())
		}
		if n := len(b.Limits(200)); n != 200 {
			t.Errorf("%d limits are told, want 200", n)
		}
		b.Keep(func(r leave.Run) bool { return r.Key < 10 })
		if n := b.InForce(); n != 10 {
			t.Errorf("%d limits in force, want those of the 10 runs that are listed", n)
		}
		told := []quota.Limit{{Run: leave.Run{Key: 10}, Version: 1, Rate: 1000, Term: 1, Owner: "f", Addr: addr(2)}}
		if changes, _ := b.Merge(told, "f", func(r leave.Run) bool { return r.Key < 10 }); len(changes) > 0 || b.InForce() != 10 {
			t.Error("the limit of a run that isn't listed is taken over")
		}
		b.Keep(func(leave.Run) bool { return false })
		if b.InForce() != 0 || len(b.Limits(200)) != 0 {
			t.Error("limits are left")
		}
	})
}

// TestWaveringLimitIsToldSeldom guards against alerts without end for an upstream that names another limit in each answer.
func TestWaveringLimitIsToldSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := quota.New("e", addr(1))
		changes, lowest := 0, true
		const seconds = 20
		for i := range 50 * seconds {
			sent := time.Now()
			time.Sleep(20 * time.Millisecond)
			var changed bool
			switch i % 4 {
			case 0:
				_, changed = b.Named(run, 9, sent)
			case 1:
				_, changed = b.Unnamed(run, sent)
			case 2, 3:
				_, changed = b.Named(run, 3, sent)
				l, ok := b.Get(run)
				lowest = lowest && ok && l.Rate <= 3000
			}
			if changed {
				changes++
			}
		}
		if changes > 3*seconds {
			t.Errorf("%d changes in %d s, want three a second at most", changes, seconds)
		}
		if !lowest {
			t.Error("a fall of the limit didn't count at once")
		}
	})
}

// TestSilentUpstreamGetsOneProbe guards against an upstream with a limit that gets no request at all, and against one that is dark
// and gets request after request.
func TestSilentUpstreamGetsOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := quota.New("e", addr(1))
		b.Named(run, 5, time.Now())
		if b.Probe(run) {
			t.Error("a probe although the upstream has just answered")
		}
		probes := 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if b.Probe(run) {
				probes++
			}
		}
		if probes < 3 || probes > 5 {
			t.Errorf("%d probes in 10 s, want 3 to 5", probes)
		}
		b.Named(run, 5, time.Now())
		if b.Probe(run) {
			t.Error("a probe although the upstream has answered")
		}
	})
}
