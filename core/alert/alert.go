package alert

import (
	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/leave"
	"pimentoseam/core/permit"
	"pimentoseam/core/quota"
)

// MaxLeaving is the maximum number of runs in an alert, which then has about 11 kB.
const MaxLeaving = 800

// Alert states what an entry knows, whether from itself or from other entries. Each alert replaces the previous one of
// the same entry.
type Alert struct {
	Name      string        `cbor:"1,keyasint"`           // The sending entry.
	ShareAddr string        `cbor:"2,keyasint"`           // The HTTP address that serves the configuration and the upstream list.
	Era       int64         `cbor:"3,keyasint,omitempty"` // The newest known era of the store.
	Members   int64         `cbor:"4,keyasint,omitempty"` // The stamp of the newest known change of the upstream list.
	Leaving   []leave.Run   `cbor:"5,keyasint,omitempty"` // The upstreams that have stated that they leave.
	Paces     []Pace        `cbor:"6,keyasint,omitempty"` // Speeds of engines for prompts, relative to the stated model.
	Blame     *blame.Report `cbor:"7,keyasint,omitempty"` // Crashes of engines and the parts of prompts that cause them; nil for none.
	Limits    []quota.Limit `cbor:"8,keyasint,omitempty"` // Limits that upstreams have named.
	// Asks and Answers are permits under these limits. An alert that has them goes to one entry and replaces none.
	Asks    []permit.Ask    `cbor:"9,keyasint,omitempty"`
	Answers []permit.Answer `cbor:"10,keyasint,omitempty"`
	// Crashes has an alert of its own, since both parts can be long.
	Crashes *crash.Report `cbor:"11,keyasint,omitempty"` // Requests that were at crashes of upstreams; nil for none.
	Prompts []Prompt      `cbor:"12,keyasint,omitempty"` // Times of engines for prompts that this entry has seen since its last alert.
	Streams []Pace        `cbor:"13,keyasint,omitempty"` // Speeds of engines in generating output, likewise.
}

// MaxLimits is the maximum number of limits in an alert, which add about 15 kB.
const MaxLimits = 200

// MaxPrompts is the maximum number of prompts in an alert, which add 2.1 kB at most.
const MaxPrompts = 100

// Prompt is how long an engine took for one prompt.
type Prompt struct {
	_        struct{} `cbor:",toarray"`
	Key      uint32   // The key of the upstream.
	Uncached uint32   // Tokens that it had to process.
	Cached   uint32   // Tokens before them that were in its KV cache.
	Micros   uint32   // Microseconds that it took.
}

// MaxPaces is the maximum number of paces in an alert.
const MaxPaces = 100

// MaxStreams is the maximum number of speeds in an alert.
const MaxStreams = 100

// Pace is how slow an engine was for one request.
type Pace struct {
	_       struct{} `cbor:",toarray"`
	Key     uint32   // The key of the upstream.
	Percent uint32   // Its time in hundredths of what is usual.
}

// IsEmpty reports whether a states nothing that a beat doesn't.
func (a *Alert) IsEmpty() bool {
	return a.Era == 0 && len(a.Leaving) == 0 && len(a.Paces) == 0 && len(a.Prompts)+len(a.Streams) == 0 && a.Blame.IsEmpty() && len(a.Limits) == 0 && a.Crashes.IsEmpty()
}

// BadAlert reports a datagram that can't be decoded as an Alert.
type BadAlert struct {
	Cause error
}

// Error returns a message with the cause.
func (e *BadAlert) Error() string {
	return "alert: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *BadAlert) Unwrap() error {
	return e.Cause
}

// IsAlert reports whether a datagram is an alert rather than a beat: a CBOR map in place of an array.
func IsAlert(data []byte) bool {
	const majorType, mapType = 0xe0, 0xa0
	return len(data) > 0 && data[0]&majorType == mapType
}

// Encode returns the CBOR encoding of a.
func (a *Alert) Encode() []byte {
	data, err := cbor.Marshal(a)
	if err != nil {
		panic(err) // no field of an Alert can fail to encode
	}
	return data
}

// Parse decodes a datagram; its error is a *BadAlert.
func Parse(data []byte) (*Alert, error) {
	var a Alert
	if err := cbor.Unmarshal(data, &a); err != nil {
		return nil, &BadAlert{Cause: err}
	}
	return &a, nil
}
