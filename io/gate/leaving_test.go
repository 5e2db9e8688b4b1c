package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

const (
	wholeStream = "id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n"
	oneEvent    = len("id: 1\ndata: x\n\n")
	// listLag is the time until a gate has read a change of the list.
	listLag = 450 * time.Millisecond
)

// departures are the ways in which a gate learns that an upstream leaves.
var departures = map[string]func(store *simop.Store, r *simop.Replica){
	"draining": func(store *simop.Store, r *simop.Replica) {
		store.Put("servers/"+r.ID, r.Registration("draining"))
		time.Sleep(listLag)
	},
	"removed": func(store *simop.Store, r *simop.Replica) {
		store.Remove("servers/" + r.ID)
		time.Sleep(listLag)
	},
	"draining, then removed": func(store *simop.Store, r *simop.Replica) {
		store.Put("servers/"+r.ID, r.Registration("draining"))
		time.Sleep(listLag / 2) // A stream that pauses for a second goes on elsewhere.
		store.Remove("servers/" + r.ID)
		time.Sleep(listLag)
	},
	"answers": func(*simop.Store, *simop.Replica) {}, // The head says so, see leavingUpstream.
}

// leavingUpstream is the upstream that gets the first request: it sends a piece of an answer without a length, leaves, sends the other
// pieces and ends the connection.
type leavingUpstream struct {
	pieces []string
	pause  time.Duration // After each of the other pieces.
	leave  func(store *simop.Store, r *simop.Replica)
	end    func(r *simop.Replica, conn io.Closer)
	says   bool   // The head of the answer says that the upstream leaves.
	rest   string // What the other upstream answers to the second attempt.
}

// start runs a gate with two upstreams that are suited to the path, of which the one that gets the first request is u.
func (u *leavingUpstream) start(t *testing.T, path string) *testGate {
	t.Helper()
	store := newStore(t)
	store.Put("op/config", checkedConfig())
	service, stage := "lm", "decode"
	if strings.HasPrefix(path, "/once") || strings.HasPrefix(path, "/plain") {
		service, stage = "app", ""
	}
	var attempts atomic.Int64
	var replicas []*simop.Replica
	for i := range 2 {
		r := newReplica(t, fmt.Sprintf("r-%d", i), service, stage)
		r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			if attempts.Add(1) > 1 {
				answerRaw(frameBody("connection", u.rest))(w, req)
				return
			}
			u.answer(store, r, w, req)
		})
		replicas = append(replicas, r)
	}
	g := startGate(t, store, "", replicas...)
	g.waitReady(t)
	return g
}

func (u *leavingUpstream) answer(store *simop.Store, r *simop.Replica, w http.ResponseWriter, req *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	text := strings.ReplaceAll(frameBody("connection", u.pieces[0]), "ID", req.Header.Get("X-Attempt-Id"))
	if u.says {
		text = strings.Replace(text, "\r\n\r\n", "\r\nServer-Leaving: 1\r\n\r\n", 1)
	}
	_, _ = io.WriteString(conn, text) // Fails only if the gate has closed it.
	u.leave(store, r)
	for _, piece := range u.pieces[1:] {
		_, _ = io.WriteString(conn, piece)
		time.Sleep(u.pause)
	}
	time.Sleep(30 * time.Millisecond)
	u.end(r, conn)
}

// TestKilledWhileLeaving guards against an answer without a length that reaches the caller as complete because its upstream was known
// to leave, or its registration had lapsed, though it was killed in the middle.
func TestKilledWhileLeaving(t *testing.T) {
	for way, leave := range departures {
		for _, test := range []struct {
			path   string
			pieces []string
			rest   string
			want   string // Empty if the answer must not be complete.
		}{
			{"/fixed/x", []string{wholeStream[:oneEvent], wholeStream[oneEvent : 2*oneEvent]}, "", ""},
			{"/model/x", []string{wholeStream[:oneEvent], wholeStream[oneEvent : 2*oneEvent]}, wholeStream[2*oneEvent:], wholeStream},
			{"/once/x", []string{"bo", "d"}, "", ""},
			{"/plain/x", []string{"bo", "d"}, "body", "body"},
		} {
			t.Run(way+test.path, func(t *testing.T) {
				t.Parallel()
				u := &leavingUpstream{pieces: test.pieces, leave: leave, rest: test.rest, says: way == "answers", end: func(r *simop.Replica, _ io.Closer) { r.Crash() }}
				resp, body := u.start(t, test.path).call(t, "POST", test.path, "k1", "X-Token-Counts", "100,40")
				isComplete := resp != nil && resp.StatusCode == http.StatusOK
				if isComplete != (test.want != "") || isComplete && body != test.want {
					t.Errorf("got complete %v with %q, want %q", isComplete, body, test.want)
				}
			})
		}
	}
}

