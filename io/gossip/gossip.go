package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/beat"
	"pimentoseam/core/census"
	"pimentoseam/io/proc"
)

const (
	// minBeatInterval is the minimum of the mean interval between beats, which applies in a zone with few entries.
	minBeatInterval = 80 * time.Millisecond
	// beatIntervalPerPeer is the mean interval between beats for each peer in the zone. An entry then receives
	// about 70 beats a second, however many peers there are.
	beatIntervalPerPeer = 14 * time.Millisecond
	// livenessTimeout is the time without a message after which a peer isn't alive and its load no longer
	// counts. In a large zone, where beats are less frequent, it is livenessBeats mean intervals instead.
	livenessTimeout = 1500 * time.Millisecond
	livenessBeats   = 4
	// deadPeerPeriod is the number of rounds of beats in which a peer that isn't alive is sent one beat.
	deadPeerPeriod = 10
	// peerExpiry is the time without a message after which a peer is removed and no longer sent beats.
	peerExpiry = 2 * time.Minute
	// digestInterval is the mean interval between the digests of a zone to another zone. A digest is
	// computed from the latest beats when it is sent.
	digestInterval = 130 * time.Millisecond
	// backupDigestFactor is the factor by which the digests of a zone's second digest sender are less
	// frequent. They cover the time until the failure of the first sender is detected.
	backupDigestFactor = 3
	// maxDigestSenders is the maximum number of entries of a zone that send its digest to other zones.
	maxDigestSenders = 2
	// maxPeerSample limits the peer sample that is sent to an entry of another zone.
	maxPeerSample = 16
	// alertInterval is the mean interval between alerts while nothing changes. It repeats lost ones in time for the
	// two seconds in which a leaving upstream must get no more work.
	alertInterval = 500 * time.Millisecond
	// seedTime is how long an entry that was never heard counts as known if only its address is. Entries that run are heard
	// within two of the periods in which silent ones are sent a beat.
	seedTime = 5 * time.Second
	// triggerDelay is the delay of a triggered beat, so that changes in quick succession share one beat.
	triggerDelay = 20 * time.Millisecond
	// maxDatagramBytes limits a received datagram; UDP allows no larger ones. The digest of a zone with 2000 busy
	// upstreams has about 48 kB of loads, which IP sends in fragments.
	maxDatagramBytes = 64 << 10
)

// Gossip sends this entry's beats to the other entries of its zone and keeps the beats that it receives. The
// live entries whose names sort first in a zone are its digest senders: they also send the zone's digest to other
// zones, where the receiver forwards it to the entries of its own zone.
type Gossip struct {
	listen   netip.AddrPort
	name     string
	zone     string
	log      *slog.Logger
	delegate Delegate
	conn     atomic.Pointer[net.UDPConn] // Nil until the socket is open.
	triggers chan struct{}

	mu     sync.Mutex
	peers  map[netip.AddrPort]*Peer // Entries of this zone and entries whose zone isn't known yet.
	zones  map[string]*remoteZone
	census *census.Census // Of the same entries, also those that are no longer peers.
}

// Delegate provides the messages to send and handles the received ones.
type Delegate interface {
	// Beat returns the entry's own state.
	Beat() *beat.Beat
	// Digest returns the state of the entry's zone.
	Digest() *beat.Beat
	// HandleBeat is called with each received beat or digest that supersedes the previous one.
	HandleBeat(*beat.Beat)
	// Alerts returns what the entry knows that a beat doesn't state, as one or more messages that fit into a datagram each.
	Alerts() []*alert.Alert
	// HandleAlert is called with each received alert and the address of its sender.
	HandleAlert(from netip.AddrPort, a *alert.Alert)
}

// Error reports that the UDP socket can't be opened.
type Error struct {
	Addr  netip.AddrPort
	Cause error
}

// Error returns a message with the address and the cause.
func (e *Error) Error() string {
	return "gossip: listen on " + e.Addr.String() + ": " + e.Cause.Error()
}

// Unwrap returns the error of the socket.
func (e *Error) Unwrap() error {
	return e.Cause
}

