package repeat_test

import (
	"fmt"
	"testing"

	"pimentoseam/core/repeat"
)

// TestArrive guards against arrivals beyond the first that pass as first ones because they ask for another phase.
func TestArrive(t *testing.T) {
	const read, turnedAway, run = "read", "read, turned away", "run"
	for _, test := range []struct {
		calls   []string
		repeats int
	}{
		{[]string{run}, 0},
		{[]string{run, run, run}, 2},
		{[]string{read, run}, 0},
		{[]string{read, run, run}, 1},
		{[]string{turnedAway, run}, 1},
		{[]string{turnedAway, read, run}, 1},
		{[]string{turnedAway, turnedAway, read, run, run}, 3},
		{[]string{read, read, run}, 1},
		{[]string{run, read, run}, 1},
		{[]string{read, run, read, run}, 2},
		{[]string{read, read}, 1},
		{[]string{read, turnedAway, run}, 1},
	} {
		t.Run(fmt.Sprint(test.calls), func(t *testing.T) {
			var a repeat.Account
			repeats, allowed := 0, 0
			for _, call := range test.calls {
				phase := repeat.Run
				if call != run {
					phase = repeat.Read
				}
				if a.MayRepeat(phase) {
					allowed++
				}
				if a.Arrive(phase, call == read) {
					repeats++
				}
			}
			if repeats != test.repeats || allowed < repeats {
				t.Errorf("%d repeats, %d announced, want %d", repeats, allowed, test.repeats)
			}
		})
	}
}
