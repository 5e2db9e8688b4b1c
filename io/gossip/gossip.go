package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/io/proc"
)

const (
	// everyLeast is the interval of beats among the few entries of a zone.
	everyLeast = 80 * time.Millisecond
	// everyPeer lengthens the interval by the number of peers, so that a process handles at most
	// 70 beats a second.
	everyPeer = 14 * time.Millisecond
	// quietTime is the silence after which a peer's load counts no more, quietBeats the same in
	// intervals of beats where those are long.
	quietTime  = 1500 * time.Millisecond
	quietBeats = 4
	// slowEvery is how many beats pass between those to a peer that is silent.
	slowEvery = 10
	// forgetTime is the silence after which a peer is no longer sent to.
	forgetTime = 2 * time.Minute
	// sumEvery is the interval of a zone's sums to another zone; they are as new as the beats that
	// they sum up.
	sumEvery = 130 * time.Millisecond
	// secondSum is how many intervals pass between the sums of the second relay of a zone, which
	// bridge the time until the loss of the first one is noticed.
	secondSum = 3
	// relays is the number of entries that send their zone's sum.
	relays = 2
	// mostMeet bounds the entries that a newcomer is told of.
	mostMeet = 16
	// kickPause keeps changes that come one after another from a beat each.
	kickPause = 20 * time.Millisecond
	// mostBeat bounds a datagram; a beat fits into one packet, a zone's sum into a few.
	mostBeat = 64 << 10
)

// Peer is another entry as its beats show it, or another zone as its sums do.
type Peer struct {
	Addr  netip.AddrPort
	Beat  *beat.Beat // Nil until one was received.
	heard time.Time
	added time.Time
	quiet time.Duration
}

// Alive reports whether the peer was heard lately.
func (p *Peer) Alive() bool {
	return p.Beat != nil && time.Since(p.heard) < p.quiet
}

// Age returns how long ago the peer was heard.
func (p *Peer) Age() time.Duration {
	return time.Since(p.heard)
}

// newer reports whether a beat replaces what is known of the peer.
func (p *Peer) newer(b *beat.Beat) bool {
	old := p.Beat
	return old == nil || !p.Alive() || b.Start > old.Start || (b.Start == old.Start && b.Seq > old.Seq)
}

// far is another availability zone.
type far struct {
	entries map[netip.AddrPort]bool
	sums    map[string]*Peer // By the relay that made them.
}

// newest returns the newest sum of the zone, nil if there is none.
func (f *far) newest() *Peer {
	var found *Peer
	for _, p := range f.sums {
		if found == nil || p.heard.After(found.heard) {
			found = p
		}
	}
	return found
}

// target returns an entry of the zone that is likely alive: the relay that was heard last, else any.
func (f *far) target() netip.AddrPort {
	if p := f.newest(); p != nil && p.Alive() && p.Addr.IsValid() {
		return p.Addr
	}
	n := rand.N(max(1, len(f.entries)))
	for addr := range f.entries {
		if n == 0 {
			return addr
		}
		n--
	}
	return netip.AddrPort{}
}

// Gossip sends this entry's beats to its zone and keeps those of others. The entries with the first names
// of a zone also send its sum to the other zones, where the receiver passes it on to its own.
type Gossip struct {
	listen netip.AddrPort
	name   string
	zone   string
	log    *slog.Logger
	source Source
	conn   atomic.Pointer[net.UDPConn] // Nil before it is open.
	kicks  chan struct{}

	mu    sync.Mutex
	peers map[netip.AddrPort]*Peer // Of this zone, and those whose zone is not known yet.
	zones map[string]*far
}

// Source makes what is sent and takes what is received.
type Source interface {
	// Beat returns the entry's own state.
	Beat() *beat.Beat
	// Sum returns the state of the entry's zone.
	Sum() *beat.Beat
	// Hear takes over a beat or a sum that is newer than those before.
	Hear(*beat.Beat)
}

// Error reports a socket that can't be opened.
type Error struct {
	Addr  netip.AddrPort
	Cause error
}

