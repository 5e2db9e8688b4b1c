package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/io/proc"
)

const (
	// everyLeast is the interval of beats among a few entries.
	everyLeast = 80 * time.Millisecond
	// everyPeer lengthens the interval by the number of peers, so that a process handles at most
	// 70 beats a second.
	everyPeer = 14 * time.Millisecond
	// quietTime is the silence after which a peer's load counts no more.
	quietTime = 1500 * time.Millisecond
	// slowEvery is how many beats pass between those to a peer that is silent.
	slowEvery = 10
	// forgetTime is the silence after which a peer is no longer sent to.
	forgetTime = 2 * time.Minute
	// mostBeat bounds a datagram; it fits into a few packets.
	mostBeat = 32 << 10
)

// Peer is another entry as its beats show it.
type Peer struct {
	Addr  netip.AddrPort
	Beat  *beat.Beat // Nil until one was received.
	heard time.Time
	added time.Time
}

// Alive reports whether the peer was heard lately.
func (p *Peer) Alive() bool {
	return p.Beat != nil && time.Since(p.heard) < quietTime
}

// Age returns how long ago the peer was heard.
func (p *Peer) Age() time.Duration {
	return time.Since(p.heard)
}

// Gossip sends this entry's beats and keeps those of others.
type Gossip struct {
	listen netip.AddrPort
	log    *slog.Logger
	make   func() *beat.Beat
	heard  func(*beat.Beat)

	conn  atomic.Pointer[net.UDPConn] // Nil before it is open.
	mu    sync.Mutex
	peers map[netip.AddrPort]*Peer
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

// New returns a Gossip that asks make for each beat to send and hands those received to heard.
func New(listen netip.AddrPort, log *slog.Logger, make func() *beat.Beat, heard func(*beat.Beat)) *Gossip {
	return &Gossip{listen: listen, log: log, make: make, heard: heard, peers: map[netip.AddrPort]*Peer{}}
}

// Add makes an entry known; its own address is ignored.
func (g *Gossip) Add(addr netip.AddrPort) {
	if addr == g.listen || !addr.IsValid() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.peers[addr]; !ok {
		g.peers[addr] = &Peer{Addr: addr, added: time.Now()}
	}
}

// Peers returns the known entries as they stand.
func (g *Gossip) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		list = append(list, *p)
	}
	return list
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
	go g.send(ctx, conn)
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

func (g *Gossip) send(ctx context.Context, conn *net.UDPConn) {
	for n := 0; ctx.Err() == nil; n++ {
		targets := g.targets(n)
		if len(targets) > 0 {
			data := g.make().Encode()
			for _, addr := range targets {
				if _, err := conn.WriteToUDPAddrPort(data, addr); err != nil && ctx.Err() == nil {
					g.log.Debug("beat not sent", "peer", addr, "err", err)
				}
			}
		}
		proc.Sleep(ctx, proc.Jitter(2*g.every()))
	}
}

// every returns the mean interval of beats.
func (g *Gossip) every() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(everyLeast, time.Duration(len(g.peers))*everyPeer) * 2 / 3
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
		if g.note(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b) {
			g.heard(b)
		}
	}
}

// note keeps a beat and reports whether it is newer than those before.
func (g *Gossip) note(from netip.AddrPort, b *beat.Beat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[from]
	if !ok {
		p = &Peer{Addr: from, added: time.Now()}
		g.peers[from] = p
	}
	if old := p.Beat; old != nil && (b.Start < old.Start || (b.Start == old.Start && b.Seq <= old.Seq)) && time.Since(p.heard) < quietTime {
		return false
	}
	if !p.Alive() {
		g.log.Info("peer heard", "peer", from, "name", b.Name, "config", b.Config)
	}
	p.Beat, p.heard = b, time.Now()
	return true
}
