package tend

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"pimentoseam/core/call"
	"pimentoseam/core/crash"
	"pimentoseam/core/member"
	"pimentoseam/core/notice"
	"pimentoseam/core/plan"
	"pimentoseam/core/setup"
	"pimentoseam/core/stamp"
	"pimentoseam/io/client"
	"pimentoseam/io/guard"
	"pimentoseam/io/logbuf"
	"pimentoseam/io/meter"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	// PlanPrefix is the prefix of the plans in the store; a service's name follows it.
	PlanPrefix = "plan/"

	// defaultNoticeTimeout is the time without a notice after which the plan is read from the store. The
	// election of a new leader takes a few seconds.
	defaultNoticeTimeout = 6 * time.Second
	// maxPollFactor is the maximum interval between reads of the plan, in notice timeouts; the minimum is half.
	maxPollFactor      = 2
	maxNoticeBytes     = 2 << 10
	reportInterval     = time.Second            // Interval between requests for the engine's report, which shows a restart.
	busyReportInterval = 150 * time.Millisecond // Interval between requests for the report while the engine carries out an order.
	callTimeout        = 500 * time.Millisecond // Short, because the engine is on the same VM.
	// retryPause is the pause after an order that wasn't accepted. An order without a response may still be
	// carried out later, but not once another has been accepted, because its order count no longer matches.
	retryPause = 2 * time.Second
	// limitShare is the share of the limit that the engine names which the agent's calls use. Callers need the rest.
	limitShare = 0.1
	// maxCallInterval is the longest time between calls to an engine with a limit, however low that is. The engine's role
	// follows the plan so much later.
	maxCallInterval = 10 * time.Second
	maxReportBytes  = 256 << 10
)

// Tend keeps one engine in the role that the plan assigns to it.
type Tend struct {
	settings      *setup.Tend
	file          *proc.SettingsFile
	lastRead      *setup.Tend // The settings that were read last, including those that need a restart.
	log           *slog.Logger
	logHandler    *logbuf.Handler
	noticeTimeout time.Duration
	store         *platform.Store
	pool          *client.Pool
	meter         *meter.Meter
	planChanged   chan struct{}
	pauseEnd      time.Time  // Until then the engine wants no calls.
	limit         call.Limit // The limit that the engine names.
	nextCall      time.Time  // No call is made before, because of the limit.
	ordered       lastOrder  // The last order, and the ones under which the engine has ended.

	mu          sync.Mutex
	command     plan.Command // The engine's command in the newest known plan.
	hasCommand  bool         // The plan has a command for the engine.
	revision    int64        // Store revision of the plan, which is the fencing token of orders.
	lastContact time.Time    // When the last notice arrived or the store last returned a plan.
}

// lastOrder is the last order to the engine.
type lastOrder struct {
	role    string
	run     int64     // The start time of the engine that got it, in Unix milliseconds.
	at      time.Time // When it was sent; zero if there was none or the engine has carried it out.
	crashes int       // Orders in a row under which the engine has ended.
}

// Option configures a Tend.
type Option func(*Tend)

// WithFile sets the settings file, which is read again on SIGHUP and after each change.
func WithFile(file *proc.SettingsFile) Option {
	return func(t *Tend) { t.file = file }
}

// WithNoticeTimeout sets the time without a notice after which the plan is read from the store.
func WithNoticeTimeout(d time.Duration) Option {
	return func(t *Tend) { t.noticeTimeout = d }
}

// New returns a Tend with the given settings.
func New(settings *setup.Tend, opts ...Option) *Tend {
	handler := logbuf.New(os.Stdout)
	t := &Tend{
		settings: settings, file: proc.WatchSettings(""), lastRead: settings, noticeTimeout: defaultNoticeTimeout, logHandler: handler, log: slog.New(handler).With("process", settings.Name),
		store: platform.NewStore(settings.Store), pool: client.New(), meter: meter.New(), planChanged: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// reload reads the settings file and applies the settings that can change in a running process.
func (t *Tend) reload() (*setup.Change, error) {
	next, err := setup.ReadTend(t.file.Path())
	if err != nil {
		return nil, err
	}
	change := next.KeepFixed(t.lastRead)
	t.lastRead = next
	t.store.SetAddr(next.Store) // Only the store's address can change.
	return change, nil
}

// Run follows the plan until ctx ends; its error is a *proc.ListenError.
func (t *Tend) Run(ctx context.Context) error {
	defer t.logHandler.Close()
	guard.LimitRuntime(t.settings.Memory)
	t.log.Info("started", "engine", t.settings.Engine, "service", t.settings.Service)
	t.lastContact = time.Now()
	go t.pollStore(ctx)
	if t.settings.Peer.IsValid() {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.settings.Peer))
		if err != nil {
			return &proc.ListenError{Addr: t.settings.Peer, Cause: err}
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		defer stop()
		go t.receiveNotices(ctx, conn)
	}
	go t.file.Run(ctx, t.log, t.reload)
	go t.serveMetrics(ctx)
	for ctx.Err() == nil {
		wait := t.reconcile(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.planChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
	t.log.Info("stopped")
	return nil
}

// receiveNotices applies the leader's notices until ctx ends.
func (t *Tend) receiveNotices(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxNoticeBytes)
	for ctx.Err() == nil {
		size, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				t.log.Warn("notice not received", "err", err)
				proc.Sleep(ctx, reportInterval)
			}
			continue
		}
		proc.Guard(t.log, "notice from "+from.String(), func() { t.handleNotice(from, buffer[:size]) })
	}
}

