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

func TestRoutes(t *testing.T) {
	store := newStore(t)
	app := newReplica(t, "i-1", "app", "")
	s := start(t, store, "", app)
	eventually(t, 3*time.Second, "answering", func() bool {
		answer, _ := s.call(t, "GET", "/none/x", "early")
		return answer != nil
	})
	// It knows no configuration, so it can't know that a route is missing.
	if answer, _ := s.call(t, "GET", "/none/x", "early"); answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: got %d, want 503 with a time to come back", answer.StatusCode)
	}
	store.Put("op/config", config(1, 3000))
	s.ready(t)
	answer, body := s.call(t, "GET", "/plain/x", "one")
	if answer == nil || answer.StatusCode != 200 || answer.Header.Get("X-Response-Seal") != "i-1.one" || body != "GET /plain/x by i-1" {
		t.Errorf("got %v %q", answer, body)
	}
	if answer, _ := s.call(t, "GET", "/none/x", "two"); answer == nil || answer.StatusCode != http.StatusNotFound {
		t.Errorf("no route: got %v, want 404", answer)
	}
	// Entries of other writers and broken ones change nothing.
	store.Put("servers/i-1x", []byte("\xff"))
	store.Put("servers/i-2", []byte(`{"service":"app","address":"127.0.0.1:1","state":"asleep"}`))
	store.Put("op/config", []byte(`{"version":9,"routes":[{"kind":"odd"}]}`))
	time.Sleep(500 * time.Millisecond)
	if answer, _ := s.call(t, "GET", "/plain/x", "three"); answer == nil || answer.StatusCode != 200 {
		t.Errorf("after broken entries: got %v", answer)
	}
	metrics, err := http.Get("http://" + s.set.Debug.String() + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer metrics.Body.Close()
	var told struct {
		Meter struct {
			Counts map[string]int64 `json:"counts"`
		} `json:"meter"`
	}
	if err := json.NewDecoder(metrics.Body).Decode(&told); err != nil {
		t.Fatal(err)
	}
	for what, want := range map[string]int64{"member not understood": 2, "configuration not understood": 1} {
		if got := told.Meter.Counts[what]; got < want {
			t.Errorf("%s: counted %d, want %d at least", what, got, want)
		}
	}
}

// TestOutcomes has the only upstream of a call that may not be repeated behave badly in turn.
func TestOutcomes(t *testing.T) {
	reset := func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	status := func(code int, headers ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			for i := 0; i < len(headers); i += 2 {
				w.Header().Set(headers[i], headers[i+1])
			}
			w.WriteHeader(code)
			_, _ = io.WriteString(w, "body") // A caller that left sees nothing.
		}
	}
	tests := []struct {
		name   string
		handle http.HandlerFunc
		want   int
	}{
		{"reset", reset, 502},
		{"not executed", status(503, "X-Not-Executed", "1"), 503},
		{"full without saying that it did not run", status(503), 502},
		{"too many without saying that it did not run", status(429), 502},
		{"its own timeout", status(504, "X-Response-Seal", "s"), 504},
		{"its own failure", status(500, "X-Response-Seal", "s"), 500},
		{"success without proof", status(200), 502},
		{"an answer to another request", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", "other")
			w.Header().Set("X-Response-Seal", "s")
			w.WriteHeader(200)
		}, 504},
		{"half an answer", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Seal", "s")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		}, 502},
		{"no answer", func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 504},
		{"bytes that are no answer", func(w http.ResponseWriter, r *http.Request) {
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
			var asked atomic.Int64
			app.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				asked.Add(1)
				test.handle(w, r)
			})
			s := start(t, store, "", app)
			s.ready(t)
			began := time.Now()
			answer, _ := s.call(t, "POST", "/once/x", fmt.Sprintf("o%d", i), "X-Deadline-Remaining-Ms", "5000")
			if answer == nil || answer.StatusCode != test.want {
				t.Errorf("got %v, want %d", answer, test.want)
			}
			if took := time.Since(began); took > 1200*time.Millisecond {
				t.Errorf("answered after %v, want within 0.5s of the route's timeout of 0.7s", took)
			}
			if n := asked.Load(); n != 1 {
				t.Errorf("asked %d times, want once", n)
			}
			if answer != nil && answer.StatusCode == 503 && answer.Header.Get("Retry-After") == "" {
				t.Error("a refusal without a time to come back")
			}
		})
	}
}

