package gossip

import "net/netip"

// Handle handles a datagram as if it had been received.
func (g *Gossip) Handle(from netip.AddrPort, data []byte) { g.handle(from, data) }

// SendRound removes the expired peers, as each round of beats does.
func (g *Gossip) SendRound() { g.beatTargets(0) }
