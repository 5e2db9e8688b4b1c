package frame_test

import (
	"testing"

	"pimentoseam/core/blame"
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

// TestFullReport checks that a heartbeat with the largest report of crashes decodes.
func TestFullReport(t *testing.T) {
	data, err := frame.Encode(&frame.Beat{Name: "n", Blame: fullReport()})
	if err != nil {
		t.Fatal(err)
	}
	f, err := frame.Decode(data)
	if err != nil {
		t.Fatalf("%d bytes: %v", len(data), err)
	}
	if b, ok := f.(*frame.Beat); !ok || len(b.Blame.Crashes) == 0 || len(b.Blame.Answers) == 0 || len(b.Blame.Blocks) == 0 {
		t.Errorf("got %+v", f)
	}
}
