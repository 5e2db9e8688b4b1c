package answer

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"pimentoseam/core/head"
)

const (
	// writeSettle is how long the end of an answer waits for a write that has ended but whose goroutine has not run since.
	writeSettle     = 100 * time.Millisecond
	writeSettlePoll = 2 * time.Millisecond
)

// UnfinishedUpload reports an answer that nothing but the end of its connection has ended while its request was still being sent, so
// that it may not be complete: the end may be a reset, whose error the write gets.
type UnfinishedUpload struct {
	Cause error // Of the write; nil if that has not failed.
}

// Error returns a fixed text with the cause.
func (e *UnfinishedUpload) Error() string {
	if e.Cause == nil {
		return "connection ended while the request was being sent"
	}
	return "connection ended while the request was being sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnfinishedUpload) Unwrap() error {
	return e.Cause
}

// Conn is a client's connection from which only well-formed answers are read. One goroutine at a time may read, and one may write.
type Conn struct {
	net.Conn
	answers head.Answers
	err     error // After which nothing is read.

	received atomic.Bool  // Bytes of the present answer have arrived.
	writing  atomic.Int32 // Writes in progress.
	overlaps atomic.Bool  // A write has begun after the first bytes of the answer.
	failed   atomic.Pointer[error]
}

// New returns a Conn that reads from c.
func New(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Expect tells that a request with a method is sent next; without it, no request is HEAD.
func (c *Conn) Expect(method string) {
	c.answers.Expect(method)
}

// IsSound reports whether everything that was received was well-formed.
func (c *Conn) IsSound() bool {
	return c.err == nil
}

// Read reads bytes that are part of a well-formed answer. Its error is a *head.Error if others follow, and an *UnfinishedUpload in
// place of io.EOF if that doesn't show that the answer is complete.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	accepted, malformed := c.answers.Scan(p[:n])
	if malformed != nil {
		c.err = malformed
		if accepted > 0 {
			return accepted, nil // The error follows.
		}
		return 0, malformed
	}
	if c.answers.IsBetween() {
		c.received.Store(false)
		c.overlaps.Store(false)
	}
	if err == io.EOF && c.answers.EndsWithConnection() {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF if the end of the connection shows that the answer is complete, otherwise an *UnfinishedUpload.
func (c *Conn) end() error {
	for wait := time.Now().Add(writeSettle); c.writing.Load() > 0 && time.Now().Before(wait); {
		time.Sleep(writeSettlePoll)
	}
	switch failed := c.failed.Load(); {
	case failed != nil:
		return &UnfinishedUpload{Cause: *failed}
	case c.writing.Load() > 0 || c.overlaps.Load():
		return &UnfinishedUpload{}
	}
	return io.EOF
}

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	if c.received.Load() {
		c.overlaps.Store(true)
	}
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}