// Error names the address and the cause.
func (e *Error) Error() string {
	return "datagrams at " + e.Addr.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// New returns a Gossip for the named entry of a zone.
func New(listen netip.AddrPort, name, zone string, log *slog.Logger, source Source) *Gossip {
	return &Gossip{
		listen: listen, name: name, zone: zone, log: log, source: source, kicks: make(chan struct{}, 1),
		peers: make(map[netip.AddrPort]*Peer), zones: make(map[string]*far),
	}
}

// Add makes an entry known, with an empty zone if that is not known; its own address is ignored.
func (g *Gossip) Add(addr netip.AddrPort, zone string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(addr, zone)
}

func (g *Gossip) add(addr netip.AddrPort, zone string) {
	if addr == g.listen || !addr.IsValid() {
		return
	}
	if zone != "" && zone != g.zone {
		delete(g.peers, addr)
		g.far(zone).entries[addr] = true
		return
	}
	if _, ok := g.peers[addr]; !ok {
		g.peers[addr] = &Peer{Addr: addr, added: time.Now()}
	}
}

// far returns what is known of another zone; the lock must be held.
func (g *Gossip) far(zone string) *far {
	f := g.zones[zone]
	if f == nil {
		f = &far{entries: make(map[netip.AddrPort]bool), sums: make(map[string]*Peer)}
		g.zones[zone] = f
	}
	return f
}

// Peers returns the other entries of the zone as they stand, and those whose zone is not known yet.
func (g *Gossip) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		list = append(list, *p)
	}
	return list
}

// Zones returns the newest sum of each other zone.
func (g *Gossip) Zones() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Peer, 0, len(g.zones))
	for _, f := range g.zones {
		if p := f.newest(); p != nil {
			list = append(list, *p)
		}
	}
	return list
}

// Living returns the other entries of the zone and the other zones that were heard lately.
func (g *Gossip) Living() []Peer {
	return slices.DeleteFunc(append(g.Peers(), g.Zones()...), func(p Peer) bool { return !p.Alive() })
}

// Entries returns how many entries there are in all zones, this one and those lost a short while ago included.
func (g *Gossip) Entries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 1 + len(g.peers)
	for _, f := range g.zones {
		if p := f.newest(); p != nil {
			n += int(p.Beat.Entries)
		}
	}
	return n
}

// Relay reports whether this entry sends the sum of its zone.
func (g *Gossip) Relay() bool {
	return g.rank() < relays
}

// rank returns how many living entries of the zone have names before this one's.
func (g *Gossip) rank() int {
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

// Kick has the next beat sent at once, since something changed that others wait for.
func (g *Gossip) Kick() {
	select {
	case g.kicks <- struct{}{}:
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
	go g.send(ctx)
	g.receive(ctx, conn)
	return nil
}

// Tell sends one datagram to any process, as soon as the socket is open; it may be lost.
func (g *Gossip) Tell(addr netip.AddrPort, data []byte) {
	conn := g.conn.Load()
	if conn == nil {
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, addr); err != nil {
		g.log.Debug("datagram not sent", "to", addr, "err", err)
	}
}

// send sends beats and sums until ctx ends.
func (g *Gossip) send(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var beats int
	var nextBeat, nextSum time.Time
	for ctx.Err() == nil {
		kicked := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.kicks:
			proc.Sleep(ctx, kickPause)
			kicked = true
		}
		if now := time.Now(); kicked || !now.Before(nextBeat) {
			g.sendBeat(beats)
			beats++
			nextBeat = now.Add(proc.Jitter(2 * g.every()))
		}
		if now := time.Now(); kicked || !now.Before(nextSum) {
			rank := g.rank()
			if rank < relays {
				g.sendSum()
			}
			interval := 2 * sumEvery
			if rank > 0 {
				interval *= secondSum
			}
			nextSum = now.Add(proc.Jitter(interval) * 2 / 3)
		}
		timer.Reset(max(0, min(time.Until(nextBeat), time.Until(nextSum))))
	}
}

func (g *Gossip) sendBeat(n int) {
	targets := g.targets(n)
	if len(targets) == 0 {
		return
	}
	b := g.source.Beat()
	b.GossipAddr = g.listen
	data := b.Encode()
	for _, addr := range targets {
		g.Tell(addr, data)
	}
}

// sendSum sends the zone's sum to one entry of each other zone.
func (g *Gossip) sendSum() {
	g.mu.Lock()
	targets := make([]netip.AddrPort, 0, len(g.zones))
	for _, f := range g.zones {
		if addr := f.target(); addr.IsValid() {
			targets = append(targets, addr)
		}
	}
	g.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	data := g.sum(nil).Encode()
	for _, addr := range targets {
		g.Tell(addr, data)
	}
}

// sum returns the zone's sum with some entries to meet.
func (g *Gossip) sum(meet []netip.AddrPort) *beat.Beat {
	s := g.source.Sum()
	s.Digest, s.GossipAddr, s.PeerSample = true, g.listen, meet
	return s
}

// every returns the mean interval of beats.
func (g *Gossip) every() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.interval() * 2 / 3
}

