package front

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/head"
	"pimentoseam/io/guard"
	"pimentoseam/io/meter"
	"pimentoseam/io/socket"
)

const (
	// refusalWriteTimeout bounds the time for writing a refusal to a caller that doesn't read.
	refusalWriteTimeout = 500 * time.Millisecond
	// lingerTimeout and maxLinger bound how long and how many bytes are read and dropped after a refusal. Closing a connection with
	// unread data resets it, and the caller could lose the refusal.
	lingerTimeout = 500 * time.Millisecond
	maxLinger     = 256 << 10
	// minHeldBuffer is the smallest buffer for held bytes. It takes most heads that arrive in several parts.
	minHeldBuffer = 4 << 10
	// maxPooledBuffer is the largest buffer that is kept for reuse; it takes a head of the limit that deployments set.
	maxPooledBuffer = 32 << 10
)

// connOptions are the parts of a Server's configuration that its connections use.
type connOptions struct {
	admit            func(fields, bytes int) bool // Nil admits all heads.
	reservedTrailers []string
	log              *slog.Logger
	meter            *meter.Meter
}

// connLimits bounds the heads of one generation's connections.
type connLimits struct {
	head    int           // Bytes.
	timeout time.Duration // From the first byte of a head to its end.
}

// callerConn is a connection of a caller. What net/http reads from it has been accepted by the scanners of core/head: a head
// is passed on when it is complete, and the framing of a body as it comes. Thus net/http acts on exactly those requests that the
// scanners saw. A malformed head is answered here.
//
// Read is never called by two goroutines at once, and net/http orders its calls, so only isBusy needs synchronisation.
type callerConn struct {
	*net.TCPConn
	options *connOptions
	limits  connLimits

	scanner  head.Scanner
	body     head.Framing // Of the body that is being read; None between messages.
	length   int64        // What is left of a body with a length.
	chunks   head.Chunks
	accepted int // Number of held bytes that net/http may read.
	held     []byte
	base     *[]byte // The buffer of held.
	isLater  bool    // A head was read before.
	awaitEnd func() error
	// isBusy is set from the end of a head until net/http waits for the next request. Reads between messages then only serve to
	// notice that the caller disconnects.
	isBusy atomic.Bool
	// isMalformed is set once the framing of a body is refused.
	isMalformed atomic.Bool
}

// newConn returns the callerConn on c.
func newConn(c *net.TCPConn, options *connOptions) *callerConn {
	return &callerConn{TCPConn: c, options: options, body: head.None}
}

// setIdle records that net/http has finished a request.
func (c *callerConn) setIdle() {
	c.isBusy.Store(false)
}

// Read reads accepted bytes. After a malformed head, whose refusal it sends, it returns io.EOF; after a malformed body it returns
// the *head.Error.
func (c *callerConn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.accepted > 0:
		n := copy(p, c.held[:c.accepted])
		c.accepted -= n
		c.drop(n)
		return n, nil
	case c.body == head.Length:
		return c.readLength(p)
	case c.body == head.Chunked:
		return c.readChunks(p)
	case c.isBusy.Load():
		if c.awaitEnd == nil {
			c.awaitEnd = socket.EndOf(c.TCPConn)
		}
		return 0, c.awaitEnd()
	}
	return c.readHead(p)
}

// readAny reads held bytes or, if there are none, from the connection. It reports whether the bytes are held still.
func (c *callerConn) readAny(p []byte) (n int, isHeld bool, err error) {
	if len(c.held) > 0 {
		return copy(p, c.held), true, nil
	}
	n, err = c.TCPConn.Read(p)
	return n, false, err
}

func (c *callerConn) readLength(p []byte) (int, error) {
	if int64(len(p)) > c.length {
		p = p[:c.length]
	}
	n, isHeld, err := c.readAny(p)
	if isHeld {
		c.drop(n)
	}
	c.length -= int64(n)
	if c.length == 0 {
		c.body = head.None
	}
	return n, err
}

