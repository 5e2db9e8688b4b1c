package blame_test

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pimentoseam/core/blame"
	"pimentoseam/core/leave"
)

// site is a service whose engines crash 20 ms, or read, after they got a prompt with one part.
type site struct {
	name        string
	engines     int
	every       int           // One in that many prompts has the part.
	attempts    int           // Of a prompt.
	gap         time.Duration // Between prompts.
	read        time.Duration
	entries     int
	cut         int  // Sound prompts that each crash cuts off, one if it isn't set.
	wasAnswered bool // The part did no harm before.

	length   time.Duration // Half a minute if it isn't set.
	seen     seen          // How crashes show; by refused connections if it isn't set.
	back     time.Duration // Time until a crashed engine is back, which shows each crash; 3 s if it isn't set.
	harmless time.Duration // For so long, prompts with the part are answered.
	answered int           // One in that many prompts with the part is answered; 0 for none.
	ordinary time.Duration // Between crashes of other causes; 0 for none.
	seed     uint64        // Engines and crashes of other causes are random if it is set.
}

// maxLateArrivals is the number of prompts with a part that crashes engines that may reach engines later than three seconds after the
// fifth crash.
const maxLateArrivals = 3

// seen is how entries learn of a crash.
type seen string

// The ways.
const (
	refused seen = ""       // At once, since the engine's address refuses connections.
	closed  seen = "closed" // It closes connections, and its next run registers later.
	silent  seen = "silent" // Its next run registers.
)

// run is what happens at a site.
type run struct {
	*site
	began   time.Time
	ledgers []*blame.Ledger
	down    []time.Time // Until when each engine is down.
	due     []attempt   // Prompts with the part at engines.
	crashes int
	fifth   time.Time
	blocked time.Duration // Time until the part was blocked; 0 for never.
	late    int           // Prompts with the part that reached engines later than three seconds after the fifth crash.
	refused int           // Sound prompts that reached no engine later than six seconds after it.
	random  *rand.Rand
	reports []dueReport
	others  int // Crashes of other causes.
}

// dueReport is what an entry learns at a time.
type dueReport struct {
	at     time.Time
	ledger *blame.Ledger
	report *blame.Report
}

// attempt is a prompt with the part at an engine.
type attempt struct {
	at      time.Time // When the engine crashes.
	n, left int
	engine  int
	trial   bool
}

// share has all entries tell each other what they know.
func (r *run) share() {
	for _, from := range r.ledgers {
		report := from.Report()
		for _, to := range r.ledgers {
			to.Merge(report)
		}
	}
}

// send sends a prompt to the next engine that is up.
func (r *run) send(n, left int, isBad bool) {
	l := r.ledgers[n%r.entries]
	parts := []blame.Part{system, other, blame.Part(2_000_000 + n)}
	if isBad {
		parts[1] = bad
	}
	isTrial := false
	if isBlocked(l, parts...) {
		return
	}
	if l.Held(parts) {
		id, ok := l.Begin(parts)
		if !ok || left < r.attempts {
			return
		}
		r.share()
		if isTrial = l.Confirm(id); !isTrial {
			return
		}
	}
	first := n
	if r.random != nil {
		first = r.random.IntN(r.engines)
	}
	for i := range r.engines {
		at := (first + i) % r.engines
		if time.Now().Before(r.down[at]) {
			continue
		}
		l.Sent(parts)
		if !isBad {
			l.Answered(parts)
			return
		}
		if time.Since(r.began) < r.harmless || r.answered > 0 && r.random.IntN(r.answered) == 0 {
			l.Answered(parts)
		} else {
			r.due = append(r.due, attempt{at: time.Now().Add(r.read), n: n, left: left - 1, engine: at, trial: isTrial})
		}
		if !r.fifth.IsZero() && time.Since(r.fifth) > 3*time.Second {
			r.late++
		}
		return
	}
	if !isBad && !r.fifth.IsZero() && time.Since(r.fifth) > 6*time.Second {
		r.refused++
	}
}

// crash ends the engine of an attempt, with a sound prompt that is there, and sends the prompt on.
func (r *run) crash(a attempt) {
	l := r.ledgers[a.n%r.entries]
	if time.Now().After(r.down[a.engine]) {
		r.down[a.engine] = time.Now().Add(r.back)
		r.crashes++
		if r.crashes == 5 {
			r.fifth = time.Now()
		}
		sets := [][]blame.Part{{system, bad, blame.Part(2_000_000 + a.n)}}
		for i := range max(1, r.cut) {
			cut := []blame.Part{system, other, blame.Part(1_000_000 + 10*a.n + i)}
			l.Sent(cut)
			sets = append(sets, cut)
		}
		r.learn(l, crash(r.crashes, false, sets...))
	}
	if a.left > 0 && !a.trial {
		r.send(a.n, a.left, true)
	}
}

