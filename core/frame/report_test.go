package frame_test

import (
	"strconv"
	"testing"

	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
	"pimentoseam/core/frame"
	"pimentoseam/core/leave"
)

// fullReport returns the largest report that a ledger makes.
func fullReport() *blame.Report {
	l := blame.New()
	for n := range 100 {
		c := blame.Crash{Run: leave.Run{Key: 1<<31 + uint32(n), Started: 1 << 41}}
		for i := range 20 {
			var parts []blame.Part
			for k := range 20 {
				parts = append(parts, 1<<63+blame.Part(n*1000+i*20+k))
			}
			c.Suspects = append(c.Suspects, blame.Suspect{Begun: true, Parts: parts})
			l.Answered(parts)
		}
		l.Merge(&blame.Report{Crashes: []blame.Crash{c}, Blocks: []blame.Block{{Parts: c.Suspects[0].Parts[:16]}}})
	}
	return l.Report()
}

// fullBook returns the largest report of requests that a book makes.
func fullBook() *crash.Report {
	b := crash.New()
	sum := func(n int) digest.Sum { return (&digest.Request{Path: strconv.Itoa(n)}).Exact() }
	for n := range 300 {
		list := []digest.Sum{sum(n)}
		for i := range 80 {
			list = append(list, sum(1000*n+i))
		}
		for i := range 2 {
			b.Crashed(leave.Run{Key: 1<<31 + uint32(3*n+i), Started: 1 << 41}, 1<<31, list, nil)
		}
		run := leave.Run{Key: 1<<31 + uint32(3*n+2), Started: 1 << 41}
		if n%2 == 0 {
			b.Crashed(run, 1<<31, list[:1], &list[0])
		} else {
			b.Begin(run, list[0])
			b.Answered(1<<31, func() []digest.Sum { return list })
		}
	}
	return b.Report()
}

// TestFullReport checks that a heartbeat with the largest reports of crashes decodes.
func TestFullReport(t *testing.T) {
	data, err := frame.Encode(&frame.Beat{Name: "n", Blame: fullReport(), Crashes: fullBook()})
	if err != nil {
		t.Fatal(err)
	}
	f, err := frame.Decode(data)
	if err != nil {
		t.Fatalf("%d bytes: %v", len(data), err)
	}
	if b, ok := f.(*frame.Beat); !ok || len(b.Blame.Crashes) == 0 || len(b.Blame.Answers) == 0 || len(b.Blame.Blocks) == 0 {
		t.Errorf("got %+v", f)
	} else if r := b.Crashes; len(r.Crashes) == 0 || len(r.Answers) == 0 || len(r.Holds) == 0 || len(r.Trials) == 0 {
		t.Errorf("got %d crashes, %d answers, %d holds, %d trials, want some of each", len(r.Crashes), len(r.Answers), len(r.Holds), len(r.Trials))
	}
}
