package beat

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Beat is an entry's state as it stands; a lost one is made good by the next.
type Beat struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Start   int64  // Unix nanoseconds of the process's start; a later one replaces all before.
	Seq     uint64 // Rises with each beat of a process.
	Config  int64  // Version of the configuration in force.
	Members int64  // Revision of the newest change of the list of upstreams that is known.
	Share   string // Address where both can be asked for.
	Loads   []Load
	Parts   []Part
	Demand  Demand
	Away    []uint32 // Keys of the engines that are changing their role, told by the lead.
}

// Priorities is the number of priorities that beats tell apart.
const Priorities = 4

// Load is what one entry has in progress at an upstream.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Key     uint32   // Of the upstream's id.
	Running uint32   // Requests.
	Making  uint32   // Requests that generate output.
	Tokens  uint32   // KV cache that those hold.
	// Waiting is the work of prompts without a first token in tenths of a millisecond, by the
	// priority of their routes; the last one stands for all less urgent ones.
	Waiting [Priorities]uint32
}

// Part tells that an upstream has processed the parts of a prompt that end a chain, or soon will have.
type Part struct {
	_     struct{} `cbor:",toarray"`
	Key   uint32
	Chain uint64
	Delay uint32 // Milliseconds until then.
}

// Demand is what an entry's callers asked of the model engines of a service, counted from its start.
type Demand struct {
	_      struct{} `cbor:",toarray"`
	Prompt uint64   // Milliseconds of a prefill engine's time.
	Output uint64   // Tokens to generate.
}

// BadBeat reports a datagram that is no beat.
type BadBeat struct {
	Cause error
}

// Error names the cause.
func (e *BadBeat) Error() string {
	return "beat: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BadBeat) Unwrap() error {
	return e.Cause
}

// Key returns the short name of an upstream.
func Key(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

// Encode returns the wire form of b.
func (b *Beat) Encode() []byte {
	data, err := cbor.Marshal(b)
	if err != nil {
		panic(err) // no field of a Beat can fail to encode
	}
	return data
}

// Parse returns the beat in a datagram; its error is a *BadBeat.
func Parse(data []byte) (*Beat, error) {
	var b Beat
	if err := cbor.Unmarshal(data, &b); err != nil {
		return nil, &BadBeat{Cause: err}
	}
	return &b, nil
}
