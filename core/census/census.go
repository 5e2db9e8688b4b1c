package census

import (
	"net/netip"
	"time"
)

// Source is how an entry is known.
type Source string

// The sources.
const (
	Heard   Source = "heard"   // A message came from it.
	Listed  Source = "listed"  // The store lists it.
	Address Source = "address" // Only its address is known, which may be outdated.
)

// countTime returns how long an entry counts after the last news of it. The list of the store is read every two minutes at most, and
// lists an entry that is gone for up to five.
func (s Source) countTime() time.Duration {
	if s == Listed {
		return 5 * time.Minute
	}
	return 2 * time.Minute
}

// Census counts the other entries of a zone. It is not safe for concurrent use.
type Census struct {
	until map[netip.AddrPort]time.Time // Until when each entry counts.
}

// New returns a Census without entries.
func New() *Census {
	return &Census{until: make(map[netip.AddrPort]time.Time)}
}

// Note records news of the entry at an address.
func (c *Census) Note(addr netip.AddrPort, s Source) {
	if until := time.Now().Add(s.countTime()); until.After(c.until[addr]) {
		c.until[addr] = until
	}
}

// Remove removes the entry at an address, which belongs to another zone.
func (c *Census) Remove(addr netip.AddrPort) {
	delete(c.until, addr)
}

// Count returns the number of entries. isAlone tells that nobody is heard: then the fault is more likely on this side, and nobody is
// dropped until others have had the time to be heard again.
func (c *Census) Count(isAlone bool) int {
	now := time.Now()
	for addr, until := range c.until {
		switch {
		case isAlone:
			c.Note(addr, Heard)
		case now.After(until):
			delete(c.until, addr)
		}
	}
	return len(c.until)
}
