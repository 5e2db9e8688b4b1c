package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// checkedConfig returns a configuration whose services have a path of health checks.
func checkedConfig() []byte {
	check := fmt.Sprintf(`"healthCheckPath":%q,"maxConnections"`, simop.HealthPath)
	return []byte(strings.ReplaceAll(string(config(1, 3000)), `"maxConnections"`, check))
}

// TestUpstreamKilled guards against an answer without a length that reaches the caller as complete though the connection
// ended because its upstream was killed, and against a sound one that does not.
func TestUpstreamKilled(t *testing.T) {
	const anyNumber = -1 // The second attempt may go to the new run at the same address.
	const all = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	for name, test := range map[string]struct {
		path   string
		first  string // Body of the first attempt.
		end    func(store *simop.Store, r *simop.Replica)
		second string // Body of the second attempt, at another upstream.
		want   string // Body that the caller gets; empty if the answer must not be complete.
		checks int    // Of the first upstream.
	}{
		"sound stream":                {path: "/fixed/x", first: all, want: all, checks: 1},
		"sound body":                  {path: "/once/x", first: "body", want: "body", checks: 1},
		"sound, empty body":           {path: "/once/x", want: "", checks: 1},
		"killed between events":       {path: "/fixed/x", first: all[:15], end: kill},
		"killed inside an event":      {path: "/fixed/x", first: all[:20], end: kill},
		"killed, resumed":             {path: "/model/x", first: all[:15], end: kill, second: all[15:], want: all},
		"killed after the last event": {path: "/model/x", first: all, end: kill, want: all},
		"killed, body not repeatable": {path: "/once/x", first: "bo", end: kill},
		"killed, body repeated":       {path: "/plain/x", first: "bo", end: kill, second: "body", want: "body"},
		"killed in a long body":       {path: "/plain/x", first: strings.Repeat("x", 300<<10), end: kill},
		"killed, started at once":     {path: "/model/x", first: all[:15], end: replace, second: all[15:], want: all, checks: anyNumber},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", checkedConfig())
			var replicas []*simop.Replica
			var attempts, checked atomic.Int64
			for i := range 2 {
				service, stage := "lm", "decode"
				if strings.HasPrefix(test.path, "/once") || strings.HasPrefix(test.path, "/plain") {
					service, stage = "app", ""
				}
				r := newReplica(t, fmt.Sprintf("r-%d", i), service, stage)
				r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
					if attempts.Add(1) > 1 {
						answerRaw(frameBody("connection", test.second))(w, req)
						return
					}
					checked.Store(int64(i))
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer conn.Close()
					_, _ = io.WriteString(conn, strings.ReplaceAll(frameBody("connection", test.first), "ID", req.Header.Get("X-Attempt-Id")))
					time.Sleep(30 * time.Millisecond)
					if test.end != nil {
						test.end(store, r)
					}
				})
				replicas = append(replicas, r)
			}
			g := startGate(t, store, "", replicas...)
			g.waitReady(t)
			resp, body := g.call(t, "POST", test.path, "k1", "X-Token-Counts", "100,40")
			isComplete := resp != nil && resp.StatusCode == http.StatusOK
			wantsComplete := test.want != "" || test.end == nil
			if isComplete != wantsComplete || isComplete && body != test.want {
				t.Errorf("got complete %v with %d bytes %.60q, want %v with %q", isComplete, len(body), body, wantsComplete, test.want)
			}
			if n := replicas[checked.Load()].HealthChecks(); n != test.checks && test.checks != anyNumber {
				t.Errorf("%d health checks, want %d", n, test.checks)
			}
		})
	}
}

// TestLateEnd guards against a sound answer that is aborted because its connection ends long after its last bytes, and against a
// killed upstream without a health check whose answer passes as complete.
func TestLateEnd(t *testing.T) {
	for name, test := range map[string]struct {
		config   []byte
		hasCheck bool
		isDead   bool
	}{
		"sound, with a health check":     {checkedConfig(), true, false},
		"sound, without a health check":  {config(1, 3000), false, false},
		"killed, without a health check": {config(1, 3000), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", test.config)
			app := newReplica(t, "i-1", "app", "")
			g := startGate(t, store, "", app)
			g.waitReady(t)
			app.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, strings.ReplaceAll(frameBody("connection", "body"), "ID", r.Header.Get("X-Attempt-Id")))
				time.Sleep(900 * time.Millisecond)
				if test.isDead {
					app.Crash()
				}
			})
			var pause time.Duration
			for try := range 3 {
				end := longestPause()
				resp, body := g.call(t, "POST", "/once/x", fmt.Sprint("k", try))
				pause = end()
				isComplete := resp != nil && resp.StatusCode == http.StatusOK
				switch {
				case isComplete && (test.isDead || body != "body"):
					t.Fatalf("complete with %q, want complete %v", body, !test.isDead)
				case isComplete || test.isDead:
					return
				case test.hasCheck || pause < maxLatePause:
					t.Fatalf("not complete, the longest pause of the process is %v", pause)
				}
				t.Logf("not complete, but the process stood still for %v", pause)
			}
			t.Errorf("not complete in any try, the process stood still for %v in the last one", pause)
		})
	}
}

