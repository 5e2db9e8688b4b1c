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
	closeCheckInterval = 50 * time.Millisecond
	defaultKeepAlive   = 30 * time.Second
	defaultMaxBody     = 4 << 20   // bytes
	maxHeadBytes       = 1 << 20   // bytes of a request's head
	maxStreamPending   = 256 << 10 // bytes that may wait for a slow reader of a stream
	maxConnPending     = 64 << 20  // bytes that may wait on any connection
)

// Server is an HTTP server that reports closed connections and slow readers to its handlers.
type Server struct {
	addr          netip.AddrPort
	keepAlive     time.Duration
	maxBody       int
	engine        *nbhttp.Engine
	active        sync.WaitGroup
	stop          chan struct{}
	streamStarted chan struct{} // signals that a stream has begun

	mu    sync.Mutex
	conns map[*nbio.Conn]*connState
}

// Option changes a Server.
type Option func(*Server)

// WithKeepAlive sets the read deadline of an idle connection and of a request's head and body.
func WithKeepAlive(d time.Duration) Option {
	return func(s *Server) { s.keepAlive = d }
}

// WithMaxBody sets the largest request body in bytes; a handler sees larger bodies through Body's error.
func WithMaxBody(bytes int) Option {
	return func(s *Server) { s.maxBody = bytes }
}

// connState is what the server knows about one connection.
type connState struct {
	mu           sync.Mutex
	closed       bool
	cancels      map[*Stream]context.CancelFunc
	pendingBytes int64
	drained      *sync.Cond
}

func init() {
	logging.SetLevel(logging.LevelNone)
}

// New returns a Server for handler that listens on addr once started.
func New(addr netip.AddrPort, handler http.Handler, opts ...Option) *Server {
	s := &Server{addr: addr, keepAlive: defaultKeepAlive, maxBody: defaultMaxBody, conns: make(map[*nbio.Conn]*connState)}
	s.stop, s.streamStarted = make(chan struct{}), make(chan struct{}, 1)
	for _, opt := range opts {
		opt(s)
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{addr.String()},
		Handler:            s.wrap(handler),
		KeepaliveTime:      s.keepAlive,
		ReadLimit:          maxHeadBytes + 4*s.maxBody,
		MaxHTTPBodySize:    4 * s.maxBody,
		MaxWriteBufferSize: maxConnPending,
		NPoller:            2,
		ServerExecutor:     func(f func()) { go f() },
	})
	s.engine.OnClose(s.onClose)
	s.engine.OnWrittenSize(s.onWritten)
	return s
}

// Engine returns the nbio engine, which also serves outgoing WebSocket connections.
func (s *Server) Engine() *nbhttp.Engine {
	return s.engine
}

// Start begins to listen; its error is a *proc.ListenError.
func (s *Server) Start() error {
	if err := s.engine.Start(); err != nil {
		return &proc.ListenError{Addr: s.addr, Cause: err}
	}
	go s.watchClosed()
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

func newConnState() *connState {
	st := &connState{cancels: make(map[*Stream]context.CancelFunc)}
	st.drained = sync.NewCond(&st.mu)
	return st
}

// onClose forgets a connection; the library calls it only after the connection's handler has returned.
func (s *Server) onClose(c net.Conn, _ error) {
	nbc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	st := s.conns[nbc]
	delete(s.conns, nbc)
	s.mu.Unlock()
	if st != nil {
		st.markClosed()
	}
}

// watchClosed finds closed connections whose handlers still stream, until the server stops.
func (s *Server) watchClosed() {
	for {
		select {
		case <-s.stop:
			return
		case <-s.streamStarted:
		}
		for s.checkConns() {
			time.Sleep(closeCheckInterval)
		}
	}
}

// checkConns cancels the streams of closed connections, keeps the others free of read deadlines and
// reports whether any streams are left.
func (s *Server) checkConns() bool {
	busy := false
	for c, st := range s.snapshotConns() {
		if closed, _ := c.IsClosed(); closed {
			st.markClosed()
			continue
		}
		if st.isStreaming() {
			busy = true
			s.clearReadDeadline(c, st)
		}
	}
	return busy
}

// clearReadDeadline removes the read deadline of a connection that streams. The library's acceptor sets its
// first deadline only after the poller has got the connection, so it may come after the handler
// removed it.
func (s *Server) clearReadDeadline(c *nbio.Conn, st *connState) {
	_ = c.SetReadDeadline(time.Time{})
	if !st.isStreaming() {
		// The stream ended meanwhile, so this may have undone the deadline that its end set.
		_ = c.SetReadDeadline(time.Now().Add(s.keepAlive))
	}
}

// isStreaming reports whether a handler isStreaming on the connection.
func (st *connState) isStreaming() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.cancels) > 0
}

func (s *Server) snapshotConns() map[*nbio.Conn]*connState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.conns)
}

// markClosed cancels the requests of a closed connection.
func (st *connState) markClosed() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.closed = true
	for _, cancel := range st.cancels {
		cancel()
	}
	st.drained.Broadcast()
}

func (s *Server) onWritten(c *nbio.Conn, _ []byte, n int) {
	s.mu.Lock()
	st := s.conns[c]
	s.mu.Unlock()
	if st == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.pendingBytes = max(st.pendingBytes-int64(n), 0)
	st.drained.Broadcast()
}

// connState returns the state of c, or nil when c is closed.
func (s *Server) connState(c *nbio.Conn) *connState {
	s.mu.Lock()
	st, ok := s.conns[c]
	if !ok {
		st = newConnState()
		s.conns[c] = st
	}
	s.mu.Unlock()
	// The lock of c may be held by a caller of written, so s.mu is free here.
	if closed, _ := c.IsClosed(); closed {
		s.onClose(c, nil)
		return nil
	}
	return st
}