// TestRepeats has one of two upstreams fail: a safe call goes to the other, one that may run once does not
// if it may have run, and does if it has not.
func TestRepeats(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	bad, good := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
	var runs atomic.Int64
	bad.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		runs.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Seal", "s")
		w.WriteHeader(http.StatusInternalServerError)
	})
	s := start(t, store, "", bad, good)
	s.ready(t)
	for i := range 40 {
		for _, path := range []string{"/plain/x", "/once/x"} {
			id := fmt.Sprintf("%s%d", path[1:5], i)
			if answer, body := s.call(t, "GET", path, id); answer == nil || answer.StatusCode != 200 || !strings.HasSuffix(body, "i-2") {
				t.Fatalf("%s: got %v %q", id, answer, body)
			}
			if n := good.Runs(id); n != 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	}
	if runs.Load() == 0 {
		t.Error("the failing upstream was never asked")
	}
}

func engines(t *testing.T) (*simop.Replica, *simop.Replica, *simop.Replica) {
	t.Helper()
	return newReplica(t, "p-1", "lm", "prefill"), newReplica(t, "d-1", "lm", "decode"), newReplica(t, "d-2", "lm", "decode")
}

var prompt = []string{"X-Model", "m", "X-Token-Counts", "12000,40", "X-Prompt-Prefix", "aa:500,bb:4800,cc:6700", "X-Deadline-Remaining-Ms", "8000"}

// TestModel processes a prompt at one engine and streams from another.
func TestModel(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d, e := engines(t)
	s := start(t, store, "", p, d, e)
	s.ready(t)
	answer, body := s.call(t, "POST", "/model/x", "m1", prompt...)
	if answer == nil || answer.StatusCode != 200 || strings.Count(body, "data: d-") != 3 {
		t.Fatalf("got %v %q", answer, body)
	}
	if p.Prefills("m1") != 1 || p.Runs("m1") != 0 || d.Runs("m1")+e.Runs("m1") != 1 {
		t.Errorf("processed %d times, run %d+%d+%d times", p.Prefills("m1"), p.Runs("m1"), d.Runs("m1"), e.Runs("m1"))
	}
	for _, left := range append(d.RemainingTimes(), e.RemainingTimes()...) {
		if left > 8*time.Second {
			t.Errorf("an engine was told %v are left, the caller had 8s", left)
		}
	}
}

// TestComeBack has callers state less time than others of their route: whoever came first with a little less
// keeps the route's priority, whoever has come back goes behind it.
func TestComeBack(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d, e := engines(t)
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
	s := start(t, store, "", p, d, e)
	s.ready(t)
	for _, c := range []struct{ id, left, last, want string }{
		{"first", "8000", "", "0"}, {"less", "6900", "", "0"}, {"back", "6500", "", "3"}, {"late", "2000", "", "3"}, {"resumed", "6500", "1", "0"},
	} {
		headers := append(slices.Clone(prompt), "X-Deadline-Remaining-Ms", c.left)
		if c.last != "" {
			headers = append(headers, "Last-Event-Id", c.last)
		}
		if answer, body := s.call(t, "POST", "/model/x", c.id, headers...); answer == nil || answer.StatusCode != http.StatusOK {
			t.Fatalf("%s: got %v %q", c.id, answer, body)
		}
		mu.Lock()
		got := priorities[c.id]
		mu.Unlock()
		if len(got) == 0 {
			t.Errorf("%s: no engine got it", c.id)
		}
		for _, g := range got {
			if g != c.want {
				t.Errorf("%s with %s ms left: got priority %q, want %q", c.id, c.left, g, c.want)
			}
		}
	}
}

