package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/head"
	"pimentoseam/core/route"
	"pimentoseam/io/guard"
	"pimentoseam/io/meter"
	"pimentoseam/io/socket"
)

// Default limits, which apply where the configuration sets none. The configuration's own limits are close to them.
const (
	defaultMaxHeader     = 32 << 10 // Bytes.
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 20 * time.Second
)

const (
	// maxIdleLinger limits the time for which the idle connections of a retired generation stay open, if other limits than the idle
	// timeout have changed. These must apply within the two seconds in which a configuration takes effect.
	maxIdleLinger = time.Second
	// maxRetired limits the retired generations that keep idle connections; the oldest closes them first.
	maxRetired = 16
)

// Server serves callers on one listener. The limits of an http.Server can't change while it runs, so each
// change starts a new generation with its own http.Server. The generation before makes each response the last on its
// connection, so that callers whose requests are on their way lose none, and closes those that stay idle after a while.
type Server struct {
	listener *net.TCPListener
	handler  http.Handler
	log      *slog.Logger
	conn     connOptions
	guard    *guard.Guard // Nil without limits on memory and connections.

	mu           sync.Mutex
	limits       route.Limits
	generations  []*generation // The last one is the newest and gets all new connections.
	shuttingDown bool
}

// Option configures a Server.
type Option func(*Server)

// WithAdmission sets a function that is asked once for each complete request head before net/http parses it. Its arguments
// are the number of header fields and the bytes of the head. If it returns false, the request gets status 503 and its
// connection is closed. It is called by several connections at the same time.
func WithAdmission(admit func(fields, bytes int) bool) Option {
	return func(s *Server) { s.conn.admit = admit }
}

// WithGuard sets the guard of the connections, which also decides about the admission of heads.
func WithGuard(g *guard.Guard) Option {
	return func(s *Server) { s.guard = g }
}

// WithReservedTrailers sets names of fields, in lower case, that trailers of chunked bodies must not have, in addition to those of
// the HTTP standard.
func WithReservedTrailers(names ...string) Option {
	return func(s *Server) { s.conn.reservedTrailers = names }
}

// WithMeter has refused heads, by status, and refused bodies counted in m.
func WithMeter(m *meter.Meter) Option {
	return func(s *Server) { s.conn.meter = m }
}

// New returns a Server on listener with the default limits; handler serves the requests.
func New(listener *net.TCPListener, handler http.Handler, log *slog.Logger, opts ...Option) *Server {
	s := &Server{listener: listener, handler: handler, log: log, conn: connOptions{log: log, meter: meter.New()}}
	for _, opt := range opts {
		opt(s)
	}
	if s.guard != nil {
		s.guard.LimitBuffers(listener)
	}
	s.SetLimits(route.Limits{})
	return s
}

// SetLimits sets the largest request head, the time for reading it and the idle timeout; 0 stands for the
// default. The limit of the body is left to the handler. After the start of a shutdown it does nothing.
func (s *Server) SetLimits(l route.Limits) {
	l.MaxBodyBytes = 0 // The handler limits bodies itself; a changed body limit needs no new generation.
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeader
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == l || s.shuttingDown {
		return
	}
	s.limits = l
	s.log.Info("limits", "head", l.MaxHeaderBytes, "reading", l.HeaderTimeout, "idle", l.IdleTimeout)
	g := s.startGeneration(l)
	s.generations = append(s.generations, g)
	if n := len(s.generations); n > 1 {
		s.retire(s.generations[n-2], l)
	}
	var lingering []*generation // Without those that only finish their requests in progress.
	for _, g := range s.generations[:len(s.generations)-1] {
		if !g.closing.Load() {
			lingering = append(lingering, g)
		}
	}
	if len(lingering) > maxRetired {
		s.close(lingering[0])
	}
}

// startGeneration starts an http.Server with the given limits.
func (s *Server) startGeneration(l route.Limits) *generation {
	g := &generation{limits: l, addr: s.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	g.server = &http.Server{
		Handler: s.handle(g), ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxHeaderBytes: l.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*callerConn); ok && state == http.StateIdle {
				conn.setIdle()
			}
		},
	}
	if s.guard != nil {
		s.guard.Attach(g.server)
	}
	go func() {
		if err := g.server.Serve(g); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP server failed", "err", err)
		}
	}()
	return g
}

// handle returns a handler that serves a request of a generation. If the handler panics, it sees to it that the caller notices that
// the response is incomplete.
func (s *Server) handle(g *generation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if g.retired.Load() {
			w.Header().Set("Connection", "close")
		}
		if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			defer func() {
				if p := recover(); p != nil {
					c.resetUnlessChunked(r)
					panic(p)
				}
			}()
		}
		s.handler.ServeHTTP(w, r)
	}
}

