package gossip

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"pimentoseam/core/beat"
)

// Peer is another entry of the zone with its latest beat, or a digest sender of another zone with the latest digest
// from it.
type Peer struct {
	Addr       netip.AddrPort
	Beat       *beat.Beat    // The latest message; nil if none was received.
	receivedAt time.Time     // When Beat was received.
	addedAt    time.Time     // When the entry was added; zero for a zone.
	timeout    time.Duration // Liveness timeout, set with Beat.
	isListed   bool          // Another source than an address alone has told its zone: the store or the entry itself.
}

// Alive reports whether a message was received from the peer within its liveness timeout.
func (p *Peer) Alive() bool {
	return p.Beat != nil && time.Since(p.receivedAt) < p.timeout
}

// Age returns the time since the latest message from the peer was received.
func (p *Peer) Age() time.Duration {
	return time.Since(p.receivedAt)
}

// isReplacedBy reports whether b supersedes the peer's latest message. Any message supersedes that of a peer
// that isn't alive.
func (p *Peer) isReplacedBy(b *beat.Beat) bool {
	old := p.Beat
	return old == nil || !p.Alive() || b.Start > old.Start || (b.Start == old.Start && b.Seq > old.Seq)
}

// remoteZone is another availability zone.
type remoteZone struct {
	entries map[netip.AddrPort]bool // The known gossip addresses in the zone.
	digests map[string]*Peer        // The latest digests by the name of the entry that sent them.
	size    int                     // The most entries that a digest has stated within peerExpiry.
	sizedAt time.Time               // When size was last stated.
}

// observeSize records the number of entries that a digest states. An entry that has just started states too few.
func (z *remoteZone) observeSize(entries int) {
	if entries >= z.size || time.Since(z.sizedAt) > peerExpiry {
		z.size, z.sizedAt = entries, time.Now()
	}
}

// latestDigest returns the digest of the zone that was received last, nil if there is none.
func (z *remoteZone) latestDigest() *Peer {
	var latest *Peer
	for _, p := range z.digests {
		if latest == nil || p.receivedAt.After(latest.receivedAt) {
			latest = p
		}
	}
	return latest
}

// numEntries returns the number of entries in the zone as far as it is known.
func (z *remoteZone) numEntries() int {
	if z.size > 0 {
		return z.size
	}
	return len(z.entries)
}

// target returns the address that digests are sent to: the entry whose digest was received last if it is
// alive, otherwise a random entry of the zone.
func (z *remoteZone) target() netip.AddrPort {
	if p := z.latestDigest(); p != nil && p.Alive() && p.Addr.IsValid() {
		return p.Addr
	}
	n := rand.N(max(1, len(z.entries)))
	for addr := range z.entries {
		if n == 0 {
			return addr
		}
		n--
	}
	return netip.AddrPort{}
}

// remoteZone returns the state of another zone and creates it if necessary; the lock must be held.
func (g *Gossip) remoteZone(zone string) *remoteZone {
	z := g.zones[zone]
	if z == nil {
		z = &remoteZone{entries: make(map[netip.AddrPort]bool), digests: make(map[string]*Peer)}
		g.zones[zone] = z
	}
	return z
}

// zoneTargets returns the address of one entry of each other zone.
func (g *Gossip) zoneTargets() []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := make([]netip.AddrPort, 0, len(g.zones))
	for _, z := range g.zones {
		if addr := z.target(); addr.IsValid() {
			targets = append(targets, addr)
		}
	}
	return targets
}
