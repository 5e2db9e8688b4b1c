package blame_test

import (
	"encoding/hex"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/blame"
	"pimentoseam/core/leave"
)

// The parts of prompts that crash engines at the same time as those with bad.
const (
	bad2 blame.Part = 3
	bad3 blame.Part = 4
)

// lateCrash returns a crash with one request that had its first event a time before.
func lateCrash(n int, after time.Duration, parts ...blame.Part) *blame.Report {
	return &blame.Report{Late: []blame.LateCrash{{Run: leave.Run{Key: uint32(n), Started: 1}, Suspects: []blame.LateSuspect{{After: uint32(after.Milliseconds()), Parts: parts}}}}}
}

// crashLate has engines crash some time after the first events of prompts with a part, each time another prompt.
func crashLate(l *blame.Ledger, from, crashes int, after time.Duration, part blame.Part) {
	for n := range crashes {
		l.Merge(lateCrash(from+n, after, system, part, blame.Part(10_000+from+n)))
		time.Sleep(300 * time.Millisecond) // So that they count as several moments.
	}
	review(l)
}

// review waits for the next look at the evidence, which entries take a few times a second.
func review(l *blame.Ledger) {
	time.Sleep(300 * time.Millisecond)
	l.Review()
}

// TestHoldOutlastsCrashesOfOthers guards against a hold that ends because prompts with other parts crash engines, too.
func TestHoldOutlastsCrashesOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		for n := range 3 {
			l.Merge(crash(n, true, []blame.Part{system, bad, blame.Part(500 + n)}))
		}
		for n := range 6 {
			time.Sleep(time.Second)
			parts := []blame.Part{system, bad2, blame.Part(600 + n)}
			if n%2 > 0 {
				parts[1] = bad3
			}
			l.Merge(crash(10+n, true, parts))
			if next := []blame.Part{system, bad, 700}; !l.Held(next) && !isBlocked(l, next...) {
				t.Fatalf("not held after %d crashes under other parts", n+1)
			}
		}
	})
}

// TestHoldOutlastsBlockOfOthers guards against a hold that ends at the moment at which other parts, which explain the crashes, are
// blocked.
func TestHoldOutlastsBlockOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		crashLate(l, 0, 3, 1500*time.Millisecond, bad)
		for n := range 12 {
			time.Sleep(time.Second)
			answerOthers(l, 100)
			crashLate(l, 10+n, 1, 1500*time.Millisecond, bad2)
			if next := []blame.Part{system, bad, 700}; !l.Held(next) && !isBlocked(l, next...) {
				t.Fatalf("not held after %d crashes under another part", n+1)
			}
		}
		if !isBlocked(l, system, bad2, 700) {
			t.Error("the other part isn't blocked")
		}
	})
}

// TestLiftedHoldReturns guards against a part that goes on crashing engines for a minute since its hold ended by mistake.
func TestLiftedHoldReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		next := []blame.Part{system, bad, 700}
		for n := range 3 {
			l.Merge(crash(n, false, []blame.Part{system, bad, blame.Part(500 + n)}))
		}
		for n := range 4 {
			time.Sleep(time.Second)
			l.Merge(crash(10+n, false, []blame.Part{system, 1_000_000, blame.Part(600 + n)}))
		}
		if l.Held(next) {
			t.Fatal("held although engines crash without the part")
		}
		for n := range 2 {
			time.Sleep(time.Second)
			l.Merge(crash(20+n, false, []blame.Part{system, bad, blame.Part(800 + n)}))
		}
		if !l.Held(next) {
			t.Error("not held again after two more crashes")
		}
	})
}

// TestHoldAfterTwoBegun guards against a third engine that crashes although the first two did under a part that none had answered.
func TestHoldAfterTwoBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		l.Merge(crash(1, true, []blame.Part{system, bad, 500}))
		if l.Held([]blame.Part{system, bad, 501}) {
			t.Error("held after one crash")
		}
		l.Merge(crash(2, true, []blame.Part{system, bad, 500})) // The same request came again.
		if !l.Held([]blame.Part{system, bad, 501}) {
			t.Error("not held after two crashes")
		}
		if l.Held([]blame.Part{system, 501}) {
			t.Error("a prompt without the part is held")
		}
	})
}

// TestHoldOfManyEntries guards against a part that is held late because each of many entries has seen few answers.
func TestHoldOfManyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		l.SetEntries(16)
		answerOthers(l, 2)
		prompt := []blame.Part{system, bad, 500}
		for range 3 {
			l.Sent(prompt)
		}
		crashLate(l, 0, 3, 1500*time.Millisecond, bad)
		if !l.Held(prompt) {
			t.Error("not held after three crashes and some 32 answers to others")
		}
	})
}

