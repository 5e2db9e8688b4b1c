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
	beatMin      = 500 * time.Millisecond
	beatBytes    = 100  // one heartbeat with its framing
	beatBudget   = 2000 // bytes per second that one process sends as heartbeats
	silenceBeats = 4    // heartbeats that a silent peer has missed
	dialTimeout  = 2 * time.Second
	maxMessage   = 8 << 20 // bytes
)

// Handler receives what happens on a link; calls for one link are sequential and must not block.
type Handler interface {
	// Frame is called for each frame but heartbeats of a closing link.
	Frame(c *Conn, f frame.Frame)
	// Closed is called once, when the link is closed or was silent for too long. It may run beside Frame.
	Closed(c *Conn, err error)
	// Beat returns the heartbeat to send next; its Every is the time until the one after it.
	Beat() *frame.Beat
}

// Error reports a link that failed.
type Error struct {
	Op    string
	Cause error
}

// Error names the operation and the cause.
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

// Conn is one link with heartbeats both ways.
type Conn struct {
	ws      *websocket.Conn
	handler Handler
	heard   atomic.Int64
	every   atomic.Int64 // between the peer's heartbeats, in nanoseconds
	seq     atomic.Uint64
	once    sync.Once
	done    chan struct{}
}

// Bytes counts the frame bytes that this process sent and received on links.
var Bytes atomic.Int64

// newConn returns a Conn and the upgrader that opens it. The peer's first frame may come right
// behind the handshake, so the Conn handles frames before Dial or Accept returns.
func newConn(engine *nbhttp.Engine, h Handler) (*Conn, *websocket.Upgrader) {
	c := &Conn{handler: h, done: make(chan struct{})}
	c.heard.Store(time.Now().UnixNano())
	c.every.Store(int64(beatMin))
	u := websocket.NewUpgrader()
	u.Engine = engine
	u.KeepaliveTime = 0
	u.MessageLengthLimit = maxMessage
	u.OnOpen(func(ws *websocket.Conn) { c.ws = ws })
	u.OnMessage(func(_ *websocket.Conn, kind websocket.MessageType, data []byte) { c.receive(kind, data) })
	u.OnClose(func(_ *websocket.Conn, err error) { c.finish(&Error{Op: "closed", Cause: err}) })
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
	c.heard.Store(time.Now().UnixNano())
	if b, ok := f.(*frame.Beat); ok && b.Period > 0 {
		c.every.Store(int64(b.Period))
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
	go c.beat()
	return c, nil
}

// Accept upgrades an agent's HTTP request to a link; its error is a *Error.
func Accept(engine *nbhttp.Engine, w http.ResponseWriter, r *http.Request, secret string, h Handler) (*Conn, error) {
	want := []byte("Bearer " + secret)
	got := []byte(r.Header.Get("Authorization"))
	if subtle.ConstantTimeCompare(want, got) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return nil, &Error{Op: "accept: wrong secret"}
	}
	c, u := newConn(engine, h)
	if _, err := u.Upgrade(w, r, nil); err != nil {
		return nil, &Error{Op: "accept", Cause: err}
	}
	go c.beat()
	return c, nil
}

// Every returns the time between heartbeats of a process with the given number of links.
// It grows with them, so that heartbeats stay within the bytes per second of a process.
func Every(links int) time.Duration {
	return max(beatMin, time.Duration(links)*beatBytes*time.Second/beatBudget)
}

// beat sends heartbeats and closes the link when the peer is silent.
func (c *Conn) beat() {
	for {
		b := c.handler.Beat()
		b.Seq = c.seq.Add(1)
		if err := c.Send(b); err != nil {
			return
		}
		timer := time.NewTimer(b.Period)
		select {
		case <-c.done:
			timer.Stop()
			return
		case <-timer.C:
		}
		heard := time.Unix(0, c.heard.Load())
		if time.Since(heard) > silenceBeats*time.Duration(c.every.Load()) {
			c.Close(&Error{Op: "silent"})
			return
		}
	}
}

// Send queues f; its error is a *Error or a *frame.BadFrame.
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

// Close ends the link with err as the reason given to the handler.
func (c *Conn) Close(err error) {
	_ = c.ws.Close()
	c.finish(err)
}

// Done is closed when the link is closed.
func (c *Conn) Done() <-chan struct{} {
	return c.done
}

// finish tells the handler from another goroutine, since a sender may hold locks that the handler takes.
func (c *Conn) finish(err error) {
	c.once.Do(func() {
		close(c.done)
		go c.handler.Closed(c, err)
	})
}
