package proc

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pimentoseam/core/event"
)

// Logger returns a logger that writes one key=value line per event to standard error.
func Logger(process string) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("process", process)
}

// ListenError reports a failure to listen on an address.
type ListenError struct {
	Addr  netip.AddrPort
	Cause error
}

// Error returns the address and the cause.
func (e *ListenError) Error() string {
	return "listen on " + e.Addr.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// SignalContext returns a context that is cancelled on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// startTime is when this process started. It has a monotonic clock reading, so times measured from it do not
// jump when the wall clock is set.
var startTime = time.Now()

// Uptime returns the time since this process started, in nanoseconds.
func Uptime() int64 {
	return int64(time.Since(startTime))
}

// Jitter returns a random duration from d/2 to d, so that processes do not run in lockstep.
func Jitter(d time.Duration) time.Duration {
	if d < 2 {
		return d
	}
	return d/2 + rand.N(d/2)
}

// Sleep pauses for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Control is the control interface of a process: events for clients with the secret, and metrics.
type Control struct {
	secret string
	events *event.Log
}

// NewControl returns the control interface of a process.
func NewControl(secret string, events *event.Log) *Control {
	return &Control{secret: secret, events: events}
}

// Register adds GET /control/events and GET /debug/vars to mux.
func (c *Control) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/events", c.RequireSecret(c.serveEvents))
	mux.HandleFunc("GET /debug/vars", expvar.Handler().ServeHTTP)
}

// RequireSecret returns a handler that passes requests with the secret to next and refuses others.
func (c *Control) RequireSecret(next http.HandlerFunc) http.HandlerFunc {
	wantAuth := []byte("Bearer " + c.secret)
	return func(w http.ResponseWriter, r *http.Request) {
		gotAuth := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(gotAuth, wantAuth) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// serveEvents responds with the recorded events, filtered by the query parameters since and request.
func (c *Control) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, err := time.Parse(time.RFC3339Nano, r.URL.Query().Get("since"))
	if err != nil {
		since = time.Time{}
	}
	events := c.events.Since(since, r.URL.Query().Get("request"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(events)
}
