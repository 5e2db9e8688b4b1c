package door

import (
	"bytes"
	"net"
	"net/http"
	"sync"
)

// tapBytes bounds what a tap keeps: a head of the usual limit with what a reader takes beyond it.
const tapBytes = 40 << 10

// tap keeps the newest bytes that were read from a connection. The server drops a Content-Length that
// stands beside a Transfer-Encoding; another reader may go by it and see other requests.
type tap struct {
	*net.TCPConn
	mu   sync.Mutex
	seen []byte
}

// Read reads from the connection.
func (t *tap) Read(p []byte) (int, error) {
	n, err := t.TCPConn.Read(p)
	if n > 0 {
		t.mu.Lock()
		t.seen = append(t.seen, p[:n]...)
		if len(t.seen) > 2*tapBytes {
			t.seen = append(t.seen[:0], t.seen[len(t.seen)-tapBytes:]...)
		}
		t.mu.Unlock()
	}
	return n, err
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
