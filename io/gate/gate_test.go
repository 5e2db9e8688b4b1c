package gate_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// TestRoutes checks the routes of a gate without a configuration, with a valid one, and after invalid documents were
// written to the store.
func TestRoutes(t *testing.T) {
	store := newStore(t)
	app := newReplica(t, "i-1", "app", "")
	g := startGate(t, store, "", app)
	eventually(t, 3*time.Second, "answering", func() bool {
		resp, _ := g.call(t, "GET", "/none/x", "early")
		return resp != nil
	})
	// Without a configuration the gate can't tell whether a route exists.
	if resp, _ := g.call(t, "GET", "/none/x", "early"); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: got %d, want 503 with Retry-After", resp.StatusCode)
	}
	store.Put("op/config", config(1, 3000))
	g.waitReady(t)
	resp, body := g.call(t, "GET", "/plain/x", "one")
	if resp == nil || resp.StatusCode != 200 || resp.Header.Get("X-Response-Seal") != "i-1.one" || body != "GET /plain/x by i-1" {
		t.Errorf("got %v %q", resp, body)
	}
	if resp, _ := g.call(t, "GET", "/none/x", "two"); resp == nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("unknown route: got %v, want 404", resp)
	}
	// Invalid documents are ignored.
	store.Put("servers/i-1x", []byte("\xff"))
	store.Put("servers/i-2", []byte(`{"service":"app","address":"127.0.0.1:1","state":"asleep"}`))
	store.Put("op/config", []byte(`{"version":9,"routes":[{"kind":"odd"}]}`))
	time.Sleep(500 * time.Millisecond)
	if resp, _ := g.call(t, "GET", "/plain/x", "three"); resp == nil || resp.StatusCode != 200 {
		t.Errorf("after invalid documents: got %v, want 200", resp)
	}
	metrics, err := http.Get("http://" + g.set.Debug.String() + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer metrics.Body.Close()
	var vars struct {
		Meter struct {
			Counts map[string]int64 `json:"counts"`
		} `json:"meter"`
	}
	if err := json.NewDecoder(metrics.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]int64{"member not understood": 2, "configuration not understood": 1} {
		if got := vars.Meter.Counts[name]; got < want {
			t.Errorf("%s: counted %d, want %d at least", name, got, want)
		}
	}
}

// TestOutcomes checks the status that the caller of an unsafe route gets for each kind of failure of the only upstream.
// The upstream gets the request once, and the gate responds soon after the route's timeout at the latest.
func TestOutcomes(t *testing.T) {
	reset := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	status := func(code int, headers ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			for i := 0; i < len(headers); i += 2 {
				w.Header().Set(headers[i], headers[i+1])
			}
			w.WriteHeader(code)
			_, _ = io.WriteString(w, "body") // Fails only if the gate has closed the connection.
		}
	}
	tests := []struct {
		name   string
		handle http.HandlerFunc
		want   int
	}{
		{"reset", reset, 502},
		{"not executed", status(503, "X-Not-Executed", "1"), 503},
		{"503 without X-Not-Executed", status(503), 502},
		{"429 without X-Not-Executed", status(429), 502},
		{"timeout at the upstream", status(504, "X-Response-Seal", "s"), 504},
		{"failure at the upstream", status(500, "X-Response-Seal", "s"), 500},
		{"success without X-Response-Seal", status(200), 502},
		{"response to another request", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", "other")
			w.Header().Set("X-Response-Seal", "s")
			w.WriteHeader(200)
		}, 504},
		{"half a response", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Seal", "s")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		}, 502},
		{"no response", func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 504},
		{"invalid response", func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "\x00\x01 nonsense\r\n\r\n")
				_ = conn.Close()
			}
		}, 502},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 700))
			app := newReplica(t, "i-1", "app", "")
			var requests atomic.Int64
			app.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				test.handle(w, r)
			})
			g := startGate(t, store, "", app)
			g.waitReady(t)
			start := time.Now()
			resp, _ := g.call(t, "POST", "/once/x", fmt.Sprintf("o%d", i), "X-Deadline-Remaining-Ms", "5000")
			if resp == nil || resp.StatusCode != test.want {
				t.Errorf("got %v, want %d", resp, test.want)
			}
			if took := time.Since(start); took > 1200*time.Millisecond {
				t.Errorf("took %v, want 1.2s at most, 0.5s more than the route's timeout", took)
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("the upstream got %d requests, want 1", n)
			}
			if resp != nil && resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("got 503 without Retry-After")
			}
		})
	}
}

