package client_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/client"
)

// brokenAnswers are answers to the request ID. Where the connection ends the body, only the head can be seen to be cut.
var brokenAnswers = map[string]string{
	"length":                     "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 12\r\n\r\nhello, world",
	"empty":                      "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
	"chunks":                     "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	"connection":                 "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/plain\r\n\r\n",
	"connection, stated":         "HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\n\r\n",
	"failure":                    "HTTP/1.1 500 Failed\r\nId: ID\r\nContent-Length: 4\r\n\r\nfail",
	"no content":                 "HTTP/1.1 204 No Content\r\nId: ID\r\n\r\n",
	"after an interim head":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello",
	"length repeated":            "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	"length folded":              "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length:\r\n 5\r\n\r\nhello",
	"length before the id":       "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nId: ID\r\n\r\n0123456789",
	"line feeds":                 "HTTP/1.1 200 OK\nId: ID\nContent-Length: 5\n\nhello",
	"version 1.0":                "HTTP/1.0 200 OK\r\nId: ID\r\n\r\n",
	"after a stale answer":       "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello",
	"after a stale chunk":        "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
	"long field":                 "HTTP/1.1 200 OK\r\nId: ID\r\nX-Long: " + strings.Repeat("x", 300) + "\r\nContent-Length: 5\r\n\r\nhello",
	"trailer, a field of chunks": "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n5\r\nhello\r\n0\r\nT: 1\r\n\r\n",
}

// TestBrokenHead guards against an answer that breaks off at some byte, also of its head, and passes as whole.
func TestBrokenHead(t *testing.T) {
	const first = "first"
	for name, text := range brokenAnswers {
		for _, how := range []string{"closed", "reset", "kept connection"} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				u := newUpstream(t, func(_ int64, c net.Conn, r *bufio.Reader) {
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						id := req.Header.Get("Id")
						if id == first {
							_, _ = io.WriteString(c, response(first, "whole"))
							continue
						}
						_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id)[:cut.Load()])
						if how == "reset" {
							time.Sleep(time.Millisecond) // Until the bytes have been read.
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						return
					}
				})
				pool := client.New()
				whole := strings.ReplaceAll(text, "ID", "id")
				for n := range whole {
					cut.Store(int64(n))
					if how == "kept connection" {
						if body, err := do(pool, u.addr(), request(first)); body != "whole" {
							t.Fatalf("first answer: %q, %v", body, err)
						}
					}
					if body, err := do(pool, u.addr(), request("id")); err == nil {
						t.Errorf("the answer cut after %q passes as whole, with body %q", whole[:n], body)
					}
				}
			})
		}
	}
}