// New returns a Gossip that receives at listen, for the named entry of a zone.
func New(listen netip.AddrPort, name, zone string, log *slog.Logger, delegate Delegate) *Gossip {
	return &Gossip{
		listen: listen, name: name, zone: zone, log: log, delegate: delegate, triggers: make(chan struct{}, 1),
		peers: make(map[netip.AddrPort]*Peer), zones: make(map[string]*remoteZone),
		census: census.New(),
	}
}

// Add adds the gossip address of an entry that the store lists, or of a seed, whose zone is not known and empty. The entry's own
// address is ignored.
func (g *Gossip) Add(addr netip.AddrPort, zone string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(addr, zone)
	if zone == g.zone && addr != g.listen {
		g.census.Note(addr, census.Listed)
	}
}

// add is Add; the lock must be held.
func (g *Gossip) add(addr netip.AddrPort, zone string) {
	if addr == g.listen || !addr.IsValid() {
		return
	}
	if zone != "" && zone != g.zone {
		delete(g.peers, addr)
		g.census.Remove(addr)
		g.remoteZone(zone).entries[addr] = true
		return
	}
	p, ok := g.peers[addr]
	if !ok {
		p = &Peer{Addr: addr, addedAt: time.Now()}
		g.peers[addr] = p
	}
	p.isListed = p.isListed || zone != ""
	g.census.Note(addr, census.Address)
}

// Peers returns the other entries of the zone and the entries whose zone isn't known yet, alive or not.
func (g *Gossip) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		list = append(list, *p)
	}
	return list
}

// Zones returns the latest digest of each other zone.
func (g *Gossip) Zones() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Peer, 0, len(g.zones))
	for _, z := range g.zones {
		if p := z.latestDigest(); p != nil {
			list = append(list, *p)
		}
	}
	return list
}

// LivePeers returns the other entries of the zone and the digests of the other zones, as far as they are alive.
func (g *Gossip) LivePeers() []Peer {
	return slices.DeleteFunc(append(g.Peers(), g.Zones()...), func(p Peer) bool { return !p.Alive() })
}

// NumEntries returns the number of entries in all zones, including this one and lost ones. A lost entry of this zone
// counts for some minutes, and as long as nobody is heard. A lost zone counts with its last digest without a limit: a digest is
// deleted only when another one of the same zone arrives. A zone that was never heard counts with the entries that the store lists.
func (g *Gossip) NumEntries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.zoneEntries()
	for _, z := range g.zones {
		n += z.numEntries()
	}
	return n
}

// ZoneEntries returns the number of entries in this zone, as NumEntries counts them.
func (g *Gossip) ZoneEntries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.zoneEntries()
}

// zoneEntries is ZoneEntries with the lock held.
func (g *Gossip) zoneEntries() int {
	return 1 + g.census.Count(!g.hearsOthers())
}

// hearsOthers reports whether any other entry is heard; the lock must be held.
func (g *Gossip) hearsOthers() bool {
	for _, p := range g.peers {
		if p.Alive() {
			return true
		}
	}
	for _, z := range g.zones {
		if p := z.latestDigest(); p != nil && p.Alive() {
			return true
		}
	}
	return false
}

// Reach returns how many entries this one hears, itself included, and how many it knows of. Seeds that were never heard
// count only for some seconds, since they may be outdated.
func (g *Gossip) Reach() (heard, known int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	heard, known = 1, 1
	for _, p := range g.peers {
		if p.Alive() {
			heard++
		}
		if p.Beat != nil || p.isListed || time.Since(p.addedAt) < seedTime {
			known++
		}
	}
	for _, z := range g.zones {
		known += z.numEntries()
		if latest := z.latestDigest(); latest != nil && latest.Alive() {
			heard += z.numEntries()
		}
	}
	return heard, known
}

// SendsDigest reports whether this entry sends the digest of its zone to other zones.
func (g *Gossip) SendsDigest() bool {
	return g.Rank() < maxDigestSenders
}

// Rank returns the number of live entries in the zone whose names sort before this entry's.
func (g *Gossip) Rank() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.peers {
		if p.Alive() && p.Beat.Name < g.name {
			n++
		}
	}
	return n
}