// TestRepeats has one of two upstreams fail every request: a request of a safe route is retried at the other
// upstream, and one of an unsafe route too, because the failing upstream states that it didn't run.
func TestRepeats(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	failing, good := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
	var failures atomic.Int64
	failing.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		failures.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "s")
		w.WriteHeader(http.StatusInternalServerError)
	})
	g := startGate(t, store, "", failing, good)
	g.waitReady(t)
	for i := range 40 {
		for _, path := range []string{"/plain/x", "/once/x"} {
			id := fmt.Sprintf("%s%d", path[1:5], i)
			if resp, body := g.call(t, "GET", path, id); resp == nil || resp.StatusCode != 200 || !strings.HasSuffix(body, "i-2") {
				t.Fatalf("%s: got %v %q", id, resp, body)
			}
			if n := good.Runs(id); n != 1 {
				t.Errorf("%s ran %d times at the other upstream, want once", id, n)
			}
		}
	}
	if failures.Load() == 0 {
		t.Error("the failing upstream got no request of the safe route")
	}
}

// newEngines returns one prefill engine and two decode engines.
func newEngines(t *testing.T) (*simop.Replica, *simop.Replica, *simop.Replica) {
	t.Helper()
	return newReplica(t, "p-1", "lm", "prefill"), newReplica(t, "d-1", "lm", "decode"), newReplica(t, "d-2", "lm", "decode")
}

// promptHeaders are the headers of a request with a long prompt and 8 s remaining.
var promptHeaders = []string{"X-Model", "m", "X-Token-Counts", "12000,40", "X-Prompt-Prefix", "aa:500,bb:4800,cc:6700", "X-Deadline-Remaining-Ms", "8000"}

// TestModel checks that a request is prefilled at one engine and decoded at another, and that no engine is given more
// time than the caller has.
func TestModel(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d, e := newEngines(t)
	g := startGate(t, store, "", p, d, e)
	g.waitReady(t)
	resp, body := g.call(t, "POST", "/model/x", "m1", promptHeaders...)
	if resp == nil || resp.StatusCode != 200 || strings.Count(body, "data: d-") != 3 {
		t.Fatalf("got %v %q", resp, body)
	}
	if p.Prefills("m1") != 1 || p.Runs("m1") != 0 || d.Runs("m1")+e.Runs("m1") != 1 {
		t.Errorf("got %d prefills and %d+%d+%d runs, want 1 prefill and 1 run at a decode engine", p.Prefills("m1"), p.Runs("m1"), d.Runs("m1"), e.Runs("m1"))
	}
	for _, remaining := range append(d.RemainingTimes(), e.RemainingTimes()...) {
		if remaining > 8*time.Second {
			t.Errorf("got a remaining time of %v at an engine, want 8s at most", remaining)
		}
	}
}

// TestRetryPriority checks the priority of requests whose remaining time is shorter than that of others of their route. A
// first request with slightly less time keeps the route's priority. A request with much less time must be a
// caller's retry and gets a lower one, unless it resumes a stream.
func TestRetryPriority(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d, e := newEngines(t)
	var mu sync.Mutex
	priorities := make(map[string][]string)
	for _, r := range []*simop.Replica{p, d, e} {
		r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			id := req.Header.Get("X-Attempt-Id")
			priorities[id] = append(priorities[id], req.Header.Get("X-Request-Priority"))
			mu.Unlock()
			r.ServeDefault(w, req)
		})
	}
	g := startGate(t, store, "", p, d, e)
	g.waitReady(t)
	for _, test := range []struct{ id, remainingMs, lastEventID, want string }{
		{"first", "8000", "", "0"}, {"less", "6900", "", "0"}, {"back", "6500", "", "3"}, {"late", "2000", "", "3"}, {"resumed", "6500", "1", "0"},
	} {
		headers := append(slices.Clone(promptHeaders), "X-Deadline-Remaining-Ms", test.remainingMs)
		if test.lastEventID != "" {
			headers = append(headers, "Last-Event-Id", test.lastEventID)
		}
		if resp, body := g.call(t, "POST", "/model/x", test.id, headers...); resp == nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("%s: got %v %q", test.id, resp, body)
		}
		mu.Lock()
		got := priorities[test.id]
		mu.Unlock()
		if len(got) == 0 {
			t.Errorf("%s: no engine got the request", test.id)
		}
		for _, priority := range got {
			if priority != test.want {
				t.Errorf("%s with %s ms remaining: got priority %q, want %q", test.id, test.remainingMs, priority, test.want)
			}
		}
	}
}

