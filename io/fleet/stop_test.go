package fleet_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"pimentoseam/core/conf"
	"pimentoseam/core/frame"
	"pimentoseam/core/span"
	"pimentoseam/io/fleet"
	"pimentoseam/io/link"
)

const (
	stopGrace   = 4 * time.Second
	stopWork    = 10 * time.Second        // Of the agent on each request; longer than the grace period.
	lateBodyEnd = 2200 * time.Millisecond // After the signal; later than half of the grace period.
	bodyPieces  = 8
	bodyStep    = 50 * time.Millisecond // Between two pieces of a body.
)

// slowAgent simulates an agent that answers each request after some time, those with a body that holds "brief" at once.
type slowAgent struct {
	role string // Prompts are answered at once.

	mu   sync.Mutex
	runs map[string]int // By path.
}

// Beat returns the heartbeat of the simulated agent.
func (a *slowAgent) Beat() *frame.Beat {
	return &frame.Beat{Name: "slow", Period: link.HeartbeatInterval(1), Slots: 64, LowPrioritySlots: 64, Role: a.role, Version: "v1"}
}

// Closed ignores the end of the link.
func (a *slowAgent) Closed(*link.Conn, error) {}

// Frame answers a request; it ignores all other frames.
func (a *slowAgent) Frame(c *link.Conn, f frame.Frame) {
	run, ok := f.(*frame.Run)
	if !ok {
		return
	}
	a.mu.Lock()
	a.runs[run.Path]++
	a.mu.Unlock()
	work, contentType, answer := stopWork, "application/json", `{"choices":[]}`
	switch {
	case run.Path == "/v1/prefill":
		work, answer = 0, `{"handle":"h"}`
	case strings.Contains(string(run.Body), "brief"):
		work = 0
	}
	if strings.Contains(string(run.Body), `"stream":true`) && run.Path != "/v1/prefill" {
		contentType, answer = "text/event-stream", "data: {}\n\ndata: [DONE]\n\n"
	}
	time.AfterFunc(work, func() {
		_ = c.Send(&frame.Part{ID: run.ID, Attempt: run.Attempt, Data: []byte(answer), Status: 200, Type: contentType})
		_ = c.Send(&frame.End{ID: run.ID, Attempt: run.Attempt, Offset: int64(len(answer))})
	})
}

// TestLateInGrace guards against requests that an entry passes on in a planned stop though they can't end in it, and against
// connections that it cuts without an answer.
func TestLateInGrace(t *testing.T) {
	for name, roles := range map[string][]string{"whole": {"mixed", "mixed"}, "prompts read apart": {"prefill", "decode"}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 2, 1)
			c.setGrace("entry-1", stopGrace)
			agents := []*slowAgent{{role: roles[0]}, {role: roles[1]}, {}}
			c.editConfig(func(d *conf.Document) {
				for i, a := range agents {
					a.runs = make(map[string]int)
					d.Upstreams[i].Address = serveLinks(t, a)
				}
				brief := conf.Class{Name: "brief", FirstDeadline: span.Span(900 * time.Millisecond), TotalDeadline: span.Span(900 * time.Millisecond)}
				d.Classes = append(d.Classes, brief)
				d.Callers = append(d.Callers, conf.Caller{Name: "brief", TokenHash: conf.HashToken("brief-token"), Class: "brief", Targets: d.Callers[0].Targets})
				d.Callers[0].Class = "resident" // Its limit is longer than the grace period.
			})
			c.startOrder = []string{"kv", "vms", "entry-1"}
			c.startAll()
			c.eventually(startTimeout, "linked", func() bool { return c.isLinked("entry-1") })
			time.Sleep(time.Second) // Until the first heartbeats.
			signal := time.Now().Add(300 * time.Millisecond)
			var callers sync.WaitGroup
			for _, kind := range []string{"stream", "chat", "get", "post"} {
				for _, framing := range []string{"length", "chunks"} {
					expect := func(name string, bodyEnd time.Duration, token, text string, status int) {
						callers.Go(func() {
							r := c.sendSlowly(kind, framing, token, name+" "+text, signal.Add(bodyEnd))
							if r.status != status || r.ended.Sub(signal) > stopGrace {
								t.Errorf("%s, %s, %s: status %d %s, %v after the signal; want %d", name, kind, framing, r.status, r.body, r.ended.Sub(signal), status)
							}
							if status == http.StatusServiceUnavailable && (r.header.Get("Retry-After") == "" || r.ended.Sub(r.sent) > time.Second) {
								t.Errorf("%s, %s, %s: refused %v after its last byte, Retry-After %q", name, kind, framing, r.ended.Sub(r.sent), r.header.Get("Retry-After"))
							}
						})
					}
					expect("early", 500*time.Millisecond, fleet.CounterToken, "long", http.StatusGatewayTimeout)
					expect("late", lateBodyEnd, fleet.CounterToken, "long", http.StatusServiceUnavailable)
					expect("late, limit in the grace period", lateBodyEnd, "brief-token", "brief", http.StatusOK)
				}
			}
			time.Sleep(time.Until(signal))
			c.sendSignal("entry-1", syscall.SIGTERM)
			time.Sleep(time.Second)
			c.sendSignal("entry-1", syscall.SIGTERM) // A second one changes nothing.
			callers.Wait()
			ended := make(chan struct{})
			go func() {
				_ = c.running["entry-1"].Wait()
				close(ended)
			}()
			select {
			case <-ended:
			case <-time.After(time.Until(signal.Add(stopGrace + time.Second))):
				t.Error("the entry has not ended")
			}
			delete(c.running, "entry-1")
			for i, a := range agents {
				a.mu.Lock()
				for path, n := range a.runs {
					if strings.Contains(path, "late?long") {
						t.Errorf("agent %d got %d refused requests %s", i, n, path)
					}
				}
				a.mu.Unlock()
			}
		})
	}
}

