package quota

import (
	"math"
	"net/netip"
	"strconv"
	"time"

	"pimentoseam/core/leave"
	"pimentoseam/core/rank"
)

// Limit is what entries tell each other about the limit of one run of an upstream. The value and the owner change
// independently.
type Limit struct {
	_       struct{}       `cbor:",toarray"`
	Run     leave.Run      // The run of the upstream.
	Version uint32         // Rises with each change of Rate.
	Rate    uint32         // Thousandths of a request a second, or Unlimited.
	Term    uint32         // Rises when an entry claims the limit because its owner doesn't answer.
	Owner   string         // The name of the entry that gives out permits.
	Addr    netip.AddrPort // The gossip address of that entry.
	Age     uint32         // Milliseconds since an entry got an answer of the upstream, times on the way not counted.
}

// Unlimited is the Rate of an upstream that names a limit no longer.
const Unlimited = math.MaxUint32

const (
	// rateUnit is the number of units of Rate in one request a second.
	rateUnit = 1000
	// maxRate is the largest rate that is told; no upstream serves as many requests.
	maxRate = Unlimited - 1
)

// toRate converts requests a second to the unit of Limit.Rate.
func toRate(perSecond float64) uint32 {
	return uint32(min(max(0, math.Round(perSecond*rateUnit)), maxRate))
}

// hasNewerRate reports whether l replaces the rate of o: a later change, or the lower one of two changes at the same time.
func (l *Limit) hasNewerRate(o *Limit) bool {
	if l.Version != o.Version {
		return l.Version > o.Version
	}
	return l.Rate < o.Rate
}

// hasNewerOwner reports whether the owner of l replaces that of o: the one of a later term or, in the same term, that of the
// higher rendezvous weight.
func (l *Limit) hasNewerOwner(o *Limit) bool {
	if l.Term != o.Term {
		return l.Term > o.Term
	}
	key := strconv.FormatUint(uint64(l.Run.Key), 10)
	weight, other := rank.Weight(key, l.Owner), rank.Weight(key, o.Owner)
	if weight != other {
		return weight > other
	}
	return l.Owner > o.Owner
}

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

// milliseconds returns d in whole milliseconds, rounded up.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, (d+time.Millisecond-1)/time.Millisecond), math.MaxUint32))
}
