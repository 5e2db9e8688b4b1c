package notice

import (
	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/plan"
)

// Notice carries one engine's command from a plan that is in the store. The leader repeats notices, so receipt
// isn't acknowledged.
type Notice struct {
	_             struct{} `cbor:",toarray"`
	Service       string   // The service that the plan is for.
	StoreRevision int64    // Stamp of the plan in the store; receivers ignore a lower one than they have seen.
	Epoch         int64    // The epoch of the plan.
	Leader        string   // The entry that leads the service.
	Upstream      string   // The id of the engine.
	Addr          string   // The address of the engine.
	Role          string   // The role that the engine takes; empty if the plan has no command for it.
}

// BadNotice reports a datagram that can't be decoded as a Notice.
type BadNotice struct {
	Cause error
}

// Error returns a message with the cause.
func (e *BadNotice) Error() string {
	return "notice: " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *BadNotice) Unwrap() error {
	return e.Cause
}

// Command returns the engine's command, and false if the plan has none for it.
func (n *Notice) Command() (plan.Command, bool) {
	return plan.Command{Upstream: n.Upstream, Addr: n.Addr, Role: n.Role}, n.Role != ""
}

// Encode returns the CBOR encoding of n.
func (n *Notice) Encode() []byte {
	data, err := cbor.Marshal(n)
	if err != nil {
		panic(err) // no field of a Notice can fail to encode
	}
	return data
}

// Parse decodes a datagram; its error is a *BadNotice.
func Parse(data []byte) (*Notice, error) {
	var n Notice
	if err := cbor.Unmarshal(data, &n); err != nil {
		return nil, &BadNotice{Cause: err}
	}
	return &n, nil
}
