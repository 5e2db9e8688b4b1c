package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pimentoseam/core/frame"
	"pimentoseam/io/engine"
)

// TestHeadsThatAreNone guards against answers whose head is malformed and which are returned as such of the upstream.
func TestHeadsThatAreNone(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner"
	for name, text := range map[string]string{
		"status 000":             "HTTP/1.1 000 OK\r\n\r\n" + inner,
		"status 101":             "HTTP/1.1 101 OK\r\n\r\n" + inner,
		"status 999":             "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 0\r\n\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for _, once := range []bool{false, true} {
			client := engine.New(serveRaw(t, func(c net.Conn, r *bufio.Reader) {
				if req, err := http.ReadRequest(r); err == nil {
					_, _ = io.Copy(io.Discard, req.Body) // Fails only if the client has closed the connection.
					_, _ = io.WriteString(c, text)       // As above.
				}
			}))
			if body, err := runWhole(t, client, once); err == nil {
				t.Errorf("%s, at most once %v: an answer with body %q", name, once, body)
			}
		}
	}
}

// TestResetUnderUpload guards against the part of an answer that came before a reset and looks whole, since the error went to the write.
func TestResetUnderUpload(t *testing.T) {
	client := engine.New(serveRaw(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart") // Fails only if the client has closed the connection.
		}
		time.Sleep(2 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}))
	for range 8 {
		resp, err := client.Do(t.Context(), &frame.Run{ID: "run", Method: "POST", Path: "/v1/run", Body: make([]byte, 16<<20)})
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%q passes as whole", body)
		}
		_ = resp.Body.Close()
	}
}
