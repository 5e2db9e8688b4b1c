package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

const (
	stopGrace     = 4 * time.Second
	stopLate      = stopGrace / 2           // From the signal until no new connections come.
	replyTime     = 500 * time.Millisecond  // In which a request that can't be served is refused.
	stopTimeLimit = 8000 * time.Millisecond // Of the routes; longer than the grace period.
	bodyStep      = 50 * time.Millisecond   // Between two bytes of a slow body.
	lateBodyEnd   = 2300 * time.Millisecond // After the signal.
	longWork      = 10 * time.Second        // Longer than the grace period.
	mediumWork    = 1200 * time.Millisecond // Fits in the grace period from its begin, not from lateBodyEnd.
)

// slowRequest writes a request on conn, whose body ends at a time. framing is length or chunks.
func slowRequest(conn io.Writer, path, id, framing string, end time.Time, headers ...string) error {
	const body = "0123456789"
	head := "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\n"
	for i := 0; i < len(headers); i += 2 {
		head += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	pieces := strings.Split(body, "")
	if framing == "chunks" {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		for i := range pieces {
			pieces[i] = "1\r\n" + pieces[i] + "\r\n"
		}
		pieces = append(pieces, "0\r\n\r\n")
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	for i, p := range pieces {
		time.Sleep(time.Until(end.Add(-time.Duration(len(pieces)-1-i) * bodyStep)))
		if _, err := io.WriteString(conn, p); err != nil {
			return err
		}
	}
	return nil
}

// stopResult is what the caller of a request around a planned stop gets.
type stopResult struct {
	status int // 0 if there was no complete response.
	header http.Header
	sent   time.Time // When the last byte of the request was written.
	ended  time.Time
	calls  int // That reached upstreams.
}

// TestLateInGrace guards against requests that are passed on in a planned stop though they can't end in it, and are cut at its end.
func TestLateInGrace(t *testing.T) {
	prompt := promptHeaders[:len(promptHeaders)-2] // Without the remaining time.
	for _, test := range []struct {
		name     string
		bodyEnd  time.Duration // After the signal.
		remains  string        // In ms, as the caller states; empty for the time limit of the route.
		work     time.Duration
		refused  bool
		expected int // Otherwise.
	}{
		{"early, short work", 500 * time.Millisecond, "", mediumWork, false, http.StatusOK},
		{"early, work beyond the end", 500 * time.Millisecond, "", longWork, false, http.StatusGatewayTimeout},
		{"late, no limit before the end", lateBodyEnd, "", longWork, true, 0},
		{"late, no limit before the end, short work", lateBodyEnd, "", 0, true, 0},
		{"late, limit before the end", lateBodyEnd, "3100", 0, false, http.StatusOK},
		{"late, limit before the end, work beyond it", lateBodyEnd, "3100", longWork, false, http.StatusGatewayTimeout},
	} {
		for _, path := range []string{"/plain/x", "/once/x", "/model/x", "/fixed/x", "/model/x, read apart", "/fixed/x, read apart"} {
			for _, framing := range []string{"length", "chunks"} {
				t.Run(fmt.Sprint(test.name, " ", path, " ", framing), func(t *testing.T) {
					t.Parallel()
					path, _, isApart := strings.Cut(path, ",")
					var headers []string
					if strings.HasPrefix(path, "/model") || strings.HasPrefix(path, "/fixed") {
						headers = append(headers, prompt...)
					}
					if test.remains != "" {
						headers = append(headers, "X-Deadline-Remaining-Ms", test.remains)
					}
					c := newStopCluster(t, isApart, test.work)
					signal := time.Now()
					c.gate.stop()
					r := c.send(t, path, framing, signal.Add(test.bodyEnd), headers...)
					c.check(t, r, signal, test.refused, test.expected)
				})
			}
		}
	}
}

// stopCluster is a gate with upstreams that work for some time on each request.
type stopCluster struct {
	gate  *testGate
	mu    sync.Mutex
	calls int
}

// newStopCluster returns a stopCluster whose engines read prompts apart or don't.
func newStopCluster(t *testing.T, isApart bool, work time.Duration) *stopCluster {
	t.Helper()
	c := &stopCluster{}
	store := newStore(t)
	store.Put("op/config", config(1, int(stopTimeLimit.Milliseconds())))
	replicas := []*simop.Replica{newReplica(t, "i-1", "app", ""), newReplica(t, "d-1", "lm", "decode")}
	if isApart {
		replicas = append(replicas, newReplica(t, "p-1", "lm", "prefill"))
	}
	for _, r := range replicas {
		r.SetOnCall(func(id string) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if id != "" {
				c.calls++
			}
		})
		if r.Stage() == "prefill" {
			continue
		}
		r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			select {
			case <-time.After(work):
				r.ServeDefault(w, req)
			case <-req.Context().Done():
			}
		})
	}
	c.gate = startGate(t, store, "", replicas...)
	c.gate.waitReady(t)
	eventually(t, 3*time.Second, "serving", func() bool {
		resp, _ := c.gate.call(t, "GET", "/none/x", "early")
		return resp != nil && resp.StatusCode == http.StatusNotFound
	})
	return c
}

// send sends a request whose body ends at a time and returns its result.
func (c *stopCluster) send(t *testing.T, path, framing string, end time.Time, headers ...string) stopResult {
	t.Helper()
	conn := c.gate.dial(t, "")
	done := make(chan stopResult, 1)
	go func() {
		var r stopResult
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		r.ended = time.Now()
		if err == nil {
			r.status, r.header = resp.StatusCode, resp.Header
		}
		done <- r
	}()
	err := slowRequest(conn, path, "s", framing, end, headers...)
	sent := time.Now()
	r := <-done
	r.sent = sent
	if err != nil && r.status == 0 {
		t.Errorf("request not sent: %v", err)
	}
	<-c.gate.done
	c.gate.done <- nil // For the end of the test.
	c.mu.Lock()
	defer c.mu.Unlock()
	r.calls = c.calls
	return r
}