// TestAnsweredPartBesideNewOnes guards against holds of a part that most prompts have, when some of them crash engines for other parts,
// and against trials of it that are spent by these.
func TestAnsweredPartBesideNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		time.Sleep(time.Second)
		for n := range 8 {
			part := []blame.Part{bad, bad2}[n%2]
			l.Merge(crash(n, true, []blame.Part{system, part, blame.Part(500 + n)}, []blame.Part{system, blame.Part(2_000_000 + n)}))
			time.Sleep(400 * time.Millisecond)
		}
		if l.Held([]blame.Part{system, 900}) {
			t.Error("the part of all prompts is held")
		}
	})
}

// TestTrialsThatDidNotRun guards against two trials of one set at once because earlier ones, which did not run, displace them.
func TestTrialsThatDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := blame.New(), blame.New()
		prompt := []blame.Part{system, bad, 500}
		for _, ledger := range []*blame.Ledger{l, peer} {
			answerOthers(ledger, 100)
			for n := range 2 {
				ledger.Merge(crash(n, true, prompt))
			}
		}
		time.Sleep(time.Second)
		for range 40 { // While no engine is up.
			id, ok := l.Begin(prompt)
			if !ok {
				t.Fatal("no trial after others that did not run")
			}
			l.Void(id)
			time.Sleep(100 * time.Millisecond)
		}
		peer.Merge(l.Report())
		own, isOwn := l.Begin(prompt)
		others, isOthers := peer.Begin(prompt)
		l.Merge(peer.Report())
		peer.Merge(l.Report())
		if !isOwn || !isOthers {
			t.Fatalf("trials begin: %v, %v", isOwn, isOthers)
		}
		if l.Confirm(own) == peer.Confirm(others) {
			t.Error("both entries make a trial, or none")
		}
	})
}

// TestFewTrials guards against one trial after the other of which each is expected to decide and doesn't, since each crash has more
// suspects than expected.
func TestFewTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 30)
		crashLate(l, 0, 5, 1500*time.Millisecond, bad)
		next := []blame.Part{system, bad, 700}
		trials := 0
		for n := range 100 { // 15 seconds.
			time.Sleep(150 * time.Millisecond)
			answerOthers(l, 5)
			l.Review()
			if isBlocked(l, next...) {
				break
			}
			if _, ok := l.Begin(next); !ok {
				continue
			}
			trials++
			l.Sent(next)
			time.Sleep(1600 * time.Millisecond)
			r := lateCrash(100+n, 1500*time.Millisecond, next...)
			for i := range 7 {
				parts := []blame.Part{system, 1_000_000 + blame.Part(i), blame.Part(20_000 + 10*n + i)}
				l.Sent(parts)
				r.Late[0].Suspects = append(r.Late[0].Suspects, blame.LateSuspect{After: 1500, Parts: parts})
			}
			l.Merge(r)
		}
		if trials > 3 {
			t.Errorf("%d trials in 15 seconds, want 3 at most", trials)
		}
	})
}

// TestLateCrashes guards against prompts that crash engines seconds after their first event: parts that are never suspect, and holds
// that an answer ends which has not gone on for longer.
func TestLateCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		crashLate(l, 0, 3, 4*time.Second, bad)
		next := []blame.Part{system, bad, 600}
		if !l.Held(next) {
			t.Fatal("not held after three crashes")
		}
		if l.Outlived(next, 5*time.Second) || !l.Held(next) {
			t.Error("not held although an answer has gone on for little longer than those before")
		}
		for n := range 3 {
			time.Sleep(2 * time.Second)
			answerOthers(l, 100)
			crashLate(l, 10+n, 1, 4*time.Second, bad)
		}
		if !isBlocked(l, next...) {
			t.Error("not blocked after six crashes")
		}
	})
}

// TestLateAtBusyEngines guards against a part that is never found since each crash has many requests in other states.
func TestLateAtBusyEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		for n := range 3 {
			time.Sleep(time.Second)
			var suspects []blame.Suspect
			for i := range 30 {
				suspects = append(suspects, blame.Suspect{Parts: []blame.Part{system, 1_000_000 + blame.Part(i), blame.Part(100*n + i)}})
				suspects = append(suspects, blame.Suspect{Parts: []blame.Part{system, 1_000_050 + blame.Part(i), blame.Part(100*n + 50 + i)}, After: 3 * time.Second})
			}
			l.Crashed(leave.Run{Key: uint32(n), Started: 1}, time.Now(), append(suspects, blame.Suspect{Parts: []blame.Part{system, bad, blame.Part(9000 + n)}, After: 2 * time.Second}))
		}
		review(l)
		if !l.Held([]blame.Part{system, bad, 9009}) {
			t.Error("not held after three crashes")
		}
	})
}