// TestResume aborts a stream in the middle of an event. On a resumable route the stream continues at another engine
// without missing or repeated events; on another route the caller's response is aborted too.
func TestResume(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d, e := newEngines(t)
	for _, r := range []*simop.Replica{d, e} {
		r.SetStream(6, 10*time.Millisecond, 0)
	}
	var aborts atomic.Int64
	abortFirst := func(r *simop.Replica) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			if req.Header.Get("X-Stage") == "" && req.Header.Get("Last-Event-Id") == "" {
				aborts.Add(1)
				r.SetStream(6, 10*time.Millisecond, 3)
				defer r.SetStream(6, 10*time.Millisecond, 0)
			}
			r.ServeDefault(w, req)
		}
	}
	d.SetHandler(abortFirst(d))
	e.SetHandler(abortFirst(e))
	g := startGate(t, store, "", p, d, e)
	g.waitReady(t)
	resp, body := g.call(t, "POST", "/model/x", "r1", promptHeaders...)
	if resp == nil {
		t.Fatalf("the stream was aborted after %q", body)
	}
	var ids []string
	for line := range strings.SplitSeq(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	// The replica aborts a stream after "da", the beginning of an event's data line.
	if got := strings.Join(ids, ","); got != "1,2,3,4,5,6" || strings.Contains(body, "da\n") {
		t.Errorf("got events %s of %q", got, body)
	}
	if resp, body := g.call(t, "POST", "/fixed/x", "r2", promptHeaders...); resp != nil {
		t.Errorf("got an aborted stream as a complete response: %q", body)
	}
	if n := d.Runs("r2") + e.Runs("r2"); n != 1 {
		t.Errorf("a stream that isn't resumable ran %d times, want once", n)
	}
	if aborts.Load() != 2 {
		t.Errorf("%d streams were aborted, want 2", aborts.Load())
	}
}

// TestLeave closes the caller's connection in the middle of a stream: the connection to the engine must be closed
// within half a second.
func TestLeave(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	d := newReplica(t, "d-1", "lm", "decode")
	d.SetStream(1000, 20*time.Millisecond, 0)
	g := startGate(t, store, "", d)
	g.waitReady(t)
	conn := g.dial(t, "POST /model/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: l1\r\nX-Token-Counts: 100,40\r\n\r\n")
	eventually(t, 2*time.Second, "running", func() bool { return d.Runs("l1") == 1 })
	time.Sleep(100 * time.Millisecond)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, 500*time.Millisecond, "dropped", func() bool { return d.Disconnects() == 1 })
}

// TestMuted stalls the watches and then compacts the store's history while a configuration is written: the
// configuration must be in force within two seconds.
func TestMuted(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	g := startGate(t, store, "", app)
	g.waitReady(t)
	store.SetMode(simop.WatchesStalled)
	store.Put("op/config", []byte(strings.ReplaceAll(string(config(5, 3000)), "/plain/", "/newer/")))
	time.AfterFunc(time.Second, func() { store.SetMode(simop.HistoryLost) })
	eventually(t, 2*time.Second, "in force", func() bool {
		resp, _ := g.call(t, "GET", "/newer/x", "n")
		return resp != nil && resp.StatusCode == 200
	})
}

// TestCatchUp starts a gate whose store rejects all calls. It gets the configuration, the upstreams and their changes
// from another gate, and doesn't return to an older configuration.
func TestCatchUp(t *testing.T) {
	store, failing := newStore(t), newStore(t)
	store.Put("op/config", config(1, 3000))
	failing.SetMode(simop.Refusing)
	app, other := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
	a := startGate(t, store, "", app)
	a.waitReady(t)
	c := startPeer(t, failing, a)
	c.waitReady(t)
	if resp, _ := c.call(t, "GET", "/plain/x", "c1"); resp == nil || resp.StatusCode != 200 {
		t.Fatalf("got %v", resp)
	}
	store.Put("op/config", []byte(strings.ReplaceAll(string(config(5, 3000)), "/plain/", "/newer/")))
	store.Put("servers/i-1", app.Registration("draining"))
	store.Put("servers/i-2", other.Registration("ready"))
	eventually(t, 2*time.Second, "caught up", func() bool {
		resp, body := c.call(t, "GET", "/newer/x", "c2")
		return resp != nil && resp.StatusCode == 200 && strings.HasSuffix(body, "i-2")
	})
	if resp, _ := c.call(t, "GET", "/plain/x", "c3"); resp == nil || resp.StatusCode != 404 {
		t.Errorf("a removed route: got %v, want 404", resp)
	}
}

