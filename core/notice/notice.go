package notice

import (
	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/plan"
)

// Notice tells one engine's part of a plan that is in the store; a lost one is made good by the next.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Revision int64 // Of the plan in the store; a lower one than before says nothing.
	Epoch    int64
	Lead     string
	Upstream string // The engine, with its address.
	Addr     string
	Role     string // Empty if the plan leaves it as it is.
}

// BadNotice reports a datagram that is no notice.
type BadNotice struct {
	Cause error
}

// Error names the cause.
func (e *BadNotice) Error() string {
	return "notice: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BadNotice) Unwrap() error {
	return e.Cause
}

// Order returns the order for the engine, and false if the plan has none.
func (n *Notice) Order() (plan.Order, bool) {
	return plan.Order{Upstream: n.Upstream, Addr: n.Addr, Role: n.Role}, n.Role != ""
}

// Encode returns the wire form of n.
func (n *Notice) Encode() []byte {
	data, err := cbor.Marshal(n)
	if err != nil {
		panic(err) // no field of a Notice can fail to encode
	}
	return data
}

// Parse returns the notice in a datagram; its error is a *BadNotice.
func Parse(data []byte) (*Notice, error) {
	var n Notice
	if err := cbor.Unmarshal(data, &n); err != nil {
		return nil, &BadNotice{Cause: err}
	}
	return &n, nil
}