// TestLateBesideNewParts guards against a part that is never found since other new parts are at an earlier state in each crash.
func TestLateBesideNewParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		for n := range 3 {
			time.Sleep(2 * time.Second)
			l.Crashed(leave.Run{Key: uint32(n), Started: 1}, time.Now(), []blame.Suspect{
				{Parts: []blame.Part{system, other + blame.Part(n), 500 + blame.Part(n)}},
				{Parts: []blame.Part{system, bad, 600 + blame.Part(n)}, After: 1500 * time.Millisecond},
			})
		}
		if !l.Held([]blame.Part{system, bad, 700}) {
			t.Error("not held after three crashes")
		}
		if l.Held([]blame.Part{system, other, 701}) {
			t.Error("a part that was at one crash is held")
		}
	})
}

// TestLongAnswerEndsHold guards against sound parts that stay held while an answer goes on for longer than any crash took.
func TestLongAnswerEndsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		crashLate(l, 0, 3, 1500*time.Millisecond, 300)
		sound := []blame.Part{system, 300, 600}
		if !l.Held(sound) {
			t.Fatal("not held")
		}
		time.Sleep(time.Second)
		if !l.Outlived(sound, 3100*time.Millisecond) || l.Held(sound) {
			t.Error("held although an answer has gone on for twice as long")
		}
	})
}

// TestComesAgain guards against holds of a sound prompt that broke off in some crashes long after its first event and came again, and
// against a part of one session's prompts that is never held.
func TestComesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		for n := range 5 {
			if l.Held([]blame.Part{system, 300, 500}) {
				t.Errorf("held after %d crashes of one request", n)
			}
			l.Merge(lateCrash(n, 2*time.Second, system, 300, 500))
			review(l)
			time.Sleep(time.Second)
		}
		if !l.Held([]blame.Part{system, 300, 500}) {
			t.Error("not held after five crashes")
		}
	})
}

// TestOftenBesideBlocked guards against a part that is never held since the block of another one explains most of its crashes.
func TestOftenBesideBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const second blame.Part = 3
		l := blame.New()
		answerOthers(l, 100)
		for n := range 7 {
			time.Sleep(2 * time.Second)
			answerOthers(l, 100)
			var suspects []blame.Suspect
			if n < 5 {
				suspects = append(suspects, blame.Suspect{Parts: []blame.Part{system, bad, 500 + blame.Part(n)}, After: 1500 * time.Millisecond})
			}
			if n > 1 {
				suspects = append(suspects, blame.Suspect{Parts: []blame.Part{system, second, 600}, After: 1500 * time.Millisecond})
			}
			l.Crashed(leave.Run{Key: uint32(n), Started: 1}, time.Now(), suspects)
			review(l)
		}
		if !isBlocked(l, system, bad, 500) {
			t.Error("the first part is not blocked after five crashes")
		}
		if !l.Held([]blame.Part{system, second, 600}) {
			t.Error("the second part is not held after five crashes")
		}
	})
}

// TestLateCrashIsNoUrgentNews guards against alerts at once, of all entries, about each late suspect that one of them adds.
func TestLateCrashIsNoUrgentNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := blame.New(), blame.New()
		l.Crashed(leave.Run{Key: 7, Started: 8}, time.Now(), []blame.Suspect{{Parts: []blame.Part{1, 3}, After: 2 * time.Second}})
		r := l.Report()
		if len(r.Crashes) > 0 || len(r.Late) != 1 {
			t.Errorf("reported: %v, late %v", r.Crashes, r.Late)
		}
		if _, changed := peer.Merge(r); changed {
			t.Error("a late suspect is urgent news")
		}
		if len(peer.Report().Late) != 1 {
			t.Error("a late suspect isn't passed on")
		}
	})
}

// TestKnownCrashIsNoNews guards against reports that count as news each time since not all requests in them are kept.
func TestKnownCrashIsNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		reports := make([]*blame.Report, 8) // Of eight entries, with four requests each; sixteen are kept.
		for i := range reports {
			var sets [][]blame.Part
			for k := range 4 {
				sets = append(sets, []blame.Part{system, other + blame.Part(4*i+k)})
			}
			reports[i] = crash(7, false, sets...)
		}
		news := 0
		for range 3 {
			for _, r := range reports {
				if _, changed := l.Merge(r); changed {
					news++
				}
			}
		}
		if news != 4 {
			t.Errorf("%d of 24 reports are news, want those 4 with requests that are kept", news)
		}
		begun := crash(7, true, []blame.Part{system, bad})
		if _, changed := l.Merge(begun); !changed {
			t.Error("a more suspect request is no news")
		}
		if _, changed := l.Merge(begun); changed {
			t.Error("the more suspect request is news twice")
		}
	})
}