// learn has an entry learn of a crash in the way of the site.
func (r *run) learn(l *blame.Ledger, report *blame.Report) {
	later := dueReport{at: time.Now().Add(r.back), ledger: l, report: report}
	switch r.seen {
	case refused:
		l.Merge(report)
	case closed:
		l.Merge(&blame.Report{Unsure: report.Crashes})
		r.reports = append(r.reports, later)
	case silent:
		r.reports = append(r.reports, later)
	}
	r.share()
}

// crashOther ends an engine for another cause, with sound prompts that are there.
func (r *run) crashOther() {
	r.others++
	at := r.random.IntN(r.engines)
	if time.Now().Before(r.down[at]) {
		return
	}
	r.down[at] = time.Now().Add(r.back)
	l := r.ledgers[r.random.IntN(r.entries)]
	var sets [][]blame.Part
	for i := range 1 + r.random.IntN(4) {
		cut := []blame.Part{system, other, blame.Part(3_000_000 + 10*r.others + i)}
		l.Sent(cut)
		sets = append(sets, cut)
	}
	r.learn(l, crash(10_000+r.others, false, sets...))
}

// play plays half a minute, or the length of the site.
func (r *run) play() {
	r.length, r.back = cmp.Or(r.length, 30*time.Second), cmp.Or(r.back, 3*time.Second)
	if r.seed > 0 {
		r.random = rand.New(rand.NewPCG(r.seed, 6))
	}
	began := time.Now()
	r.began = began
	for i := range 100 * r.entries {
		answer(r.ledgers[i%r.entries], []blame.Part{system, other})
		if r.wasAnswered {
			answer(r.ledgers[i%r.entries], []blame.Part{system, bad})
		}
	}
	next, told := 0, time.Now()
	for time.Since(began) < r.length {
		time.Sleep(10 * time.Millisecond)
		if r.ordinary > 0 && time.Since(began) > time.Duration(r.others+1)*r.ordinary {
			r.crashOther()
		}
		for len(r.reports) > 0 && !time.Now().Before(r.reports[0].at) {
			first := r.reports[0]
			r.reports = r.reports[1:]
			ageCrashes(first.report, r.back)
			first.ledger.Merge(first.report)
			r.share()
		}
		if time.Since(began) >= time.Duration(next)*r.gap {
			r.send(next, r.attempts, next%r.every == 0)
			next++
		}
		for len(r.due) > 0 && !time.Now().Before(r.due[0].at) {
			first := r.due[0]
			r.due = r.due[1:]
			r.crash(first)
		}
		if time.Since(told) >= time.Second/2 {
			told = time.Now()
			for _, l := range r.ledgers {
				l.Review()
			}
			r.share()
		}
		if r.blocked == 0 && isBlocked(r.ledgers[0], system, bad) {
			r.blocked = time.Since(began)
		}
	}
}

// TestRequestsAfterFifthCrash guards against prompts that go on to crash engines while the statistics don't suffice to block a part:
// with a part in half of the prompts, with rare ones, with retries, with crashes at one moment, and with long prompts.
func TestRequestsAfterFifthCrash(t *testing.T) {
	const ms = time.Millisecond
	tests := []site{
		{name: "few parts", engines: 6, every: 10, attempts: 2, gap: 60 * ms, entries: 2},
		{name: "often", engines: 6, every: 4, attempts: 2, gap: 60 * ms, entries: 2},
		{name: "half of all", engines: 6, every: 2, attempts: 2, gap: 60 * ms, entries: 2},
		{name: "rare", engines: 6, every: 30, attempts: 1, gap: 60 * ms, entries: 1},
		{name: "few requests", engines: 6, every: 3, attempts: 2, gap: 500 * ms, entries: 1},
		{name: "at one moment", engines: 8, every: 30, attempts: 5, gap: 60 * ms, entries: 1},
		{name: "two engines", engines: 2, every: 4, attempts: 2, gap: 60 * ms, entries: 2},
		{name: "long prompts", engines: 6, every: 30, attempts: 2, gap: 60 * ms, read: 1200 * ms, entries: 2},
		{name: "many long prompts", engines: 12, every: 10, attempts: 2, gap: 60 * ms, read: 1200 * ms, entries: 2},
		{name: "answered before", engines: 6, every: 10, attempts: 2, gap: 60 * ms, entries: 2, wasAnswered: true},
		{name: "often, answered before", engines: 6, every: 4, attempts: 2, gap: 60 * ms, entries: 2, wasAnswered: true},
		{name: "many cut off", engines: 6, every: 10, attempts: 2, gap: 60 * ms, entries: 2, cut: 4},
		{name: "many cut off, often", engines: 6, every: 4, attempts: 2, gap: 60 * ms, entries: 2, cut: 6},
		{name: "twenty entries", engines: 40, every: 10, attempts: 2, gap: 20 * ms, entries: 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRun(&test)
				r.play()
				t.Logf("%d crashes, blocked after %v, %d late, %d sound ones refused", r.crashes, r.blocked, r.late, r.refused)
				isKept := r.blocked > 0 || r.ledgers[0].Held([]blame.Part{system, bad})
				if r.late > maxLateArrivals || !isKept || r.refused > 0 {
					t.Error("want the part blocked or held, three late requests at most and no sound ones refused")
				}
				if isBlocked(r.ledgers[0], system, other) {
					t.Errorf("sound parts blocked: %v", r.ledgers[0].Blocks())
				}
			})
		})
	}
}

