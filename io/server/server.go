package server

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"pimentoseam/io/proc"
)

const (
	closedEvery      = 50 * time.Millisecond
	defaultKeepalive = 30 * time.Second
	defaultBody      = 4 << 20   // bytes
	readLimit        = 1 << 20   // bytes of a request's head
	writeLimit       = 256 << 10 // bytes that may wait for a slow reader of a stream
	hardWriteLimit   = 64 << 20  // bytes that may wait on any connection
)

// Server is an HTTP server that reports closed connections and slow readers to its handlers.
type Server struct {
	addr      netip.AddrPort
	keepalive time.Duration
	body      int
	engine    *nbhttp.Engine
	active    sync.WaitGroup
	stop      chan struct{}
	streaming chan struct{} // signals that a stream has begun

	mu    sync.Mutex
	conns map[*nbio.Conn]*state
}

// Option changes a Server.
type Option func(*Server)

// WithKeepalive sets the read deadline of an idle connection and of a request's head and body.
func WithKeepalive(d time.Duration) Option {
	return func(s *Server) { s.keepalive = d }
}

// WithBody sets the largest request body in bytes; a handler sees larger bodies through Body's error.
func WithBody(bytes int) Option {
	return func(s *Server) { s.body = bytes }
}

// state is what the server knows about one connection.
type state struct {
	mu      sync.Mutex
	gone    bool
	cancels map[*Stream]context.CancelFunc
	pending int64
	drained *sync.Cond
}

func init() {
	logging.SetLevel(logging.LevelNone)
}

// New returns a Server for handler that listens on addr once started.
func New(addr netip.AddrPort, handler http.Handler, opts ...Option) *Server {
	s := &Server{addr: addr, keepalive: defaultKeepalive, body: defaultBody, conns: make(map[*nbio.Conn]*state)}
	s.stop, s.streaming = make(chan struct{}), make(chan struct{}, 1)
	for _, opt := range opts {
		opt(s)
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{addr.String()},
		Handler:            s.wrap(handler),
		KeepaliveTime:      s.keepalive,
		ReadLimit:          readLimit + 4*s.body,
		MaxHTTPBodySize:    4 * s.body,
		MaxWriteBufferSize: hardWriteLimit,
		NPoller:            2,
		ServerExecutor:     func(f func()) { go f() },
	})
	s.engine.OnClose(s.closed)
	s.engine.OnWrittenSize(s.written)
	return s
}

// Engine returns the nbio engine, which also serves outgoing WebSocket connections.
func (s *Server) Engine() *nbhttp.Engine {
	return s.engine
}

// Start begins to listen; its error is a *proc.Unbound.
func (s *Server) Start() error {
	if err := s.engine.Start(); err != nil {
		return &proc.Unbound{Addr: s.addr, Cause: err}
	}
	go s.watch()
	return nil
}

// Stop waits for the requests in progress, at most until ctx ends, and closes all connections.
func (s *Server) Stop(ctx context.Context) {
	idle := make(chan struct{})
	go func() {
		s.active.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	close(s.stop)
	_ = s.engine.Shutdown(shutdown)
}

func (s *Server) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Done()
		if r.Close {
			// The library would close the connection at once, which loses the answers of
			// other connections that get its descriptor. The caller closes it instead, or
			// the keep-alive deadline does.
			r.Close = false
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func newState() *state {
	st := &state{cancels: make(map[*Stream]context.CancelFunc)}
	st.drained = sync.NewCond(&st.mu)
	return st
}

// closed forgets a connection; the library calls it only after the connection's handler has returned.
func (s *Server) closed(c net.Conn, _ error) {
	nbc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	st := s.conns[nbc]
	delete(s.conns, nbc)
	s.mu.Unlock()
	if st != nil {
		st.leave()
	}
}

// watch finds closed connections whose handlers still stream, until the server stops.
func (s *Server) watch() {
	for {
		select {
		case <-s.stop:
			return
		case <-s.streaming:
		}
		for s.sweep() {
			time.Sleep(closedEvery)
		}
	}
}

// sweep cancels the streams of closed connections, keeps the others free of read deadlines and
// reports whether any streams are left.
func (s *Server) sweep() bool {
	busy := false
	for c, st := range s.snapshot() {
		if closed, _ := c.IsClosed(); closed {
			st.leave()
			continue
		}
		if st.streams() {
			busy = true
			s.lift(c, st)
		}
	}
	return busy
}

// lift removes the read deadline of a connection that streams. The library's acceptor sets its
// first deadline only after the poller has got the connection, so it may come after the handler
// removed it.
func (s *Server) lift(c *nbio.Conn, st *state) {
	_ = c.SetReadDeadline(time.Time{})
	if !st.streams() {
		// The stream ended meanwhile, so this may have undone the deadline that its end set.
		_ = c.SetReadDeadline(time.Now().Add(s.keepalive))
	}
}

// streams reports whether a handler streams on the connection.
func (st *state) streams() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.cancels) > 0
}

func (s *Server) snapshot() map[*nbio.Conn]*state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.conns)
}

// leave cancels the requests of a closed connection.
func (st *state) leave() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.gone = true
	for _, cancel := range st.cancels {
		cancel()
	}
	st.drained.Broadcast()
}

func (s *Server) written(c *nbio.Conn, _ []byte, n int) {
	s.mu.Lock()
	st := s.conns[c]
	s.mu.Unlock()
	if st == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pending = max(st.pending-int64(n), 0)
	st.drained.Broadcast()
}

// find returns the state of c, or nil when c is closed.
func (s *Server) find(c *nbio.Conn) *state {
	s.mu.Lock()
	st, ok := s.conns[c]
	if !ok {
		st = newState()
		s.conns[c] = st
	}
	s.mu.Unlock()
	// The lock of c may be held by a caller of written, so s.mu is free here.
	if closed, _ := c.IsClosed(); closed {
		s.closed(c, nil)
		return nil
	}
	return st
}
