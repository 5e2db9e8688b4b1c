package blame_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/blame"
	"pimentoseam/core/leave"
)

// The parts of the tests: that of all prompts, the one that crashes engines, and those that come with it.
const (
	system blame.Part = 1
	bad    blame.Part = 2
	other  blame.Part = 100
)

// crash returns a crash of another run each time, with one request that was begun for each set of parts.
func crash(n int, begun bool, sets ...[]blame.Part) *blame.Report {
	c := blame.Crash{Run: leave.Run{Key: uint32(n), Started: 1}}
	for _, parts := range sets {
		c.Suspects = append(c.Suspects, blame.Suspect{Begun: begun, Parts: parts})
	}
	return &blame.Report{Crashes: []blame.Crash{c}}
}

// isBlocked reports whether a prompt with the parts is blocked.
func isBlocked(l *blame.Ledger, parts ...blame.Part) bool {
	_, ok := l.Blocked(parts)
	return ok
}

// answerOthers records answers to prompts with the part of all prompts and second parts that no test accuses.
func answerOthers(l *blame.Ledger, n int) {
	for i := range n {
		parts := []blame.Part{system, 1_000_000 + blame.Part(i)}
		l.Sent(parts)
		l.Answered(parts)
	}
}

// TestBlock checks after how many crashes a part is blocked, and that prompts without it are not.
func TestBlock(t *testing.T) {
	tests := []struct {
		name     string
		begun    bool
		answered bool // The part was answered before.
		crashes  int  // That block the part.
	}{
		{"begun", true, false, 3},
		{"not begun", false, false, 5},
		{"begun, answered before", true, true, 6},
		{"not begun, answered before", false, true, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := blame.New()
				l.Answered([]blame.Part{system})
				if test.answered {
					l.Answered([]blame.Part{bad})
				}
				for n := 1; n <= test.crashes; n++ {
					if isBlocked(l, system, bad) {
						t.Fatalf("blocked after %d crashes, want %d", n-1, test.crashes)
					}
					time.Sleep(time.Second)
					answerOthers(l, 100)
					l.Merge(crash(n, test.begun, []blame.Part{system, bad}, []blame.Part{system, other + blame.Part(n)}))
					answerOthers(l, 100)
				}
				if !isBlocked(l, system, bad) {
					t.Errorf("not blocked after %d crashes", test.crashes)
				}
				if !isBlocked(l, 77, bad) || isBlocked(l, system) || isBlocked(l, system, other+1) {
					t.Errorf("blocked: with another part %v, first part %v, another second part %v; want the first only",
						isBlocked(l, 77, bad), isBlocked(l, system), isBlocked(l, system, other+1))
				}
			})
		})
	}
}

// TestCrashLoop checks that engines that crash whatever they answer block nothing.
func TestCrashLoop(t *testing.T) {
	for _, subjects := range []int{1, 3, 30, 300} {
		synctest.Test(t, func(t *testing.T) {
			l := blame.New()
			answerOthers(l, 1000)
			random := rand.New(rand.NewPCG(uint64(subjects), 1))
			for n := range 200 {
				time.Sleep(time.Second)
				parts := []blame.Part{system, other + blame.Part(random.IntN(subjects))}
				l.Sent(parts)
				l.Merge(crash(n, true, parts))
			}
			if blocks := l.Blocks(); len(blocks) > 0 {
				t.Errorf("got blocks %v with %d subjects", blocks, subjects)
			}
		})
	}
}

// TestNoAnswers has a part in one of six prompts keep all engines down, so that no other prompt is answered.
func TestNoAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		l.SetEntries(4)
		for n := range 7 {
			time.Sleep(700 * time.Millisecond)
			for range 5 {
				l.Sent([]blame.Part{system, other})
			}
			l.Sent([]blame.Part{system, bad})
			l.Merge(crash(n, true, []blame.Part{system, bad}))
		}
		if !isBlocked(l, system, bad) || isBlocked(l, system, other) {
			t.Errorf("got blocks %v, want the part at fault after seven crashes", l.Blocks())
		}
	})
}

