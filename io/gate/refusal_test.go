package gate_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// repeater is an upstream of a plain service that answers the first request on a connection with a refusal, and runs each later
// one, but writes the refusal once more before its answer.
type repeater struct {
	listener net.Listener
	body     string // Of the refusal.
	runs     atomic.Int64
}

// startRepeater starts a repeater, which ends with the test.
func startRepeater(t *testing.T, body string) *repeater {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &repeater{listener: l, body: body}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

// serve answers the requests on a connection until it ends.
func (r *repeater) serve(conn net.Conn) {
	defer conn.Close()
	reader, refusal := bufio.NewReader(conn), ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		if refusal == "" {
			refusal = fmt.Sprintf("HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(r.body), r.body)
			if _, err := io.WriteString(conn, refusal); err != nil {
				return
			}
			continue
		}
		r.runs.Add(1)
		if _, err := fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", refusal, id); err != nil {
			return
		}
	}
}

// TestOldRefusal guards against a request that runs at an upstream and whose caller is told that it did not, because the upstream
// writes the refusal of an earlier call of the same request once more. The upstream is sent the request twice since it is
// registered anew in between, and is then taken for another one.
func TestOldRefusal(t *testing.T) {
	for _, body := range []string{"", "full"} {
		t.Run("body "+body, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 6000))
			r := startRepeater(t, body)
			registration := fmt.Appendf(nil, `{"service":"app","address":%q,"zone":"z","slots":64,"state":"ready","sequence":1,"born":1}`, r.listener.Addr())
			store.Put("servers/i-1", registration)
			slow := newReplica(t, "i-2", "app", "")
			var refusals atomic.Int64
			slow.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
				if refusals.Add(1) == 1 {
					store.Remove("servers/i-1")
					time.Sleep(2500 * time.Millisecond) // Until the gate has dropped i-1.
					store.Put("servers/i-1", registration)
					time.Sleep(500 * time.Millisecond)
				}
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			// Requests go to the upstream with the fewest in progress, and at equal load to that of the own zone first.
			store.Put("servers/i-2", replaceZone(slow.Registration("ready")))
			g := startGate(t, store, "")
			g.waitReady(t)
			resp, _ := g.call(t, "POST", "/once/x", "o1", "X-Deadline-Remaining-Ms", "6000")
			if refusals.Load() == 0 {
				t.Fatal("the second upstream got nothing")
			}
			if resp == nil || resp.StatusCode == http.StatusServiceUnavailable && r.runs.Load() > 0 {
				t.Errorf("got %v, but the request ran %d times", resp, r.runs.Load())
			}
		})
	}
}

// replaceZone returns a registration in a zone other than that of the gates in these tests.
func replaceZone(registration []byte) []byte {
	return bytes.Replace(registration, []byte(`"zone":"z"`), []byte(`"zone":"y"`), 1)
}
