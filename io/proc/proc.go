package proc

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/http"
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

// Signals returns a context that ends on SIGTERM or SIGINT.
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Hangups logs each SIGHUP until ctx ends, in place of ending the process. The settings that a running
// process uses (its addresses and name) can't change under it; the rest is read at its next start.
func Hangups(ctx context.Context, log *slog.Logger) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			log.Info("reload", "changed", "nothing in use")
		}
	}
}

// Jitter returns between half and all of d, so that processes do not act in step.
func Jitter(d time.Duration) time.Duration {
	if d < 2 {
		return d
	}
	return d/2 + rand.N(d/2)
}

// Sleep waits for d or until ctx ends.
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

// Control serves a process's events and metrics to holders of the secret.
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
	mux.HandleFunc("GET /control/events", c.Guard(c.list))
	mux.HandleFunc("GET /debug/vars", expvar.Handler().ServeHTTP)
}

// Guard lets only holders of the secret pass.
func (c *Control) Guard(next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + c.secret)
	return func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (c *Control) list(w http.ResponseWriter, r *http.Request) {
	since, err := time.Parse(time.RFC3339Nano, r.URL.Query().Get("since"))
	if err != nil {
		since = time.Time{}
	}
	found := c.events.Since(since, r.URL.Query().Get("request"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(found)
}
