package client

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

	"pimentoseam/io/answer"
	"pimentoseam/io/socket"
)

const (
	// dialTimeout exceeds several round trips between regions. A lost SYN is retransmitted only after
	// 1 s, so a longer timeout below 1 s would wait longer without connecting more often.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is TCP_USER_TIMEOUT: it closes a connection whose data is not acknowledged, as during a
	// network partition. It tolerates two losses in a row, which are retransmitted after 0.2 and 0.4 s.
	ackTimeout = 800 * time.Millisecond
	// keepAliveIdle is how long a connection is idle before the first keep-alive probe.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// defaultIdleTimeout applies if the upstream's response has no Keep-Alive header with a timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleTimeoutMargin is subtracted from the upstream's timeout, which is in whole seconds, so that a
	// request isn't sent on a connection that the upstream is about to close.
	idleTimeoutMargin = 700 * time.Millisecond
	// readBufferSize is the size in bytes of a connection's read buffer.
	readBufferSize = 4 << 10
	// maxHeadBytes limits the heads read for one response, those of skipped and informational responses included. An
	// upstream in trouble may send without end.
	maxHeadBytes = 64 << 10
	// lostMemory is how long a lost idle connection is remembered. It exceeds the 0.5 s after the end of a response for which
	// the check on a new connection counts (package alive).
	lostMemory = time.Second
	// maxIdleConns limits the idle connections to one address.
	maxIdleConns = 32
	// maxInlineBody is the size in bytes up to which a body is written together with the request head.
	maxInlineBody = 2 << 10
	// maxStaleResponses limits the responses to earlier requests that are skipped before the right one.
	maxStaleResponses = 4
	// maxStaleBody limits the bytes read from the body of a skipped response.
	maxStaleBody = 1 << 20
	// pastUnixTime is a deadline in the past, in Unix seconds; setting it ends reads and writes at once.
	pastUnixTime = 1
)

// NotSent reports a request of which no byte was sent; it has not run.
type NotSent struct {
	Cause error
}

// Error returns the text of the cause after a prefix.
func (e *NotSent) Error() string {
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSent) Unwrap() error {
	return e.Cause
}

// NoResponse reports a request that was sent at least in part but got no response; it may have run.
type NoResponse struct {
	Cause error
}

// Error returns the text of the cause after a prefix.
func (e *NoResponse) Error() string {
	return "no response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoResponse) Unwrap() error {
	return e.Cause
}

// LimitReached reports that the limit of connections to an address is reached; nothing was sent.
type LimitReached struct{}

// Error returns a fixed text.
func (e *LimitReached) Error() string {
	return "connection limit reached"
}

// Request is an HTTP request to an upstream.
type Request struct {
	Method string
	Target string // Path and query, copied to the request line.
	Host   string
	Header http.Header
	Body   []byte
	// IsRepeat tells that the request was sent to the address before. It then gets a new connection, since on one that has
	// carried it a late copy of the response to it would match.
	IsRepeat bool
	// Matches reports whether a response belongs to this request; nil accepts every response. reused tells that the
	// connection carried another request before, to which the response may belong.
	Matches func(status int, h http.Header, reused bool) bool
}

// Pool is a pool of connections to upstreams.
type Pool struct {
	dialer *net.Dialer

	mu        sync.Mutex
	idle      map[netip.AddrPort][]*conn   // Ordered by last use; the most recently used is the last.
	openCount map[netip.AddrPort]int       // Open connections, idle ones included.
	lostAt    map[netip.AddrPort]time.Time // When an idle connection was last found closed by the upstream, within lostMemory.
}

// New returns an empty Pool.
func New() *Pool {
	return &Pool{
		dialer: &net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
			Control:         setUserTimeout,
		},
		idle: make(map[netip.AddrPort][]*conn), openCount: make(map[netip.AddrPort]int), lostAt: make(map[netip.AddrPort]time.Time),
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// conn is a connection to an upstream; one request at a time uses it.
type conn struct {
	net.Conn
	addr        netip.AddrPort
	checked     *answer.Conn   // Over Conn.
	source      *limitedReader // Reads from checked.
	reader      *bufio.Reader  // Reads from source.
	expires     time.Time      // Time from which an idle connection isn't reused.
	opened      time.Time      // When it was established, at the latest.
	hasLost     bool           // The upstream had closed an idle connection shortly before.
	bodyWritten chan error     // Result of writing a long body; nil without one.
	reused      bool           // It has carried a request before the present one.
}

// Do sends a request and returns when the response head has arrived. limit is the maximum of open
// connections to addr, 0 for none. The error is a *NotSent, *LimitReached or *NoResponse. When ctx ends,
// reading the response fails; the connection is then closed by Do if it returns an error, otherwise by Response.Close.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, r *Request, limit int) (*Response, error) {
	c, err := p.connect(ctx, addr, limit, !r.IsRepeat)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(pastUnixTime, 0)) })
	if sent, err := c.send(r); err != nil {
		stop()
		p.abort(c)
		if !sent {
			return nil, &NotSent{Cause: cause(ctx, err)}
		}
		return nil, &NoResponse{Cause: cause(ctx, err)}
	}
	response, err := c.readResponse(r)
	if err != nil {
		stop()
		p.abort(c)
		return nil, &NoResponse{Cause: cause(ctx, err)}
	}
	return &Response{Response: response, pool: p, conn: c, stopCancel: stop}, nil
}

