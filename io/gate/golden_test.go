package gate

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/platform"
)

// Values as released versions encode them. Gates of different versions send each other items and lists during
// an update, and read each other's keys in the store.
const (
	goldenItem = "a6634b65796b736572766572732f692d316556616c75654176685265766973696f6e01674372656174656402654c656173650367" +
		"52656d6f766564f5"
	goldenList = "a4685265766973696f6e046557686f6c65f5654974656d73a163692d31a6634b65796b736572766572732f692d316556616c7565" +
		"4176685265766973696f6e01674372656174656402654c65617365036752656d6f766564f564476f6e65a163692d3205"
	goldenEntry = `{"peer":"127.0.0.1:2","zone":"z"}`
)

// TestGolden checks that items, lists and entry records of released versions decode, and that new ones have the
// same encoding.
func TestGolden(t *testing.T) {
	item := platform.Item{Key: "servers/i-1", Value: []byte("v"), Revision: 1, Created: 2, Lease: 3, Removed: true}
	list := upstreamList{Revision: 4, Whole: true, Items: map[string]platform.Item{"i-1": item}, Gone: map[string]int64{"i-2": 5}}
	entry := entryRecord{Peer: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "z"}

	var gotItem platform.Item
	checkGolden(t, item, &gotItem, goldenItem)
	var gotList upstreamList
	checkGolden(t, list, &gotList, goldenList)

	var gotEntry entryRecord
	if err := json.Unmarshal([]byte(goldenEntry), &gotEntry); err != nil || gotEntry != entry {
		t.Errorf("got %+v, %v, want %+v", gotEntry, err, entry)
	}
	if encoded, err := json.Marshal(entry); err != nil || string(encoded) != goldenEntry {
		t.Errorf("got encoding %s, %v, want %s", encoded, err, goldenEntry)
	}
}

// checkGolden decodes the hexadecimal CBOR in golden into got, a pointer, and compares it and the encoding of
// want.
func checkGolden(t *testing.T, want, got any, golden string) {
	t.Helper()
	data, err := hex.DecodeString(golden)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(data, got); err != nil || !reflect.DeepEqual(reflect.ValueOf(got).Elem().Interface(), want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if encoded, err := cbor.Marshal(want); err != nil || hex.EncodeToString(encoded) != golden {
		t.Errorf("got encoding %x, %v, want %s", encoded, err, golden)
	}
}
