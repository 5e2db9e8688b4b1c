package door

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
)

// tapBytes bounds what a tap keeps: a head of the usual limit with what a reader takes beyond it.
const tapBytes = 40 << 10

// tap keeps the newest bytes that were read from a connection. The server drops a Content-Length that
// stands beside a Transfer-Encoding; another reader may go by it and see other requests.
type tap struct {
	*net.TCPConn
	mu    sync.Mutex
	seen  []byte
	begun bool // Bytes have come since the last request was handled; those read with it do not count.
	busy  bool // A request is being handled.
}

// slowHead answers a request whose head did not arrive in time; the server would only close the connection.
const slowHead = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Read reads from the connection.
func (t *tap) Read(p []byte) (int, error) {
	n, err := t.TCPConn.Read(p)
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 {
		t.begun = true
		t.seen = append(t.seen, p[:n]...)
		if len(t.seen) > 2*tapBytes {
			t.seen = append(t.seen[:0], t.seen[len(t.seen)-tapBytes:]...)
		}
	}
	if t.begun && !t.busy && errors.Is(err, os.ErrDeadlineExceeded) {
		t.begun = false
		if _, failed := io.WriteString(t.TCPConn, slowHead); failed != nil {
			return n, errors.Join(err, failed)
		}
	}
	return n, err
}

// handle notes that a request is being handled, or no longer is.
func (t *tap) handle(busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy, t.begun = busy, false
}

// ambiguous reports whether the head of a request in chunks also states a length.
func (t *tap) ambiguous(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	line := []byte(r.Method + " " + r.RequestURI + " " + r.Proto + "\r\n")
	t.mu.Lock()
	defer t.mu.Unlock()
	rest := t.seen
	for {
		i := bytes.Index(rest, line)
		if i < 0 {
			return false
		}
		rest = rest[i+len(line):]
		head, _, _ := bytes.Cut(rest, []byte("\r\n\r\n"))
		head = append([]byte("\r\n"), bytes.ToLower(head)...)
		if bytes.Contains(head, []byte("\r\ncontent-length:")) && bytes.Contains(head, []byte("\r\ntransfer-encoding:")) {
			return true
		}
	}
}
