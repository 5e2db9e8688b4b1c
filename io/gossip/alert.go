package gossip

import (
	"net/netip"

	"pimentoseam/core/alert"
)

// sendAlerts sends this entry's alerts, unless they are empty, to the live peers and, if this entry sends digests, to one
// entry of each other zone.
func (g *Gossip) sendAlerts() {
	for _, a := range g.delegate.Alerts() {
		if !a.IsEmpty() {
			g.sendAlert(a)
		}
	}
}

func (g *Gossip) sendAlert(a *alert.Alert) {
	var targets []netip.AddrPort
	for _, p := range g.Peers() {
		if p.Alive() {
			targets = append(targets, p.Addr)
		}
	}
	if g.SendsDigest() {
		targets = append(targets, g.zoneTargets()...)
	}
	data := a.Encode()
	for _, addr := range targets {
		g.Send(addr, data)
	}
}

// handleAlert passes an alert of another entry on to the delegate.
func (g *Gossip) handleAlert(from netip.AddrPort, data []byte) {
	a, err := alert.Parse(data)
	if err != nil {
		g.log.Warn("invalid alert", "peer", from, "err", err)
		return
	}
	if a.Name != g.name {
		g.delegate.HandleAlert(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), a)
	}
}