// cause returns the cause of ctx's end if it has ended, since err is then only the passed deadline; else err.
func cause(ctx context.Context, err error) error {
	if ended := context.Cause(ctx); ended != nil {
		return ended
	}
	return err
}

// connect returns a reusable idle connection, if mayReuse is set, or opens a new one.
func (p *Pool) connect(ctx context.Context, addr netip.AddrPort, limit int, mayReuse bool) (*conn, error) {
	for mayReuse {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if c.isReusable() {
			c.reused = true
			return c, nil
		}
		p.recordLoss(c)
		p.discard(c)
	}
	p.mu.Lock()
	if limit > 0 && p.openCount[addr] >= limit {
		p.mu.Unlock()
		return nil, &LimitReached{}
	}
	p.openCount[addr]++
	p.mu.Unlock()
	raw, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		p.releaseSlot(addr)
		return nil, &NotSent{Cause: cause(ctx, err)}
	}
	checked := answer.New(raw)
	source := &limitedReader{Reader: checked}
	return &conn{Conn: raw, checked: checked, addr: addr, source: source, reader: bufio.NewReaderSize(source, readBufferSize), opened: time.Now(), hasLost: p.hasLost(addr)}, nil
}

// recordLoss records for later connections that the upstream has closed an idle one, if it has.
func (p *Pool) recordLoss(c *conn) {
	if socket.Peek(c.Conn) != socket.Closed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostAt[c.addr] = time.Now()
}

// hasLost reports whether an idle connection to an address was found closed within lostMemory.
func (p *Pool) hasLost(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.lostAt[addr]
	return ok && time.Since(at) < lostMemory
}

// Prepare makes sure that there is an idle connection to addr for a later Do.
func (p *Pool) Prepare(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.connect(ctx, addr, 0, true)
	if err != nil {
		return err
	}
	p.putIdle(c, nil)
	return nil
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[addr] = conns[:len(conns)-1]
	return c
}

// putIdle returns a connection to the pool, or closes it if there are enough idle ones.
func (p *Pool) putIdle(c *conn, h http.Header) {
	c.expires = time.Now().Add(idleTimeout(h))
	p.mu.Lock()
	if len(p.idle[c.addr]) < maxIdleConns {
		p.idle[c.addr] = append(p.idle[c.addr], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// idleTimeout returns how long an idle connection may be reused: the timeout in the upstream's Keep-Alive
// header less a margin, or the default.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// abort closes a connection in the middle of a request with a TCP reset. The reset discards data that a
// frozen upstream has not read yet, so the upstream can't start an abandoned request when it continues.
func (p *Pool) abort(c *conn) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // If this fails, the connection is closed without a reset.
	}
	p.discard(c)
}

func (p *Pool) discard(c *conn) {
	_ = c.Close() // The connection isn't used again, whether or not Close fails.
	p.releaseSlot(c.addr)
}

// releaseSlot subtracts a closed connection from the open connections to addr.
func (p *Pool) releaseSlot(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCount[addr]--; p.openCount[addr] <= 0 {
		delete(p.openCount, addr)
		if len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
	}
}

// Sweep closes idle connections that have expired or that the upstream has closed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var expired []*conn
	for addr, conns := range p.idle {
		reusable := conns[:0]
		for _, c := range conns {
			if c.isReusable() {
				reusable = append(reusable, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[addr] = reusable
	}
	for addr, at := range p.lostAt {
		if time.Since(at) >= lostMemory {
			delete(p.lostAt, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.recordLoss(c)
		p.discard(c)
	}
}

// hasMore reports whether bytes have arrived that nothing has read.
func (c *conn) hasMore() bool {
	return c.reader.Buffered() > 0 || !c.checked.IsSound()
}

// isReusable reports whether an idle connection is open, has not expired and has received no unsolicited data.
func (c *conn) isReusable() bool {
	if c.hasMore() || !time.Now().Before(c.expires) {
		return false
	}
	return socket.Peek(c.Conn) == socket.Idle
}
