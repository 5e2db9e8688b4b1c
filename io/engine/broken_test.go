package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/core/frame"
	"pimentoseam/io/engine"
)

// brokenAnswers are answers of an upstream. Where the connection ends the body, only the head can be seen to be cut.
var brokenAnswers = map[string]string{
	"length":                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello, world",
	"empty":                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	"connection":            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
	"failure":               "HTTP/1.1 503 Full\r\nX-Request-Id: run\r\nContent-Length: 4\r\n\r\nfull",
	"after an interim head": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"length repeated":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	"length folded":         "HTTP/1.1 200 OK\r\nContent-Length:\r\n 5\r\n\r\nhello",
	"version 1.0":           "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n",
}

// TestBrokenHead guards against an answer that breaks off at some byte, also of its head, and passes as whole.
func TestBrokenHead(t *testing.T) {
	for name, text := range brokenAnswers {
		for _, how := range []string{"closed", "reset", "kept connection"} {
			for _, once := range []bool{false, true} {
				if once && how == "kept connection" {
					continue // Each of these has a connection of its own.
				}
				t.Run(fmt.Sprintf("%s, %s, at most once %v", name, how, once), func(t *testing.T) {
					t.Parallel()
					var cut atomic.Int64
					addr := serveRaw(t, func(c net.Conn, r *bufio.Reader) {
						for isFirst := how == "kept connection"; ; isFirst = false {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, req.Body) // Fails only if the client has closed the connection.
							if isFirst {
								_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
								continue
							}
							_, _ = io.WriteString(c, text[:cut.Load()])
							if how == "reset" {
								time.Sleep(time.Millisecond) // Until the bytes have been read.
								_ = c.(*net.TCPConn).SetLinger(0)
							}
							return
						}
					})
					client := engine.New(addr)
					for n := range text {
						cut.Store(int64(n))
						if how == "kept connection" {
							if body, err := runWhole(t, client, false); body != "whole" {
								t.Fatalf("first answer: %q, %v", body, err)
							}
						}
						if body, err := runWhole(t, client, once); err == nil && body != "whole" {
							t.Errorf("the answer cut after %q passes as whole, with body %q", text[:n], body)
						}
					}
				})
			}
		}
	}
}

// serveRaw runs a function for each accepted connection and returns the address.
func serveRaw(t *testing.T, serve func(net.Conn, *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// runWhole sends a request and returns the complete body of its answer.
func runWhole(t *testing.T, client *engine.Client, once bool) (string, error) {
	t.Helper()
	resp, err := client.Do(t.Context(), &frame.Run{ID: "run", Method: "POST", Path: "/v1/run", Body: []byte("x"), NonRepeatable: once, Key: "k"})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var body strings.Builder
	_, err = io.Copy(&body, resp.Body)
	return body.String(), err
}