// retire makes each response of a generation that is no longer the newest the last on its connection. Connections that are still
// idle after the shorter of the old and the new idle timeout are closed then.
func (s *Server) retire(g *generation, next route.Limits) {
	g.retired.Store(true)
	linger := min(g.limits.IdleTimeout, next.IdleTimeout)
	if g.limits.MaxHeaderBytes != next.MaxHeaderBytes || g.limits.HeaderTimeout != next.HeaderTimeout {
		linger = min(linger, maxIdleLinger)
	}
	time.AfterFunc(linger, func() { s.close(g) })
}

// close begins to shut down a generation unless that has begun before.
func (s *Server) close(g *generation) {
	if g.closing.CompareAndSwap(false, true) {
		go s.shutDown(g)
	}
}

// shutDown shuts down a generation: idle connections are closed at once, the others after their requests in progress.
func (s *Server) shutDown(g *generation) {
	if err := g.server.Shutdown(context.Background()); err != nil {
		s.log.Warn("HTTP server shutdown failed", "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.generations {
		if other == g {
			s.generations = append(s.generations[:i], s.generations[i+1:]...)
			return
		}
	}
}

// Serve accepts connections until Shutdown; its error is that of the listener.
func (s *Server) Serve() error {
	for {
		c, err := s.listener.AcceptTCP()
		var netErr net.Error
		switch {
		case err == nil:
			s.admit(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &netErr):
			// For example, the process is out of file descriptors for the moment.
			s.log.Warn("connection not accepted", "err", err)
			time.Sleep(acceptRetryDelay)
		default:
			return err
		}
	}
}

// admit passes a connection on if the guard admits it.
func (s *Server) admit(c *net.TCPConn) {
	if s.guard == nil {
		conn := newConn(c, &s.conn)
		s.dispatch(conn, conn)
		return
	}
	options := s.conn
	conn := newConn(c, &options)
	if guarded := s.guard.Admit(conn); guarded != nil {
		options.admit = guarded.AdmitHead
		s.dispatch(conn, guarded)
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// dispatch passes a connection to the newest generation, which serves it as outer.
func (s *Server) dispatch(c *callerConn, outer net.Conn) {
	for {
		s.mu.Lock()
		g := s.generations[len(s.generations)-1]
		s.mu.Unlock()
		c.limits = connLimits{head: g.limits.MaxHeaderBytes, timeout: g.limits.HeaderTimeout}
		select {
		case g.conns <- outer:
			return
		case <-g.closed:
		}
		s.mu.Lock()
		shuttingDown := s.shuttingDown
		s.mu.Unlock()
		if shuttingDown {
			_ = outer.Close() // No request was read from it.
			return
		}
	}
}

// DisableKeepAlives closes idle connections and makes each response the last on its connection. New
// connections are still accepted.
func (s *Server) DisableKeepAlives() {
	for _, g := range s.beginShutdown() {
		g.server.SetKeepAlivesEnabled(false)
	}
}

// Shutdown closes the listener and waits for the requests in progress until ctx ends. Its error joins those of
// closing the listener and of the generations' shutdown, such as ctx's.
func (s *Server) Shutdown(ctx context.Context) error {
	generations := s.beginShutdown()
	results := make(chan error, len(generations))
	err := s.listener.Close()
	for _, g := range generations {
		go func() { results <- g.server.Shutdown(ctx) }()
	}
	for range generations {
		err = errors.Join(err, <-results)
	}
	return err
}

// beginShutdown blocks further changes of the limits and returns the generations.
func (s *Server) beginShutdown() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	return append([]*generation(nil), s.generations...)
}

// generation is an http.Server and the net.Listener from which it gets its connections.
type generation struct {
	limits    route.Limits
	retired   atomic.Bool // It is no longer the newest.
	closing   atomic.Bool // It closes its idle connections and finishes its requests in progress.
	server    *http.Server
	addr      net.Addr
	conns     chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept returns the next dispatched connection.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.conns:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (g *generation) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return nil
}

// Addr returns the address of the Server's listener.
func (g *generation) Addr() net.Addr {
	return g.addr
}

// connKey is the context key of a request's connection.
type connKey struct{}

// CallerDisconnected reports whether the caller has closed its connection. The request's context is cancelled
// then too, but with a delay when the process continues after a freeze.
func CallerDisconnected(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && socket.Peek(c.TCPConn) == socket.Closed
}

// MalformedBody returns why the framing of a request's body was refused, or nil. net/http hides the error of a malformed trailer.
// Only the request's handler may call it.
func MalformedBody(r *http.Request) *head.Error {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return nil
	}
	_, _, err := c.chunks.Scan(nil)
	var malformed *head.Error
	errors.As(err, &malformed)
	return malformed
}
