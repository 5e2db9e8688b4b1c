package frame_test

import (
	"reflect"
	"testing"
	"time"

	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
)

var samples = []frame.Frame{
	&frame.Run{ID: "a", Attempt: 1, Target: "lm", Method: "POST", Path: "/v1", Body: []byte("x"), Caller: "c", FirstTimeout: time.Second, TotalTimeout: time.Minute, Minted: time.Unix(1, 2).UTC()},
	&frame.Control{ID: "a", Attempt: 1, Verb: frame.Resume, Offset: 7},
	&frame.Part{ID: "a", Attempt: 2, Offset: 3, Data: []byte("data"), Status: 200, Type: "text/plain"},
	&frame.End{ID: "a", Attempt: 2, Offset: 9, Kind: fault.NotRun, Text: "late", RetryAfter: time.Second, SafeToRetry: true},
	&frame.Beat{Seq: 4, Name: "n", Config: 3, Epoch: 2, Plan: 8, Running: 1, Slots: 8, Role: "mixed", Backlog: time.Second},
}

func TestRoundTrip(t *testing.T) {
	for _, want := range samples {
		data, err := frame.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := frame.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

func TestBroken(t *testing.T) {
	for _, data := range [][]byte{nil, {0xff}, {0xa0}, []byte("text"), {0xbf, 0x01}} {
		if f, err := frame.Decode(data); err == nil {
			t.Errorf("%x: got %+v, want an error", data, f)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, s := range samples {
		data, err := frame.Encode(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := frame.Decode(data)
		if err != nil {
			return
		}
		if _, err := frame.Encode(got); err != nil {
			t.Errorf("decoded %+v can't be encoded: %v", got, err)
		}
	})
}
