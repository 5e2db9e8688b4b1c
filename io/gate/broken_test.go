package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// respond returns a handler that sends a status, the headers as names and values in turn, and a body.
func respond(status int, body string, headers ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		for i := 0; i < len(headers); i += 2 {
			w.Header().Set(headers[i], headers[i+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body) // Fails only if the gate has closed the connection.
	}
}

// TestBrokenStream breaks a stream after its first event and has the next attempt fail in each way. The caller must
// get all events or an incomplete body, never a short one that looks complete.
func TestBrokenStream(t *testing.T) {
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name string
		next http.HandlerFunc // Nil for no other engine.
	}{
		{"no other engine", nil},
		{"failure", respond(500, "failed", "X-Response-Seal", "s")},
		{"failure without a body", respond(500, "", "X-Response-Seal", "s")},
		{"timeout at the engine", respond(504, "late", "X-Response-Seal", "s")},
		{"not found", respond(404, "none", "X-Response-Seal", "s")},
		{"not executed", respond(503, "", "X-Not-Executed", "1")},
		{"another instance", respond(421, "", "X-Instance-Id", "i-9")},
		{"503 without a statement", respond(503, "")},
		{"redirect", respond(302, "elsewhere", "X-Response-Seal", "s")},
		{"success without a seal", respond(200, "id: 2\ndata: x\n\n")},
		{"no content", respond(204, "", "X-Response-Seal", "s")},
		{"reset", reset},
		{"another request's answer", respond(200, "id: 2\ndata: x\n\n", "X-Response-Seal", "s", "X-Attempt-Id", "other")},
		{"no response in the protocol", answerRaw("\x00\x01 nonsense\r\n\r\n")},
		{"failure with a text that looks like events", respond(500, "id: 2\ndata: broken-text\n\n", "X-Response-Seal", "s", "Content-Type", "text/event-stream")},
		{"too many requests", respond(429, "broken-text\n\n", "X-Response-Seal", "s")},
		{"error with the status of a success", respond(200, "{\"error\": \"broken-text\"}\n\n", "X-Response-Seal", "s", "Content-Type", "application/json")},
		{"error page with the status of a success", respond(200, "<p>broken-text</p>\r\n\r\n", "X-Response-Seal", "s", "Content-Type", "text/html; charset=utf-8")},
		{"a second head in the body", answerRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 72\r\n\r\nHTTP/1.1 500 broken-text\r\nContent-Length: 4\r\nContent-Type: a\r\n\r\nfail")},
		{"half an event without a length", answerRaw("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\nid: 2\nda")},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			var attempts atomic.Int64
			serve := func(w http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) > 1 {
					test.next(w, r)
					return
				}
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.Header().Set("X-Response-Seal", "s")
				_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			replicas := []*simop.Replica{newReplica(t, "d-1", "lm", "decode")}
			if test.next != nil {
				replicas = append(replicas, newReplica(t, "d-2", "lm", "decode"))
			}
			for _, r := range replicas {
				r.SetHandler(serve)
			}
			g := startGate(t, store, "", replicas...)
			g.waitReady(t)
			resp, body := g.call(t, "POST", "/model/x", fmt.Sprintf("b%d", i), append(promptHeaders[:len(promptHeaders):len(promptHeaders)], "X-Deadline-Remaining-Ms", "2500")...)
			if resp != nil && resp.StatusCode == http.StatusOK {
				t.Errorf("the caller got a short body that looks complete: %q", body)
			}
			if strings.Contains(body, "broken-text") {
				t.Errorf("the caller got the text of the error: %q", body)
			}
		})
	}
}

// TestBrokenAnswer has an answer that is larger than the gate's buffer break off after the caller has got a part of it.
// Another replica's answer must not follow it.
func TestBrokenAnswer(t *testing.T) {
	const size = 600 << 10
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	a, b := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
	var attempts atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "s")
		if attempts.Add(1) == 1 {
			_, _ = io.WriteString(w, strings.Repeat("a", size/2))
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, strings.Repeat("b", size))
	}
	a.SetHandler(serve)
	b.SetHandler(serve)
	g := startGate(t, store, "", a, b)
	g.waitReady(t)
	resp, body := g.call(t, "GET", "/plain/x", "big")
	if resp != nil && len(body) != size {
		t.Errorf("the caller got %d bytes of one answer and %d of another as complete", strings.Count(body, "a"), strings.Count(body, "b"))
	}
	if resp, body := g.call(t, "GET", "/plain/x", "next"); resp == nil || len(body) != size {
		t.Errorf("the next answer has %d bytes, want %d", len(body), size)
	}
}

// TestBrokenHTTP10 breaks a stream to a caller that speaks HTTP/1.0, where the end of the connection ends the body. It
// must be a reset.
func TestBrokenHTTP10(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	d := newReplica(t, "d-1", "lm", "decode")
	d.SetStream(3, 50*time.Millisecond, 1)
	g := startGate(t, store, "", d)
	g.waitReady(t)
	conn, err := net.Dial("tcp", g.set.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /model/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: old\r\nX-Model: m\r\nX-Token-Counts: 600,40\r\n"+
		"X-Prompt-Prefix: aa:500,cc:100\r\nX-Deadline-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(bufio.NewReader(conn))
	if err == nil {
		t.Errorf("the broken answer ended like a complete one: %q", data)
	}
}

// TestLateCopy has an upstream send a second copy of an answer, late, on a connection that carries the next request
// by then. The copies differ in what they state of themselves; the next caller must get its own answer.
func TestLateCopy(t *testing.T) {
	copies := map[string]string{
		"with its id":           "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale",
		"without an id":         "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale",
		"failure with its id":   "HTTP/1.1 500 No\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale",
		"failure without an id": "HTTP/1.1 500 No\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale",
		"refusal without an id": "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"in chunks":             "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstale\r\n0\r\n\r\n",
		"after an interim one":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale",
	}
	for name, text := range copies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go serveWithCopies(l, text)
			store.Put("servers/i-1", fmt.Appendf(nil, `{"service":"app","address":%q,"zone":"z","slots":64,"state":"ready"}`, l.Addr()))
			g := startGate(t, store, "")
			g.waitReady(t)
			for i := range 6 {
				id := fmt.Sprintf("late%d", i)
				resp, body := g.call(t, "GET", "/plain/x", id)
				if resp == nil || resp.StatusCode != 200 || body != "own "+id {
					t.Fatalf("request %s: got %v %q, want its own answer", id, resp, body)
				}
			}
		})
	}
}

// serveWithCopies answers each request with its id. Before the answer to any but the first one of a connection, it sends
// a copy of the answer to the one before, with ID replaced by that one's id.
func serveWithCopies(l net.Listener, late string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader, last := bufio.NewReader(conn), ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				id := r.Header.Get("X-Attempt-Id")
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Length: %d\r\n\r\nown %s", id, len("own "+id), id)
				if last != "" {
					_, _ = io.WriteString(conn, strings.ReplaceAll(late, "ID", last))
					time.Sleep(20 * time.Millisecond)
				}
				if _, err := io.WriteString(conn, text); err != nil {
					return
				}
				last = id
			}
		}()
	}
}
