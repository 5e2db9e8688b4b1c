package guard

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pimentoseam/core/memory"
	"pimentoseam/io/meter"
)

// Refusals are followed by a Retry-After between these, so that callers don't return all at once.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 800 * time.Millisecond
)

// Guard keeps the connections of one listener within a budget.
type Guard struct {
	name   string // Of the listener, for logs and metrics.
	budget *memory.Budget
	meter  *meter.Meter
	log    *slog.Logger
	// The waiters have a place for each request that waits for memory. More are refused at once, lest requests that wait
	// take what they wait for. Those for bodies can't take the places of those for heads.
	headWaiters, bodyWaiters chan struct{}
}

// maxWaiters is the number of requests that may wait for memory of one kind at the same time.
const maxWaiters = 64

// New returns a Guard for the listener with the given name.
func New(name string, budget *memory.Budget, m *meter.Meter, log *slog.Logger) *Guard {
	g := &Guard{name: name, budget: budget, meter: m, log: log, headWaiters: make(chan struct{}, maxWaiters), bodyWaiters: make(chan struct{}, maxWaiters)}
	for _, kind := range memory.Kinds() {
		m.Gauge("held "+name+" "+string(kind), func() float64 { return float64(budget.Held(kind)) })
	}
	m.Gauge("connections "+name, func() float64 { return float64(budget.Connections()) })
	return g
}

// Reason is why a connection was closed or a request refused.
type Reason string

// The reasons.
const (
	NoRoom    Reason = "no room"   // For a connection.
	Evicted   Reason = "evicted"   // Under pressure.
	Unread    Reason = "unread"    // The caller doesn't read its response.
	NoHead    Reason = "no head"   // No memory for a request's head.
	NoBody    Reason = "no body"   // No memory for a request's body.
	Stalled   Reason = "stalled"   // The rest of a body doesn't come.
	TooLong   Reason = "too long"  // A body over its limit.
	Malformed Reason = "malformed" // A body with invalid chunks.
)

// closed counts and logs a connection that was closed for a reason.
func (g *Guard) closed(c net.Conn, why Reason) {
	g.meter.Count("closed " + g.name + " " + string(why))
	g.log.Info("connection closed", "listener", g.name, "why", string(why), "from", c.RemoteAddr())
}

// refused counts and logs a refused request.
func (g *Guard) refused(why Reason) {
	g.meter.Count("refused " + g.name + " " + string(why))
}

// Admit returns the connection with its place in the budget. It closes the connection and returns nil if there is none.
func (g *Guard) Admit(c net.Conn) *Conn {
	guarded := &Conn{Conn: c, guard: g}
	if !guarded.open() {
		g.closed(c, NoRoom)
		_ = c.Close() // Nothing was read from it.
		return nil
	}
	return guarded
}

// LimitBuffers limits the kernel's buffers of the connections that l accepts from now on; a connection takes them over when it is
// established, as a smaller buffer later makes the peer wait for a larger window: 26 s for 4 MiB over loopback.
func (g *Guard) LimitBuffers(l syscall.Conn) {
	raw, err := l.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			g.logFailed(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, memory.ReceiveBuffer))
			g.logFailed(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, memory.SendBuffer))
		})
	}
	g.logFailed(err)
}

// logFailed logs that a buffer wasn't limited.
func (g *Guard) logFailed(err error) {
	if err != nil {
		g.log.Warn("buffers not limited", "listener", g.name, "err", err)
	}
}

// Listener returns a listener whose connections are those of l that the guard admits.
func (g *Guard) Listener(l net.Listener) net.Listener {
	if socket, ok := l.(syscall.Conn); ok {
		g.LimitBuffers(socket)
	}
	return &listener{Listener: l, guard: g}
}

// listener is a net.Listener of guarded connections.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next admitted connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.guard.Admit(c); guarded != nil {
			return guarded, nil
		}
	}
}

// Attach makes a server that gets admitted connections keep to the guard. The server must not have been started.
func (g *Guard) Attach(s *http.Server) {
	next, withConn, onState := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.handle(w, r, next) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		guarded, ok := c.(*Conn)
		if !ok {
			return ctx
		}
		if withConn != nil {
			ctx = withConn(ctx, guarded.Conn)
		}
		return context.WithValue(ctx, connKey{}, guarded)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		guarded, ok := c.(*Conn)
		if !ok {
			return
		}
		if onState != nil {
			onState(guarded.Conn, state)
		}
		if state == http.StateIdle {
			// Only now the response has been written: net/http keeps up to 4 KiB of it while the handler runs.
			guarded.account.Complete(time.Now())
		}
	}
}

const (
	// smallHeadTime and smallIdleTime limit heads and idle connections of listeners for other processes of the deployment,
	// which send theirs at once and come back within seconds.
	smallHeadTime = time.Second
	smallIdleTime = 10 * time.Second
	// smallHead is the limit of heads there in bytes, to which net/http adds 4 KiB.
	smallHead = 2 << 10
)

// Serve runs a server with small limits on l until it is closed; its error is that of http.Server.Serve.
func (g *Guard) Serve(s *http.Server, l net.Listener) error {
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = smallHeadTime, smallIdleTime, smallHead
	g.Attach(s)
	return s.Serve(g.Listener(l))
}

// connKey is the context key of a request's connection.
type connKey struct{}

// FromContext returns the guarded connection of a request's context, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// handle serves a request if there is memory for its head.
func (g *Guard) handle(w http.ResponseWriter, r *http.Request, next http.Handler) {
	c := FromContext(r.Context())
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	c.account.SetState(memory.Busy, time.Now()) // Before the check below, so that it can't be evicted afterwards.
	c.bodyRead = r.ContentLength == 0
	if !c.bodyRead {
		// For handlers that don't read the body: net/http reads the rest of a small one before it writes the response.
		_ = c.SetReadDeadline(time.Now().Add(StallTimeout)) // Fails only on a closed connection.
	}
	if !c.admitHead(r.Context(), headSize(r.Header)) {
		if c.account.Evicted() {
			panic(http.ErrAbortHandler) // The connection is closed already.
		}
		Refuse(w)
	} else {
		next.ServeHTTP(w, r)
	}
	if !c.bodyRead {
		c.account.SetState(memory.Refused, time.Now()) // The rest of its body may never come.
	}
}

// headSize returns what a request with the given fields holds.
func headSize(h http.Header) int64 {
	fields, bytes := 0, 0
	for name, values := range h {
		fields += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return memory.HeadSize(fields, bytes)
}

// Refuse sends the response to a request that has not run for lack of memory, and ends its connection.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", RetryAfter())
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// RetryAfter returns the value of Retry-After for a refusal: seconds with three decimals.
func RetryAfter() string {
	d := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// LimitRuntime sets the limit of the runtime's memory for a VM with the given memory in megabytes; 0 sets none.
func LimitRuntime(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(memory.RuntimeLimit(megabytes))
	}
}
