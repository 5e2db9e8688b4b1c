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
	"strconv"
	"syscall"
	"time"

	"pimentoseam/core/event"
	"pimentoseam/core/setup"
)

// Logger returns a logger that writes one key=value line per event to standard error.
func Logger(process string) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, nil)).With("process", process)
}

// Unbound reports an address that can't be listened at.
type Unbound struct {
	Addr  netip.AddrPort
	Cause error
}

// Error names the address and the cause.
func (e *Unbound) Error() string {
	return "listen on " + e.Addr.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Unbound) Unwrap() error {
	return e.Cause
}

// Signals returns a context that ends on SIGTERM or SIGINT.
func Signals() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// reloadEvery is the time between looks at a settings file that may change without a signal.
const reloadEvery = time.Second

// Reload calls apply on each SIGHUP and whenever the file has changed, until ctx ends, and logs what came
// of it. A file that can't be used leaves the settings as they are. Without a file SIGHUP is only logged.
func Reload(ctx context.Context, log *slog.Logger, file string, apply func() (*setup.Change, error)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	look := time.NewTicker(reloadEvery)
	defer look.Stop()
	seen := stamp(file)
	for {
		why := "signal"
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-look.C:
			if stamp(file) == seen {
				continue
			}
			why = "file"
		}
		seen = stamp(file)
		if file == "" {
			log.Info("reload", "why", why, "file", file)
			continue
		}
		change, err := apply()
		if err != nil {
			log.Error("reload", "why", why, "file", file, "err", err)
			continue
		}
		log.Info("reload", "why", why, "file", file, "now", change.Applied, "later", change.Deferred)
	}
}

// stamp returns what tells one state of a file from the next.
func stamp(file string) string {
	if file == "" {
		return ""
	}
	info, err := os.Stat(file)
	if err != nil {
		return err.Error() // A change like any other; apply reports what is wrong.
	}
	return info.ModTime().String() + strconv.FormatInt(info.Size(), 10)
}

// begun is when this process began; the time of day may jump, what is measured from here does not.
var begun = time.Now()

// Uptime returns the nanoseconds since this process began.
func Uptime() int64 {
	return int64(time.Since(begun))
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