// TestStop stops a gate during a stream: its readiness check fails at once, and the stream is completed.
func TestStop(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	d := newReplica(t, "d-1", "lm", "decode")
	d.SetStream(20, 50*time.Millisecond, 0)
	g := startGate(t, store, "", d)
	g.waitReady(t)
	result := make(chan string, 1)
	go func() {
		resp, body := g.call(t, "POST", "/model/x", "s1", promptHeaders...)
		if resp == nil {
			body = "broken: " + body
		}
		result <- body
	}()
	eventually(t, 2*time.Second, "running", func() bool { return d.Runs("s1") == 1 })
	g.stop()
	eventually(t, time.Second, "not ready", func() bool {
		resp, err := http.Get("http://" + g.set.Ready.String() + "/api/ready")
		if err != nil {
			return true
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	// Requests are still served, because the load balancer needs some time to notice the failed readiness check.
	if resp, _ := g.call(t, "POST", "/model/x", "s2", promptHeaders...); resp == nil || resp.StatusCode != 200 {
		t.Errorf("a request after the start of the shutdown: got %v, want 200", resp)
	}
	if body := <-result; strings.Count(body, "data:") != 20 {
		t.Errorf("got %q, want 20 events", body)
	}
	select {
	case err := <-g.done:
		g.done <- err
	case <-time.After(g.set.GracePeriod.Duration()):
		t.Error("the gate is still running after its grace period")
	}
}

// TestExhausted sets an empty retry budget while the prefill engines reset connections: each request must fail
// quickly, after few attempts.
func TestExhausted(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	set := newSettings(t, store, "")
	set.RetryRatio, set.RetrySlack = 0, 0
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	var replicas []*simop.Replica
	for i := range 4 {
		p := newReplica(t, fmt.Sprintf("p-%d", i), "lm", "prefill")
		p.SetHandler(reset)
		replicas = append(replicas, p, newReplica(t, fmt.Sprintf("d-%d", i), "lm", "decode"))
	}
	log := &logRecorder{}
	g := startWithLog(t, store, set, log, replicas...)
	g.waitReady(t)
	for i := range 3 {
		start := time.Now()
		resp, _ := g.call(t, "POST", "/model/x", fmt.Sprintf("e%d", i), promptHeaders...)
		if resp == nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got %v, want 503, because no engine ran the request", resp)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("took %v, want 1s at most", took)
		}
	}
	if n := log.countLines("msg=placed"); n > 30 {
		t.Errorf("placed %d times for 3 requests, want 30 at most", n)
	}
}

// TestConnectionRefused has one of three prefill engines refuse connections: requests are served by other engines without using
// the retry budget, which is empty, because nothing was sent to the closed engine.
func TestConnectionRefused(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	set := newSettings(t, store, "")
	set.RetryRatio, set.RetrySlack = 0, 0
	p, q, d := newReplica(t, "p-1", "lm", "prefill"), newReplica(t, "p-2", "lm", "prefill"), newReplica(t, "d-1", "lm", "decode")
	closed := simop.NewReplica("p-3", "lm", "prefill")
	g := startWithSettings(t, store, set, p, q, d, closed)
	g.waitReady(t)
	closed.Close()
	for i := range 20 {
		if resp, _ := g.call(t, "POST", "/model/x", fmt.Sprintf("k%d", i), promptHeaders...); resp == nil || resp.StatusCode != 200 {
			t.Fatalf("request %d: got %v", i, resp)
		}
	}
}

// TestStandstill has one of two prefill engines accept requests without responding: requests must be moved to the
// other engine before their callers give up, and the stalled engine gets no further prompts for a while.
func TestStandstill(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, q, d := newReplica(t, "p-1", "lm", "prefill"), newReplica(t, "p-2", "lm", "prefill"), newReplica(t, "d-1", "lm", "decode")
	var requests atomic.Int64
	q.SetHandler(func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		<-r.Context().Done()
	})
	// The other engine takes the expected time for a prompt. If it were faster, it would soon get all prompts.
	const promptTime = 250 * time.Millisecond
	p.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(promptTime)
		p.ServeDefault(w, r)
	})
	g := startGate(t, store, "", p, q, d)
	g.waitReady(t)
	for i := 0; i < 12 || (requests.Load() == 0 && i < 40); i++ {
		start := time.Now()
		// Prefixes that are in no engine's KV cache, so that no engine is preferred.
		headers := append([]string(nil), promptHeaders...)
		headers[5] = fmt.Sprintf("a%d:500,b%d:4800,c%d:6700", i, i, i)
		resp, _ := g.call(t, "POST", "/model/x", fmt.Sprintf("z%d", i), headers...)
		if resp == nil || resp.StatusCode != 200 {
			t.Fatalf("request %d: got %v", i, resp)
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("request %d took %v, want 2s at most; its caller gives up after 3.2s", i, took)
		}
	}
	if n := requests.Load(); n < 1 || n > 3 {
		t.Errorf("the stalled engine got %d requests, want 1 to 3", n)
	}
}

