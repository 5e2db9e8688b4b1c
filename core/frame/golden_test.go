package frame_test

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
	"pimentoseam/core/fault"
	"pimentoseam/core/frame"
)

// TestGolden checks that frames of released versions decode, and that new frames have the same encoding:
// entries and agents of different versions run side by side during an update.
func TestGolden(t *testing.T) {
	start := time.Unix(1, 2).UTC()
	tests := []struct {
		frame  frame.Frame
		golden string // Hexadecimal.
	}{
		{
			&frame.Run{
				ID: "a", Attempt: 1, Target: "lm", Method: "POST", Path: "/v1", Type: "text/plain", Body: []byte("x"), Caller: "c",
				Priority: 2, FirstTimeout: time.Second, TotalTimeout: time.Minute, NonRepeatable: true, Key: "k", Minted: start, Window: 3,
				PromptTokens: 4, OutputTokens: 5, KVHandle: "h", Tombstone: true, StoppedAt: start.Add(time.Second),
				NextStart: start.Add(2 * time.Second),
			},
			"a101b5016161020103626c6d0464504f535405632f7631066a746578742f706c61696e07417808616309020a1a3b9aca000b" +
				"1b0000000df84758000cf50d616b0e781e313937302d30312d30315430303a30303a30312e3030303030303030325a0f0310" +
				"04110512616813f514781e313937302d30312d30315430303a30303a30322e3030303030303030325a15781e313937302d30" +
				"312d30315430303a30303a30332e3030303030303030325a",
		},
		{
			&frame.Control{ID: "a", Attempt: 1, Verb: frame.Resume, Offset: 7},
			"a102a401616102010366726573756d650407",
		},
		{
			&frame.Part{ID: "a", Attempt: 2, Offset: 3, Data: []byte("data"), Status: 200, Type: "text/plain"},
			"a103a6016161020203030444646174610518c8066a746578742f706c61696e",
		},
		{
			&frame.End{ID: "a", Attempt: 2, Offset: 9, Kind: fault.NotRun, Text: "late", RetryAfter: time.Second, SafeToRetry: true},
			"a104a70161610202030904666e6f7472756e05646c617465061a3b9aca0007f5",
		},
		{
			&frame.Beat{
				Seq: 1, Name: "n", Config: 2, Epoch: 3, Plan: 4, Running: 5, Queued: 6, Slots: 7, Role: "mixed", Leaving: true, Version: "v1",
				PromptTokens: 8, OutputTokens: 9, Backlog: time.Second, LowPriority: 10, LowPrioritySlots: 11, Failing: true,
				Period: time.Minute, Start: start, StoppedAt: start.Add(time.Second),
			},
			"a105b4010102616e0302040305040605070608070a656d697865640bf50c6276310d080e090f1a3b9aca00100a110b12f513" +
				"1b0000000df847580015781e313937302d30312d30315430303a30303a30312e3030303030303030325a14781e313937302d" +
				"30312d30315430303a30303a30322e3030303030303030325a",
		},
		{
			&frame.End{ID: "a", Attempt: 2, Kind: fault.Failed, CrashedAt: start},
			"a104a50161610202030004666661696c656408781e313937302d30312d30315430303a30303a30312e3030303030303030325a",
		},
		{
			&frame.Beat{Name: "n", Period: time.Minute, Blame: &blame.Report{Blocks: []blame.Block{{Parts: []blame.Part{2}, Age: 5}}}},
			"a105a4010002616e131b0000000df847580016a1038182810205",
		},
		{
			&frame.Beat{Name: "n", Period: time.Minute, Crashes: &crash.Report{Holds: []crash.Hold{{Request: digest.Sum{1}, Strikes: 2, Sure: 1, Age: 5}}}},
			"a105a4010002616e131b0000000df847580017a10381a5014801000000000000000202030104050500",
		},
	}
	for _, test := range tests {
		data, err := hex.DecodeString(test.golden)
		if err != nil {
			t.Fatal(err)
		}
		got, err := frame.Decode(data)
		if err != nil || !reflect.DeepEqual(got, test.frame) {
			t.Errorf("got %+v, %v, want %+v", got, err, test.frame)
		}
		encoded, err := frame.Encode(test.frame)
		if err != nil || hex.EncodeToString(encoded) != test.golden {
			t.Errorf("%T: got encoding %x, %v, want %s", test.frame, encoded, err, test.golden)
		}
	}
}