// handleNotice applies a notice of the leader.
func (t *Tend) handleNotice(from netip.AddrPort, data []byte) {
	n, err := notice.Parse(data)
	if err != nil {
		t.log.Warn("invalid notice", "from", from, "err", err)
		return
	}
	if n.Service != t.settings.Service || n.Addr != t.settings.Engine.String() {
		t.log.Warn("notice for another engine", "from", from, "service", n.Service, "addr", n.Addr)
		return
	}
	command, ok := n.Command()
	t.update(command, ok, n.StoreRevision, n.Epoch, n.Leader)
}

// pollStore reads the plan from the store while no notices arrive, until ctx ends.
func (t *Tend) pollStore(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		remaining := t.noticeTimeout - time.Since(t.lastContact)
		t.mu.Unlock()
		if remaining > 0 {
			proc.Sleep(ctx, remaining)
			continue
		}
		t.readPlan(ctx)
		proc.Sleep(ctx, proc.Jitter(maxPollFactor*t.noticeTimeout))
	}
}

// readPlan reads the plan from the store.
func (t *Tend) readPlan(ctx context.Context) {
	item, err := t.store.Get(ctx, PlanPrefix+t.settings.Service)
	if err != nil {
		t.log.Warn("plan not read", "err", err)
		return
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		t.log.Error("invalid plan", "revision", item.Revision, "err", err)
		return
	}
	if p.Era < stamp.Era(item.Revision) {
		// The commands may have been replaced before the store came back; the leader will write the plan again.
		t.log.Info("plan of an earlier era not followed", "revision", item.Revision, "era", p.Era)
		return
	}
	for _, c := range p.Commands {
		if c.Addr == t.settings.Engine.String() {
			t.update(c, true, item.Revision, p.Epoch, p.Leader)
			return
		}
	}
	t.update(plan.Command{}, false, item.Revision, p.Epoch, p.Leader)
}

// update stores the engine's command of a plan unless a newer plan is known; ok is false if the plan has none.
func (t *Tend) update(c plan.Command, ok bool, revision, epoch int64, leader string) {
	if ok && !member.Role(c.Role).IsKnown() {
		// An engine that took it would report a role that can't be read.
		t.log.Warn("unknown role not followed", "revision", revision, "epoch", epoch, "lead", leader, "role", c.Role, "upstream", c.Upstream)
		c, ok = plan.Command{}, false
	}
	t.mu.Lock()
	t.lastContact = time.Now()
	newer := revision > t.revision
	changed := newer && (c != t.command || ok != t.hasCommand)
	if newer {
		t.command, t.hasCommand, t.revision = c, ok, revision
	}
	t.mu.Unlock()
	if !changed {
		return
	}
	t.log.Info("plan", "revision", revision, "epoch", epoch, "lead", leader, "role", c.Role, "upstream", c.Upstream)
	select {
	case t.planChanged <- struct{}{}:
	default:
	}
}

// currentCommand returns the engine's command and its fencing token, and false if the plan has none.
func (t *Tend) currentCommand() (plan.Command, int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.command, t.revision, t.hasCommand
}

