package link

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/lesismal/nbio/nbhttp/websocket"

	"pimentoseam/core/frame"
)

// Path is the URL path on which an agent accepts links.
const Path = "/link"

const (
	minHeartbeatInterval = 500 * time.Millisecond
	// heartbeatBytes is the size of a heartbeat with its framing.
	heartbeatBytes = 100
	// heartbeatRate is the limit of the heartbeat bytes that a process sends per second on all links.
	heartbeatRate = 2000
	// maxMissedHeartbeats is the number of the peer's heartbeat intervals without a frame after which a link is closed.
	maxMissedHeartbeats = 4
	dialTimeout         = 2 * time.Second
	maxMessageBytes     = 8 << 20
)

// Handler handles the frames and the end of links. Calls for one link are sequential, except for Closed, and
// must not block.
type Handler interface {
	// Frame is called for each received frame.
	Frame(c *Conn, f frame.Frame)
	// Closed is called once, when the link is closed, also by a heartbeat timeout. It may run concurrently with Frame.
	Closed(c *Conn, err error)
	// Beat returns the next heartbeat to send; its Period is the time until the one after it.
	Beat() *frame.Beat
}

// Error reports a link that failed.
type Error struct {
	Op    string
	Cause error
}

// Error returns the operation and, if there is one, the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return "link: " + e.Op
	}
	return "link: " + e.Op + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Conn is a link between an entry and an agent, with heartbeats in both directions.
type Conn struct {
	ws           *websocket.Conn
	handler      Handler
	lastReceived atomic.Int64 // Time of the last received frame, in Unix nanoseconds.
	peerInterval atomic.Int64 // Time between the peer's heartbeats, in nanoseconds.
	seq          atomic.Uint64
	closeOnce    sync.Once
	done         chan struct{}
}

// Bytes counts the frame bytes that this process sent and received on links.
var Bytes atomic.Int64

// newConn returns a Conn and the WebSocket upgrader that opens it. The peer's first frame can arrive directly
// after the handshake, so the Conn must be able to handle frames before Dial or Accept returns.
func newConn(engine *nbhttp.Engine, h Handler) (*Conn, *websocket.Upgrader) {
	c := &Conn{handler: h, done: make(chan struct{})}
	c.lastReceived.Store(time.Now().UnixNano())
	c.peerInterval.Store(int64(minHeartbeatInterval))
	u := websocket.NewUpgrader()
	u.Engine = engine
	u.KeepaliveTime = 0
	u.MessageLengthLimit = maxMessageBytes
	u.OnOpen(func(ws *websocket.Conn) { c.ws = ws })
	u.OnMessage(func(_ *websocket.Conn, kind websocket.MessageType, data []byte) { c.receive(kind, data) })
	u.OnClose(func(_ *websocket.Conn, err error) { c.notifyClosed(&Error{Op: "closed", Cause: err}) })
	return c, u
}

func (c *Conn) receive(kind websocket.MessageType, data []byte) {
	if kind != websocket.BinaryMessage {
		c.Close(&Error{Op: "receive: not a binary message"})
		return
	}
	Bytes.Add(int64(len(data)))
	f, err := frame.Decode(data)
	if err != nil {
		c.Close(err)
		return
	}
	c.lastReceived.Store(time.Now().UnixNano())
	if b, ok := f.(*frame.Beat); ok && b.Period > 0 {
		c.peerInterval.Store(int64(b.Period))
	}
	c.handler.Frame(c, f)
}

// Dial opens a link to the agent at addr; its error is a *Error.
func Dial(ctx context.Context, engine *nbhttp.Engine, addr netip.AddrPort, secret string, h Handler) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, u := newConn(engine, h)
	dialer := websocket.Dialer{Engine: engine, Upgrader: u, DialTimeout: dialTimeout}
	header := http.Header{"Authorization": {"Bearer " + secret}}
	if _, _, err := dialer.DialContext(ctx, "ws://"+addr.String()+Path, header); err != nil {
		return nil, &Error{Op: "dial", Cause: err}
	}
	go c.heartbeatLoop()
	return c, nil
}

// Accept upgrades an HTTP request with the right secret to a link; its error is a *Error.
func Accept(engine *nbhttp.Engine, w http.ResponseWriter, r *http.Request, secret string, h Handler) (*Conn, error) {
	wantAuth := []byte("Bearer " + secret)
	gotAuth := []byte(r.Header.Get("Authorization"))
	if subtle.ConstantTimeCompare(wantAuth, gotAuth) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return nil, &Error{Op: "accept: wrong secret"}
	}
	c, u := newConn(engine, h)
	if _, err := u.Upgrade(w, r, nil); err != nil {
		return nil, &Error{Op: "accept", Cause: err}
	}
	go c.heartbeatLoop()
	return c, nil
}

// HeartbeatInterval returns the time between heartbeats on each link of a process with the given number of links.
// It grows with the number of links, so that all heartbeats together stay within heartbeatRate.
func HeartbeatInterval(links int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(links)*heartbeatBytes*time.Second/heartbeatRate)
}

// heartbeatLoop sends heartbeats and closes the link if nothing is received from the peer for too long.
func (c *Conn) heartbeatLoop() {
	for {
		heartbeat := c.handler.Beat()
		heartbeat.Seq = c.seq.Add(1)
		if err := c.Send(heartbeat); err != nil {
			return
		}
		timer := time.NewTimer(heartbeat.Period)
		select {
		case <-c.done:
			timer.Stop()
			return
		case <-timer.C:
		}
		lastReceived := time.Unix(0, c.lastReceived.Load())
		if time.Since(lastReceived) > maxMissedHeartbeats*time.Duration(c.peerInterval.Load()) {
			c.Close(&Error{Op: "silent"})
			return
		}
	}
}

// Send encodes and sends f; its error is a *Error or a *frame.BadFrame.
func (c *Conn) Send(f frame.Frame) error {
	data, err := frame.Encode(f)
	if err != nil {
		return err
	}
	Bytes.Add(int64(len(data)))
	if err := c.ws.WriteMessage(websocket.BinaryMessage, data); err != nil {
		c.Close(err)
		return &Error{Op: "send", Cause: err}
	}
	return nil
}

// Close closes the link; the handler's Closed gets err as the reason.
func (c *Conn) Close(err error) {
	_ = c.ws.Close()
	c.notifyClosed(err)
}

// Done returns a channel that is closed when the link is closed.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

// notifyClosed calls the handler's Closed once, in a goroutine of its own: the caller may be a sender that
// holds locks which Closed takes.
func (c *Conn) notifyClosed(err error) {
	c.closeOnce.Do(func() {
		close(c.done)
		go c.handler.Closed(c, err)
	})
}
