package oper

import (
	"strings"
	"testing"
)

func TestSelectLines(t *testing.T) {
	logs := `x 1 front-2 time=2026-08-23T10:58:36.900Z level=WARN msg="member removed" process=b id=i-1 outcome=kept
time=2026-08-23T10:58:36.300Z level=INFO msg=placed process=a id=r1 read="" make=i-1
time=2026-08-23T10:58:36.800Z level=WARN msg="answer broken off" process=a id=r1 upstream=i-1
time=2026-08-23T10:58:36.100Z level=INFO msg=answered process=a id=r2 upstream=i-2
time=2026-08-23T11:58:36.100Z level=INFO msg=member process=a id=i-1 state=ready
no line of a process
`
	lines, err := readLines(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range selectLines(lines, "r1") {
		got = append(got, l.text[len("time=2026-08-23T10:58:"):len("time=2026-08-23T10:58:")+len("36.300Z")])
	}
	if want := "36.300Z 36.800Z 36.900Z"; strings.Join(got, " ") != want {
		t.Errorf("got %v, want %s", got, want)
	}
	if found := selectLines(lines, "r3"); len(found) != 0 {
		t.Errorf("an unknown request: got %v", found)
	}
}
