package gate_test

import (
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

// answerRaw returns a handler that sends the bytes of an answer, in which ID is replaced by the request's id, and closes
// the connection.
func answerRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Attempt-Id"))) // Fails only if the gate has closed it.
		_ = conn.Close()
	}
}

// frameBody returns the bytes of a successful answer with the given framing: length, chunks or connection.
func frameBody(framing, body string) string {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case "chunks":
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return head + "\r\n" + body
}

// startWithEngine runs a gate with one engine.
func startWithEngine(t *testing.T) (*testGate, *simop.Replica) {
	t.Helper()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	d := newReplica(t, "d-1", "lm", "decode")
	g := startGate(t, store, "", d)
	g.waitReady(t)
	return g, d
}

// closeDelay is the time until a gate can see that an engine has closed a connection.
const closeDelay = 100 * time.Millisecond

// framings are the ways in which the end of a body is marked.
var framings = []string{"length", "chunks", "connection"}

// TestStreamEndsInsideEvent guards against a stream that was broken off inside an event and reaches the caller as
// complete, however its upstream framed it.
func TestStreamEndsInsideEvent(t *testing.T) {
	const first = "id: 1\ndata: x\n\n"
	rests := map[string]string{
		"half a line":               "id: 2\nda",
		"no blank line":             "id: 2\ndata: x\n",
		"no line end":               "id: 2\ndata: x",
		"CR without a blank line":   "id: 2\r\ndata: x\r",
		"half an event alone":       "data",
		"event after a comment":     ": c\n\nid: 2\n",
		"half a comment":            ": c",
		"CRLF without a blank line": "id: 2\r\n",
	}
	for name, rest := range rests {
		for _, framing := range framings {
			t.Run(name+" by "+framing, func(t *testing.T) {
				t.Parallel()
				store := newStore(t)
				store.Put("op/config", config(1, 3000))
				broken, sound := newReplica(t, "d-1", "lm", "decode"), newReplica(t, "d-2", "lm", "decode")
				var attempts atomic.Int64
				serve := func(r *simop.Replica) http.HandlerFunc {
					return func(w http.ResponseWriter, req *http.Request) {
						if attempts.Add(1) == 1 {
							answerRaw(frameBody(framing, first+rest))(w, req)
							return
						}
						r.ServeDefault(w, req)
					}
				}
				for _, r := range []*simop.Replica{broken, sound} {
					r.SetStream(3, time.Millisecond, 0)
					r.SetHandler(serve(r))
				}
				g := startGate(t, store, "", broken, sound)
				g.waitReady(t)
				if resp, body := g.call(t, "POST", "/fixed/x", "f1", "X-Token-Counts", "100,40"); resp != nil && resp.StatusCode == http.StatusOK {
					t.Errorf("not resumable: the caller got a broken stream as complete: %q", body)
				}
				// A request on the connection that the engine has just closed would use up one of the two attempts.
				time.Sleep(closeDelay)
				attempts.Store(0)
				resp, body := g.call(t, "POST", "/model/x", "m1", "X-Token-Counts", "100,40")
				if resp == nil || !strings.HasPrefix(body, first) || strings.Count(body, "id: ") != 3 || !strings.Contains(body, "\n\nid: 3\n") || !strings.HasSuffix(body, "\n\n") {
					t.Errorf("resumable: got %q, want three whole events", body)
				}
			})
		}
	}
}

// TestStreamEndsWithConnection checks that a whole stream without a length or chunks reaches the caller as complete.
func TestStreamEndsWithConnection(t *testing.T) {
	for name, body := range map[string]string{
		"LF":                 "id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
		"CRLF":               "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
		"CR":                 "id: 1\rdata: x\r\rid: 2\rdata: y\r\r",
		"mixed line ends":    "id: 1\r\ndata: x\n\r\nid: 2\ndata: y\r\n\n",
		"comment at the end": "id: 1\ndata: x\n\n: done\n",
	} {
		for _, framing := range framings {
			t.Run(name+" by "+framing, func(t *testing.T) {
				t.Parallel()
				g, d := startWithEngine(t)
				d.SetHandler(answerRaw(frameBody(framing, body)))
				if resp, got := g.call(t, "POST", "/fixed/x", "w1", "X-Token-Counts", "100,40"); resp == nil || got != body {
					t.Errorf("got %q, want %q as complete", got, body)
				}
			})
		}
	}
}

// floodLimit is the number of bytes, most of them in socket buffers, after which an upstream that sends without end must
// find its connection closed.
const floodLimit = 48 << 20

