package notice_test

import (
	"encoding/hex"
	"testing"

	"pimentoseam/core/notice"
)

// golden is a notice as released versions encode it. Entries and agents of different versions run side by
// side during an update, so this encoding must not change.
const golden = "8761730102616c61756b3132372e302e302e313a31666465636f6465"

// TestGolden checks that notices of released versions decode, and that new notices have the same encoding.
func TestGolden(t *testing.T) {
	want := notice.Notice{Service: "s", StoreRevision: 1, Epoch: 2, Leader: "l", Upstream: "u", Addr: "127.0.0.1:1", Role: "decode"}
	data, err := hex.DecodeString(golden)
	if err != nil {
		t.Fatal(err)
	}
	got, err := notice.Parse(data)
	if err != nil || *got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if encoded := hex.EncodeToString(want.Encode()); encoded != golden {
		t.Errorf("got encoding %s, want %s", encoded, golden)
	}
}