// TestResume breaks a stream off in the middle of an event: one that may be resumed goes on at another
// engine without a gap or a repeat, another one ends without its end.
func TestResume(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d, e := engines(t)
	for _, r := range []*simop.Replica{d, e} {
		r.SetStream(6, 10*time.Millisecond, 0)
	}
	var cuts atomic.Int64
	cut := func(r *simop.Replica) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			if req.Header.Get("X-Stage") == "" && req.Header.Get("Last-Event-Id") == "" {
				cuts.Add(1)
				r.SetStream(6, 10*time.Millisecond, 3)
				defer r.SetStream(6, 10*time.Millisecond, 0)
			}
			r.ServeDefault(w, req)
		}
	}
	d.SetHandler(cut(d))
	e.SetHandler(cut(e))
	s := start(t, store, "", p, d, e)
	s.ready(t)
	answer, body := s.call(t, "POST", "/model/x", "r1", prompt...)
	if answer == nil {
		t.Fatalf("broken off after %q", body)
	}
	var ids []string
	for line := range strings.SplitSeq(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
	}
	if got := strings.Join(ids, ","); got != "1,2,3,4,5,6" || strings.Contains(body, "da\n") {
		t.Errorf("got events %s of %q", got, body)
	}
	if answer, body := s.call(t, "POST", "/fixed/x", "r2", prompt...); answer != nil {
		t.Errorf("a stream that may run once was passed on as whole: %q", body)
	}
	if n := d.Runs("r2") + e.Runs("r2"); n != 1 {
		t.Errorf("a stream that may run once ran %d times", n)
	}
	if cuts.Load() != 2 {
		t.Errorf("%d streams were cut, want 2", cuts.Load())
	}
}

// TestLeave has a caller leave in the middle of a stream: the engine must hear of it within half a second.
func TestLeave(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	d := newReplica(t, "d-1", "lm", "decode")
	d.SetStream(1000, 20*time.Millisecond, 0)
	s := start(t, store, "", d)
	s.ready(t)
	conn := s.dial(t, "POST /model/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: l1\r\nX-Token-Counts: 100,40\r\n\r\n")
	eventually(t, 2*time.Second, "running", func() bool { return d.Runs("l1") == 1 })
	time.Sleep(100 * time.Millisecond)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, 500*time.Millisecond, "dropped", func() bool { return d.Disconnects() == 1 })
}

// TestMuted lets watches fall silent and drops the history while a configuration comes: it must be in force
// within two seconds.
func TestMuted(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	s := start(t, store, "", app)
	s.ready(t)
	store.SetMode(simop.WatchesStalled)
	store.Put("op/config", []byte(strings.ReplaceAll(string(config(5, 3000)), "/plain/", "/newer/")))
	time.AfterFunc(time.Second, func() { store.SetMode(simop.HistoryLost) })
	eventually(t, 2*time.Second, "in force", func() bool {
		answer, _ := s.call(t, "GET", "/newer/x", "n")
		return answer != nil && answer.StatusCode == 200
	})
}

// TestCatchUp starts a gate whose store refuses it: it gets configuration and upstreams from another one,
// and newer ones as they come. No configuration goes back.
func TestCatchUp(t *testing.T) {
	store, refusing := newStore(t), newStore(t)
	store.Put("op/config", config(1, 3000))
	refusing.SetMode(simop.Refusing)
	app, other := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
	a := start(t, store, "", app)
	a.ready(t)
	c := startBeside(t, refusing, a)
	c.ready(t)
	if answer, _ := c.call(t, "GET", "/plain/x", "c1"); answer == nil || answer.StatusCode != 200 {
		t.Fatalf("got %v", answer)
	}
	store.Put("op/config", []byte(strings.ReplaceAll(string(config(5, 3000)), "/plain/", "/newer/")))
	store.Put("servers/i-1", app.Registration("draining"))
	store.Put("servers/i-2", other.Registration("ready"))
	eventually(t, 2*time.Second, "caught up", func() bool {
		answer, body := c.call(t, "GET", "/newer/x", "c2")
		return answer != nil && answer.StatusCode == 200 && strings.HasSuffix(body, "i-2")
	})
	if answer, _ := c.call(t, "GET", "/plain/x", "c3"); answer == nil || answer.StatusCode != 404 {
		t.Errorf("a dropped route: got %v, want 404", answer)
	}
}

