package quota

import (
	"math"
	"net/netip"
	"strconv"

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
