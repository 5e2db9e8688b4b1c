package tend

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"pimentoseam/core/member"
	"pimentoseam/core/plan"
	"pimentoseam/core/setup"
	"pimentoseam/io/follow"
	"pimentoseam/io/logbuf"
	"pimentoseam/io/meter"
	"pimentoseam/io/outlet"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	// PlanPrefix is the store's prefix of the plans; a service's name follows it.
	PlanPrefix = "plan/"

	// watchWait bounds how late a plan is seen if a watch falls silent; an engine is away for
	// seconds at each change, so a few more matter little.
	watchWait   = 10 * time.Second
	watchPause  = time.Second            // Takes several plans in a row with one call.
	lookEvery   = time.Second            // Between looks at the engine, for its restarts.
	settleEvery = 150 * time.Millisecond // Between looks at an engine that carries out an order.
	callTimeout = 500 * time.Millisecond // The engine is on the same VM.
	// repeatWait is the time after an order without an answer before the next one. It may still be
	// carried out later, but then another has been accepted, and its count no longer fits.
	repeatWait = 2 * time.Second
	maxReport  = 256 << 10 // Bytes.
)

// Tend keeps one engine in the role that the plan gives it.
type Tend struct {
	set    *setup.Tend
	file   string      // They are read from; empty for none.
	latest *setup.Tend // What the file held when it was last read.
	log    *slog.Logger
	lines  *logbuf.Handler
	store  *platform.Store
	outlet *outlet.Outlet
	meter  *meter.Meter
	hint   chan struct{}

	mu   sync.Mutex
	plan *plan.Plan // Newest that was read since the start; nil before.
	at   int64      // Its revision in the store, the fencing token of the orders.
}

// Option changes a Tend.
type Option func(*Tend)

// WithFile has the settings read again from a file on SIGHUP and whenever it changes.
func WithFile(path string) Option {
	return func(t *Tend) { t.file = path }
}

// New returns a Tend with the given settings.
func New(set *setup.Tend, opts ...Option) *Tend {
	lines := logbuf.New(os.Stdout)
	t := &Tend{
		set: set, latest: set, lines: lines, log: slog.New(lines).With("process", set.Name),
		store: platform.NewStore(set.Store), outlet: outlet.New(), meter: meter.New(), hint: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// reload puts the settings of the file in force as far as a running process can take them over.
func (t *Tend) reload() (*setup.Change, error) {
	next, err := setup.ReadTend(t.file)
	if err != nil {
		return nil, err
	}
	change := next.Replace(t.latest)
	t.latest = next
	t.store.Move(next.Store) // Nothing else can change.
	return change, nil
}

// Run follows the plan until ctx ends.
func (t *Tend) Run(ctx context.Context) error {
	defer t.lines.Close()
	t.log.Info("started", "engine", t.set.Engine, "service", t.set.Service)
	go follow.New(t.store, t.log, PlanPrefix+t.set.Service, t.apply,
		follow.WithPause(watchPause), follow.WithWait(func() time.Duration { return proc.Jitter(watchWait) })).Run(ctx)
	go proc.Reload(ctx, t.log, t.file, t.reload)
	go t.serveMetrics(ctx)
	for ctx.Err() == nil {
		wait := t.bring(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.hint:
		case <-timer.C:
		}
		timer.Stop()
	}
	t.log.Info("stopped")
	return nil
}

// serveMetrics serves the metrics until ctx ends; the agent works without them.
func (t *Tend) serveMetrics(ctx context.Context) {
	server := &http.Server{Addr: t.set.Debug.String(), Handler: t.meter.Handler(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		t.log.Error("metrics not served", "addr", t.set.Debug, "err", err)
	}
}

// apply takes over a newer plan.
func (t *Tend) apply(u follow.Update) {
	for _, item := range u.Items {
		if item.Key != PlanPrefix+t.set.Service || item.Removed {
			continue
		}
		p, err := plan.Parse(item.Value)
		if err != nil {
			t.log.Error("plan not understood", "revision", item.Revision, "err", err)
			continue
		}
		t.mu.Lock()
		newer := item.Revision > t.at
		if newer {
			t.plan, t.at = p, item.Revision
		}
		t.mu.Unlock()
		if !newer {
			continue
		}
		t.log.Info("plan", "revision", item.Revision, "epoch", p.Epoch, "lead", p.Lead)
		select {
		case t.hint <- struct{}{}:
		default:
		}
	}
}

// ordered returns the order of the plan for this engine and its fencing token.
func (t *Tend) ordered() (plan.Order, int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan == nil {
		return plan.Order{}, 0, false
	}
	for _, o := range t.plan.Orders {
		if o.Addr == t.set.Engine.String() {
			return o, t.at, true
		}
	}
	return plan.Order{}, 0, false
}

// bring looks at the engine and gives it the order of the plan if it differs; it returns the time
// until the next look.
func (t *Tend) bring(ctx context.Context) time.Duration {
	order, token, ok := t.ordered()
	if !ok {
		return lookEvery
	}
	report, err := t.report(ctx)
	if err != nil {
		t.log.Warn("engine not seen", "err", err)
		return lookEvery
	}
	if report.Busy {
		return settleEvery
	}
	if string(report.Role) == order.Role {
		return lookEvery
	}
	return t.give(ctx, &platform.Order{Role: member.Role(order.Role), Holder: t.set.Name, Token: token, Count: report.Count}, order.Upstream)
}

// give makes one call with an order and returns the time until the next look at the engine.
func (t *Tend) give(ctx context.Context, o *platform.Order, instance string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := t.log.With("instance", instance, "role", o.Role, "token", o.Token, "count", o.Count)
	answer, err := t.outlet.Do(ctx, t.set.Engine, &outlet.Request{
		Method: http.MethodPost, Target: platform.OrderPath, Host: t.set.Engine.String(),
		Header: platform.OrderHeader(instance), Body: o.Encode(),
	}, 0)
	if err != nil {
		log.Warn("order unanswered", "err", err)
		return repeatWait
	}
	defer answer.Close()
	if _, err := answer.Whole(maxReport); err != nil {
		log.Warn("order unanswered", "err", err)
		return repeatWait
	}
	log.Info("order", "status", answer.StatusCode)
	t.meter.Count("order " + strconv.Itoa(answer.StatusCode))
	switch answer.StatusCode {
	case http.StatusAccepted, http.StatusOK:
		return settleEvery
	}
	// A refused number means that a newer plan exists, which the follower will read.
	return repeatWait
}

// report asks the engine for its state.
func (t *Tend) report(ctx context.Context) (*platform.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := t.outlet.Do(ctx, t.set.Engine, &outlet.Request{
		Method: http.MethodGet, Target: platform.ReportPath, Host: t.set.Engine.String(),
	}, 0)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := answer.Whole(maxReport)
	if err != nil {
		return nil, err
	}
	return platform.ReadReport(body)
}
