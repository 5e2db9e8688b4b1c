package client

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/io/limit"
	"pimentoseam/io/socket"
)

// BadRequest reports a request whose request line or Host header would be malformed.
type BadRequest struct {
	Reason string
}

// Error returns the reason after a prefix.
func (e *BadRequest) Error() string {
	return "request: " + e.Reason
}

// StaleResponses reports that a connection delivered only responses that don't belong to the request.
type StaleResponses struct{}

// Error returns a fixed text.
func (e *StaleResponses) Error() string {
	return "no response read belongs to this request"
}

// HeadTooLarge reports response heads larger than a limit in bytes.
type HeadTooLarge struct {
	Limit int64
}

// Error returns a text with the limit.
func (e *HeadTooLarge) Error() string {
	return "response head exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// limitedReader limits the bytes of response heads. Bodies are read without its limit.
type limitedReader struct {
	io.Reader
	inHead   bool
	headLeft int64 // Bytes of heads that may still be read.
}

// Read reads from the underlying reader; its error is a *HeadTooLarge if the limit is reached in a head.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.Reader.Read(p)
	}
	if r.headLeft <= 0 {
		return 0, &HeadTooLarge{Limit: maxHeadBytes}
	}
	n, err := r.Reader.Read(p)
	r.headLeft -= int64(n)
	return n, err
}

// send writes the request and reports whether any byte may have been sent.
func (c *conn) send(r *Request) (bool, error) {
	head, err := r.encodeHead()
	if err != nil {
		return false, err
	}
	c.checked.Expect(r.Method)
	if len(r.Body) <= maxInlineBody {
		n, err := c.checked.Write(append(head, r.Body...))
		return n > 0, err
	}
	// An upstream may respond before it reads a long body, so the body is written while the response is read.
	if n, err := c.checked.Write(head); err != nil {
		return n > 0, err
	}
	c.bodyWritten = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.checked.Write(r.Body)
		done <- err
	}(c.bodyWritten)
	return true, nil
}

// encodeHead returns the request line and the headers, with the blank line that ends them.
func (r *Request) encodeHead() ([]byte, error) {
	for _, b := range []byte(r.Target + r.Host + r.Method) {
		if b <= ' ' || b == 0x7f {
			return nil, &BadRequest{Reason: "control character or space in target, host or method"}
		}
	}
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		_, _ = fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.Body))
	}
	err := r.Header.WriteSubset(&out, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	return append(out.Bytes(), '\r', '\n'), err
}

// readResponse reads the response head. It skips informational (1xx) responses and, up to a limit, responses
// that don't belong to the request, such as a second response to an earlier one.
func (c *conn) readResponse(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	c.source.headLeft, c.source.inHead = maxHeadBytes, true
	defer func() { c.source.inHead = false }()
	for stale := 0; stale <= maxStaleResponses; {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(response.StatusCode, response.Header, c.reused) {
			return response, nil
		}
		stale++
		c.source.inHead = false
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBody))
		if err != nil || n == maxStaleBody || response.Close {
			break
		}
		c.source.inHead = true
	}
	return nil, &StaleResponses{}
}

// Response is an upstream's response; Close must be called, at least once.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
	// stopCancel keeps the end of the context from interrupting the connection; it reports whether it was in time.
	stopCancel func() bool
	seenOpen   atomic.Pointer[time.Time] // When the connection was last found open; see NoteOpen.
	peeking    sync.Mutex                // Held while NoteOpen looks at the connection.
	peekErr    error                     // The error of the connection that NoteOpen has seen; guarded by peeking.
	complete   bool                      // The body was read to its end.
	failed     bool                      // Reading the body has failed.
	closed     bool
}

// Read reads the body; it returns io.EOF only at the end of the complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		if lost := r.takenError(); lost != nil {
			err = lost
		}
	}
	if err == io.EOF {
		r.complete = true
	}
	r.failed = r.failed || (err != nil && err != io.EOF)
	return n, err
}