// flood writes prefix and then unit again and again until the gate closes the connection. It reports whether that
// happened within floodLimit bytes.
func flood(conn net.Conn, prefix, unit string) bool {
	block := []byte(strings.Repeat(unit, 1+(64<<10)/len(unit)))
	if _, err := io.WriteString(conn, prefix); err != nil {
		return true
	}
	for sent := 0; sent < floodLimit; {
		n, err := conn.Write(block)
		if err != nil {
			return true
		}
		sent += n
	}
	return false
}

// TestEndlessAnswer guards against an upstream that sends bytes without end, which the gate would collect until the
// request's deadline or its memory is used up.
func TestEndlessAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	chunk := "1000\r\n" + strings.Repeat("y", 0x1000) + "\r\n"
	for name, answer := range map[string][2]string{
		"status line":           {"HTTP/1.1 200 ", "x"},
		"nonsense":              {"", "\x00\xff"},
		"header line":           {head + "X-Long: ", "x"},
		"header lines":          {head, "X-More: x\r\n"},
		"empty lines":           {"", "\r\n"},
		"interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"responses of others":   {"", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"},
		"event":                 {head + "\r\n", "data: x\n"},
		"line":                  {head + "\r\n", "x"},
		"event in chunks":       {head + chunked, chunk},
		"chunk size":            {head + chunked, "0"},
		"chunk extension":       {head + chunked + "5;", "x"},
		"trailer":               {head + chunked + "0\r\nX-Long: ", "x"},
		"trailers":              {head + chunked + "0\r\n", "X-More: x\r\n"},
		"refusal's body":        {"HTTP/1.1 503 No\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n\r\n", "x"},
		"body without its seal": {"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, d := startWithEngine(t)
			closed := make(chan bool, 8)
			d.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				closed <- flood(conn, strings.ReplaceAll(answer[0], "ID", r.Header.Get("X-Attempt-Id")), answer[1])
			})
			began := time.Now()
			resp, body := g.call(t, "POST", "/fixed/x", "e1", "X-Token-Counts", "100,40")
			if resp != nil && resp.StatusCode == http.StatusOK {
				t.Errorf("the caller got %d bytes as a complete answer", len(body))
			}
			if took := time.Since(began); took > 4*time.Second {
				t.Errorf("answered after %v, half of the route's timeout or more", took)
			}
			select {
			case ok := <-closed:
				if !ok {
					t.Errorf("the gate read on after %d MB", floodLimit>>20)
				}
			case <-time.After(5 * time.Second):
				t.Error("the gate keeps the connection open")
			}
		})
	}
}

// answerHalf returns a handler that sends the head of an answer, in which ID is replaced by the request's id, and nothing
// more until the gate closes the connection.
func answerHalf(head string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("X-Attempt-Id")))
		_, _ = io.Copy(io.Discard, conn)
	}
}

// testStalledBody checks that a request whose first attempt gets an answer with a body that never comes is served at once
// by another upstream.
func testStalledBody(t *testing.T, path, head string) {
	t.Helper()
	for name, length := range map[string]string{"length": "Content-Length: 10\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "connection": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			replicas := []*simop.Replica{newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")}
			var attempts atomic.Int64
			for _, r := range replicas {
				r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
					if attempts.Add(1) == 1 {
						answerHalf(head+length+"\r\n")(w, req)
						return
					}
					r.ServeDefault(w, req)
				})
			}
			g := startGate(t, store, "", replicas...)
			g.waitReady(t)
			began := time.Now()
			resp, body := g.call(t, "POST", path, "s1")
			if resp == nil || resp.StatusCode != http.StatusOK {
				t.Errorf("got %v %q, want the other upstream's answer", resp, body)
			}
			if took := time.Since(began); took > 1500*time.Millisecond {
				t.Errorf("answered after %v, half of the route's timeout or more", took)
			}
		})
	}
}

// TestRefusalBodyStalls guards against a refusal whose body never ends and that holds the request back from other
// upstreams.
func TestRefusalBodyStalls(t *testing.T) {
	testStalledBody(t, "/once/x", "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n")
}

// TestErrorBodyStalls guards against a server error whose body never ends and that holds a repeatable request back from
// other upstreams.
func TestErrorBodyStalls(t *testing.T) {
	testStalledBody(t, "/plain/x", "HTTP/1.1 500 No\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n")
}