func (c *callerConn) readChunks(p []byte) (int, error) {
	if _, err := c.scanChunks(nil); err != nil {
		return 0, err // The bytes before the malformed one have been passed on.
	}
	n, isHeld, err := c.readAny(p)
	if n == 0 {
		return 0, err
	}
	used, scanErr := c.scanChunks(p[:n])
	if isHeld {
		c.drop(used)
	} else if scanErr == nil {
		c.hold(p[used:n])
	}
	if used > 0 {
		return used, nil // The next call returns the error of the scan.
	}
	return 0, scanErr
}

// scanChunks scans bytes of a chunked body and returns how many are accepted.
func (c *callerConn) scanChunks(data []byte) (int, error) {
	n, done, err := c.chunks.Scan(data)
	if done {
		c.body = head.None
	}
	if err != nil && c.isMalformed.CompareAndSwap(false, true) {
		c.options.meter.Count("bodies refused")
	}
	return n, err
}

// readHead reads until a head is complete and returns as much of it, and of the body after it, as p takes.
func (c *callerConn) readHead(p []byte) (int, error) {
	c.scanner = head.New(c.limits.head)
	if string(c.held) == emptyLine {
		c.drop(len(emptyLine))
	}
	if len(c.held) == 0 {
		n, err := c.readFirst(p)
		if n == 0 {
			return 0, err // No request has begun.
		}
		done, err := c.scanner.Scan(p[:n])
		switch {
		case err != nil:
			return 0, c.refuseHead(p, err)
		case done:
			return c.acceptRead(p, n)
		}
		c.hold(p[:n])
	} else {
		done, err := c.scanner.Scan(c.held)
		switch {
		case err != nil:
			return 0, c.refuseHead(p, err)
		case done:
			return c.acceptHeld(p)
		}
	}
	c.startHeadTimeout()
	for {
		c.grow()
		n, err := c.TCPConn.Read(c.held[len(c.held):cap(c.held)])
		if n == 0 {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return 0, c.refuseHead(p, &head.Error{Status: http.StatusRequestTimeout, Reason: "head not received in time"})
			}
			c.drop(len(c.held))
			return 0, err
		}
		c.held = c.held[:len(c.held)+n]
		done, err := c.scanner.Scan(c.held)
		switch {
		case err != nil:
			return 0, c.refuseHead(p, err)
		case done:
			return c.acceptHeld(p)
		}
	}
}

// emptyLine is sent after a body by some clients. No head has begun with it.
const emptyLine = "\r\n"

// readFirst reads the first bytes of a head.
func (c *callerConn) readFirst(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if string(p[:n]) != emptyLine {
			return n, err
		}
	}
}

// startHeadTimeout sets the deadline of a head that has begun and isn't the connection's first. net/http, which sets that of the
// first one, would set it only after the head.
func (c *callerConn) startHeadTimeout() {
	if c.isLater && c.limits.timeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.limits.timeout)) // Fails only on a closed connection.
	}
}

// acceptRead passes on a complete head and the bytes after it, which were read into p[:n].
func (c *callerConn) acceptRead(p []byte, n int) (int, error) {
	h := c.scanner.Head(p[:n])
	if !c.admitHead(&h) {
		return 0, c.refuseHead(p, &head.Error{Status: http.StatusServiceUnavailable, Reason: "head not admitted"})
	}
	end := h.Skip + h.Size
	switch h.Framing {
	case head.Length:
		taken := min(int64(n-end), c.length)
		c.length -= taken
		end += int(taken)
		if c.length == 0 {
			c.body = head.None
		}
	case head.Chunked:
		used, err := c.scanChunks(p[end:n])
		end += used
		if err != nil {
			n = end // What follows a malformed chunk is never read.
		}
	}
	c.hold(p[end:n])
	return copy(p, p[h.Skip:end]), nil
}

// acceptHeld passes on a complete head that is held.
func (c *callerConn) acceptHeld(p []byte) (int, error) {
	h := c.scanner.Head(c.held)
	if !c.admitHead(&h) {
		return 0, c.refuseHead(p, &head.Error{Status: http.StatusServiceUnavailable, Reason: "head not admitted"})
	}
	c.drop(h.Skip)
	c.accepted = h.Size
	return c.Read(p)
}