// ageCrashes sets how long ago the crashes of a report were.
func ageCrashes(r *blame.Report, age time.Duration) {
	for i := range r.Crashes {
		r.Crashes[i].Age = uint32(age.Milliseconds())
	}
}

// newRun returns a run at a site whose entries know nothing.
func newRun(s *site) *run {
	r := &run{site: s, down: make([]time.Time, s.engines)}
	for range s.entries {
		l := blame.New()
		l.SetEntries(s.entries)
		r.ledgers = append(r.ledgers, l)
	}
	return r
}

// TestArrivalsHoweverCrashesShow guards against more than three prompts with a part that reach engines after the fifth crash when
// crashes aren't seen by refused connections, when the part was harmless before, and when engines crash for other causes or sound
// requests are few.
func TestArrivalsHoweverCrashesShow(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []site{
		{name: "refused", engines: 6, every: 10, attempts: 2, gap: 60 * ms, entries: 2},
		{name: "closed", engines: 6, every: 10, attempts: 2, gap: 60 * ms, entries: 2, seen: closed},
		{name: "closed, back after 5 s", engines: 6, every: 10, attempts: 2, gap: 60 * ms, entries: 2, seen: closed, back: 5000 * ms},
		{name: "closed, back after 12 s", engines: 9, every: 10, attempts: 2, gap: 60 * ms, entries: 2, seen: closed, back: 12000 * ms},
		{name: "closed, long prompts", engines: 6, every: 30, attempts: 2, gap: 60 * ms, read: 1200 * ms, entries: 2, seen: closed},
		{name: "closed, often", engines: 6, every: 4, attempts: 2, gap: 60 * ms, entries: 2, seen: closed, back: 5000 * ms},
		{name: "closed, many cut off", engines: 6, every: 10, attempts: 2, gap: 60 * ms, entries: 2, cut: 4, seen: closed, back: 5000 * ms},
		{name: "closed, answered before", engines: 6, every: 10, attempts: 2, gap: 60 * ms, entries: 2, seen: closed, back: 5000 * ms, wasAnswered: true},
		{name: "silent", engines: 9, every: 10, attempts: 2, gap: 60 * ms, entries: 2, seen: silent},
		{name: "harmless for 5 s", engines: 9, every: 3, attempts: 2, gap: 40 * ms, read: 60 * ms, entries: 4, harmless: 5000 * ms, ordinary: 1000 * ms},
		{name: "few sound requests", engines: 9, every: 2, attempts: 2, gap: 180 * ms, read: 60 * ms, entries: 4, ordinary: 1000 * ms},
		{name: "closed, few sound requests", engines: 9, every: 2, attempts: 2, gap: 180 * ms, read: 60 * ms, entries: 4, ordinary: 1000 * ms, seen: closed},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			checkArrivals(t, test, 12)
		})
	}
}

// TestArrivalsOfSometimesAnsweredPart guards against the same when the part is answered now and then.
func TestArrivalsOfSometimesAnsweredPart(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []site{
		{name: "one in ten answered", engines: 9, every: 3, attempts: 2, gap: 40 * ms, read: 60 * ms, entries: 4, answered: 10, ordinary: 1000 * ms},
		{name: "one in thirty answered", engines: 9, every: 3, attempts: 2, gap: 40 * ms, read: 60 * ms, entries: 4, answered: 30, ordinary: 1000 * ms},
	} {
		t.Run(test.name, func(t *testing.T) { checkArrivals(t, test, 40) })
	}
}