// takenError returns the error of the connection that NoteOpen has taken from the kernel, which then reports an ordinary end.
func (r *Response) takenError() error {
	r.peeking.Lock()
	defer r.peeking.Unlock()
	return r.peekErr
}

// Failed reports whether reading the body has failed.
func (r *Response) Failed() bool {
	return r.failed
}

// Close resets the connection if the body was not read to its end, which cancels the request at the upstream. If it
// was, Close returns the connection to the pool, or closes it if it can't be reused: the context has ended, the
// response ends with the connection, unexpected data has arrived, or the request body wasn't written completely.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	usable := r.stopCancel() && r.complete && !r.Response.Close && r.Framing() != Connection && !r.conn.hasMore()
	if usable && r.conn.bodyWritten != nil {
		select {
		case err := <-r.conn.bodyWritten:
			usable = err == nil
		default:
			usable = false // The upstream would parse the next request as the rest of this body.
		}
	}
	if !r.complete {
		r.pool.abort(r.conn)
		return
	}
	if !usable {
		r.pool.discard(r.conn)
		return
	}
	r.conn.bodyWritten = nil
	r.pool.putIdle(r.conn, r.Header)
}

// Release closes the response if its body was read to its end. Close may still be called.
func (r *Response) Release() {
	if r.complete {
		r.Close()
	}
}

// Discard reads and drops the rest of the body, so that Close can return the connection to the pool. It gives up, with an
// error, if that takes longer than timeout or if more than maxBytes are left.
func (r *Response) Discard(maxBytes int64, timeout time.Duration) error {
	if r.Framing() == Connection {
		return nil // The connection can't be reused.
	}
	timer := time.AfterFunc(timeout, func() { _ = r.conn.SetReadDeadline(time.Unix(pastUnixTime, 0)) }) // Fails only on a closed connection.
	_, err := r.ReadAll(maxBytes)
	if !timer.Stop() {
		r.complete = false // The deadline would break the connection's next read.
	}
	return err
}

// Opened returns when the connection was established.
func (r *Response) Opened() time.Time {
	return r.conn.opened
}

// HasLost reports whether the upstream had closed an idle connection within a second before this one was opened.
func (r *Response) HasLost() bool {
	return r.conn.hasLost
}

// NoteOpen notes for OpenUntil whether the connection is still open, and reports whether it may be.
func (r *Response) NoteOpen() bool {
	r.peeking.Lock()
	defer r.peeking.Unlock()
	now := time.Now()
	state, err := socket.PeekError(r.conn.Conn)
	if err != nil && r.peekErr == nil {
		r.peekErr = err
	}
	if state == socket.Idle {
		r.seenOpen.Store(&now)
	}
	return state != socket.Closed
}

// Received returns when the last data of the connection arrived, at the earliest.
func (r *Response) Received() time.Time {
	return socket.LastReceived(r.conn.Conn)
}

// OpenUntil returns the latest time of which it is known that the connection was open: when its last data arrived, or that of a
// later NoteOpen.
func (r *Response) OpenUntil() time.Time {
	received := r.Received()
	if seen := r.seenOpen.Load(); seen != nil && seen.After(received) {
		return *seen
	}
	return received
}

// Framing is what ends a response body.
type Framing string

// The framings of a response body.
const (
	Length     Framing = "length"     // Content-Length, or a status or method that excludes a body.
	Chunks     Framing = "chunks"     // The last chunk.
	Connection Framing = "connection" // The end of the connection, as when the upstream fails.
)

// Framing returns what ends the body.
func (r *Response) Framing() Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return Chunks
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return Length
	}
	return Connection
}

var _ io.Reader = (*Response)(nil)

// ReadAll returns the rest of the body; its error is a *limit.TooLarge if that exceeds maxBytes.
func (r *Response) ReadAll(maxBytes int64) ([]byte, error) {
	return limit.ReadAll(r, maxBytes)
}