// TestOrdinaryLateCrashes guards against sound parts that are blocked since long answers break off in crashes of other causes.
func TestOrdinaryLateCrashes(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			l := blame.New()
			subjects := 20 + random.IntN(300)
			prompt := func(n int) []blame.Part {
				return []blame.Part{system, other + blame.Part(random.IntN(subjects)), blame.Part(1_000_000 + n)}
			}
			for n := range 100 {
				time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
				for i := range 3 + random.IntN(8) {
					parts := prompt(1000*n + i)
					l.Sent(parts)
					l.Answered(parts)
				}
				var suspects []blame.Suspect
				for i := range 1 + random.IntN(14) {
					parts := prompt(1000*n + 500 + i)
					l.Sent(parts)
					suspects = append(suspects, blame.Suspect{Parts: parts, After: time.Duration(random.IntN(2)*(1+random.IntN(6))) * time.Second})
				}
				l.Crashed(leave.Run{Key: uint32(n), Started: 1}, time.Now(), suspects)
				l.Review()
			}
			if blocks := l.Blocks(); len(blocks) > 0 {
				t.Errorf("seed %d: blocks %v without a part at fault, %d subjects", seed, blocks, subjects)
			}
		})
	}
}

// TestFullReport guards against reports that don't fit into a datagram beside the rest of an alert.
func TestFullReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		answerOthers(l, 100)
		next := blame.Part(1 << 40)
		parts := func(n int) []blame.Part {
			list := make([]blame.Part, n)
			for i := range list {
				next++
				list[i] = next
			}
			return list
		}
		blocks := &blame.Report{}
		for range 64 {
			blocks.Blocks = append(blocks.Blocks, blame.Block{Parts: parts(16)})
		}
		for range 8 {
			blocks.Holds = append(blocks.Holds, blame.Block{Parts: parts(16)})
		}
		for id := range uint64(32) {
			blocks.Trials = append(blocks.Trials, blame.Trial{ID: 1<<60 + id, Parts: parts(16)})
		}
		l.Merge(blocks)
		for n := range 16 {
			var suspects []blame.Suspect
			for i := range 32 {
				suspects = append(suspects, blame.Suspect{Parts: parts(300), After: time.Duration(i%2) * time.Minute})
			}
			l.Crashed(leave.Run{Key: 1<<30 + uint32(n), Started: 1 << 50}, time.Now(), suspects)
			time.Sleep(300 * time.Millisecond)
		}
		data, err := cbor.Marshal(l.Report())
		if err != nil || len(data) > 32<<10 {
			t.Errorf("report of %d bytes, %v; want 32 kB at most", len(data), err)
		}
		t.Logf("%d bytes", len(data))
	})
}

// TestWeigh guards against evidence that a trial of a request hides from its own parts, or puts on the parts of others.
func TestWeigh(t *testing.T) {
	for _, test := range []struct {
		isTried, hadTrial bool
		want              blame.Reason
		counts            bool
	}{
		{false, false, blame.NotAnswered, true},
		{true, false, blame.Tried, true},
		{true, true, blame.Tried, true},
		{false, true, blame.OtherTried, false},
	} {
		if why, counts := blame.Weigh(blame.Suspect{Parts: []blame.Part{1}}, test.isTried, test.hadTrial); why != test.want || counts != test.counts {
			t.Errorf("tried %v, with a trial %v: %v, %q", test.isTried, test.hadTrial, counts, why)
		}
	}
	if why, counts := blame.Weigh(blame.Suspect{Parts: []blame.Part{1}, After: time.Second}, false, false); why != blame.LongSince || !counts {
		t.Errorf("late: %v, %q", counts, why)
	}
}

// TestLateReport guards against late suspects that other entries can't read, or that older ones stumble over.
func TestLateReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := blame.New(), blame.New()
		l.Crashed(leave.Run{Key: 7, Started: 8}, time.Now(), []blame.Suspect{{Begun: true, Parts: []blame.Part{1, 2}}, {Parts: []blame.Part{1, 3}, After: 1500 * time.Millisecond}})
		data, err := cbor.Marshal(l.Report())
		if err != nil {
			t.Fatal(err)
		}
		const golden = "a2018183820708008182f58201020681838207080081821905dc820103"
		if got := hex.EncodeToString(data); got != golden {
			t.Errorf("report is %s, want %s", got, golden)
		}
		var older struct {
			Crashes []blame.Crash `cbor:"1,keyasint,omitempty"`
		}
		if err := cbor.Unmarshal(data, &older); err != nil || len(older.Crashes) != 1 || len(older.Crashes[0].Suspects) != 1 {
			t.Errorf("an older process reads %v, %v", older, err)
		}
		var r blame.Report
		if err := cbor.Unmarshal(data, &r); err != nil {
			t.Fatal(err)
		}
		peer.Merge(&r)
		if got := peer.Report().Late; len(got) != 1 || got[0].Suspects[0].After != 1500 {
			t.Errorf("the peer reports %v", got)
		}
	})
}
