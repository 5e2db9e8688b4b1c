package link_test

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"pimentoseam/core/frame"
	"pimentoseam/io/link"
	"pimentoseam/io/server"
)

const secret = "secret"

// lockingHandler is a link.Handler whose Closed takes a lock, as the agent's does.
type lockingHandler struct {
	mu     sync.Mutex
	closed chan struct{}
}

func newLockingHandler() *lockingHandler {
	return &lockingHandler{closed: make(chan struct{}, 1)}
}

func (h *lockingHandler) Frame(*link.Conn, frame.Frame) {}

func (h *lockingHandler) Closed(*link.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case h.closed <- struct{}{}:
	default:
	}
}

func (h *lockingHandler) Beat() *frame.Beat {
	return &frame.Beat{Period: time.Hour}
}

// linkServer is an HTTP server that accepts links.
type linkServer struct {
	server *server.Server
	addr   netip.AddrPort
}

func listen(t *testing.T, h link.Handler) *linkServer {
	t.Helper()
	l := &linkServer{addr: freeAddr(t)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.Path, func(w http.ResponseWriter, r *http.Request) {
		if _, err := link.Accept(l.server.Engine(), w, r, secret, h); err != nil {
			t.Error(err)
		}
	})
	l.server = server.New(l.addr, mux)
	if err := l.server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.server.Stop(t.Context()) })
	return l
}

func (l *linkServer) dial(t *testing.T, h link.Handler) *link.Conn {
	t.Helper()
	c, err := link.Dial(t.Context(), l.server.Engine(), l.addr, secret, h)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestSendWhileClosing sends on a closing link while holding the lock that the handler's Closed takes. If the
// link called Closed from Send, the two would deadlock.
func TestSendWhileClosing(t *testing.T) {
	client := newLockingHandler()
	c := listen(t, newLockingHandler()).dial(t, client)
	sent := make(chan struct{})
	go func() {
		client.mu.Lock()
		defer client.mu.Unlock()
		defer close(sent)
		go c.Close(&link.Error{Op: "silent"})
		for c.Send(&frame.Beat{}) == nil {
			time.Sleep(time.Millisecond)
		}
	}()
	for _, done := range []chan struct{}{sent, client.closed} {
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("deadlock between a send on a closing link and the handler's Closed")
		}
	}
}

// TestFirstFrame opens links whose first frame arrives directly after the handshake, before Dial returns.
func TestFirstFrame(t *testing.T) {
	const links = 300
	l := listen(t, newLockingHandler())
	var conns []*link.Conn
	for range links {
		conns = append(conns, l.dial(t, newLockingHandler()))
	}
	time.Sleep(200 * time.Millisecond)
	for i, c := range conns {
		select {
		case <-c.Done():
			t.Fatalf("link %d was closed by its first frame", i)
		default:
		}
	}
}
