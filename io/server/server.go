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

	"pimentoseam/core/fault"
	"pimentoseam/io/proc"
)

const (
	// closeCheckInterval is the time between checks for closed connections while any response is streamed.
	closeCheckInterval = 50 * time.Millisecond
	// defaultKeepAlive is the read deadline of connections unless WithKeepAlive sets another.
	defaultKeepAlive = 30 * time.Second
	// defaultMaxBody limits the bytes of a request body unless WithMaxBody sets another limit.
	defaultMaxBody = 4 << 20
	// maxHeadBytes limits the bytes of a request head.
	maxHeadBytes = 1 << 20
	// maxStreamPending is the number of unsent bytes above which writes to a stream block.
	maxStreamPending = 256 << 10
	// maxConnPending limits the unsent bytes of any connection.
	maxConnPending = 64 << 20
)

// Server is an HTTP server whose handlers can stream responses: a Stream's context ends when the caller
// disconnects, and its writes block while the caller reads slowly.
type Server struct {
	addr          netip.AddrPort
	keepAlive     time.Duration
	maxBody       int
	refuse        http.HandlerFunc // Serves requests that come when the server has stopped.
	engine        *nbhttp.Engine
	listener      net.Listener // Opened by Start, before the engine's.
	stop          chan struct{}
	streamStarted chan struct{} // Receives a value when a stream begins.

	mu         sync.Mutex
	active     int           // Requests in progress.
	idle       chan struct{} // Closed when there are none, if Stop waits for that; else nil.
	closing    bool          // No more requests are begun.
	conns      map[*nbio.Conn]*connState
	inspectors map[*nbio.Conn]*inspector
}

// Option configures a Server.
type Option func(*Server)

// WithKeepAlive sets the read deadline of an idle connection and of a request's head and body.
func WithKeepAlive(d time.Duration) Option {
	return func(s *Server) { s.keepAlive = d }
}

// WithMaxBody sets the largest request body in bytes; ReadBody returns an error for a larger one.
func WithMaxBody(bytes int) Option {
	return func(s *Server) { s.maxBody = bytes }
}

// WithStopped sets the handler of requests that come while the server stops, after all others have ended. By default they are refused as
// not run.
func WithStopped(refuse http.HandlerFunc) Option {
	return func(s *Server) { s.refuse = refuse }
}

// connState is the state of one connection that has streamed a response.
type connState struct {
	mu           sync.Mutex
	closed       bool
	cancels      map[*Stream]context.CancelFunc
	pendingBytes int64      // Bytes written to the stream that the poller has not sent yet.
	drained      *sync.Cond // Signalled when pendingBytes falls or the connection is closed.
}

func init() {
	logging.SetLevel(logging.LevelNone)
}

// New returns a Server for handler that listens on addr after Start.
func New(addr netip.AddrPort, handler http.Handler, opts ...Option) *Server {
	s := &Server{addr: addr, keepAlive: defaultKeepAlive, maxBody: defaultMaxBody, refuse: refuseStopped, conns: make(map[*nbio.Conn]*connState), inspectors: make(map[*nbio.Conn]*inspector)}
	s.stop, s.streamStarted = make(chan struct{}), make(chan struct{}, 1)
	for _, opt := range opts {
		opt(s)
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:       "tcp",
		Addrs:         []string{addr.String()},
		Listen:        func(string, string) (net.Listener, error) { return s.listener, nil },
		Handler:       s.wrap(handler),
		KeepaliveTime: s.keepAlive,
		// Higher than maxBody, since nbio closes the connection above its limits, while ReadBody returns an error.
		ReadLimit:          maxHeadBytes + 4*s.maxBody,
		MaxHTTPBodySize:    4 * s.maxBody,
		MaxWriteBufferSize: maxConnPending,
		NPoller:            2,
		ServerExecutor:     func(f func()) { go f() },
	})
	s.engine.OnOpen(s.onOpen)
	s.engine.Engine.OnData(s.onData)
	s.engine.OnClose(func(c net.Conn, err error) {
		s.onClose(c, err)
		s.endInspection(c)
	})
	s.engine.OnWrittenSize(s.onWritten)
	return s
}

// Engine returns the nbio engine, which also serves outgoing WebSocket connections.
func (s *Server) Engine() *nbhttp.Engine {
	return s.engine
}

// Start starts to listen and serve; its error is a *proc.ListenError.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.addr.String()) // Not left to nbio, whose Start never returns if it can't listen.
	if err != nil {
		return &proc.ListenError{Addr: s.addr, Cause: err}
	}
	s.listener = listener
	if err := s.engine.Start(); err != nil {
		_ = listener.Close()
		return &proc.ListenError{Addr: s.addr, Cause: err}
	}
	go s.watchClosed()
	return nil
}

