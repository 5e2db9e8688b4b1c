package server_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"pimentoseam/io/server"
)

// start serves handler on a free port.
func start(t *testing.T, handler func(*server.Server, http.ResponseWriter, *http.Request), opts ...server.Option) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	var s *server.Server
	s = server.New(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler(s, w, r) }), opts...)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Stop(ctx)
	})
	return addr
}

// TestLongStream checks that a response can be streamed for longer than the keep-alive deadline.
func TestLongStream(t *testing.T) {
	const parts = 6
	addr := start(t, func(s *server.Server, w http.ResponseWriter, _ *http.Request) {
		stream := s.Stream(w)
		defer stream.Close()
		for i := range parts {
			time.Sleep(300 * time.Millisecond)
			if _, err := fmt.Fprintf(stream, "part %d\n", i); err != nil {
				return
			}
		}
	}, server.WithKeepAlive(500*time.Millisecond))
	response, err := http.Get("http://" + addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || strings.Count(string(data), "part") != parts {
		t.Errorf("got %q, %v, want %d parts", data, err, parts)
	}
}

// TestLateDeadline streams on a connection whose first read deadline is set after the handler has started. This
// happens when nbio's acceptor is preempted between registering a connection and setting its deadline.
func TestLateDeadline(t *testing.T) {
	const keepalive = 400 * time.Millisecond
	addr := start(t, func(s *server.Server, w http.ResponseWriter, _ *http.Request) {
		stream := s.Stream(w)
		defer stream.Close()
		nbioResponse, ok := w.(*nbhttp.Response)
		if !ok {
			t.Errorf("got a %T, want an *nbhttp.Response", w)
			return
		}
		if err := nbioResponse.Parser.Conn.SetReadDeadline(time.Now().Add(keepalive)); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * keepalive)
		fmt.Fprint(stream, "whole")
	}, server.WithKeepAlive(keepalive))
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(10 * keepalive))
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || string(data) != "whole" {
		t.Errorf("got %q, %v, want the whole response", data, err)
	}
	if _, err := reader.ReadByte(); err != io.EOF && !strings.Contains(fmt.Sprint(err), "reset") {
		t.Errorf("got %v, want the idle connection closed after its keep-alive", err)
	}
}

// TestSlowReader checks that a client that stops reading blocks only its own stream and uses bounded memory.
func TestSlowReader(t *testing.T) {
	const total = 64 << 20
	block := bytes.Repeat([]byte("x"), 64<<10)
	sent := make(chan int, 1)
	addr := start(t, func(s *server.Server, w http.ResponseWriter, r *http.Request) {
		stream := s.Stream(w)
		defer stream.Close()
		n := 0
		for n < total {
			if _, err := stream.Write(block); err != nil {
				break
			}
			n += len(block)
			if r.URL.Path == "/slow" {
				select {
				case <-sent:
				default:
				}
				sent <- n
			}
		}
	})
	slow, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	fmt.Fprint(slow, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(time.Second)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	response, err := http.Get("http://" + addr.String() + "/fast")
	if err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil || n != total {
		t.Errorf("the fast client got %d bytes, %v, want %d", n, err, total)
	}
	runtime.ReadMemStats(&after)
	if accepted := <-sent; accepted > 16<<20 {
		t.Errorf("%d bytes were accepted for a client that reads nothing", accepted)
	}
	if after.HeapInuse > before.HeapInuse+(32<<20) {
		t.Errorf("heap grew from %d to %d bytes", before.HeapInuse, after.HeapInuse)
	}
}

// TestHostileRequests checks that malformed, slow and oversized requests are refused and the server still works.
func TestHostileRequests(t *testing.T) {
	addr := start(t, func(s *server.Server, w http.ResponseWriter, r *http.Request) {
		if _, err := s.ReadBody(r); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}, server.WithMaxBody(1000), server.WithKeepAlive(300*time.Millisecond))

	response, err := http.Post("http://"+addr.String(), "text/plain", bytes.NewReader(make([]byte, 2000)))
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("large body: got %+v, %v, want 413", response, err)
	}
	for name, text := range map[string]string{
		"slow headers": "GET / HTTP/1.1\r\nHost:",
		"no HTTP":      "\x00\x01\x02 nonsense\r\n\r\n",
		"huge body":    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000),
	} {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, text)
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		if _, err := bufio.NewReader(c).ReadString(0); err != io.EOF && !strings.Contains(fmt.Sprint(err), "reset") {
			t.Errorf("%s: got %v, want the connection closed", name, err)
		}
		_ = c.Close()
	}
	if response, err := http.Get("http://" + addr.String()); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("after the bad requests: got %+v, %v, want 200", response, err)
	}
}

// TestCloseEach sends many requests with Connection: close; none may lose its response to the reuse of a file
// descriptor.
func TestCloseEach(t *testing.T) {
	addr := start(t, func(s *server.Server, w http.ResponseWriter, r *http.Request) {
		_, _ = s.ReadBody(r)
		stream := s.Stream(w)
		defer stream.Close()
		w.Header().Set("Content-Length", "5")
		_, _ = w.Write([]byte("hello"))
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 15_000 {
		response, err := client.Post("http://"+addr.String(), "text/plain", bytes.NewReader(make([]byte, 100)))
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
