package stream_test

import (
	"errors"
	"strings"
	"testing"

	"pimentoseam/core/stream"
)

// TestSplit feeds streams whole and byte by byte.
func TestSplit(t *testing.T) {
	tests := []struct {
		name, data, complete, lastID string
		count                        int
	}{
		{"empty", "", "", "", 0},
		{"two events", "id: 1\ndata: x\n\nid:2\ndata: y\n\n", "id: 1\ndata: x\n\nid:2\ndata: y\n\n", "2", 2},
		{"half a line", "id: 1\ndata: x\n\nid: 2\nda", "id: 1\ndata: x\n\n", "1", 1},
		{"no blank line", "id: 1\n\nid: 2\ndata: x\n", "id: 1\n\n", "1", 1},
		{"CRLF", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", "2", 2},
		{"CRLF without a blank line", "id: 1\r\n\r\nid: 2\r\n", "id: 1\r\n\r\n", "1", 1},
		{"CR", "id: 1\rdata: x\r\rid: 2\r\r", "id: 1\rdata: x\r\rid: 2\r\r", "2", 2},
		{"mixed line ends", "id: 1\r\n\nid: 2\n\r\nid: 3\r\r\n", "id: 1\r\n\nid: 2\n\r\nid: 3\r\r\n", "3", 3},
		{"comments", ": a\nid: 1\n: b\n\n: c\n", ": a\nid: 1\n: b\n\n: c\n", "1", 1},
		{"comment in an event", "id: 1\n: b\n", "", "", 0},
		{"half a comment", "id: 1\n\n: c", "id: 1\n\n", "1", 1},
		{"event without an id", "id: 1\n\ndata: x\n\n", "id: 1\n\ndata: x\n\n", "1", 2},
		{"empty lines", "\n\n\n", "\n\n\n", "", 0},
	}
	for _, test := range tests {
		for _, step := range []int{1, 3, len(test.data) + 1} {
			s := stream.New()
			var got strings.Builder
			for data := test.data; data != ""; {
				part := data[:min(step, len(data))]
				data = data[len(part):]
				if err := s.Add([]byte(part)); err != nil {
					t.Fatalf("%s: %v", test.name, err)
				}
				got.Write(s.Take())
			}
			if got.String() != test.complete {
				t.Errorf("%s by %d bytes: got %q, want %q", test.name, step, got.String(), test.complete)
			}
			if s.LastID() != test.lastID || s.Count() != test.count {
				t.Errorf("%s by %d bytes: last id %q of %d, want %q of %d", test.name, step, s.LastID(), s.Count(), test.lastID, test.count)
			}
			incomplete := new(stream.Incomplete)
			if isShort := len(test.complete) < len(test.data); errors.As(s.End(), &incomplete) != isShort {
				t.Errorf("%s by %d bytes: end %v, want incomplete %v", test.name, step, s.End(), isShort)
			} else if isShort && incomplete.Size != len(test.data)-len(test.complete) {
				t.Errorf("%s by %d bytes: %d bytes left over, want %d", test.name, step, incomplete.Size, len(test.data)-len(test.complete))
			}
		}
	}
}

// TestForeign guards against text between events, such as an error page or another response, that passes as an event.
func TestForeign(t *testing.T) {
	for _, test := range []struct {
		name, last, data, complete string
		isForeign                  bool
	}{
		{"events", "", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", false},
		{"comments and other fields", "", "id: 1\ndata: x\n\n: c\n\nversions: 3\nid: 2\nevent: end\n\n", "id: 1\ndata: x\n\n: c\n\nversions: 3\nid: 2\nevent: end\n\n", false},
		{"a time to reconnect", "1", "retry: 3000\n\nid: 2\ndata: y\n\n", "retry: 3000\n\nid: 2\ndata: y\n\n", false},
		{"no ids at all", "", "data: x\n\ndata: y\n\n", "data: x\n\ndata: y\n\n", false},
		{"no id after one with an id", "", "id: 1\ndata: x\n\ndata: y\n\nid: 3\ndata: z\n\n", "id: 1\ndata: x\n\n", true},
		{"a page", "", "id: 1\ndata: x\n\n<p>failed</p>\n\n", "id: 1\ndata: x\n\n", true},
		{"a page in place of the rest", "1", "{\"error\": 1}\r\n\r\n", "", true},
		{"a response inside an event", "", "id: 1\ndata: x\n\nid: 2\ndaHTTP/1.1 500 x\r\nA: b\r\n\r\nfailed", "id: 1\ndata: x\n\n", true},
		{"the rest", "1", "id: 2\ndata: y\n\n", "id: 2\ndata: y\n\n", false},
	} {
		for _, step := range []int{1, 4, len(test.data)} {
			s := stream.New(stream.WithIDs(test.last))
			var got strings.Builder
			isForeign := false
			for data := test.data; data != "" && !isForeign; {
				part := data[:min(step, len(data))]
				data = data[len(part):]
				isForeign = errors.As(s.Add([]byte(part)), new(*stream.Foreign))
				got.Write(s.Take())
			}
			if got.String() != test.complete || isForeign != test.isForeign {
				t.Errorf("%s by %d bytes: got %q, foreign %v, want %q, %v", test.name, step, got.String(), isForeign, test.complete, test.isForeign)
			}
		}
	}
}

// TestEventWithoutEnd checks that no more than MaxEventBytes are collected of an event.
func TestEventWithoutEnd(t *testing.T) {
	s := stream.New()
	for range stream.MaxEventBytes / 16 {
		if err := s.Add([]byte("data: 012345678\n")); err != nil {
			t.Fatalf("within the limit: %v", err)
		}
	}
	tooLarge := new(stream.TooLarge)
	if err := s.Add([]byte("d")); !errors.As(err, &tooLarge) || tooLarge.Size != stream.MaxEventBytes+1 {
		t.Errorf("got %v, want a *TooLarge", err)
	}
	if events := s.Take(); len(events) > 0 {
		t.Errorf("got %d bytes as complete", len(events))
	}
}

func FuzzAdd(f *testing.F) {
	f.Add("id: 1\ndata: x\n\nid: 2\r\n\r: c\n", 3)
	f.Fuzz(func(t *testing.T, data string, step int) {
		whole, parts := stream.New(), stream.New()
		if whole.Add([]byte(data)) != nil || step < 1 {
			t.Skip()
		}
		want, got := string(whole.Take()), ""
		for rest := data; rest != ""; {
			part := rest[:min(step, len(rest))]
			rest = rest[len(part):]
			if err := parts.Add([]byte(part)); err != nil {
				t.Fatal(err)
			}
			got += string(parts.Take())
		}
		if got != want || !strings.HasPrefix(data, got) || whole.LastID() != parts.LastID() || whole.Count() != parts.Count() {
			t.Errorf("by %d bytes: got %q, want %q", step, got, want)
		}
		if (whole.End() == nil) != (parts.End() == nil) || (whole.End() == nil) != (len(want) == len(data)) {
			t.Errorf("ends differ: %v and %v, %d of %d bytes complete", whole.End(), parts.End(), len(want), len(data))
		}
	})
}
