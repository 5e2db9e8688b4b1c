package beat

import (
	"encoding/binary"
	"io"
	"math"
)

// Load is what one entry has in progress at an upstream, by the priority of the requests' routes where
// it is an array; the last priority stands for all less urgent ones.
type Load struct {
	Key     uint32             // Of the upstream's id.
	Running uint32             // Requests.
	Making  [Priorities]uint32 // Requests that generate output.
	Blocks  [Priorities]uint32 // KV cache that those hold, in blocks of Block tokens.
	Waiting [Priorities]uint32 // Work of prompts without a first token, in tenths of a millisecond.
}

// Add adds what another entry has in progress at the same upstream.
func (l *Load) Add(other *Load) {
	l.Running += other.Running
	for i := range Priorities {
		l.Making[i] += other.Making[i]
		l.Blocks[i] += other.Blocks[i]
		l.Waiting[i] += other.Waiting[i]
	}
}

// Busy reports whether anything is in progress.
func (l *Load) Busy() bool {
	return *l != Load{Key: l.Key}
}

// keySize is the size of a load's key in bytes.
const keySize = 4

// MarshalBinary returns the key and the counts as varints, without the zeros at the end.
func (l *Load) MarshalBinary() ([]byte, error) {
	data := binary.BigEndian.AppendUint32(nil, l.Key)
	end := keySize
	for _, n := range l.counts() {
		data = binary.AppendUvarint(data, uint64(*n))
		if *n != 0 {
			end = len(data)
		}
	}
	return data[:end], nil
}

// UnmarshalBinary reads what MarshalBinary returns; its error is a *BadBeat.
func (l *Load) UnmarshalBinary(data []byte) error {
	*l = Load{}
	if len(data) < keySize {
		return &BadBeat{Cause: io.ErrUnexpectedEOF}
	}
	l.Key, data = binary.BigEndian.Uint32(data), data[keySize:]
	for _, count := range l.counts() {
		if len(data) == 0 {
			break
		}
		n, size := binary.Uvarint(data)
		if size <= 0 || n > math.MaxUint32 {
			return &BadBeat{Cause: io.ErrUnexpectedEOF}
		}
		*count, data = uint32(n), data[size:]
	}
	return nil
}

// counts returns the counts in the order of the wire: the least urgent last, which are zero most often.
func (l *Load) counts() []*uint32 {
	counts := []*uint32{&l.Running}
	for i := range Priorities {
		counts = append(counts, &l.Making[i], &l.Blocks[i], &l.Waiting[i])
	}
	return counts
}