// admitHead asks whether a request is admitted and, if it is, prepares for its body.
func (c *callerConn) admitHead(h *head.Head) bool {
	if c.options.admit != nil && !c.options.admit(h.Fields, h.Size) {
		return false
	}
	c.isLater = true
	c.isBusy.Store(true)
	c.body, c.length = h.Framing, h.Length
	if h.Framing == head.Chunked {
		c.chunks = head.Chunks{Reserved: c.options.reservedTrailers}
	}
	return true
}

// hold keeps a copy of bytes that have been read and not accepted.
func (c *callerConn) hold(data []byte) {
	if len(data) == 0 {
		return
	}
	c.base = takeBuffer(len(data))
	c.held = append((*c.base)[:0], data...)
}

// grow makes room for at least one more held byte.
func (c *callerConn) grow() {
	if len(c.held) < cap(c.held) {
		return
	}
	base := takeBuffer(2 * len(c.held))
	held := append((*base)[:0], c.held...)
	releaseBuffer(c.base)
	c.base, c.held = base, held
}

// drop removes the first n held bytes.
func (c *callerConn) drop(n int) {
	c.held = c.held[n:]
	if len(c.held) == 0 && c.base != nil {
		releaseBuffer(c.base)
		c.base, c.held = nil, nil
	}
}

// buffers holds buffers of held bytes for reuse.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, minHeldBuffer)
	return &b
}}

// takeBuffer returns an empty buffer for at least size bytes.
func takeBuffer(size int) *[]byte {
	b, _ := buffers.Get().(*[]byte)
	if cap(*b) >= size {
		return b
	}
	buffers.Put(b)
	larger := make([]byte, 0, size)
	return &larger
}

func releaseBuffer(b *[]byte) {
	if cap(*b) <= maxPooledBuffer {
		buffers.Put(b)
	}
}

// refuseHead answers a head that is not passed on, closes the connection for writing, and drops what the caller still sends. It
// uses scratch as a buffer and returns io.EOF, which makes net/http close the connection.
func (c *callerConn) refuseHead(scratch []byte, err error) error {
	c.drop(len(c.held))
	status := http.StatusBadRequest
	var refused *head.Error
	if errors.As(err, &refused) {
		status = refused.Status
	}
	c.options.log.Info("head refused", "status", status, "err", err)
	c.options.meter.Count("heads refused " + strconv.Itoa(status))
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // Fails only on a closed connection.
	response := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		response += "Retry-After: " + guard.RetryAfter() + "\r\n"
	}
	response += "\r\n"
	if _, err := io.WriteString(c.TCPConn, response); err != nil {
		return io.EOF
	}
	c.linger(scratch)
	return io.EOF
}

// linger closes the connection for writing and drops what the caller still sends for some time.
func (c *callerConn) linger(scratch []byte) {
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // Fails only on a closed connection.
	_ = c.CloseWrite()                                   // Fails only if the caller has closed it.
	for dropped := 0; dropped < maxLinger; {
		n, err := c.TCPConn.Read(scratch)
		if err != nil {
			return
		}
		dropped += n
	}
}

// Close closes the connection, after a malformed body once the caller had time to read the response.
func (c *callerConn) Close() error {
	if c.isMalformed.CompareAndSwap(true, false) {
		b := takeBuffer(minHeldBuffer)
		c.linger((*b)[:minHeldBuffer])
		releaseBuffer(b)
	}
	return c.TCPConn.Close()
}

// resetUnlessChunked makes the close of the connection after an aborted response a reset for a caller that speaks
// HTTP/1.0, to which an ordinary close would mark the end of the body. Others see that the last chunk is missing, and a
// reset could take from them what they haven't read yet.
func (c *callerConn) resetUnlessChunked(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(0) // It fails only on a closed connection.
	}
}