// reconcile compares the engine's role with its command and sends an order if they differ. It returns the time
// until the next comparison.
func (t *Tend) reconcile(ctx context.Context) time.Duration {
	command, token, ok := t.currentCommand()
	if !ok {
		return reportInterval
	}
	if pause := max(time.Until(t.pauseEnd), time.Until(t.nextCall)); pause > 0 {
		return pause
	}
	report, leaving, err := t.fetchReport(ctx)
	if err != nil {
		t.log.Warn("no report from engine", "err", err)
		return reportInterval
	}
	if leaving {
		return reportInterval // An order would only take the engine from its last requests.
	}
	if report.Busy {
		return busyReportInterval
	}
	if string(report.Role) == command.Role {
		t.ordered = lastOrder{}
		return reportInterval
	}
	if pause := t.pauseAfterCrash(report.StartedMs, command.Role); pause > 0 {
		return min(pause, reportInterval)
	}
	t.ordered.role, t.ordered.run, t.ordered.at = command.Role, report.StartedMs, time.Now()
	return t.sendOrder(ctx, &platform.Order{Role: member.Role(command.Role), Holder: t.settings.Name, FencingToken: token, ExpectedOrders: report.AcceptedOrders}, command.Upstream)
}

// pauseAfterCrash returns how much longer the engine, given the start time of its run, gets no order to take a role, because it has
// ended under such orders.
func (t *Tend) pauseAfterCrash(run int64, role string) time.Duration {
	o := &t.ordered
	if o.role != role {
		*o = lastOrder{}
		return 0
	}
	if !o.at.IsZero() && run != o.run {
		o.run = run
		o.crashes++
		t.meter.Count("crashes under orders")
		t.log.Warn("engine ended under order", "role", role, "crashes", o.crashes, "next", crash.Backoff(o.crashes)-time.Since(o.at))
	}
	if o.crashes == 0 {
		return 0
	}
	return crash.Backoff(o.crashes) - time.Since(o.at)
}

// sendOrder sends an order to the engine once and returns the time until the next comparison.
func (t *Tend) sendOrder(ctx context.Context, o *platform.Order, instance string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	log := t.log.With("instance", instance, "role", o.Role, "token", o.FencingToken, "count", o.ExpectedOrders)
	resp, err := t.pool.Do(ctx, t.settings.Engine, &client.Request{
		Method: http.MethodPost, Target: platform.OrderPath, Host: t.settings.Engine.String(),
		Header: platform.OrderHeader(instance), Body: o.Encode(),
	}, 0)
	if err != nil {
		log.Warn("no response to order", "err", err)
		return retryPause
	}
	defer resp.Close()
	t.observe(platform.ReadReply(resp.StatusCode, resp.Header))
	if _, err := resp.ReadAll(maxReportBytes); err != nil {
		log.Warn("no response to order", "err", err)
		return retryPause
	}
	log.Info("order", "status", resp.StatusCode)
	t.meter.Count("order " + strconv.Itoa(resp.StatusCode))
	switch resp.StatusCode {
	case http.StatusAccepted, http.StatusOK:
		return busyReportInterval
	}
	// A refused fencing token means that a newer plan exists, which a notice or a read from the store will bring.
	return retryPause
}

// observe records a pause that the engine asks for, and its limit, which this call takes from.
func (t *Tend) observe(reply call.Reply) {
	if reply.Limit != t.limit {
		t.log.Info("limit", "engine", t.settings.Engine, "limit", reply.Limit.PerSecond, "state", reply.Limit.State, "value", reply.Limit.Text)
		t.limit = reply.Limit
	}
	if t.limit.State == call.Named {
		interval := maxCallInterval
		if perSecond := limitShare * t.limit.PerSecond; perSecond > 1/maxCallInterval.Seconds() {
			interval = time.Duration(float64(time.Second) / perSecond)
		}
		t.nextCall = later(t.nextCall, time.Now()).Add(interval)
	}
	if reply.Pause > 0 {
		t.pauseEnd = time.Now().Add(reply.Pause)
		t.log.Info("pause", "engine", t.settings.Engine, "for", reply.Pause)
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fetchReport requests the engine's report; leaving tells whether the engine states that it leaves.
func (t *Tend) fetchReport(ctx context.Context) (report *platform.Report, leaving bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := t.pool.Do(ctx, t.settings.Engine, &client.Request{
		Method: http.MethodGet, Target: platform.ReportPath, Host: t.settings.Engine.String(),
	}, 0)
	if err != nil {
		return nil, false, err
	}
	defer resp.Close()
	reply := platform.ReadReply(resp.StatusCode, resp.Header)
	t.observe(reply)
	body, err := resp.ReadAll(maxReportBytes)
	if err != nil {
		return nil, reply.Leaving, err
	}
	report, err = platform.ReadReport(body)
	return report, reply.Leaving, err
}
