package beat

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Beat is a gossip message: the full state of one entry, or the digest of the entries in an availability
// zone. Each message replaces the previous one from the same sender, so lost messages aren't sent again. Prefixes is
// the exception: it holds only additions, which are lost with their message.
type Beat struct {
	_               struct{}         `cbor:",toarray"`
	Name            string           // The sending entry.
	Zone            string           // The sender's availability zone.
	Digest          bool             // The message is the digest of a zone, not the state of one entry.
	NoRelay         bool             // The receiver must not relay the digest to its zone: it was relayed already, or answers one entry's beat.
	GossipAddr      netip.AddrPort   // The UDP address at which the sender receives beats.
	Entries         uint32           // The number of entries in the zone, including recently lost ones; 1 unless it is a digest.
	Start           int64            // Start time of the process in Unix nanoseconds; a beat of a later start supersedes all earlier ones.
	Seq             uint64           // The sequence number, which increases with each beat of a process.
	HasStoreWatch   bool             // The entry, or one in the zone, receives changes from the store itself.
	ConfigVersion   int64            // The version of the configuration in force.
	MembersRevision int64            // The revision of the newest known change of the upstream list, without its era; see alert.Alert.
	ShareAddr       string           // The HTTP address that serves the configuration and the upstream list.
	PrefillWork     uint64           // Prefill work that callers request: engine milliseconds for each second.
	Loads           []Load           // The load on each busy upstream.
	Prefixes        []CachedPrefix   // Prefixes that were added to KV caches since the previous beat.
	ChangingRole    []uint32         // Keys of the engines that the leader is changing to another role.
	PeerSample      []netip.AddrPort // Gossip addresses in the receiver's zone, for a receiver that knows few peers.
}

// NumPriorities is the number of route priorities for which beats report separate loads.
const NumPriorities = 4

// BlockTokens is the number of tokens in a block of KV cache, the unit of Load.KVBlocks.
const BlockTokens = 16

// CachedPrefix announces a prompt prefix that is in an upstream's KV cache, or will be there soon.
type CachedPrefix struct {
	_       struct{} `cbor:",toarray"`
	Key     uint32   // The key of the upstream.
	Hash    uint64   // The hash of the model and the ids of the prefix's parts.
	ReadyIn uint32   // Milliseconds until the prefix is in the cache; 0 if it is there.
}

// BadBeat reports a datagram that can't be decoded as a Beat.
type BadBeat struct {
	Cause error
}

// Error returns a message with the cause.
func (e *BadBeat) Error() string {
	return "beat: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *BadBeat) Unwrap() error {
	return e.Cause
}

// Key returns the 32-bit hash of an upstream's id by which beats refer to it.
func Key(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// Encode returns the CBOR encoding of b.
func (b *Beat) Encode() []byte {
	data, err := cbor.Marshal(b)
	if err != nil {
		panic(err) // no field of a Beat can fail to encode
	}
	return data
}

// Parse decodes a datagram; its error is a *BadBeat.
func Parse(data []byte) (*Beat, error) {
	var b Beat
	if err := cbor.Unmarshal(data, &b); err != nil {
		return nil, &BadBeat{Cause: err}
	}
	return &b, nil
}
