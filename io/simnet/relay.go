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

// Relay forwards TCP connections to one target.
type Relay struct {
	listener          net.Listener
	target            string
	refusing          atomic.Bool                 // New connections are closed at once.
	droppingResponses atomic.Bool                 // Bytes from the target are dropped.
	latency           atomic.Int64                // Delay of each chunk in nanoseconds.
	delay             atomic.Pointer[prefixDelay] // Nil for none.
	mu                sync.Mutex
	conns             []*conn // Connections accepted since the last Blackhole, Partition or Reset.
}

// prefixDelay delays chunks that begin with prefix.
type prefixDelay struct {
	prefix  []byte
	delay   time.Duration
	matched chan struct{} // Closed at the first delayed chunk.
	once    sync.Once
}

// wait delays a chunk that begins with the prefix; d may be nil.
func (d *prefixDelay) wait(chunk []byte) {
	if d == nil || !bytes.HasPrefix(chunk, d.prefix) {
		return
	}
	d.once.Do(func() { close(d.matched) })
	time.Sleep(d.delay)
}

// New starts a Relay on a free loopback port; its error is that of the listener.
func New(target netip.AddrPort) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target.String()}
	go r.accept()
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// Close stops the relay and resets its current connections, but not those silenced by Blackhole or Partition.
func (r *Relay) Close() {
	_ = r.listener.Close() // An error changes nothing: the relay isn't used again.
	r.Reset()
}

// Blackhole drops all bytes on the current connections, which stay open; later connections work.
func (r *Relay) Blackhole() {
	for _, c := range r.takeConns() {
		c.blackholed.Store(true)
	}
}

// Partition drops all bytes on the current connections and refuses new ones.
func (r *Relay) Partition() {
	r.refusing.Store(true)
	r.Blackhole()
}

// Reset closes the current connections to callers and target with a TCP reset.
func (r *Relay) Reset() {
	for _, c := range r.takeConns() {
		c.close()
	}
}

// DropResponses drops all bytes from the target, on current and new connections, until Heal.
func (r *Relay) DropResponses() {
	r.droppingResponses.Store(true)
}

// SetLatency delays each chunk in both directions by d until Heal.
func (r *Relay) SetLatency(d time.Duration) {
	r.latency.Store(int64(d))
}

// Heal ends all faults for new connections. Connections silenced by Blackhole or Partition stay silent. After
// DropResponses it resets the current connections, because bytes are missing from them.
func (r *Relay) Heal() {
	r.refusing.Store(false)
	r.latency.Store(0)
	r.delay.Store(nil)
	if r.droppingResponses.Swap(false) {
		r.Reset()
	}
}

// DelayPrefix delays each chunk that begins with prefix by d until Heal; the returned channel is closed at the
// first such chunk.
func (r *Relay) DelayPrefix(prefix string, d time.Duration) <-chan struct{} {
	p := &prefixDelay{prefix: []byte(prefix), delay: d, matched: make(chan struct{})}
	r.delay.Store(p)
	return p.matched
}

// takeConns returns the current connections and removes them from the list.
func (r *Relay) takeConns() []*conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	conns := r.conns
	r.conns = nil
	return conns
}

func (r *Relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", r.target)
		if err != nil || r.refusing.Load() {
			_ = caller.Close() // The listener has already accepted it, so it can only be closed.
			if err == nil {
				_ = target.Close()
			}
			continue
		}
		c := &conn{relay: r, caller: caller, target: target}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.forward(caller, target, true)
		go c.forward(target, caller, false)
	}
}

// conn is one connection through a relay.
type conn struct {
	relay          *Relay
	blackholed     atomic.Bool // Bytes are dropped and the connection stays open.
	caller, target net.Conn
}

// close resets both halves of the connection.
func (c *conn) close() {
	for _, half := range []net.Conn{c.caller, c.target} {
		if t, ok := half.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Makes Close send a reset; on an error the connection is closed normally.
		}
		_ = half.Close()
	}
}

const bufferBytes = 4096 // Maximum size of a chunk.

// forward copies bytes from src to dst until src ends; toCaller is set if src is the target.
func (c *conn) forward(dst, src net.Conn, toCaller bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		c.relay.delay.Load().wait(buffer[:n])
		if latency := c.relay.latency.Load(); latency > 0 {
			time.Sleep(time.Duration(latency))
		}
		if c.blackholed.Load() || (toCaller && c.relay.droppingResponses.Load()) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			_, _ = dst.Write(buffer[:n]) // After an error the other direction's read from dst ends.
		}
		if err != nil {
			if errors.Is(err, io.EOF) || c.blackholed.Load() {
				_ = dst.Close()
			}
			return
		}
	}
}