// TestKilledAfterResuming guards against the rest of a stream, of another upstream that leaves and is killed, that ends it as
// complete.
func TestKilledAfterResuming(t *testing.T) {
	store := newStore(t)
	store.Put("op/config", checkedConfig())
	var attempts atomic.Int64
	var replicas []*simop.Replica
	for i := range 3 {
		r := newReplica(t, fmt.Sprintf("r-%d", i), "lm", "decode")
		r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			n := int(attempts.Add(1))
			u := &leavingUpstream{leave: departures["draining"], end: func(r *simop.Replica, _ io.Closer) { r.Crash() }}
			u.pieces = []string{wholeStream[min(n-1, 2)*oneEvent : min(n, 3)*oneEvent]}
			u.answer(store, r, w, req)
		})
		replicas = append(replicas, r)
	}
	g := startGate(t, store, "", replicas...)
	g.waitReady(t)
	resp, body := g.call(t, "POST", "/model/x", "k1", "X-Token-Counts", "100,40")
	if n := attempts.Load(); n != 2 || resp != nil && resp.StatusCode == http.StatusOK {
		t.Errorf("got %v with %q after %d attempts, want a stream that is broken off after two", resp, body, n)
	}
}

// TestExitAfterLastAnswer guards against a sound answer without a length that is broken off because its upstream leaves and exits
// soon after it, once it has served for the drain time.
func TestExitAfterLastAnswer(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for way, leave := range departures {
		for path, piece := range map[string]string{"/fixed/x": event, "/model/x": event, "/once/x": "body", "/plain/x": "body"} {
			t.Run(way+path, func(t *testing.T) {
				t.Parallel()
				pieces := []string{piece, piece, piece, piece, piece}
				u := &leavingUpstream{pieces: pieces, pause: 400 * time.Millisecond, leave: leave, says: way == "answers", rest: "rest", end: func(r *simop.Replica, conn io.Closer) {
					_ = conn.Close()
					time.Sleep(100 * time.Millisecond)
					r.Crash()
				}}
				resp, body := u.start(t, path).call(t, "POST", path, "k1", "X-Token-Counts", "100,40")
				if want := strings.Join(pieces, ""); resp == nil || resp.StatusCode != http.StatusOK || body != want {
					t.Errorf("got %v with %q, want %q", resp, body, want)
				}
			})
		}
	}
}

// TestTableExits prints how many sound answers reach their callers whole if their upstream exits some time after the last one.
func TestTableExits(t *testing.T) {
	if os.Getenv("BENCH") == "" {
		t.Skip("BENCH is not set")
	}
	const tries = 3
	for _, streams := range []int{1, 20} {
		for _, delay := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond} {
			for _, path := range []string{"/fixed/x", "/model/x", "/once/x", "/plain/x"} {
				var whole atomic.Int64
				var wait sync.WaitGroup
				for way, leave := range departures {
					for range tries {
						wait.Go(func() {
							n := playExit(t, way, leave, path, streams, delay)
							whole.Add(int64(n))
							if n < streams {
								t.Logf("%s: %d of %d whole", way, n, streams)
							}
						})
						time.Sleep(20 * time.Millisecond) // Plays that end at the same time would delay each other.
					}
				}
				wait.Wait()
				t.Logf("%2d answers, exit after %5v, %s: %d of %d whole", streams, delay, path, whole.Load(), len(departures)*tries*streams)
			}
		}
	}
}

// playExit sends requests to an upstream that leaves and exits some time after it has ended all of the answers, and returns how many
// of them are whole.
func playExit(t *testing.T, way string, leave func(*simop.Store, *simop.Replica), path string, streams int, delay time.Duration) int {
	store := newStore(t)
	store.Put("op/config", checkedConfig())
	service, stage, body := "lm", "decode", wholeStream
	if strings.HasPrefix(path, "/once") || strings.HasPrefix(path, "/plain") {
		service, stage, body = "app", "", "body"
	}
	r := newReplica(t, "r-0", service, stage)
	var arrived, done sync.WaitGroup
	arrived.Add(streams)
	done.Add(streams)
	left, ended := make(chan bool), make(chan bool)
	r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
		u := &leavingUpstream{pieces: []string{body[:2], body[2:]}, says: way == "answers"}
		u.leave = func(*simop.Store, *simop.Replica) { arrived.Done(); <-left }
		u.end = func(_ *simop.Replica, conn io.Closer) { <-ended; _ = conn.Close(); done.Done() }
		u.answer(store, r, w, req)
	})
	g := startGate(t, store, "", r)
	g.waitReady(t)
	if service == "lm" { // Goes on with a stream that wasn't proved whole.
		other := newReplica(t, "r-1", service, stage)
		other.SetHandler(answerRaw(frameBody("connection", "")))
		time.AfterFunc(100*time.Millisecond, func() { store.Put("servers/r-1", other.Registration("ready")) })
	}
	var whole atomic.Int64
	var wait sync.WaitGroup
	for i := range streams {
		wait.Go(func() {
			if resp, got := g.call(t, "POST", path, fmt.Sprint("k", i), "X-Token-Counts", "100,40"); resp != nil && got == body {
				whole.Add(1)
			}
		})
	}
	arrived.Wait()
	leave(store, r)
	close(left)
	time.Sleep(100 * time.Millisecond)
	close(ended)
	done.Wait()
	for began := time.Now(); time.Since(began) < delay; { // Sleeping isn't exact enough.
	}
	r.Crash()
	wait.Wait()
	g.stop()
	return int(whole.Load())
}