// TestUnsealedBodyStalls guards against an answer that can't be passed on, whose body never ends and that holds a
// repeatable request back from other upstreams.
func TestUnsealedBodyStalls(t *testing.T) {
	testStalledBody(t, "/plain/x", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n")
}

// TestStreamOutlivesItsLength guards against a stream that can't be continued because its caller was told the length of
// the first attempt's part.
func TestStreamOutlivesItsLength(t *testing.T) {
	const first = "id: 1\ndata: x\n\n"
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	replicas := []*simop.Replica{newReplica(t, "d-1", "lm", "decode"), newReplica(t, "d-2", "lm", "decode")}
	var attempts atomic.Int64
	for _, r := range replicas {
		r.SetStream(9, time.Millisecond, 0)
		r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			if attempts.Add(1) > 1 {
				r.ServeDefault(w, req)
				return
			}
			answerRaw(strings.Replace(frameBody("length", first), "Content-Length: ", "Content-Length: 1", 1))(w, req)
		})
	}
	g := startGate(t, store, "", replicas...)
	g.waitReady(t)
	resp, body := g.call(t, "POST", "/model/x", "l1", "X-Token-Counts", "100,40")
	if resp == nil || strings.Count(body, "id: ") != 9 || !strings.HasPrefix(body, first+"id: 2\n") {
		t.Errorf("got %v %q, want nine events", resp, body)
	}
}

// TestStreamWithoutEvents guards against an upstream that fails before its first event, where the end of the connection
// looks like the end of an empty stream.
func TestStreamWithoutEvents(t *testing.T) {
	for name, body := range map[string]string{"nothing": "", "a comment": ": hello\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, d := startWithEngine(t)
			d.SetHandler(answerRaw(frameBody("connection", body)))
			if resp, got := g.call(t, "POST", "/fixed/x", "n1", "X-Token-Counts", "100,40"); resp != nil && resp.StatusCode == http.StatusOK {
				t.Errorf("the caller got %q as a complete stream", got)
			}
			if resp, got := g.call(t, "POST", "/model/x", "n2", "X-Token-Counts", "100,40", "Last-Event-Id", "3"); resp != nil && resp.StatusCode == http.StatusOK {
				t.Errorf("resumed: the caller got %q as a complete rest", got)
			}
			// A caller that has all events resumes for the end alone, which the upstream states.
			d.SetHandler(answerRaw(frameBody("chunks", "")))
			if resp, _ := g.call(t, "POST", "/model/x", "n3", "X-Token-Counts", "100,40", "Last-Event-Id", "40"); resp == nil || resp.StatusCode != http.StatusOK {
				t.Errorf("resumed at the end: got %v, want an empty rest", resp)
			}
		})
	}
}

// TestSlowStream guards against cutting a stream that is slow but sound.
func TestSlowStream(t *testing.T) {
	t.Parallel()
	g, d := startWithEngine(t)
	d.SetStream(5, 1400*time.Millisecond, 0)
	for _, path := range []string{"/fixed/x", "/model/x"} {
		t.Run(path, func(t *testing.T) {
			id := "slow" + path[1:2]
			resp, body := g.call(t, "POST", path, id, "X-Token-Counts", "100,40")
			if resp == nil || strings.Count(body, "id: ") != 5 {
				t.Errorf("got %v %q, want five events", resp, body)
			}
			if n := d.Runs(id); n != 1 {
				t.Errorf("the request ran %d times, want once", n)
			}
		})
	}
}

// TestDrippingStream guards against a stalled stream that sends a byte now and then and never ends.
func TestDrippingStream(t *testing.T) {
	t.Parallel()
	g, d := startWithEngine(t)
	closed := make(chan time.Time, 1)
	d.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		data := strings.ReplaceAll(frameBody("connection", "id: 1\ndata: x\n\n"), "ID", r.Header.Get("X-Attempt-Id"))
		for ; err == nil; time.Sleep(100 * time.Millisecond) {
			_, err = io.WriteString(conn, data)
			data = ":"
		}
		closed <- time.Now()
	})
	const timeout = 8 * time.Second // Of the route.
	began := time.Now()
	resp, body := g.call(t, "POST", "/fixed/x", "drip", "X-Token-Counts", "100,40")
	if took := time.Since(began); resp != nil || took > timeout+500*time.Millisecond {
		t.Errorf("got %v %q after %v, want an incomplete stream within %v", resp, body, took, timeout)
	}
	select {
	case at := <-closed:
		if after := at.Sub(began); after > timeout+time.Second {
			t.Errorf("the upstream's connection was closed after %v", after)
		}
	case <-time.After(2 * time.Second):
		t.Error("the upstream's connection is still open")
	}
}
