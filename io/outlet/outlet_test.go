package outlet_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pimentoseam/io/outlet"
)

// peer is an upstream that answers by script: a function for each connection.
type peer struct {
	listener net.Listener
	conns    atomic.Int64
}

func newPeer(t *testing.T, serve func(n int64, c net.Conn, r *bufio.Reader)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l}
	var wait sync.WaitGroup
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := p.conns.Add(1)
			wait.Go(func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			})
		}
	}()
	t.Cleanup(func() { l.Close() })
	return p
}

func (p *peer) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// answer returns an answer to the request with the id.
func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func request(id string) *outlet.Request {
	return &outlet.Request{
		Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Mine: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// do sends a request and returns the whole body.
func do(o *outlet.Outlet, addr netip.AddrPort, r *outlet.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := o.Do(ctx, addr, r, 0)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.Whole(1 << 20)
	return string(body), err
}

func read(t *testing.T, r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		t.Logf("request's body: %v", err)
	}
	return req
}

func write(c net.Conn, text string) {
	_, _ = io.WriteString(c, text) // The other end may have gone, as some tests want.
}

// TestKept sends requests one after another: they share a connection.
func TestKept(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		for req := read(t, r); req != nil; req = read(t, r) {
			write(c, answer(req.Header.Get("Id"), req.Header.Get("Id")))
		}
	})
	o := outlet.New()
	for i := range 5 {
		id := strconv.Itoa(i)
		if body, err := do(o, p.addr(), request(id)); err != nil || body != id {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if n := p.conns.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// TestStray has an upstream answer twice, at once or late: the second answer belongs to nobody.
func TestStray(t *testing.T) {
	for _, late := range []bool{false, true} {
		p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			last := ""
			for req := read(t, r); req != nil; req = read(t, r) {
				id := req.Header.Get("Id")
				if late && last != "" {
					write(c, answer(last, "stray"))
				}
				write(c, answer(id, id))
				if !late {
					write(c, answer(id, "stray"))
				}
				last = id
			}
		})
		o := outlet.New()
		for i := range 5 {
			id := strconv.Itoa(i)
			if body, err := do(o, p.addr(), request(id)); err != nil || body != id {
				t.Errorf("late %v: got %q, %v, want %q", late, body, err, id)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestBroken has an upstream fail before or after it reads the request: only the first has not run.
func TestBroken(t *testing.T) {
	refusing := newPeer(t, nil)
	refusing.listener.Close()
	notSent := new(outlet.NotSent)
	if _, err := do(outlet.New(), refusing.addr(), request("a")); !errors.As(err, &notSent) {
		t.Errorf("no listener: got %v, want a *NotSent", err)
	}
	cases := map[string]func(int64, net.Conn, *bufio.Reader){
		"closed after the request": func(_ int64, _ net.Conn, r *bufio.Reader) { read(t, r) },
		"nonsense":                 func(_ int64, c net.Conn, r *bufio.Reader) { read(t, r); write(c, "what?\r\n\r\n") },
		"another's answer":         func(_ int64, c net.Conn, r *bufio.Reader) { read(t, r); write(c, answer("other", "x")) },
		"silent":                   func(_ int64, _ net.Conn, r *bufio.Reader) { read(t, r); time.Sleep(2 * time.Second) },
	}
	for name, serve := range cases {
		p := newPeer(t, serve)
		broken := new(outlet.Broken)
		if _, err := do(outlet.New(), p.addr(), request("a")); !errors.As(err, &broken) {
			t.Errorf("%s: got %v, want a *Broken", name, err)
		}
	}
	// Half a body must not look whole.
	halves := map[string]string{
		"by length":      "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"in chunks":      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"reset, no size": "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf",
	}
	for name, text := range halves {
		p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			read(t, r)
			write(c, text)
			time.Sleep(20 * time.Millisecond)
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				t.Error(err)
			}
		})
		if body, err := do(outlet.New(), p.addr(), request("a")); err == nil {
			t.Errorf("%s: %q was taken for a whole body", name, body)
		}
	}
}

// TestClosedWhileIdle has the upstream close kept connections: the next request goes on a new one.
func TestClosedWhileIdle(t *testing.T) {
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		if req := read(t, r); req != nil {
			write(c, answer(req.Header.Get("Id"), "x"))
		}
	})
	o := outlet.New()
	for i := range 3 {
		if body, err := do(o, p.addr(), request(strconv.Itoa(i))); err != nil || body != "x" {
			t.Errorf("got %q, %v", body, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestEarly has an upstream answer before it reads a long body and go on reading: the connection must not
// carry another request while the rest of the body is due.
func TestEarly(t *testing.T) {
	bodies := make(chan string, 4)
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		write(c, answer(req.Header.Get("Id"), "early"))
		time.Sleep(50 * time.Millisecond)
		body, _ := io.ReadAll(req.Body) // What is missing shows in the length.
		bodies <- string(body)
		read(t, r)
	})
	o := outlet.New()
	long := request("long")
	long.Method, long.Body = "POST", make([]byte, 8<<20)
	for i := range long.Body {
		long.Body[i] = 'x'
	}
	if body, err := do(o, p.addr(), long); err != nil || body != "early" {
		t.Fatalf("got %q, %v", body, err)
	}
	if body, err := do(o, p.addr(), request("next")); err != nil || body != "early" {
		t.Errorf("got %q, %v", body, err)
	}
	for _, b := range <-bodies {
		if b != 'x' {
			t.Fatalf("the body holds %q", b)
		}
	}
}

// TestCancel ends the context in the middle of an answer: the upstream sees the connection close.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
		read(t, r)
		write(c, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		if _, err := r.ReadByte(); err != nil {
			close(closed)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	a, err := outlet.New().Do(ctx, p.addr(), request("a"), 0)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := io.Copy(io.Discard, a); err == nil {
		t.Error("the answer looked whole")
	}
	a.Close()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the upstream was not told")
	}
}

// TestLimit opens no more connections than the upstream accepts.
func TestLimit(t *testing.T) {
	p := newPeer(t, func(_ int64, _ net.Conn, r *bufio.Reader) { read(t, r); time.Sleep(time.Second) })
	o := outlet.New()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var full atomic.Int64
	var wait sync.WaitGroup
	for i := range 6 {
		wait.Go(func() {
			_, err := o.Do(ctx, p.addr(), request(strconv.Itoa(i)), 4)
			if f := new(outlet.Full); errors.As(err, &f) {
				full.Add(1)
			}
		})
	}
	wait.Wait()
	if full.Load() != 2 || p.conns.Load() != 4 {
		t.Errorf("%d refused, %d connections, want 2 and 4", full.Load(), p.conns.Load())
	}
}

// TestBadTarget refuses what would be two requests on the wire.
func TestBadTarget(t *testing.T) {
	p := newPeer(t, func(_ int64, _ net.Conn, r *bufio.Reader) { read(t, r) })
	r := request("a")
	r.Target = "/x HTTP/1.1\r\nHost: h\r\n\r\nGET /y"
	bad := new(outlet.BadRequest)
	if _, err := do(outlet.New(), p.addr(), r); !errors.As(err, &bad) {
		t.Errorf("got %v, want a *BadRequest", err)
	}
}

// TestReset gives up requests before and in the middle of their answers: the upstream sees a reset, not the
// end of a request that it may still start.
func TestReset(t *testing.T) {
	for _, started := range []bool{false, true} {
		ended := make(chan error, 1)
		p := newPeer(t, func(_ int64, c net.Conn, r *bufio.Reader) {
			read(t, r)
			if started {
				write(c, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
			}
			_, err := r.ReadByte()
			ended <- err
		})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		if a, err := outlet.New().Do(ctx, p.addr(), request("a"), 0); err == nil {
			if _, err := io.Copy(io.Discard, a); err == nil {
				t.Error("the answer looked whole")
			}
			a.Close()
		}
		cancel()
		if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("started %v: the upstream saw %v, want a reset", started, err)
		}
	}
}