// TestCommonCause checks that engines that end together count as one crash, and each run once.
func TestCommonCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		for n := range 20 {
			l.Merge(crash(n, true, []blame.Part{system, bad}))
			time.Sleep(10 * time.Millisecond)
		}
		for range 20 {
			l.Merge(crash(1, true, []blame.Part{system, bad}))
			time.Sleep(time.Second)
		}
		if isBlocked(l, system, bad) {
			t.Error("blocked after crashes at one moment")
		}
	})
}

// TestAnswered checks that an answer after crashes clears its parts, also if it ends after they were blocked and if another
// entry reports it.
func TestAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := blame.New(), blame.New()
		for n := range 3 {
			time.Sleep(time.Second)
			l.Merge(crash(n, true, []blame.Part{bad}))
			answerOthers(l, 100)
			answerOthers(peer, 100)
			peer.Merge(l.Report())
		}
		l.Merge(crash(3, true, []blame.Part{bad}))
		peer.Merge(l.Report())
		if !isBlocked(l, bad) || !isBlocked(peer, bad) {
			t.Fatal("not blocked at both entries")
		}
		time.Sleep(time.Second)
		peer.Answered([]blame.Part{bad})
		l.Merge(peer.Report())
		peer.Merge(l.Report())
		if isBlocked(l, bad) || isBlocked(peer, bad) {
			t.Error("still blocked after an answer")
		}
	})
}

// TestSmallestSet checks that parts that always came together are blocked together only, and the one at fault alone as soon as
// a crash shows which it is.
func TestSmallestSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		add := func(n int, parts ...blame.Part) {
			time.Sleep(time.Second)
			for range 100 {
				l.Answered([]blame.Part{1 << 40})
			}
			l.Merge(crash(n, true, parts))
		}
		for n := range 3 {
			add(n, system, bad, other)
		}
		if !isBlocked(l, system, bad, other) || isBlocked(l, system, other) || isBlocked(l, system, bad) {
			t.Error("want prompts with all three parts blocked, no others")
		}
		add(4, system, bad, other+1)
		if !isBlocked(l, system, bad) || isBlocked(l, system, other) || isBlocked(l, bad) {
			t.Error("want prompts with the two common parts blocked")
		}
		add(5, 9, bad)
		if !isBlocked(l, bad) || isBlocked(l, system) {
			t.Error("want the part at fault blocked alone")
		}
		if n := len(l.Blocks()); n != 1 {
			t.Errorf("%d blocks, want 1", n)
		}
	})
}

// TestTwoParts has two parts crash engines by turns while others crash without a cause.
func TestTwoParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		l.Answered([]blame.Part{system})
		for n := range 12 {
			time.Sleep(time.Second)
			answerOthers(l, 50)
			l.Merge(crash(3*n, true, []blame.Part{system, bad}))
			l.Merge(crash(3*n+1, true, []blame.Part{system, bad + 1}))
			l.Merge(crash(3*n+2, false, []blame.Part{system, other + blame.Part(n)}))
		}
		if !isBlocked(l, bad) || !isBlocked(l, bad+1) || len(l.Blocks()) != 2 {
			t.Errorf("got blocks %v, want the two parts at fault", l.Blocks())
		}
	})
}

// TestExpiry checks that a block ends.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		for n := range 3 {
			time.Sleep(time.Second)
			answerOthers(l, 100)
			l.Merge(crash(n, true, []blame.Part{bad}))
		}
		answerOthers(l, 100)
		l.Merge(crash(3, true, []blame.Part{bad}))
		if left, ok := l.Blocked([]blame.Part{bad}); !ok || left > 30*time.Minute || left < 29*time.Minute {
			t.Errorf("blocked %v for %v, want half an hour", ok, left)
		}
		time.Sleep(30 * time.Minute)
		if isBlocked(l, bad) || len(l.Blocks()) > 0 || !l.Report().IsEmpty() {
			t.Error("still blocked or reported after half an hour")
		}
	})
}

// TestBounded adds far more of everything than the ledger keeps and reports.
func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		for n := range 200 {
			for k := range 3 {
				time.Sleep(300 * time.Millisecond)
				answerOthers(l, 100)
				l.Merge(crash(3*n+k, true, []blame.Part{bad + blame.Part(n)}, make([]blame.Part, 100)))
			}
		}
		for p := range 40_000 {
			l.Answered([]blame.Part{1 << 40 << (p % 20), blame.Part(p)})
		}
		if r := l.Report(); len(r.Blocks) > 64 || len(r.Crashes) > 16 || len(r.Answers) > 200 {
			t.Errorf("%d blocks, %d crashes, %d answers reported", len(r.Blocks), len(r.Crashes), len(r.Answers))
		}
	})
}

