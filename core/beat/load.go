package beat

import (
	"encoding/binary"
	"io"
	"math"
)

// Load is one entry's load on an upstream. Arrays are indexed by the priority of the requests' routes;
// the last index covers all less urgent priorities.
type Load struct {
	Key            uint32                // The key of the upstream.
	Running        uint32                // The number of requests in progress.
	Decoding       [NumPriorities]uint32 // The number of requests that generate output.
	KVBlocks       [NumPriorities]uint32 // KV cache held by the decoding requests, in blocks of BlockTokens tokens.
	PrefillBacklog [NumPriorities]uint32 // Prefill work of requests without a first token, in units of 100 µs.
}

// Add adds the load of another entry on the same upstream.
func (l *Load) Add(o *Load) {
	l.Running += o.Running
	for i := range NumPriorities {
		l.Decoding[i] += o.Decoding[i]
		l.KVBlocks[i] += o.KVBlocks[i]
		l.PrefillBacklog[i] += o.PrefillBacklog[i]
	}
}

// IsBusy reports whether l has any request or work in progress.
func (l *Load) IsBusy() bool {
	return *l != Load{Key: l.Key}
}

// keySize is the size of an encoded key in bytes.
const keySize = 4

// MarshalBinary encodes the key in big-endian order and the counters as varints, without trailing zeros.
func (l *Load) MarshalBinary() ([]byte, error) {
	data := binary.BigEndian.AppendUint32(nil, l.Key)
	end := keySize
	for _, n := range l.counters() {
		data = binary.AppendUvarint(data, uint64(*n))
		if *n != 0 {
			end = len(data)
		}
	}
	return data[:end], nil
}

// UnmarshalBinary decodes the form that MarshalBinary returns; its error is a *BadBeat.
func (l *Load) UnmarshalBinary(data []byte) error {
	*l = Load{}
	if len(data) < keySize {
		return &BadBeat{Cause: io.ErrUnexpectedEOF}
	}
	l.Key, data = binary.BigEndian.Uint32(data), data[keySize:]
	for _, counter := range l.counters() {
		if len(data) == 0 {
			break
		}
		n, size := binary.Uvarint(data)
		if size <= 0 || n > math.MaxUint32 {
			return &BadBeat{Cause: io.ErrUnexpectedEOF}
		}
		*counter, data = uint32(n), data[size:]
	}
	return nil
}

// counters returns the counters in wire order. The least urgent priorities come last because they are
// zero most often, and trailing zeros are omitted.
func (l *Load) counters() []*uint32 {
	counters := []*uint32{&l.Running}
	for i := range NumPriorities {
		counters = append(counters, &l.Decoding[i], &l.KVBlocks[i], &l.PrefillBacklog[i])
	}
	return counters
}
