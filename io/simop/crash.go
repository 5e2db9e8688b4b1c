package simop

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// crashDelay is the time from the start of a run, or from the head of its response, to the crash.
const crashDelay = 40 * time.Millisecond

// CrashStage is how far the response has come when a replica crashes.
type CrashStage string

// The stages of a response.
const (
	BeforeHead CrashStage = "before the head"
	AfterHead  CrashStage = "after the head"
	InsideBody CrashStage = "inside the body"
)

// Crash states which requests crash a replica, and when.
type Crash struct {
	Matches   func(req *http.Request, body string) bool
	Stage     CrashStage
	After     time.Duration   // From the first event of a stream to the crash if Stage is InsideBody; 0 for crashDelay.
	OnArrival func(id string) // Called with the attempt ID of each of these requests, prefills included.
	OnCrash   func()          // Called once the replica has crashed.
}

// SetCrash makes the replica crash under some requests, each of them as the first crash that matches it states.
func (r *Replica) SetCrash(crashes ...*Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = crashes
}

// HasPart returns a function that matches prompts with a part of the given id.
func HasPart(id string) func(req *http.Request, body string) bool {
	return func(req *http.Request, _ string) bool {
		return slices.ContainsFunc(strings.Split(req.Header.Get("X-Prompt-Prefix"), ","), func(part string) bool {
			name, _, _ := strings.Cut(part, ":")
			return strings.TrimSpace(name) == id
		})
	}
}

// crashUnder returns the crash that a request causes, nil for none. A request whose prompt is only read causes none.
func (r *Replica) crashUnder(req *http.Request) *Crash {
	r.mu.Lock()
	crashes := r.crashes
	r.mu.Unlock()
	if len(crashes) == 0 {
		return nil
	}
	body, _ := io.ReadAll(req.Body) // Fails only if the caller has disconnected.
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	i := slices.IndexFunc(crashes, func(c *Crash) bool { return c.Matches(req, string(body)) })
	if i < 0 {
		return nil
	}
	c := crashes[i]
	c.OnArrival(req.Header.Get("X-Attempt-Id"))
	if req.Header.Get("X-Stage") == "prefill" {
		return nil
	}
	return c
}

// serveCrash runs a request and crashes.
func (r *Replica) serveCrash(w http.ResponseWriter, req *http.Request, c *Crash) {
	id := req.Header.Get("X-Attempt-Id")
	r.mu.Lock()
	r.runs[id]++
	stage := r.stage
	r.mu.Unlock()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", r.ID+"."+id)
	if stage != "" {
		w.Header().Set("Content-Type", "text/event-stream")
	} else {
		w.Header().Set("Content-Length", "100")
	}
	if c.Stage != BeforeHead {
		w.WriteHeader(http.StatusOK)
	}
	next := firstEvent(req)
	if c.Stage == InsideBody {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\nid: %d", next, r.ID, next+1) // Fails only if the caller has disconnected.
	}
	if c.Stage != BeforeHead {
		_ = http.NewResponseController(w).Flush() // Fails as above.
	}
	if c.After > 0 {
		r.streamUntil(w, next+1, time.Now().Add(c.After))
	}
	time.Sleep(crashDelay)
	go func() {
		r.Crash()
		c.OnCrash()
	}()
	panic(http.ErrAbortHandler)
}

// eventPause is the time between two events of a stream under which the replica crashes late.
const eventPause = 100 * time.Millisecond

// streamUntil sends events until a time or a crash, the first of which ends the one that has begun under the given id.
func (r *Replica) streamUntil(w http.ResponseWriter, begun int, end time.Time) {
	for i := begun; time.Now().Before(end) && !r.hasCrashed.Load(); i++ {
		_, _ = fmt.Fprintf(w, "\ndata: %s\n\nid: %d", r.ID, i+1) // Fails only if the caller has disconnected.
		_ = http.NewResponseController(w).Flush()                // Fails as above.
		time.Sleep(eventPause)
	}
}