// TestRandomCrashes plays engines with prompts whose second parts are shared by few requests. Engines crash at random times,
// alone and together; no part may be blocked. Then one part crashes each engine that begins to answer it.
func TestRandomCrashes(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			l := blame.New()
			subjects := 20 + random.IntN(300)
			prompt := func() []blame.Part { return []blame.Part{system, other + blame.Part(random.IntN(subjects))} }
			runs := 0
			step := func() {
				time.Sleep(time.Duration(50+random.IntN(400)) * time.Millisecond)
				for range random.IntN(8) {
					parts := prompt()
					l.Sent(parts)
					l.Answered(parts)
				}
				for range random.IntN(3) * random.IntN(6) {
					runs++
					c := blame.Crash{Run: leave.Run{Key: uint32(runs), Started: 1}}
					for i := range 1 + random.IntN(10) {
						parts := prompt()
						l.Sent(parts)
						c.Suspects = append(c.Suspects, blame.Suspect{Begun: i == 0 && random.IntN(4) == 0, Parts: parts})
					}
					l.Merge(&blame.Report{Crashes: []blame.Crash{c}})
				}
			}
			for range 60 {
				step()
			}
			if blocks := l.Blocks(); len(blocks) > 0 {
				t.Errorf("seed %d: blocks %v without a part at fault, %d subjects", seed, blocks, subjects)
			}
			for range 6 {
				time.Sleep(time.Second)
				answerOthers(l, 100)
				runs++
				l.Merge(crash(runs, true, []blame.Part{system, bad}))
			}
			if !isBlocked(l, system, bad) {
				t.Errorf("seed %d: the part at fault isn't blocked after six crashes", seed)
			}
		})
	}
}

// TestStored checks the form in the store, and that bad values are errors.
func TestStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const golden = `[{"parts":["2","ff00000000000001"],"since":946684800000}]`
		if got := string(blame.EncodeBlocks([]blame.Block{{Parts: []blame.Part{2, 0xff00000000000001}}})); got != golden {
			t.Errorf("got %s, want %s", got, golden)
		}
		time.Sleep(time.Second)
		blocks, err := blame.ParseBlocks([]byte(golden))
		if err != nil || fmt.Sprint(blocks) != "[{{} [2 ff00000000000001] 1000}]" {
			t.Errorf("got %v, %v", blocks, err)
		}
		if blocks, err := blame.ParseBlocks(nil); err != nil || len(blocks) != 0 {
			t.Errorf("got %v, %v without a value", blocks, err)
		}
		for _, bad := range []string{"{", `[{"parts":["x"]}]`, `[{"parts":[1]}]`} {
			if _, err := blame.ParseBlocks([]byte(bad)); err == nil {
				t.Errorf("%s was accepted", bad)
			}
		}
	})
}

// TestReportIsCopy guards against reports that share memory with a ledger in use; the race detector sees it.
func TestReportIsCopy(t *testing.T) {
	l := blame.New()
	var wait sync.WaitGroup
	wait.Go(func() {
		for n := range 2000 {
			l.Merge(crash(n%10, n/10%2 == 0, []blame.Part{blame.Part(n)}, []blame.Part{bad}))
		}
	})
	for range 500 {
		if _, err := cbor.Marshal(l.Report()); err != nil {
			t.Fatal(err)
		}
	}
	wait.Wait()
}

// TestPlainRequests guards against requests without a prompt making each part look rarer than it is among prompts.
func TestPlainRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		for n := range 4 {
			time.Sleep(time.Second)
			for range 1000 {
				l.Sent(nil)
			}
			l.Sent([]blame.Part{system, bad})
			l.Merge(crash(n, true, []blame.Part{system, bad}))
		}
		if blocks := l.Blocks(); len(blocks) > 0 {
			t.Errorf("got blocks %v of the only prompts that were sent", blocks)
		}
	})
}