// maxLatePause is how long the gate's process may stand still at most for an end without a health check to count as proved. The gate must
// notice within 0.5 s that a connection which it looks at every 0.2 s has ended; what is left is for the check.
const maxLatePause = 150 * time.Millisecond

// longestPause measures for how long this process stands still at most until the returned function is called.
func longestPause() (end func() time.Duration) {
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		longest, last := time.Duration(0), time.Now()
		for {
			select {
			case <-stop:
				result <- longest
				return
			case <-time.After(5 * time.Millisecond):
			}
			longest, last = max(longest, time.Since(last)), time.Now()
		}
	}()
	return func() time.Duration {
		close(stop)
		return <-result
	}
}

// kill ends a replica as a kill of its process does.
func kill(_ *simop.Store, r *simop.Replica) { r.Crash() }

// replace ends a replica and starts another run under its id at its address.
func replace(store *simop.Store, r *simop.Replica) {
	r.Replace()
	store.Put("servers/"+r.ID, r.Registration("ready"))
}

// TestChecksShared guards against a health check for each of many answers that end at the same time, and against any for
// answers with a length.
func TestChecksShared(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", checkedConfig())
	app := newReplica(t, "i-1", "app", "")
	g := startGate(t, store, "", app)
	g.waitReady(t)
	const requests = 24
	for _, framing := range framings {
		var arrived sync.WaitGroup
		arrived.Add(requests)
		app.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			arrived.Done()
			arrived.Wait()
			answerRaw(frameBody(framing, "body"))(w, r)
		})
		before := app.HealthChecks()
		var wait sync.WaitGroup
		for i := range requests {
			wait.Go(func() {
				if resp, body := g.call(t, "POST", "/once/x", fmt.Sprint(framing, i)); resp == nil || body != "body" {
					t.Errorf("by %s: got %v %q", framing, resp, body)
				}
			})
		}
		wait.Wait()
		n := app.HealthChecks() - before
		if framing != "connection" && n > 0 || framing == "connection" && (n == 0 || n > requests/2) {
			t.Errorf("by %s: %d health checks for %d answers", framing, n, requests)
		}
	}
}

// TestProbeSettled guards against a circuit breaker that stays half-open, so that its upstream gets no further requests,
// whichever way the probe request ends.
func TestProbeSettled(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	event := fmt.Sprintf("%x\r\ndata: %s\n\n\r\n", 8192+8, strings.Repeat("x", 8192))
	long := fmt.Sprintf("%x\r\n%s\r\n", 512<<10, strings.Repeat("x", 512<<10))
	for name, test := range map[string]struct {
		path   string
		answer string // Of the probe.
		leave  bool   // The caller leaves once the probe has arrived; until then the upstream's connection stays open.
	}{
		"caller leaves before the head":  {"/fixed/x", "", true},
		"caller leaves a stream":         {"/fixed/x", head + strings.Repeat(event, 1500), true},
		"caller leaves a body":           {"/once/x", head, true},
		"caller leaves a long body":      {"/once/x", head + strings.Repeat(long, 20), true},
		"answer without the seal":        {"/fixed/x", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n", false},
		"not run":                        {"/once/x", "HTTP/1.1 503 No\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false},
		"status implies that it did not": {"/once/x", "HTTP/1.1 429 No\r\nX-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n", false},
		"response of another request":    {"/once/x", "HTTP/1.1 200 OK\r\nX-Attempt-Id: x\r\nConnection: close\r\n\r\n", false},
		"nonsense":                       {"/once/x", "what?\r\n\r\n", false},
		"whole":                          {"/once/x", head + "0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", checkedConfig())
			service, stage := "app", ""
			if test.path == "/fixed/x" {
				service, stage = "lm", "decode"
			}
			r := newReplica(t, "r-1", service, stage)
			r.SetHandler(answerRaw("what?\r\n\r\n"))
			g := startGate(t, store, "", r)
			g.waitReady(t)
			for i := range 3 {
				g.call(t, "POST", test.path, fmt.Sprint("f", i), "X-Token-Counts", "100,40")
			}
			probed := make(chan bool, 1)
			r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				probed <- true
				_, _ = io.WriteString(conn, strings.ReplaceAll(test.answer, "ID", req.Header.Get("X-Attempt-Id")))
				if test.leave {
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: p%%d\r\nX-Token-Counts: 100,40\r\nContent-Length: 0\r\n\r\n", test.path)
			var conn net.Conn
			for i, isSent := 0, false; !isSent; i++ {
				if i == 40 {
					t.Fatal("no probe arrived")
				}
				conn = g.dial(t, fmt.Sprintf(request, i))
				select {
				case isSent = <-probed:
				case <-time.After(100 * time.Millisecond):
					_ = conn.Close()
				}
			}
			if test.leave {
				time.Sleep(50 * time.Millisecond)
				_ = conn.Close()
			} else if _, err := conn.Read(make([]byte, 1)); err != nil {
				t.Logf("the caller of the probe: %v", err)
			}
			r.SetHandler(nil)
			eventually(t, 4*time.Second, "served after the probe", func() bool {
				resp, _ := g.call(t, "POST", test.path, "after", "X-Token-Counts", "100,40")
				return resp != nil && resp.StatusCode == http.StatusOK
			})
		})
	}
}