// interval is the longest time between beats; the lock must be held.
func (g *Gossip) interval() time.Duration {
	return max(everyLeast, time.Duration(len(g.peers))*everyPeer)
}

// targets returns the peers that get the n-th beat and forgets those silent for long.
func (g *Gossip) targets(n int) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []netip.AddrPort
	for addr, p := range g.peers {
		last := p.heard
		if last.IsZero() {
			last = p.added
		}
		if time.Since(last) > forgetTime {
			delete(g.peers, addr)
			g.log.Info("peer forgotten", "peer", addr)
			continue
		}
		if p.Alive() || n%slowEvery == 0 {
			list = append(list, addr)
		}
	}
	return list
}

func (g *Gossip) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, mostBeat)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				g.log.Warn("beat not received", "err", err)
				proc.Sleep(ctx, everyLeast)
			}
			continue
		}
		b, err := beat.Parse(buffer[:n])
		if err != nil {
			g.log.Warn("beat not understood", "peer", from, "err", err)
			continue
		}
		if b.Name == g.name && b.Zone == g.zone {
			continue
		}
		switch {
		case b.Digest:
			g.takeSum(b)
		case b.Zone != g.zone:
			g.welcome(b)
		default:
			g.takeBeat(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b)
		}
	}
}

// takeBeat keeps a beat of an entry of this zone.
func (g *Gossip) takeBeat(from netip.AddrPort, b *beat.Beat) {
	g.mu.Lock()
	g.add(from, b.Zone)
	p := g.peers[from]
	if p == nil || !p.newer(b) {
		g.mu.Unlock()
		return
	}
	if !p.Alive() {
		g.log.Info("peer heard", "peer", from, "name", b.Name, "config", b.ConfigVersion)
	}
	p.Beat, p.heard, p.quiet = b, time.Now(), max(quietTime, quietBeats*g.interval())
	g.mu.Unlock()
	g.source.Hear(b)
}

// takeSum keeps a sum of another zone and passes it on to this one.
func (g *Gossip) takeSum(b *beat.Beat) {
	if b.Zone == g.zone {
		return // The zone's own entries tell it better.
	}
	g.mu.Lock()
	for _, addr := range b.PeerSample {
		g.add(addr, "")
	}
	f := g.far(b.Zone)
	g.add(b.GossipAddr, b.Zone)
	p := f.sums[b.Name]
	if p == nil {
		p = &Peer{Addr: b.GossipAddr}
		f.sums[b.Name] = p
	}
	if !p.newer(b) {
		g.mu.Unlock()
		return
	}
	if last := f.newest(); last == nil || !last.Alive() {
		g.log.Info("zone heard", "zone", b.Zone, "name", b.Name, "entries", b.Entries, "config", b.ConfigVersion)
	}
	p.Addr, p.Beat, p.heard, p.quiet = b.GossipAddr, b, time.Now(), quietTime
	for name, old := range f.sums {
		if time.Since(old.heard) > forgetTime {
			delete(f.sums, name)
		}
	}
	var targets []netip.AddrPort
	if !b.Relayed {
		for addr, p := range g.peers {
			if p.Alive() {
				targets = append(targets, addr)
			}
		}
	}
	g.mu.Unlock()
	if len(targets) > 0 {
		passed := *b
		passed.Relayed, passed.PeerSample = true, nil
		data := passed.Encode()
		for _, addr := range targets {
			g.Tell(addr, data)
		}
	}
	g.source.Hear(b)
}

// welcome answers an entry of another zone, which knows few others: with this zone's sum and entries of
// its own zone.
func (g *Gossip) welcome(b *beat.Beat) {
	g.mu.Lock()
	g.add(b.GossipAddr, b.Zone)
	var meet []netip.AddrPort
	for addr := range g.far(b.Zone).entries {
		if addr != b.GossipAddr && len(meet) < mostMeet {
			meet = append(meet, addr)
		}
	}
	g.mu.Unlock()
	s := g.sum(meet)
	s.Relayed = true
	g.Tell(b.GossipAddr, s.Encode())
}
