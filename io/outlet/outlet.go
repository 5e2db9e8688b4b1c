package outlet

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pimentoseam/io/socket"
)

const (
	// dialTimeout is above several round trips between regions; a dropped opening packet is sent
	// again only after a second, so that nothing is gained by waiting for part of it.
	dialTimeout = 250 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged, as behind a partition; it
	// allows two packets in a row to be lost, which are sent again after 0.2 and 0.4 s.
	userTimeout = 800 * time.Millisecond
	probeIdle   = time.Second // Silence before the first keep-alive probe.
	probeEvery  = time.Second
	probeCount  = 2
	// idleTime bounds how long a connection is kept if the upstream does not say.
	idleTime = 10 * time.Second
	// idleMargin is taken off the upstream's own time, which is in whole seconds.
	idleMargin  = 700 * time.Millisecond
	readBuffer  = 4 << 10
	mostKept    = 32 // Idle connections to one address.
	largeBody   = 2 << 10
	mostStale   = 4       // Answers of earlier requests that are read past.
	staleBytes  = 1 << 20 // Most bytes of such an answer.
	pastInstant = 1       // Unix second of a deadline that has passed.
)

// NotSent reports a request of which no byte was sent; it has not run.
type NotSent struct {
	Cause error
}

// Error names the cause.
func (e *NotSent) Error() string {
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSent) Unwrap() error {
	return e.Cause
}

// Broken reports a request without an answer; it may have run.
type Broken struct {
	Cause error
}

// Error names the cause.
func (e *Broken) Error() string {
	return "no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Broken) Unwrap() error {
	return e.Cause
}

// Full reports an address to which no further connection may be opened; nothing was sent.
type Full struct{}

// Error says what is exhausted.
func (e *Full) Error() string {
	return "all connections are in use"
}

// Request is what an upstream is sent.
type Request struct {
	Method string
	Target string // Path and query as they stand on the request line.
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether an answer is for this request; nil accepts any.
	Mine func(status int, h http.Header) bool
}

// Outlet keeps connections to upstreams.
type Outlet struct {
	dialer *net.Dialer

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn // The most recently used last.
	open map[netip.AddrPort]int
}

// New returns an Outlet without connections.
func New() *Outlet {
	return &Outlet{
		dialer: &net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
			Control:         setUserTimeout,
		},
		idle: make(map[netip.AddrPort][]*conn), open: make(map[netip.AddrPort]int),
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// conn is a connection to an upstream; one request at a time uses it.
type conn struct {
	net.Conn
	addr    netip.AddrPort
	reader  *bufio.Reader
	expires time.Time // When it is no longer used, if idle.
	written chan error
}

// Do sends a request and returns once the head of its answer has arrived.
// Its error is a *NotSent, *Full or *Broken; when ctx ends the connection is closed.
func (o *Outlet) Do(ctx context.Context, addr netip.AddrPort, r *Request, limit int) (*Answer, error) {
	c, err := o.connect(ctx, addr, limit)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(pastInstant, 0)) })
	if sent, err := c.send(r); err != nil {
		stop()
		o.reset(c)
		if !sent {
			return nil, &NotSent{Cause: cause(ctx, err)}
		}
		return nil, &Broken{Cause: cause(ctx, err)}
	}
	answer, err := c.receive(r)
	if err != nil {
		stop()
		o.reset(c)
		return nil, &Broken{Cause: cause(ctx, err)}
	}
	return &Answer{Response: answer, outlet: o, conn: c, stop: stop}, nil
}

// cause returns why ctx ended if it did, since the connection's error then only says that it was closed.
func cause(ctx context.Context, err error) error {
	if ended := context.Cause(ctx); ended != nil {
		return ended
	}
	return err
}

// connect returns an idle connection that is still open, or a new one.
func (o *Outlet) connect(ctx context.Context, addr netip.AddrPort, limit int) (*conn, error) {
	for {
		c := o.kept(addr)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		o.discard(c)
	}
	o.mu.Lock()
	if limit > 0 && o.open[addr] >= limit {
		o.mu.Unlock()
		return nil, &Full{}
	}
	o.open[addr]++
	o.mu.Unlock()
	raw, err := o.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		o.closed(addr)
		return nil, &NotSent{Cause: cause(ctx, err)}
	}
	return &conn{Conn: raw, addr: addr, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// kept takes the idle connection that was used last.
func (o *Outlet) kept(addr netip.AddrPort) *conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	o.idle[addr] = list[:len(list)-1]
	return c
}

// keep returns a connection for the next request, or closes it.
func (o *Outlet) keep(c *conn, h http.Header) {
	c.expires = time.Now().Add(keepTime(h))
	o.mu.Lock()
	if len(o.idle[c.addr]) < mostKept {
		o.idle[c.addr] = append(o.idle[c.addr], c)
		o.mu.Unlock()
		return
	}
	o.mu.Unlock()
	o.discard(c)
}

// keepTime returns how long the upstream keeps an idle connection, less a margin.
func keepTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return idleTime
}

// reset closes a connection in the middle of a request. What an upstream that stands still has not
// received yet is lost with it, so that it can't start a request that was given up.
func (o *Outlet) reset(c *conn) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // On failure the connection is closed as usual.
	}
	o.discard(c)
}

func (o *Outlet) discard(c *conn) {
	_ = c.Close() // The connection is given up whatever Close finds.
	o.closed(c.addr)
}

func (o *Outlet) closed(addr netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open[addr]--; o.open[addr] <= 0 {
		delete(o.open, addr)
		if len(o.idle[addr]) == 0 {
			delete(o.idle, addr)
		}
	}
}

// Sweep closes idle connections that have expired or that the upstream has closed.
func (o *Outlet) Sweep() {
	o.mu.Lock()
	var dead []*conn
	for addr, list := range o.idle {
		live := list[:0]
		for _, c := range list {
			if c.quiet() {
				live = append(live, c)
			} else {
				dead = append(dead, c)
			}
		}
		o.idle[addr] = live
	}
	o.mu.Unlock()
	for _, c := range dead {
		o.discard(c)
	}
}

// quiet reports whether an idle connection is open and nothing has arrived on it unasked.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 || !time.Now().Before(c.expires) {
		return false
	}
	return socket.Look(c.Conn) == socket.Quiet
}