// TestDecodeRejected has decode engines reject requests whose prompts were processed at another engine. The request is
// retried at the second decode engine with the same KV cache; if that one rejects it too, the cache is released
// at once.
func TestDecodeRejected(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d, e := newEngines(t)
	var rejections, maxRejections atomic.Int64
	reject := func(r *simop.Replica) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			source := req.Header.Get("X-Kv-Source")
			if rejections.Add(1) <= maxRejections.Load() {
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, handle, _ := strings.Cut(source, "/")
			if source != "" && !p.RemoveCache(handle) {
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			r.ServeDefault(w, req)
		}
	}
	d.SetHandler(reject(d))
	e.SetHandler(reject(e))
	g := startGate(t, store, "", p, d, e)
	g.waitReady(t)
	for i, test := range []struct {
		rejections int64
		status     int
		prefills   int
	}{{0, 200, 1}, {1, 200, 1}, {100, 503, 1}} {
		rejections.Store(0)
		maxRejections.Store(test.rejections)
		id := fmt.Sprintf("u%d", i)
		resp, _ := g.call(t, "POST", "/model/x", id, promptHeaders...)
		if resp == nil || resp.StatusCode != test.status {
			t.Errorf("%d rejections: got %v, want %d", test.rejections, resp, test.status)
		}
		if n := p.Prefills(id); n != test.prefills {
			t.Errorf("%d rejections: the prompt was processed %d times, want %d", test.rejections, n, test.prefills)
		}
		eventually(t, time.Second, "released", func() bool { return p.HeldCaches() == 0 })
		time.Sleep(200 * time.Millisecond) // Longer than the pause in which an engine gets no requests after a rejection.
	}
}

// TestSilentStream has one of two decode engines stop sending events, before the first event or in the middle of a
// stream. A resumable stream must continue at the other engine before its caller gives up.
func TestSilentStream(t *testing.T) {
	for name, sentEvents := range map[string]int{"before the first event": 0, "after three events": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			p, d, e := newEngines(t)
			e.SetStream(6, 10*time.Millisecond, 0)
			var requests atomic.Int64
			d.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.Header().Set("X-Response-Seal", d.ID+"."+r.Header.Get("X-Attempt-Id"))
				w.Header().Set("Content-Type", "text/event-stream")
				for i := range sentEvents {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, d.ID) // Fails only if the gate has closed the connection.
				}
				if sentEvents > 0 {
					_ = http.NewResponseController(w).Flush() // Fails as above.
				}
				<-r.Context().Done()
			})
			g := startGate(t, store, "", p, d, e)
			g.waitReady(t)
			for i := range 8 {
				start := time.Now()
				resp, body := g.call(t, "POST", "/model/x", fmt.Sprintf("q%d", i), promptHeaders...)
				if resp == nil || strings.Count(body, "id: ") != 6 || !strings.HasSuffix(strings.TrimSpace(body), "d-2") {
					t.Errorf("request %d: got %v %q", i, resp, body)
				}
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("request %d took %v, want 3s at most; its caller gives up after 3.2s", i, took)
				}
			}
			if n := requests.Load(); n < 1 || n > 3 {
				t.Errorf("the silent engine got %d requests, want 1 to 3", n)
			}
		})
	}
}