// TestStop stops a gate while it streams: it is not ready at once, and the stream ends whole.
func TestStop(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	d := newReplica(t, "d-1", "lm", "decode")
	d.SetStream(20, 50*time.Millisecond, 0)
	s := start(t, store, "", d)
	s.ready(t)
	result := make(chan string, 1)
	go func() {
		answer, body := s.call(t, "POST", "/model/x", "s1", prompt...)
		if answer == nil {
			body = "broken: " + body
		}
		result <- body
	}()
	eventually(t, 2*time.Second, "running", func() bool { return d.Runs("s1") == 1 })
	s.stop()
	eventually(t, time.Second, "not ready", func() bool {
		answer, err := http.Get("http://" + s.set.Ready.String() + "/api/ready")
		if err != nil {
			return true
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusServiceUnavailable
	})
	// Until the balancer has noticed, new requests are still served.
	if answer, _ := s.call(t, "POST", "/model/x", "s2", prompt...); answer == nil || answer.StatusCode != 200 {
		t.Errorf("a request just after the stop began: got %v", answer)
	}
	if body := <-result; strings.Count(body, "data:") != 20 {
		t.Errorf("got %q, want 20 events", body)
	}
	select {
	case err := <-s.done:
		s.done <- err
	case <-time.After(s.set.GracePeriod.Duration()):
		t.Error("still running after its grace period")
	}
}

// TestExhausted leaves no budget for repeats while engines break requests off: each request must end at once,
// after few tries.
func TestExhausted(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	set := settings(t, store, "")
	set.RetryRatio, set.RetrySlack = 0, 0
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	var replicas []*simop.Replica
	for i := range 4 {
		p := newReplica(t, fmt.Sprintf("p-%d", i), "lm", "prefill")
		p.SetHandler(reset)
		replicas = append(replicas, p, newReplica(t, fmt.Sprintf("d-%d", i), "lm", "decode"))
	}
	count := &counter{}
	s := startLogged(t, store, set, count, replicas...)
	s.ready(t)
	for i := range 3 {
		began := time.Now()
		answer, _ := s.call(t, "POST", "/model/x", fmt.Sprintf("e%d", i), prompt...)
		if answer == nil || answer.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got %v, want 503: no engine ran it", answer)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("answered after %v, want at once", took)
		}
	}
	if n := count.lines("msg=placed"); n > 30 {
		t.Errorf("placed %d times for 3 requests", n)
	}
}

// TestDark has half of the engines' addresses refuse connections: requests go on elsewhere without a budget,
// since nothing has arrived.
func TestDark(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	set := settings(t, store, "")
	set.RetryRatio, set.RetrySlack = 0, 0
	p, q, d := newReplica(t, "p-1", "lm", "prefill"), newReplica(t, "p-2", "lm", "prefill"), newReplica(t, "d-1", "lm", "decode")
	dark := simop.NewReplica("p-3", "lm", "prefill")
	s := startSet(t, store, set, p, q, d, dark)
	s.ready(t)
	dark.Close()
	for i := range 20 {
		if answer, _ := s.call(t, "POST", "/model/x", fmt.Sprintf("k%d", i), prompt...); answer == nil || answer.StatusCode != 200 {
			t.Fatalf("request %d: got %v", i, answer)
		}
	}
}