// checkArrivals plays a site for a minute with each seed and checks that three prompts with the part at most reach engines later than
// three seconds after the fifth crash, and that no sound part is blocked.
func checkArrivals(t *testing.T, test site, seeds uint64) {
	t.Helper()
	failed, most, crashes, kept := 0, 0, 0, 0
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			s := test
			s.length, s.seed = time.Minute, seed+1
			r := newRun(&s)
			r.play()
			if r.late > maxLateArrivals {
				failed++
			}
			most, crashes = max(most, r.late), max(crashes, r.crashes)
			if r.blocked > 0 || r.ledgers[0].Held([]blame.Part{system, bad}) {
				kept++
			}
			if isBlocked(r.ledgers[0], system, other) {
				t.Errorf("seed %d: sound parts blocked: %v", seed, r.ledgers[0].Blocks())
			}
		})
	}
	t.Logf("%d late arrivals and %d crashes at most, kept out in the end with %d of %d seeds", most, crashes, kept, seeds)
	if failed > 0 {
		t.Errorf("%d of %d seeds with more than %d late arrivals", failed, seeds, maxLateArrivals)
	}
}

// TestSoundPartHeld guards against a new part that was at some crashes by chance staying held or being blocked.
func TestSoundPartHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		for n := range 3 {
			l.Merge(crash(n, true, []blame.Part{system, other, blame.Part(500 + n)}))
		}
		sound := []blame.Part{system, other, 600}
		if !l.Held(sound) || l.Held([]blame.Part{system, 601}) {
			t.Fatalf("held: with the part %v, without it %v; want the former only", l.Held(sound), l.Held([]blame.Part{system, 601}))
		}
		if _, ok := l.Begin(sound); ok {
			t.Error("a trial right after the crashes")
		}
		time.Sleep(time.Second)
		if _, ok := l.Begin(sound); !ok {
			t.Error("no trial after a second")
		}
		if _, ok := l.Begin(sound); ok {
			t.Error("two trials at once")
		}
		answer(l, sound)
		if l.Held(sound) || isBlocked(l, sound...) {
			t.Error("still held after an answer")
		}
		l.Merge(crash(3, true, sound))
		if l.Held(sound) {
			t.Error("held again after one more crash")
		}
	})
}

// TestHoldOfOtherCause guards against engines that crash whatever they get keeping a new part held.
func TestHoldOfOtherCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		for n := range 3 {
			l.Merge(crash(n, true, []blame.Part{system, other}))
		}
		if !l.Held([]blame.Part{system, other}) {
			t.Fatal("not held")
		}
		for n := range 3 {
			time.Sleep(time.Second)
			l.Merge(crash(3+n, true, []blame.Part{system, other + 1 + blame.Part(n)}))
		}
		if l.Held([]blame.Part{system, other}) || len(l.Blocks()) > 0 {
			t.Error("held although other prompts crash engines as well")
		}
	})
}

// TestOneTrialOfAllEntries guards against entries that try the same parts at the same time, and checks that all hold them.
func TestOneTrialOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledgers := []*blame.Ledger{blame.New(), blame.New(), blame.New()}
		share := func() {
			for _, from := range ledgers {
				r := from.Report()
				for _, to := range ledgers {
					to.Merge(r)
				}
			}
		}
		answerOthers(ledgers[0], 100)
		for n := range 3 {
			ledgers[0].Merge(crash(n, false, []blame.Part{system, bad}))
		}
		share()
		time.Sleep(time.Second)
		confirmed := 0
		var ids []uint64
		for i, l := range ledgers {
			if !l.Held([]blame.Part{system, bad}) {
				t.Errorf("entry %d doesn't hold the parts", i)
			}
			if id, ok := l.Begin([]blame.Part{system, bad}); ok {
				ids = append(ids, id)
			}
		}
		share()
		for i, id := range ids {
			if ledgers[i].Confirm(id) {
				confirmed++
			}
		}
		if len(ids) != len(ledgers) || confirmed != 1 {
			t.Errorf("%d of %d trials confirmed, want one of three", confirmed, len(ids))
		}
	})
}

