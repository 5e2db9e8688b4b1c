package door

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"pimentoseam/core/route"
	"pimentoseam/io/socket"
)

// Limits until the configuration states its own, which are near these.
const (
	headBytes = 32 << 10
	headTime  = 3 * time.Second
	idleTime  = 20 * time.Second
)

// Door is a listener for callers. A server keeps its limits, so each change of them opens a new
// server; the one before finishes the requests in progress on its connections.
type Door struct {
	listener *net.TCPListener
	handler  http.Handler
	log      *slog.Logger

	mu      sync.Mutex
	limits  route.Limits
	rooms   []*room // The newest, which gets new connections, is the last.
	leaving bool
}

// New returns a Door on a listener with its own limits; handler answers the requests.
func New(listener *net.TCPListener, handler http.Handler, log *slog.Logger) *Door {
	d := &Door{listener: listener, handler: handler, log: log}
	d.Limit(route.Limits{})
	return d
}

// Limit sets what callers may send in a head and how long they may take; what is 0 keeps its default.
func (d *Door) Limit(l route.Limits) {
	l.MaxBodyBytes = 0 // Bodies are read by the handler.
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = headBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = headTime
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = idleTime
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limits == l || d.leaving {
		return
	}
	d.limits = l
	d.log.Info("limits", "head", l.MaxHeaderBytes, "reading", l.HeaderTimeout, "idle", l.IdleTimeout)
	r := d.open(l)
	if n := len(d.rooms); n > 0 {
		go d.retire(d.rooms[n-1])
	}
	d.rooms = append(d.rooms, r)
}

// open starts a server with the given limits.
func (d *Door) open(l route.Limits) *room {
	r := &room{addr: d.listener.Addr(), conns: make(chan net.Conn), ended: make(chan struct{})}
	r.server = &http.Server{
		Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxHeaderBytes: l.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() {
		if err := r.server.Serve(r); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("server ended", "err", err)
		}
	}()
	return r
}

// handle has a request answered.
func (d *Door) handle(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*tap); ok {
		c.handle(true)
		defer c.handle(false)
	}
	d.handler.ServeHTTP(w, r)
}

// retire closes the idle connections of a server that is no longer the newest, and the others after the
// requests in progress.
func (d *Door) retire(r *room) {
	if err := r.server.Shutdown(context.Background()); err != nil {
		d.log.Warn("server not finished", "err", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, other := range d.rooms {
		if other == r {
			d.rooms = append(d.rooms[:i], d.rooms[i+1:]...)
			return
		}
	}
}

// Serve accepts connections until the door is shut; its error is that of the listener.
func (d *Door) Serve() error {
	for {
		c, err := d.listener.AcceptTCP()
		var temporary net.Error
		switch {
		case err == nil:
			d.admit(&tap{TCPConn: c})
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &temporary):
			d.log.Warn("not accepted", "err", err) // Descriptors run out and come back.
			time.Sleep(acceptPause)
		default:
			return err
		}
	}
}

// acceptPause is the time after a failed accept, as the standard server's longest.
const acceptPause = 50 * time.Millisecond

// admit hands a connection to the newest server.
func (d *Door) admit(c net.Conn) {
	for {
		d.mu.Lock()
		r := d.rooms[len(d.rooms)-1]
		d.mu.Unlock()
		select {
		case r.conns <- c:
			return
		case <-r.ended:
		}
		d.mu.Lock()
		leaving := d.leaving
		d.mu.Unlock()
		if leaving {
			_ = c.Close() // Nothing was read from it.
			return
		}
	}
}

// Quiet closes idle connections and has each answer end its connection; new connections are still taken.
func (d *Door) Quiet() {
	for _, r := range d.leave() {
		r.server.SetKeepAlivesEnabled(false)
	}
}

// Shut stops listening and waits for the requests in progress until ctx ends; its error is that of ctx.
func (d *Door) Shut(ctx context.Context) error {
	rooms := d.leave()
	ended := make(chan error, len(rooms))
	err := d.listener.Close()
	for _, r := range rooms {
		go func() { ended <- r.server.Shutdown(ctx) }()
	}
	for range rooms {
		err = errors.Join(err, <-ended)
	}
	return err
}

// leave keeps the limits from changing and returns the servers.
func (d *Door) leave() []*room {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	return append([]*room(nil), d.rooms...)
}

// room is one server with the way by which it gets its connections.
type room struct {
	server *http.Server
	addr   net.Addr
	conns  chan net.Conn
	once   sync.Once
	ended  chan struct{}
}

// Accept returns the next connection.
func (r *room) Accept() (net.Conn, error) {
	select {
	case c := <-r.conns:
		return c, nil
	case <-r.ended:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (r *room) Close() error {
	r.once.Do(func() { close(r.ended) })
	return nil
}

// Addr returns the address of the door's listener.
func (r *room) Addr() net.Addr {
	return r.addr
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Left reports whether the caller has closed its connection. The request's context tells that too, but
// late in a process that has just been frozen.
func Left(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connKey{}).(*tap)
	return ok && socket.Look(c.TCPConn) == socket.Closed
}

// Ambiguous reports whether the head of a request in chunks also states a length.
func Ambiguous(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*tap)
	return ok && c.ambiguous(r)
}
