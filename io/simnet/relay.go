package simnet

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes bytes between callers and one target.
type Relay struct {
	listener net.Listener
	target   string
	down     atomic.Bool // Refuses new connections.
	deaf     atomic.Bool // Drops what comes back from the target.
	lag      atomic.Int64
	late     atomic.Pointer[late]
	mu       sync.Mutex
	pairs    []*pair
}

// late holds back what begins with prefix.
type late struct {
	prefix []byte
	delay  time.Duration
	caught chan struct{} // Closed once something is held back.
	once   sync.Once
}

func (l *late) hold(data []byte) {
	if l == nil || !bytes.HasPrefix(data, l.prefix) {
		return
	}
	l.once.Do(func() { close(l.caught) })
	time.Sleep(l.delay)
}

// New returns a Relay on a free loopback address; its error is that of the listener.
func New(target netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target.String()}
	go r.accept()
	return r, nil
}

// Addr returns where the relay listens.
func (r *Relay) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// Close ends the relay and resets its connections.
func (r *Relay) Close() {
	_ = r.listener.Close() // Nothing else listens there.
	r.Reset()
}

// Blackhole silences the present connections; later ones work.
func (r *Relay) Blackhole() {
	for _, p := range r.take() {
		p.muted.Store(true)
	}
}

// Partition silences the present connections and refuses new ones.
func (r *Relay) Partition() {
	r.down.Store(true)
	r.Blackhole()
}

// Reset closes the present connections at both ends.
func (r *Relay) Reset() {
	for _, p := range r.take() {
		p.close()
	}
}

// DropResponses has what the target sends dropped, on all connections, until Mend.
func (r *Relay) DropResponses() {
	r.deaf.Store(true)
}

// SetLatency has each piece passed on after a time, until Mend.
func (r *Relay) SetLatency(d time.Duration) {
	r.lag.Store(int64(d))
}

// Heal ends all faults; connections that were silenced stay so, those that lost bytes are reset.
func (r *Relay) Heal() {
	r.down.Store(false)
	r.lag.Store(0)
	r.late.Store(nil)
	if r.deaf.Swap(false) {
		r.Reset()
	}
}

// DelayPrefix holds back what begins with prefix from now on; the channel is closed at the first.
func (r *Relay) DelayPrefix(prefix string, d time.Duration) <-chan struct{} {
	l := &late{prefix: []byte(prefix), delay: d, caught: make(chan struct{})}
	r.late.Store(l)
	return l.caught
}

// take returns the present connections and forgets them.
func (r *Relay) take() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	pairs := r.pairs
	r.pairs = nil
	return pairs
}

func (r *Relay) accept() {
	for {
		a, err := r.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", r.target)
		if err != nil || r.down.Load() {
			_ = a.Close() // As a refused connection.
			if err == nil {
				_ = b.Close()
			}
			continue
		}
		p := &pair{relay: r, a: a, b: b}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go p.pass(a, b, true)
		go p.pass(b, a, false)
	}
}

// pair is one connection through a relay; a muted one passes nothing and stays open.
type pair struct {
	relay *Relay
	muted atomic.Bool
	a, b  net.Conn
}

func (p *pair) close() {
	for _, c := range []net.Conn{p.a, p.b} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // It is closed as usual if that fails.
		}
		_ = c.Close()
	}
}

const passBytes = 4096

func (p *pair) pass(to, from net.Conn, back bool) {
	buffer := make([]byte, passBytes)
	for {
		n, err := from.Read(buffer)
		p.relay.late.Load().hold(buffer[:n])
		if lag := p.relay.lag.Load(); lag > 0 {
			time.Sleep(time.Duration(lag))
		}
		if p.muted.Load() || (back && p.relay.deaf.Load()) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n]) // The other direction finds the end.
		}
		if err != nil {
			if errors.Is(err, io.EOF) || p.muted.Load() {
				_ = to.Close()
			}
			return
		}
	}
}
