package tend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"pimentoseam/core/member"
	"pimentoseam/core/notice"
	"pimentoseam/core/plan"
	"pimentoseam/core/setup"
	"pimentoseam/io/logbuf"
	"pimentoseam/io/meter"
	"pimentoseam/io/outlet"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	// PlanPrefix is the store's prefix of the plans; a service's name follows it.
	PlanPrefix = "plan/"

	// defaultSilence is the time without a notice of the lead after which the store is asked for the plan;
	// a new lead takes a few seconds to be found.
	defaultSilence = 6 * time.Second
	// askTimes is the longest time between such questions in silences; half of it is the shortest.
	askTimes    = 2
	mostNotice  = 2 << 10                // Bytes.
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
	set     *setup.Tend
	file    string      // They are read from; empty for none.
	latest  *setup.Tend // What the file held when it was last read.
	log     *slog.Logger
	lines   *logbuf.Handler
	silence time.Duration
	store   *platform.Store
	outlet  *outlet.Pool
	meter   *meter.Meter
	hint    chan struct{}

	mu    sync.Mutex
	order plan.Command // Of the newest plan that is known.
	given bool         // It has one for this engine.
	at    int64        // The plan's revision in the store, the fencing token of the orders.
	heard time.Time    // When the lead was last heard or the store last answered.
}

// Option changes a Tend.
type Option func(*Tend)

// WithFile has the settings read again from a file on SIGHUP and whenever it changes.
func WithFile(path string) Option {
	return func(t *Tend) { t.file = path }
}

// WithSilence sets after how long without a notice of the lead the store is asked for the plan.
func WithSilence(d time.Duration) Option {
	return func(t *Tend) { t.silence = d }
}

// New returns a Tend with the given settings.
func New(set *setup.Tend, opts ...Option) *Tend {
	lines := logbuf.New(os.Stdout)
	t := &Tend{
		set: set, latest: set, silence: defaultSilence, lines: lines, log: slog.New(lines).With("process", set.Name),
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
	t.store.SetAddr(next.Store) // Nothing else can change.
	return change, nil
}

// Run follows the plan until ctx ends; its error is a *proc.Unbound.
func (t *Tend) Run(ctx context.Context) error {
	defer t.lines.Close()
	t.log.Info("started", "engine", t.set.Engine, "service", t.set.Service)
	t.heard = time.Now()
	go t.askStore(ctx)
	if t.set.Peer.IsValid() {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.set.Peer))
		if err != nil {
			return &proc.ListenError{Addr: t.set.Peer, Cause: err}
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		go t.listen(ctx, conn)
	}
	go proc.WatchSettings(ctx, t.log, t.file, t.reload)
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

// listen takes the notices of the lead until ctx ends.
func (t *Tend) listen(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, mostNotice)
	for ctx.Err() == nil {
		size, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				t.log.Warn("notice not received", "err", err)
				proc.Sleep(ctx, lookEvery)
			}
			continue
		}
		n, err := notice.Parse(buffer[:size])
		if err != nil {
			t.log.Warn("notice not understood", "from", from, "err", err)
			continue
		}
		if n.Service != t.set.Service || n.Addr != t.set.Engine.String() {
			t.log.Warn("notice for another engine", "from", from, "service", n.Service, "addr", n.Addr)
			continue
		}
		order, given := n.Command()
		t.learn(order, given, n.Revision, n.Epoch, n.Leader)
	}
}

// askStore reads the plan whenever no lead has been heard for a while, until ctx ends.
func (t *Tend) askStore(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		rest := t.silence - time.Since(t.heard)
		t.mu.Unlock()
		if rest > 0 {
			proc.Sleep(ctx, rest)
			continue
		}
		t.ask(ctx)
		proc.Sleep(ctx, proc.Jitter(askTimes*t.silence))
	}
}

// ask reads the plan from the store.
func (t *Tend) ask(ctx context.Context) {
	item, err := t.store.Get(ctx, PlanPrefix+t.set.Service)
	if err != nil {
		t.log.Warn("plan not read", "err", err)
		return
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		t.log.Error("plan not understood", "revision", item.Revision, "err", err)
		return
	}
	for _, o := range p.Commands {
		if o.Addr == t.set.Engine.String() {
			t.learn(o, true, item.Revision, p.Epoch, p.Leader)
			return
		}
	}
	t.learn(plan.Command{}, false, item.Revision, p.Epoch, p.Leader)
}

// learn takes over this engine's part of a plan unless a newer one is known.
func (t *Tend) learn(o plan.Command, given bool, revision, epoch int64, lead string) {
	t.mu.Lock()
	t.heard = time.Now()
	newer := revision > t.at
	changed := newer && (o != t.order || given != t.given)
	if newer {
		t.order, t.given, t.at = o, given, revision
	}
	t.mu.Unlock()
	if !changed {
		return
	}
	t.log.Info("plan", "revision", revision, "epoch", epoch, "lead", lead, "role", o.Role, "upstream", o.Upstream)
	select {
	case t.hint <- struct{}{}:
	default:
	}
}

// ordered returns the order of the plan for this engine and its fencing token.
func (t *Tend) ordered() (plan.Command, int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.order, t.at, t.given
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
	return t.give(ctx, &platform.Order{Role: member.Role(order.Role), Holder: t.set.Name, FencingToken: token, ExpectedOrders: report.AcceptedOrders}, order.Upstream)
}

// give makes one call with an order and returns the time until the next look at the engine.
func (t *Tend) give(ctx context.Context, o *platform.Order, instance string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := t.log.With("instance", instance, "role", o.Role, "token", o.FencingToken, "count", o.ExpectedOrders)
	answer, err := t.outlet.Do(ctx, t.set.Engine, &outlet.Request{
		Method: http.MethodPost, Target: platform.OrderPath, Host: t.set.Engine.String(),
		Header: platform.OrderHeader(instance), Body: o.Encode(),
	}, 0)
	if err != nil {
		log.Warn("order unanswered", "err", err)
		return repeatWait
	}
	defer answer.Close()
	if _, err := answer.ReadAll(maxReport); err != nil {
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
	body, err := answer.ReadAll(maxReport)
	if err != nil {
		return nil, err
	}
	return platform.ReadReport(body)
}
