package gate_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

func errorsAs(err error, target any) bool {
	return errors.As(err, target)
}

// TestFraming sends requests whose bounds two readers could see differently, and others at the edge of the
// protocol. No upstream may ever see a request that was hidden in another one.
func TestFraming(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	s := start(t, store, "", app)
	s.ready(t)
	const (
		head   = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %\r\n"
		get    = "GET /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %\r\n"
		hidden = "GET /plain/hidden HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: hidden\r\n\r\n"
	)
	tests := []struct {
		name     string
		sent     string
		statuses []int
		closed   bool // The gate closes the connection.
		runs     bool
	}{
		{"plain", get + "\r\n", []int{200}, false, true},
		{"pipelined", get + "\r\n" + get + "\r\n", []int{200, 200}, false, true},
		{"body by length", head + "Content-Length: 4\r\n\r\nbody", []int{200}, false, true},
		{"body in chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", []int{200}, false, true},
		{"asks before the body", head + "Content-Length: 4\r\nExpect: 100-continue\r\n\r\nbody", []int{200}, false, true},
		{"connection close", get + "Connection: close\r\n\r\n", []int{200}, true, true},
		{"old protocol", "GET /plain/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: %\r\n\r\n", []int{200}, true, true},
		{"two lengths", head + "Content-Length: 4\r\nContent-Length: 40\r\n\r\nbody" + hidden, []int{400}, true, false},
		{"signed length", head + "Content-Length: +4\r\n\r\nbody" + hidden, []int{400}, true, false},
		{"length and chunks", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, []int{400}, true, false},
		{"unknown coding", head + "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n" + hidden, []int{501}, true, false},
		{"coding after chunks", head + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n" + hidden, []int{501}, true, false},
		{"space before the colon", head + "Content-Length : 4\r\n\r\nbody" + hidden, []int{400}, true, false},
		{"folded line", get + "X-Long: a\r\n b\r\n\r\n", nil, false, false},
		{"nul in a value", get + "X-Bad: a\x00b\r\n\r\n", []int{400}, true, false},
		{"no host", "GET /plain/x HTTP/1.1\r\nX-Attempt-Id: %\r\n\r\n", []int{400}, true, false},
		{"two hosts", get + "Host: b.example\r\n\r\n", []int{400}, true, false},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n", []int{408}, true, false},
		{"long body", head + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), []int{413}, true, false},
		{"long head", get + "X-Long: " + strings.Repeat("x", 60000) + "\r\n\r\n", []int{431}, true, false},
		{"half a head", "GET /plain/x HTTP/1.1\r\nHost:", nil, true, false},
		{"half a body", head + "Content-Length: 10\r\n\r\nbody", nil, false, false},
		{"unreadable time left", get + "X-Deadline-Remaining-Ms: soon\r\n\r\n", []int{400}, false, false},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			id := "r" + string(rune('a'+i))
			silence := 500 * time.Millisecond
			if test.name == "half a head" {
				silence = 6 * time.Second
			}
			statuses, closed := s.raw(t, strings.ReplaceAll(test.sent, "%", id), silence)
			if test.name == "folded line" {
				// The library joins folded lines, so the request is one to all readers.
				if len(statuses) != 1 || (statuses[0] != 200 && statuses[0] != 400) {
					t.Errorf("got %v, want one answer", statuses)
				}
				return
			}
			if !slices.Equal(statuses, test.statuses) {
				t.Errorf("got %v, want %v", statuses, test.statuses)
			}
			if closed != test.closed {
				t.Errorf("closed %v, want %v", closed, test.closed)
			}
			if ran := app.Runs(id) > 0; ran != test.runs {
				t.Errorf("ran %v, want %v", ran, test.runs)
			}
		})
	}
	if n := app.Runs("hidden"); n != 0 {
		t.Errorf("a hidden request ran %d times", n)
	}
}
