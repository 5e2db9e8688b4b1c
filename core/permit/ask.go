package permit

import (
	"net/netip"

	"pimentoseam/core/leave"
)

// Ask is a request for a permit to send one request to an upstream.
type Ask struct {
	_        struct{}  `cbor:",toarray"`
	ID       uint64    // Identifies the ask; one that is sent again has the same.
	Run      leave.Run // The run of the upstream.
	Priority uint8     // 0 is the most urgent.
	Wait     uint32    // Milliseconds that the request may wait for the permit.
	Final    bool      // If there is no permit, the caller is told to come back when there will be one.
}

// Outcome is the outcome of an ask.
type Outcome string

// The outcomes of an ask.
const (
	Granted Outcome = "yes"
	Refused Outcome = "no"
	Queued  Outcome = "wait"  // There will be another answer.
	Moved   Outcome = "moved" // This entry isn't the owner.
)

// Answer answers an ask.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64   // That of the ask.
	Outcome Outcome
	After   uint32 // Milliseconds until there is room, unless the ask is granted.
}

// Reply is an answer with the address of the entry that asked; an invalid address stands for the owner itself.
type Reply struct {
	To     netip.AddrPort
	Answer Answer
}