// Trigger sends the next beat and digest without waiting for their intervals, after a change that other entries
// need soon. It doesn't block.
func (g *Gossip) Trigger() {
	select {
	case g.triggers <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends; its error is an *Error.
func (g *Gossip) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.listen))
	if err != nil {
		return &Error{Addr: g.listen, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	g.conn.Store(conn)
	go g.sendLoop(ctx)
	g.receiveLoop(ctx, conn)
	return nil
}

// Send sends one datagram to addr, which may belong to any process. The datagram may be lost, and is dropped if
// the socket isn't open yet.
func (g *Gossip) Send(addr netip.AddrPort, data []byte) {
	conn := g.conn.Load()
	if conn == nil {
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, addr); err != nil {
		g.log.Debug("datagram not sent", "to", addr, "err", err)
	}
}

// sendLoop sends beats and digests until ctx ends.
func (g *Gossip) sendLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var round int
	var nextBeat, nextDigest, nextAlert time.Time
	for ctx.Err() == nil {
		triggered := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.triggers:
			proc.Sleep(ctx, triggerDelay)
			triggered = true
		}
		if now := time.Now(); triggered || !now.Before(nextBeat) {
			g.sendBeat(round)
			round++
			nextBeat = now.Add(proc.Jitter(2 * g.shortestInterval())) // 2/3 to 4/3 of the mean interval.
		}
		if now := time.Now(); triggered || !now.Before(nextDigest) {
			rank := g.Rank()
			if rank < maxDigestSenders {
				g.sendDigest()
			}
			interval := 2 * digestInterval
			if rank > 0 {
				interval *= backupDigestFactor
			}
			nextDigest = now.Add(proc.Jitter(interval) * 2 / 3) // 2/3 to 4/3 of the mean interval.
		}
		if now := time.Now(); triggered || !now.Before(nextAlert) {
			g.sendAlerts()
			nextAlert = now.Add(proc.Jitter(2*alertInterval) * 2 / 3) // 2/3 to 4/3 of the mean interval.
		}
		timer.Reset(max(0, min(time.Until(nextBeat), time.Until(nextDigest), time.Until(nextAlert))))
	}
}

// sendBeat sends this entry's beat to the peers of the given round.
func (g *Gossip) sendBeat(round int) {
	targets := g.beatTargets(round)
	if len(targets) == 0 {
		return
	}
	b := g.delegate.Beat()
	b.GossipAddr = g.listen
	data := b.Encode()
	for _, addr := range targets {
		g.Send(addr, data)
	}
}

// sendDigest sends the zone's digest to one entry of each other zone.
func (g *Gossip) sendDigest() {
	targets := g.zoneTargets()
	if len(targets) == 0 {
		return
	}
	data := g.digest(nil).Encode()
	for _, addr := range targets {
		g.Send(addr, data)
	}
}

// digest returns the zone's digest with a peer sample.
func (g *Gossip) digest(sample []netip.AddrPort) *beat.Beat {
	b := g.delegate.Digest()
	b.Digest, b.GossipAddr, b.PeerSample = true, g.listen, sample
	return b
}

// shortestInterval returns the shortest interval between beats, 2/3 of the mean. The longest is 4/3 of the mean.
func (g *Gossip) shortestInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.meanInterval() * 2 / 3
}

// meanInterval returns the mean interval between beats; the lock must be held.
func (g *Gossip) meanInterval() time.Duration {
	return max(minBeatInterval, time.Duration(len(g.peers))*beatIntervalPerPeer)
}

// beatTargets returns the peers that are sent a beat in the given round, and removes the expired ones.
func (g *Gossip) beatTargets(round int) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []netip.AddrPort
	for addr, p := range g.peers {
		last := p.receivedAt
		if last.IsZero() {
			last = p.addedAt
		}
		if time.Since(last) > peerExpiry {
			delete(g.peers, addr)
			g.log.Info("peer removed", "peer", addr)
			continue
		}
		if p.Alive() || round%deadPeerPeriod == 0 {
			list = append(list, addr)
		}
	}
	return list
}