// Once Stop closes the connections, it waits for their end: until ctx ends, but within these limits. Outgoing connections to processes
// that don't answer may take longer.
const (
	minCloseTime = 200 * time.Millisecond
	maxCloseTime = time.Second
)

// Stop waits for the requests in progress, at most until ctx ends, and closes all connections. Requests that come after the last one
// has ended are refused.
func (s *Server) Stop(ctx context.Context) {
	select {
	case <-s.awaitIdle():
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	closing := maxCloseTime
	if deadline, ok := ctx.Deadline(); ok {
		closing = min(maxCloseTime, max(minCloseTime, time.Until(deadline)))
	}
	shutdown, cancel := context.WithTimeout(context.Background(), closing)
	defer cancel()
	close(s.stop)
	_ = s.engine.Shutdown(shutdown)
}

// awaitIdle returns a channel that is closed once no request is in progress. From then on, none is begun.
func (s *Server) awaitIdle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := make(chan struct{})
	s.idle = idle
	s.closeIfIdle()
	return idle
}

// closeIfIdle ends the wait for the requests in progress if there are none; the lock must be held.
func (s *Server) closeIfIdle() {
	if s.idle != nil && s.active == 0 {
		s.closing = true
		close(s.idle)
		s.idle = nil
	}
}

// begin counts a request as in progress and reports whether it may be served.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.active++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.closeIfIdle()
}

// stoppedRetryAfter is the retry-after of requests that come when the server has stopped. Another process can serve them at once.
const stoppedRetryAfter = 200 * time.Millisecond

// refuseStopped refuses a request as not run.
func refuseStopped(w http.ResponseWriter, _ *http.Request) {
	WriteError(w, fault.Retry("the server has stopped", stoppedRetryAfter), "")
}

// wrap counts the requests in progress and replaces nbio's handling of Connection: close.
func (s *Server) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Close {
			// nbio would close the connection at once. Another connection can then get the same file
			// descriptor and lose its response. So the connection is left open until the caller closes
			// it or the keep-alive deadline passes.
			r.Close = false
			w.Header().Set("Connection", "close")
		}
		if !s.begin() {
			w.Header().Set("Connection", "close")
			s.refuse(w, r)
			return
		}
		defer s.end()
		handler.ServeHTTP(w, r)
	})
}

func newConnState() *connState {
	st := &connState{cancels: make(map[*Stream]context.CancelFunc)}
	st.drained = sync.NewCond(&st.mu)
	return st
}

// onClose removes a closed connection. nbio calls it only after the connection's handler has returned.
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

// watchClosed polls for connections that were closed while their handlers stream, until the server stops.
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

// checkConns cancels the streams of closed connections, clears the read deadlines of the other streaming
// connections and reports whether there are any of these.
func (s *Server) checkConns() bool {
	streaming := false
	for c, st := range s.snapshotConns() {
		if closed, _ := c.IsClosed(); closed {
			st.markClosed()
			continue
		}
		if st.isStreaming() {
			streaming = true
			s.clearReadDeadline(c, st)
		}
	}
	return streaming
}

// clearReadDeadline clears the read deadline of a streaming connection. nbio's acceptor sets the first
// deadline after it has registered the connection with the poller, so this can happen after the handler has
// cleared it.
func (s *Server) clearReadDeadline(c *nbio.Conn, st *connState) {
	_ = c.SetReadDeadline(time.Time{})
	if !st.isStreaming() {
		// The stream has ended in the meantime, so the call above may have cleared the deadline set by Stream.Close.
		_ = c.SetReadDeadline(time.Now().Add(s.keepAlive))
	}
}

// isStreaming reports whether a handler streams a response on the connection.
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

// markClosed cancels the streams of a closed connection and wakes their blocked writes.
func (st *connState) markClosed() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.closed = true
	for _, cancel := range st.cancels {
		cancel()
	}
	st.drained.Broadcast()
}

// onWritten subtracts n sent bytes from the pending ones of a connection.
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

// stateFor returns the state of c, which it creates if needed, or nil if c is closed.
func (s *Server) stateFor(c *nbio.Conn) *connState {
	s.mu.Lock()
	st, ok := s.conns[c]
	if !ok {
		st = newConnState()
		s.conns[c] = st
	}
	s.mu.Unlock()
	// onWritten may be called with c's lock held and takes s.mu, so s.mu must not be held while IsClosed locks c.
	if closed, _ := c.IsClosed(); closed {
		s.onClose(c, nil)
		return nil
	}
	return st
}