// check checks what the caller got for a request, and that one that was refused has reached no upstream.
func (c *stopCluster) check(t *testing.T, r stopResult, signal time.Time, isRefused bool, expected int) {
	t.Helper()
	t.Logf("status %d, %v after the last byte, %v after the signal; %d calls", r.status, r.ended.Sub(r.sent), r.ended.Sub(signal), r.calls)
	switch {
	case r.ended.Sub(signal) > stopGrace:
		t.Errorf("answered %v after the signal, when the process has ended", r.ended.Sub(signal))
	case !isRefused && r.status != expected:
		t.Errorf("status %d, want %d", r.status, expected)
	case !isRefused:
	case r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "":
		t.Errorf("status %d with Retry-After %q, want 503 with one", r.status, r.header.Get("Retry-After"))
	case r.ended.Sub(r.sent) > replyTime:
		t.Errorf("refused %v after its last byte, want %v at most", r.ended.Sub(r.sent), replyTime)
	case r.calls > 0:
		t.Errorf("refused, but %d upstreams got it", r.calls)
	}
}

// TestPromptReadBeforeLate guards against a request that is passed on late because its prompt was read apart before.
func TestPromptReadBeforeLate(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d := newReplica(t, "p-1", "lm", "prefill"), newReplica(t, "d-1", "lm", "decode")
	p.SetHandler(func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(700 * time.Millisecond) // Less than the silence after which the prompt is read elsewhere.
		p.ServeDefault(w, req)
	})
	g := startGate(t, store, "", p, d)
	g.waitReady(t)
	signal := time.Now()
	g.stop()
	time.Sleep(time.Until(signal.Add(stopLate - 400*time.Millisecond)))
	resp, _ := g.call(t, "POST", "/model/x", "h", promptHeaders...)
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, want 503 with Retry-After", resp)
	}
	eventually(t, time.Second, "free of the prompt", func() bool { return p.HeldCaches() == 0 })
	if d.Runs("h") > 0 {
		t.Error("the request ran")
	}
}

// TestWaitEndsWhenLate guards against a request that waits for room although it can't be passed on any more.
func TestWaitEndsWhenLate(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, int(stopTimeLimit.Milliseconds())))
	app := newReplica(t, "i-1", "app", "")
	app.SetLimit("20")
	g := startGate(t, store, "", app)
	g.waitReady(t)
	g.call(t, "GET", "/plain/x", "first") // Tells the gate the limit.
	signal := time.Now()
	g.stop()
	time.Sleep(time.Until(signal.Add(stopLate - 200*time.Millisecond)))
	var calls sync.WaitGroup
	for i := range 30 {
		calls.Go(func() {
			resp, _ := g.call(t, "GET", "/plain/x", fmt.Sprint("w", i))
			if took := time.Since(signal); resp == nil || took > stopLate+100*time.Millisecond {
				t.Errorf("%v %v after the signal, want an answer by %v", resp, took, stopLate)
			}
		})
	}
	calls.Wait()
}

// TestPipelinedInGrace guards against a request behind a stream on its connection that is passed on late and cut.
func TestPipelinedInGrace(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, int(stopTimeLimit.Milliseconds())))
	app, d := newReplica(t, "i-1", "app", ""), newReplica(t, "d-1", "lm", "decode")
	app.SetHandler(func(w http.ResponseWriter, req *http.Request) {
		select {
		case <-time.After(longWork):
			app.ServeDefault(w, req)
		case <-req.Context().Done():
		}
	})
	d.SetStream(5, 500*time.Millisecond, 0)
	g := startGate(t, store, "", app, d)
	g.waitReady(t)
	head := "POST %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Counts: 600,40\r\nX-Prompt-Prefix: aa:500,cc:100\r\nContent-Length: 0\r\n\r\n"
	conn := g.dial(t, fmt.Sprintf(head, "/model/x", "stream")+fmt.Sprintf(head, "/once/x", "behind"))
	eventually(t, 2*time.Second, "running", func() bool { return d.Runs("stream") == 1 })
	g.stop()
	text, err := readRest(t, conn, stopGrace)
	if !strings.Contains(text, "id: 5\n") || !strings.Contains(text, "\r\n0\r\n\r\n") {
		t.Errorf("the stream is incomplete: %q, %v", text, err)
	}
	if app.Runs("behind") > 0 || strings.Contains(text, "behind") {
		t.Errorf("the request behind the stream was passed on: %q", text)
	}
}

// TestLateHeadInGrace guards against a request that comes late on a connection that is still open, is passed on and is cut.
func TestLateHeadInGrace(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			c := newStopCluster(t, false, longWork)
			signal := time.Now()
			c.gate.stop()
			time.Sleep(time.Until(signal.Add(stopLate - 200*time.Millisecond)))
			conn := c.gate.dial(t, "") // The balancer may still open one.
			begins := signal.Add(lateBodyEnd)
			time.Sleep(time.Until(begins))
			_ = slowRequest(conn, "/once/x", "s", framing, time.Now()) // Fails if the connection has been closed.
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && resp.StatusCode != http.StatusServiceUnavailable || time.Since(begins) > replyTime {
				t.Errorf("got %v, %v after %v; want 503 or a closed connection at once", resp, err, time.Since(begins))
			}
			if c.calls > 0 {
				t.Errorf("%d calls reached upstreams", c.calls)
			}
		})
	}
}