// TestStandstill has the only prompt engine but one take requests and say nothing: callers must not wait until
// they leave, and the engine gets no further prompts for a while.
func TestStandstill(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, q, d := newReplica(t, "p-1", "lm", "prefill"), newReplica(t, "p-2", "lm", "prefill"), newReplica(t, "d-1", "lm", "decode")
	var asked atomic.Int64
	q.SetHandler(func(_ http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		<-r.Context().Done()
	})
	s := start(t, store, "", p, q, d)
	s.ready(t)
	for i := range 12 {
		began := time.Now()
		// Parts that no engine keeps, so that none is preferred.
		own := append([]string(nil), prompt...)
		own[5] = fmt.Sprintf("a%d:500,b%d:4800,c%d:6700", i, i, i)
		answer, _ := s.call(t, "POST", "/model/x", fmt.Sprintf("z%d", i), own...)
		if answer == nil || answer.StatusCode != 200 {
			t.Fatalf("request %d: got %v", i, answer)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("request %d took %v, its caller would have left after 3.2s", i, took)
		}
	}
	if n := asked.Load(); n < 1 || n > 3 {
		t.Errorf("the engine that stands still was asked %d times", n)
	}
}

// TestUntaken has decode engines refuse requests whose prompts were processed elsewhere: a second one is asked
// to go on from the same KV cache, and if it refuses too the cache is freed at once.
func TestUntaken(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	p, d, e := engines(t)
	var refusals, most atomic.Int64
	gate := func(r *simop.Replica) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			source := req.Header.Get("X-Kv-Source")
			if refusals.Add(1) <= most.Load() {
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, handle, _ := strings.Cut(source, "/")
			if source != "" && !p.TakeCache(handle) {
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			r.ServeDefault(w, req)
		}
	}
	d.SetHandler(gate(d))
	e.SetHandler(gate(e))
	s := start(t, store, "", p, d, e)
	s.ready(t)
	for i, test := range []struct {
		refusals int64
		status   int
		reads    int
	}{{0, 200, 1}, {1, 200, 1}, {100, 503, 1}} {
		refusals.Store(0)
		most.Store(test.refusals)
		id := fmt.Sprintf("u%d", i)
		answer, _ := s.call(t, "POST", "/model/x", id, prompt...)
		if answer == nil || answer.StatusCode != test.status {
			t.Errorf("%d refusals: got %v, want %d", test.refusals, answer, test.status)
		}
		if n := p.Prefills(id); n != test.reads {
			t.Errorf("%d refusals: the prompt was processed %d times, want %d", test.refusals, n, test.reads)
		}
		eventually(t, time.Second, "free", func() bool { return p.HeldCaches() == 0 })
		time.Sleep(200 * time.Millisecond) // Above the rest of an engine that refused.
	}
}

// TestSilentStream has one of two decode engines fall silent, before the first event or in the midst of a
// stream: a stream that may be resumed goes on at the other engine before its caller leaves.
func TestSilentStream(t *testing.T) {
	for name, first := range map[string]int{"before the first event": 0, "after three events": 3} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			p, d, e := engines(t)
			e.SetStream(6, 10*time.Millisecond, 0)
			var asked atomic.Int64
			d.SetHandler(func(w http.ResponseWriter, r *http.Request) {
				asked.Add(1)
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.Header().Set("X-Response-Seal", d.ID+"."+r.Header.Get("X-Attempt-Id"))
				w.Header().Set("Content-Type", "text/event-stream")
				for i := range first {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, d.ID) // A caller that left sees nothing.
				}
				if first > 0 {
					_ = http.NewResponseController(w).Flush() // As above.
				}
				<-r.Context().Done()
			})
			s := start(t, store, "", p, d, e)
			s.ready(t)
			for i := range 8 {
				began := time.Now()
				answer, body := s.call(t, "POST", "/model/x", fmt.Sprintf("q%d", i), prompt...)
				if answer == nil || strings.Count(body, "id: ") != 6 || !strings.HasSuffix(strings.TrimSpace(body), "d-2") {
					t.Errorf("request %d: got %v %q", i, answer, body)
				}
				if took := time.Since(began); took > 3*time.Second {
					t.Errorf("request %d took %v, its caller would have left after 3.2s", i, took)
				}
			}
			if n := asked.Load(); n < 1 || n > 3 {
				t.Errorf("the engine that fell silent was asked %d times", n)
			}
		})
	}
}
