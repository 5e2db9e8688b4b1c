package beat_test

import (
	"encoding/hex"
	"net/netip"
	"reflect"
	"testing"

	"pimentoseam/core/beat"
)

// golden is a beat as released versions encode it. Entries of different versions run side by side during an
// update, so this encoding must not change.
const golden = "916165617af5f5467f0000010200070102f503046b3132372e302e302e313a310881520000000901020304ac020005000006" +
	"00000781830a0b0c810d81467f0000010300"

// TestGolden checks that beats of released versions decode, and that new beats have the same encoding.
func TestGolden(t *testing.T) {
	want := &beat.Beat{
		Name: "e", Zone: "z", Digest: true, NoRelay: true, GossipAddr: netip.MustParseAddrPort("127.0.0.1:2"), Entries: 7,
		Start: 1, Seq: 2, HasStoreWatch: true, ConfigVersion: 3, MembersRevision: 4, ShareAddr: "127.0.0.1:1", PrefillWork: 8,
		Loads: []beat.Load{{
			Key: 9, Running: 1, Decoding: [beat.NumPriorities]uint32{2, 300}, KVBlocks: [beat.NumPriorities]uint32{3},
			PrefillBacklog: [beat.NumPriorities]uint32{4, 5, 6, 7},
		}},
		Prefixes: []beat.CachedPrefix{{Key: 10, Hash: 11, ReadyIn: 12}}, ChangingRole: []uint32{13},
		PeerSample: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:3")},
	}
	data, err := hex.DecodeString(golden)
	if err != nil {
		t.Fatal(err)
	}
	got, err := beat.Parse(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if encoded := hex.EncodeToString(want.Encode()); encoded != golden {
		t.Errorf("got encoding %s, want %s", encoded, golden)
	}
}
