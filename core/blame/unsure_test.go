package blame_test

import (
	"encoding/hex"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/blame"
	"pimentoseam/core/leave"
)

// TestPossibleCrash guards against possible crashes that don't hold a part, or that block it before they are known to be crashes, at
// the entry that saw them and at another one.
func TestPossibleCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, peer := blame.New(), blame.New()
		for _, ledger := range []*blame.Ledger{l, peer} {
			answerOthers(ledger, 500)
		}
		share := func() {
			peer.Merge(l.Report())
			l.Merge(peer.Report())
		}
		type seen struct {
			run      leave.Run
			at       time.Time
			suspects []blame.Suspect
		}
		var list []seen
		next := []blame.Part{system, bad, 900}
		for n := range 6 {
			time.Sleep(time.Second)
			answerOthers(l, 500)
			s := seen{leave.Run{Key: uint32(n), Started: 1}, time.Now(), []blame.Suspect{{Begun: true, Parts: []blame.Part{system, bad, 500 + blame.Part(n)}}}}
			l.BrokenOff(s.run, s.at, s.suspects)
			list = append(list, s)
			share()
		}
		review(l)
		review(peer)
		if !l.Held(next) || !peer.Held(next) {
			t.Error("not held after six possible crashes")
		}
		if isBlocked(l, next...) || isBlocked(peer, next...) {
			t.Error("blocked for possible crashes")
		}
		for _, s := range list {
			l.Crashed(s.run, s.at, s.suspects)
		}
		share()
		if !isBlocked(l, next...) || !isBlocked(peer, next...) {
			t.Error("not blocked after six crashes")
		}
	})
}

// TestPossibleCrashReport guards against possible crashes that older processes take for crashes, or that others can't read.
func TestPossibleCrashReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := blame.New()
		l.BrokenOff(leave.Run{Key: 7, Started: 8}, time.Now(), []blame.Suspect{{Begun: true, Parts: []blame.Part{1, 2}}, {Parts: []blame.Part{1, 3}, After: 1500 * time.Millisecond}})
		data, err := cbor.Marshal(l.Report())
		if err != nil {
			t.Fatal(err)
		}
		const golden = "a2078183820708008182f58201020881838207080081821905dc820103"
		if got := hex.EncodeToString(data); got != golden {
			t.Errorf("report is %s, want %s", got, golden)
		}
		var older struct {
			Crashes []blame.Crash     `cbor:"1,keyasint,omitempty"`
			Late    []blame.LateCrash `cbor:"6,keyasint,omitempty"`
		}
		if err := cbor.Unmarshal(data, &older); err != nil || len(older.Crashes)+len(older.Late) != 0 {
			t.Errorf("an older process reads %v, %v", older, err)
		}
	})
}

// TestLateTrials guards against trial after trial of parts that were at five crashes when the evidence never suffices, at all entries
// together, and at one that has just started.
func TestLateTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledgers := []*blame.Ledger{blame.New(), blame.New()}
		share := func() {
			for _, from := range ledgers {
				for _, to := range ledgers {
					to.Merge(from.Report())
				}
			}
		}
		answerOthers(ledgers[0], 30)
		for n := range 5 {
			ledgers[0].Crashed(leave.Run{Key: uint32(n), Started: 1}, time.Now(), []blame.Suspect{{Parts: []blame.Part{system, bad, 500 + blame.Part(n)}}})
		}
		share()
		review(ledgers[0])
		share()
		next := []blame.Part{system, bad, 900}
		trials := 0
		for n := range 24 { // Two minutes.
			time.Sleep(5 * time.Second)
			if n == 12 {
				ledgers[1] = blame.New() // The entry has started anew.
				share()
			}
			for _, l := range ledgers {
				if _, ok := l.Begin(next); ok {
					trials++
				}
				share()
			}
		}
		if trials != 2 {
			t.Errorf("%d trials, want two", trials)
		}
		for i, l := range ledgers {
			if !l.Held(next) {
				t.Errorf("entry %d doesn't hold the parts", i)
			}
		}
		answer(ledgers[0], next)
		time.Sleep(time.Second)
		if !ledgers[0].Held(next) {
			t.Error("one answer ended the hold")
		}
		share()
		answer(ledgers[0], next)
		share()
		for i, l := range ledgers {
			if l.Held(next) {
				t.Errorf("entry %d holds the parts after two answers", i)
			}
		}
	})
}