// setGrace sets the grace period of an entry that has not been started.
func (c *cluster) setGrace(entry string, d time.Duration) {
	c.t.Helper()
	file := filepath.Join(c.dir, entry+".json")
	data, err := os.ReadFile(file)
	if err != nil {
		c.t.Fatal(err)
	}
	var settings map[string]json.RawMessage
	if err := json.Unmarshal(data, &settings); err != nil {
		c.t.Fatal(err)
	}
	settings["grace"] = mustJSON(span.Span(d))
	if err := os.WriteFile(file, mustJSON(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// slowResult is what the caller of a slow request gets; the status is 0 if there was no complete response.
type slowResult struct {
	status int
	header http.Header
	body   string
	sent   time.Time // When the last byte of the request was written.
	ended  time.Time
}

// sendSlowly sends a request of a kind to entry-1, whose body ends at a time. framing is length or chunks.
func (c *cluster) sendSlowly(kind, framing, token, text string, end time.Time) slowResult {
	conn, err := net.Dial("tcp", c.addresses["entry-1"].String())
	if err != nil {
		return slowResult{body: err.Error(), ended: time.Now()}
	}
	defer func() { _ = conn.Close() }()
	method, path, body := "POST", "/v1/chat/completions", fmt.Sprintf(`{"model":"lm-clerks","messages":[{"role":"user","content":%q}],"stream":%t}`, text, kind == "stream")
	head := ""
	switch kind {
	case "get":
		method, path, body = "GET", "/v1/services/redirect-app/x?"+strings.ReplaceAll(text, " ", "?"), text
	case "post":
		path, body = "/v1/services/redirect-app/x?"+strings.ReplaceAll(text, " ", "?"), text
		head = "Idempotency-Key: " + uuid.Must(uuid.NewV7()).String() + "\r\n"
	}
	head = method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nAuthorization: Bearer " + token + "\r\n" + head
	if framing == "chunks" {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	}
	pieces := []string{head}
	for i := range bodyPieces {
		piece := body[i*len(body)/bodyPieces : (i+1)*len(body)/bodyPieces]
		if framing == "chunks" && piece != "" {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		pieces = append(pieces, piece)
	}
	if framing == "chunks" {
		pieces[bodyPieces] += "0\r\n\r\n"
	}
	for i, p := range pieces {
		time.Sleep(time.Until(end.Add(-time.Duration(len(pieces)-1-i) * bodyStep)))
		if _, err := io.WriteString(conn, p); err != nil {
			return slowResult{body: err.Error(), ended: time.Now()}
		}
	}
	r := slowResult{sent: time.Now()}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(resp.Body)
	}
	r.ended, r.body = time.Now(), string(data)
	if err != nil {
		r.body += err.Error()
		return r
	}
	r.status, r.header = resp.StatusCode, resp.Header
	return r
}