// TestTrialWithoutResult guards against trials that did not run, or whose responses are long, keeping sound parts held.
func TestTrialWithoutResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := blame.New(), blame.New()
		answerOthers(l, 100)
		sound := []blame.Part{system, other, 600}
		for n := range 3 {
			l.Merge(crash(n, true, sound))
		}
		peer.Merge(l.Report())
		for range 5 {
			time.Sleep(time.Second)
			id, ok := l.Begin(sound)
			if !ok {
				t.Fatal("no trial after others that did not run")
			}
			peer.Merge(l.Report())
			l.Void(id)
			peer.Merge(l.Report())
		}
		time.Sleep(time.Second)
		if _, ok := peer.Begin(sound); !ok {
			t.Error("no trial at another entry after trials that did not run")
		}
		peer.Outlived(sound, blame.Onset+time.Millisecond)
		l.Merge(peer.Report())
		if peer.Held(sound) || l.Held(sound) {
			t.Error("held although an engine has not crashed")
		}
	})
}

// TestCrashBeforeRegistration guards against crashes of an engine that the entries don't know to be back yet counting as the crash
// before, and against each entry counting them anew.
func TestCrashBeforeRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := blame.New(), blame.New()
		engine := leave.Run{Key: 7, Started: 1}
		for n := range 3 {
			if isBlocked(l, bad) {
				t.Fatalf("blocked after %d crashes", n)
			}
			time.Sleep(3 * time.Second)
			answerOthers(l, 200)
			prompt := []blame.Suspect{{Begun: true, Parts: []blame.Part{system, bad, blame.Part(500 + n)}}}
			l.Crashed(engine, time.Now(), prompt)
			time.Sleep(10 * time.Millisecond)
			peer.Crashed(engine, time.Now(), prompt)
			l.Merge(peer.Report())
			peer.Merge(l.Report())
			if got := len(l.Report().Crashes); got != n+1 {
				t.Errorf("%d crashes known after %d", got, n+1)
			}
		}
		answerOthers(l, 200)
		l.Review()
		if !isBlocked(l, system, bad) {
			t.Error("not blocked after three crashes")
		}
	})
}

// TestOrdinaryCrashes plays engines that crash at random times, alone and together, under prompts with new and old parts. No part
// may be blocked, and few prompts may be held back.
func TestOrdinaryCrashes(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			type running struct {
				engine int
				ends   time.Time
				parts  []blame.Part
			}
			random := rand.New(rand.NewPCG(seed, 2))
			l := blame.New()
			var list []running
			sent, refused, crashes := 0, 0, 0
			for n := range 2000 { // A hundred seconds.
				time.Sleep(50 * time.Millisecond)
				// Popular subjects, and new ones all the time.
				parts := []blame.Part{system, other + blame.Part(random.IntN(1+random.IntN(40))), blame.Part(10_000 + n/20 + random.IntN(40)), blame.Part(1_000_000 + n)}
				sent++
				_, isTrial := l.Begin(parts)
				if isBlocked(l, parts...) || (l.Held(parts) && !isTrial) {
					refused++
				} else {
					l.Sent(parts)
					list = append(list, running{engine: random.IntN(8), ends: time.Now().Add(time.Duration(200+random.IntN(2000)) * time.Millisecond), parts: parts})
				}
				if random.IntN(20) == 0 {
					first, many := random.IntN(8), 1+random.IntN(8)/7*6 // Some crashes are losses of most engines.
					for engine := first; engine < first+many; engine++ {
						crashes++
						c := blame.Crash{Run: leave.Run{Key: uint32(crashes), Started: 1}}
						var rest []running
						for _, r := range list {
							if r.engine == engine%8 {
								c.Suspects = append(c.Suspects, blame.Suspect{Parts: r.parts, Begun: random.IntN(4) == 0})
							} else {
								rest = append(rest, r)
							}
						}
						list = rest
						l.Merge(&blame.Report{Crashes: []blame.Crash{c}})
					}
				}
				var rest []running
				for _, r := range list {
					if time.Now().Before(r.ends) {
						rest = append(rest, r)
						continue
					}
					l.Answered(r.parts)
				}
				list = rest
				l.Review()
				if blocks := l.Blocks(); len(blocks) > 0 {
					t.Fatalf("seed %d: got blocks %v after %d crashes", seed, blocks, crashes)
				}
			}
			t.Logf("%d crashes, %d of %d prompts held back", crashes, refused, sent)
			if refused*50 > sent {
				t.Errorf("seed %d: %d of %d prompts were held back, want one in fifty at most", seed, refused, sent)
			}
		})
	}
}
