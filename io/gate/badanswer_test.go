package gate_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestHeadsThatAreNone guards against answers whose head is malformed and which reach the caller, or whose body does in another form
// than the upstream's.
func TestHeadsThatAreNone(t *testing.T) {
	const (
		fields = "X-Attempt-Id: ID\r\nX-Response-Seal: s\r\n"
		whole  = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\ninner"
	)
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	g := startGate(t, store, "", app)
	g.waitReady(t)
	n := 0
	for name, text := range map[string]string{
		"status 000 and an answer":   "HTTP/1.1 000 OK\r\n" + fields + "\r\n" + whole,
		"status 099 and an answer":   "HTTP/1.1 099 OK\r\n" + fields + "\r\n" + whole,
		"status 101 and an answer":   "HTTP/1.1 101 OK\r\n" + fields + "\r\n" + whole,
		"status 600":                 "HTTP/1.1 600 OK\r\n" + fields + "Content-Length: 5\r\n\r\nhello",
		"status 999":                 "HTTP/1.1 999 OK\r\n" + fields + "Content-Length: 5\r\n\r\nhello",
		"blank before the colon":     "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"blank after a length":       "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 5\r\n\r\nhello",
		"blank in a name":            "HTTP/1.1 200 OK\r\n" + fields + "X Odd: a\r\nContent-Length: 5\r\n\r\nhello",
		"blank in an interim head":   "HTTP/1.1 103 Early\r\nX Odd: a\r\n\r\n" + whole,
		"blank in a trailer":         "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Odd: a\r\n\r\n",
		"control byte in a name":     "HTTP/1.1 200 OK\r\n" + fields + "X\x01Odd: a\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/2.0":                   "HTTP/2.0 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nhello",
		"HTTP/1.7":                   "HTTP/1.7 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nhello",
		"length and transfer coding": "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for _, path := range []string{"/plain/x", "/once/x"} {
			n++
			app.SetHandler(answerRaw(text))
			resp, body := g.call(t, "POST", path, fmt.Sprintf("odd%d", n))
			if resp != nil && resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%s, %s: the caller got %d %q", name, path, resp.StatusCode, body)
			}
			app.SetHandler(nil)
			eventually(t, 5*time.Second, "served again", func() bool {
				resp, _ := g.call(t, "POST", "/plain/x", fmt.Sprintf("sound%d", n))
				return resp != nil && resp.StatusCode == http.StatusOK
			})
		}
	}
}

// TestResetUnderLongUpload guards against the first part of an answer that reaches the caller as complete because its upstream reset the
// connection while a long body was being sent to it.
func TestResetUnderLongUpload(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, path := range []string{"/plain/x", "/once/x", "/fixed/x", "/model/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", bytes.Replace(config(1, 3000), []byte(`"maxBodyBytes":65536`), []byte(`"maxBodyBytes":33554432`), 1))
			app, engine := newReplica(t, "i-1", "app", ""), newReplica(t, "e-1", "lm", "decode")
			g := startGate(t, store, "", app, engine)
			g.waitReady(t)
			reset := func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n\r\n%s", r.Header.Get("X-Attempt-Id"), events) // Fails only if the gate has closed it.
				time.Sleep(2 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
			app.SetHandler(reset)
			engine.SetHandler(reset)
			for i := range 6 {
				req, err := http.NewRequest(http.MethodPost, "http://"+g.set.Listen.String()+path, bytes.NewReader(make([]byte, 1<<20<<(i%2*4))))
				if err != nil {
					t.Fatal(err)
				}
				req.Host = "a.example"
				id := fmt.Sprintf("up%d", i)
				for headers := append(prompt(id, "aa"), "X-Attempt-Id", id); len(headers) > 0; headers = headers[2:] {
					req.Header.Set(headers[0], headers[1])
				}
				resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}).Do(req)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err == nil && resp.StatusCode == http.StatusOK {
					t.Errorf("request %d: %q looks whole", i, body)
				}
			}
		})
	}
}
