package beat_test

import (
	"errors"
	"net/netip"
	"reflect"
	"testing"

	"pimentoseam/core/beat"
)

func TestEncode(t *testing.T) {
	b := &beat.Beat{
		Name: "e", Zone: "z", Digest: true, NoRelay: true, GossipAddr: netip.MustParseAddrPort("127.0.0.1:2"), Entries: 7,
		Start: 1, Seq: 2, HasStoreWatch: true, ConfigVersion: 3, MembersRevision: 4, ShareAddr: "127.0.0.1:1", PrefillWork: 8,
		Loads:    []beat.Load{{Key: beat.Key("i-1"), Running: 1, Decoding: [beat.NumPriorities]uint32{2, 300}, KVBlocks: [beat.NumPriorities]uint32{3}, PrefillBacklog: [beat.NumPriorities]uint32{4, 5, 6, 7}}, {Key: 9, Running: 1 << 31}, {}},
		Prefixes: []beat.CachedPrefix{{Key: 1, Hash: 2}}, ChangingRole: []uint32{1},
		PeerSample: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:3")},
	}
	got, err := beat.Parse(b.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, b) {
		t.Errorf("got %+v, want %+v", got, b)
	}
}

// TestBadLoad decodes truncated and out-of-range loads.
func TestBadLoad(t *testing.T) {
	for name, data := range map[string][]byte{
		"half a key": {1, 2}, "half a count": {1, 2, 3, 4, 0x80}, "a count beyond 32 bits": {1, 2, 3, 4, 0xff, 0xff, 0xff, 0xff, 0x7f},
	} {
		bad := new(beat.BadBeat)
		if err := new(beat.Load).UnmarshalBinary(data); !errors.As(err, &bad) {
			t.Errorf("%s: got %v, want a *BadBeat", name, err)
		}
	}
}

// TestSize checks that a beat with the loads of 60 upstreams, the size of today's largest deployments,
// fits into a datagram of 1400 bytes, not counting its cached prefixes.
func TestSize(t *testing.T) {
	b := &beat.Beat{Name: "front-some-zone-name-12", Zone: "some-zone-name", Start: 1 << 60, Seq: 1 << 30, ShareAddr: "10.200.100.100:10000"}
	for i := range 60 {
		b.Loads = append(b.Loads, beat.Load{Key: uint32(i) << 24, Running: 9, Decoding: [beat.NumPriorities]uint32{3, 3, 3}, KVBlocks: [beat.NumPriorities]uint32{30000 / beat.BlockTokens, 30000 / beat.BlockTokens, 30000 / beat.BlockTokens}, PrefillBacklog: [beat.NumPriorities]uint32{200, 200, 2000}})
	}
	if n := len(b.Encode()); n > 1400 {
		t.Errorf("%d bytes, want 1400 at most", n)
	}
}

func FuzzParse(f *testing.F) {
	f.Add((&beat.Beat{Name: "e", Loads: []beat.Load{{Key: 1}}}).Encode())
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := beat.Parse(data)
		bad := new(beat.BadBeat)
		if err != nil && !errors.As(err, &bad) {
			t.Fatalf("got %v, want a *BadBeat", err)
		}
		if err == nil {
			b.Encode()
		}
	})
}