// receiveLoop handles received datagrams until ctx ends.
func (g *Gossip) receiveLoop(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn("beat not received", "err", err)
				proc.Sleep(ctx, minBeatInterval)
			}
			continue
		}
		proc.Guard(g.log, "datagram from "+from.String(), func() { g.handle(from, buffer[:n]) })
	}
}

// handle handles a datagram.
func (g *Gossip) handle(from netip.AddrPort, data []byte) {
	if alert.IsAlert(data) {
		g.handleAlert(from, data)
		return
	}
	b, err := beat.Parse(data)
	if err != nil {
		g.log.Warn("invalid beat", "peer", from, "err", err)
		return
	}
	if b.Name == g.name && b.Zone == g.zone {
		return
	}
	switch {
	case b.Digest:
		g.handleDigest(b)
	case b.Zone != g.zone:
		g.answerRemote(b)
	default:
		g.handleBeat(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b)
	}
}

// handleBeat stores a beat of an entry of this zone.
func (g *Gossip) handleBeat(from netip.AddrPort, b *beat.Beat) {
	g.mu.Lock()
	g.add(from, b.Zone)
	p := g.peers[from]
	if p == nil || !p.isReplacedBy(b) {
		g.mu.Unlock()
		return
	}
	if !p.Alive() {
		g.log.Info("peer alive", "peer", from, "name", b.Name, "config", b.ConfigVersion)
	}
	p.Beat, p.receivedAt, p.timeout = b, time.Now(), max(livenessTimeout, livenessBeats*g.meanInterval())
	g.census.Note(from, census.Heard)
	g.mu.Unlock()
	g.delegate.HandleBeat(b)
}

// handleDigest stores a digest of another zone and forwards it to the entries of this zone.
func (g *Gossip) handleDigest(b *beat.Beat) {
	if b.Zone == g.zone {
		return // The beats of the zone's own entries are more recent.
	}
	g.mu.Lock()
	for _, addr := range b.PeerSample {
		g.add(addr, "")
	}
	z := g.remoteZone(b.Zone)
	g.add(b.GossipAddr, b.Zone)
	p := z.digests[b.Name]
	if p == nil {
		p = &Peer{Addr: b.GossipAddr}
		z.digests[b.Name] = p
	}
	if !p.isReplacedBy(b) {
		g.mu.Unlock()
		return
	}
	if latest := z.latestDigest(); latest == nil || !latest.Alive() {
		g.log.Info("zone alive", "zone", b.Zone, "name", b.Name, "entries", b.Entries, "config", b.ConfigVersion)
	}
	p.Addr, p.Beat, p.receivedAt, p.timeout = b.GossipAddr, b, time.Now(), livenessTimeout
	z.observeSize(int(b.Entries))
	for name, old := range z.digests {
		if time.Since(old.receivedAt) > peerExpiry {
			delete(z.digests, name)
		}
	}
	var targets []netip.AddrPort
	if !b.NoRelay {
		for addr, p := range g.peers {
			if p.Alive() {
				targets = append(targets, addr)
			}
		}
	}
	g.mu.Unlock()
	if len(targets) > 0 {
		forwarded := *b
		forwarded.NoRelay, forwarded.PeerSample = true, nil
		data := forwarded.Encode()
		for _, addr := range targets {
			g.Send(addr, data)
		}
	}
	g.delegate.HandleBeat(b)
}

// answerRemote answers a beat of an entry of another zone, which knows few peers: with this zone's digest and a
// sample of the peers in its own zone. The receiver doesn't forward this digest.
func (g *Gossip) answerRemote(b *beat.Beat) {
	g.mu.Lock()
	g.add(b.GossipAddr, b.Zone)
	var sample []netip.AddrPort
	for addr := range g.remoteZone(b.Zone).entries {
		if addr != b.GossipAddr && len(sample) < maxPeerSample {
			sample = append(sample, addr)
		}
	}
	g.mu.Unlock()
	digest := g.digest(sample)
	digest.NoRelay = true
	g.Send(b.GossipAddr, digest.Encode())
}
