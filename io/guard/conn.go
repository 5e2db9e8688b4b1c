package guard

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"pimentoseam/core/memory"
	"pimentoseam/io/socket"
)

const (
	// StallTimeout is how long a body may make no progress at all.
	StallTimeout = 6 * time.Second
	// unreadTimeout is how long a caller may accept nothing of its response. It is longer than pauses of a sound caller
	// that was frozen or lost some packets.
	unreadTimeout = 20 * time.Second
	// writeSize is how many bytes are written at once; it is the unit in which progress is seen.
	writeSize = 16 << 10
	// deadlineStep is how old a write deadline may become before it is renewed, which takes a lock and a timer.
	deadlineStep = time.Second

	// waitTime is how long a request waits for memory before it is refused. It is enough for several large bodies to be
	// received and forwarded, and short against a request's time limit.
	waitTime = 600 * time.Millisecond
	// waitStep is the time between two tries.
	waitStep = 15 * time.Millisecond
)

// pastUnixTime is a deadline in the past, in Unix seconds; setting it ends reads at once.
const pastUnixTime = 1

// Conn is a connection with its place in the budget.
type Conn struct {
	net.Conn
	guard     *Guard
	opening   sync.Mutex // Held until account is set, since the connection may be evicted before.
	account   *memory.Account
	closeOnce sync.Once
	deadline  time.Time // When the write deadline was last renewed.
	unsent    int       // Bytes that the caller hadn't accepted when a write last timed out; 0 if some have been written since.
	bodyRead  bool      // The body of the present request has been read to its end.
}

// open gets a place in the budget; it returns false if there is none.
func (c *Conn) open() bool {
	c.opening.Lock()
	defer c.opening.Unlock()
	c.account = c.guard.budget.Open(time.Now(), c.evict)
	return c.account != nil
}

// evict ends the connection under pressure. A request whose body is being read gets a response.
func (c *Conn) evict(during memory.State) {
	c.opening.Lock()
	defer c.opening.Unlock()
	c.guard.closed(c.Conn, Evicted)
	if during == memory.Reading {
		_ = c.Conn.SetReadDeadline(time.Unix(pastUnixTime, 0)) // Fails only on a closed connection.
		return
	}
	_ = c.Close() // The connection isn't used again, whether or not Close fails.
}

// Close closes the connection and releases its memory.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.account.Close)
	return err
}

// CloseWrite closes the sending side, as net/http does before it closes the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write writes p as long as the caller accepts some of it within unreadTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	before := c.account.SetState(memory.Writing, now)
	defer func() { c.account.SetState(before, time.Now()) }()
	written := 0
	for {
		if now.Sub(c.deadline) > deadlineStep {
			if err := c.Conn.SetWriteDeadline(now.Add(unreadTimeout)); err != nil {
				return written, err
			}
			c.deadline = now
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeSize)])
		written += n
		if now = time.Now(); n > 0 {
			c.unsent = 0
			c.account.Progress(now)
		}
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case timedOut && (n > 0 || c.drains()):
			c.deadline = time.Time{}
		case timedOut:
			c.guard.closed(c.Conn, Unread)
			return written, err
		case err != nil || written == len(p):
			return written, err
		}
	}
}

// drains reports whether the caller has accepted some of what is queued for it since the last time. The kernel states room for
// more only when a third of its buffer is free, which takes a slow caller longer than unreadTimeout.
func (c *Conn) drains() bool {
	unsent, ok := socket.Unsent(c.Conn)
	before := c.unsent
	c.unsent = unsent
	return ok && (before == 0 || unsent < before)
}

// await reserves memory. It waits a while for some if there is none; if it returns false, the request must be refused.
func (c *Conn) await(ctx context.Context, kind memory.Kind, size int64) bool {
	granted, retry := c.account.Reserve(kind, size, time.Now())
	if granted || !retry {
		return granted
	}
	waiters := c.guard.headWaiters
	if kind == memory.Body {
		waiters = c.guard.bodyWaiters
	}
	select {
	case waiters <- struct{}{}:
	default:
		return false
	}
	defer func() { <-waiters }()
	for end := time.Now().Add(waitTime); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(waitStep/2 + rand.N(waitStep))
		if granted, retry = c.account.Reserve(kind, size, time.Now()); granted || !retry {
			return granted
		}
	}
	return false
}

// ReserveBody reserves memory for a body of the given size; if it returns false, the request must be refused.
func (c *Conn) ReserveBody(ctx context.Context, size int64) bool {
	before := c.account.SetState(memory.Busy, time.Now()) // It is not the caller that makes no progress.
	defer func() { c.account.SetState(before, time.Now()) }()
	return c.await(ctx, memory.Body, size)
}

// StartBody records that the request's body is read from now on.
func (c *Conn) StartBody() { c.account.SetState(memory.Reading, time.Now()) }

// BodyProgress records progress of the body.
func (c *Conn) BodyProgress() { c.account.Progress(time.Now()) }

// EndBody records the end of reading the body. It returns false if the connection was evicted; the request must be refused then.
func (c *Conn) EndBody() bool {
	c.account.SetState(memory.Busy, time.Now())
	c.bodyRead = !c.account.Evicted()
	return c.bodyRead
}

// RefuseBody counts a request that was refused because of its body, and releases the body's memory. The connection gives way first until
// the rest of the body has come.
func (c *Conn) RefuseBody(why Reason) {
	c.guard.refused(why)
	c.account.Charge(memory.Body, 0)
	c.bodyRead = false
}

// Evicted reports whether the connection must give way to others.
func (c *Conn) Evicted() bool { return c.account.Evicted() }

// AdmitHead reserves memory for a request with the given head, which hasn't been parsed; if it returns false, the request must be
// refused and the connection closed.
func (c *Conn) AdmitHead(fields, bytes int) bool {
	c.account.SetState(memory.Busy, time.Now()) // Before the check, so that it can't be evicted afterwards.
	if c.admitHead(context.Background(), memory.HeadSize(fields, bytes)) {
		return true
	}
	c.account.SetState(memory.Refused, time.Now())
	return false
}

// admitHead reserves memory for a head; it logs and counts a refusal.
func (c *Conn) admitHead(ctx context.Context, size int64) bool {
	if c.await(ctx, memory.Head, size) {
		return true
	}
	if c.account.Evicted() {
		return false // It was counted when it was evicted.
	}
	c.guard.log.Warn("refused", "listener", c.guard.name, "why", string(NoHead), "bytes", size)
	c.guard.refused(NoHead)
	return false
}

// HoldResponse records that the exchange holds so many bytes of a response.
func (c *Conn) HoldResponse(bytes int64) {
	if c != nil {
		c.account.Charge(memory.Response, bytes)
	}
}

// ChargedReader returns a reader of a response that charges what is read, with the buffer that grows for it, before more is read. A
// response that has just begun costs little, however long it may become.
func (c *Conn) ChargedReader(response io.Reader) io.Reader {
	return &chargedReader{Reader: response, conn: c}
}

// chargedReader reads a response that is kept in a growing buffer.
type chargedReader struct {
	io.Reader
	conn          *Conn
	read, charged int64 // Bytes.
}

// Read reads and charges the response.
func (r *chargedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.read += int64(n); r.read > r.charged {
		r.charged = bufferFactor * r.read
		r.conn.HoldResponse(r.charged)
	}
	return n, err
}

// bufferFactor is how much larger than its content a buffer that grows may be.
const bufferFactor = 2
