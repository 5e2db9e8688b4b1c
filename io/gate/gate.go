package gate

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/budget"
	"pimentoseam/core/cached"
	"pimentoseam/core/member"
	"pimentoseam/core/place"
	"pimentoseam/core/route"
	"pimentoseam/core/setup"
	"pimentoseam/io/follow"
	"pimentoseam/io/logbuf"
	"pimentoseam/io/outlet"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	// configPause and memberPause bound the calls when changes come one after another; both are far
	// below the two seconds in which a configuration or a leaving upstream must take effect.
	configPause = 50 * time.Millisecond
	memberPause = 350 * time.Millisecond
	sweepEvery  = 500 * time.Millisecond
	// noticeTime is how long the balancer takes to send new connections elsewhere: two questions,
	// one a second, and what is on its way.
	noticeTime = 2500 * time.Millisecond
	// lastMoment is kept of the grace period for the end of the process itself.
	lastMoment = 400 * time.Millisecond
)

// Gate serves callers.
type Gate struct {
	set     *setup.Gate
	log     *slog.Logger
	lines   *logbuf.Handler
	store   *platform.Store
	outlet  *outlet.Outlet
	placer  *place.Placer
	cached  *cached.Map
	table   atomic.Pointer[route.Table]
	fleet   atomic.Pointer[fleet]
	leaving atomic.Bool
	began   time.Time

	mu        sync.Mutex
	members   *member.Set
	known     bool                 // The list of upstreams has been read.
	upstreams map[string]*upstream // By id; only the follower of members changes it.
	budgets   map[string]*budget.Budget
}

// Error reports a gate that could not start.
type Error struct {
	Addr  string
	Cause error
}

// Error names the address and the cause.
func (e *Error) Error() string {
	return "listen on " + e.Addr + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// New returns a Gate with the given settings.
func New(set *setup.Gate) *Gate {
	lines := logbuf.New(os.Stdout)
	g := &Gate{
		set: set, lines: lines, log: slog.New(lines).With("process", set.Name),
		store: platform.NewStore(set.Store), outlet: outlet.New(), placer: place.New(), cached: cached.New(),
		members: member.New(), upstreams: make(map[string]*upstream), budgets: make(map[string]*budget.Budget),
		began: time.Now(),
	}
	g.fleet.Store(&fleet{})
	return g
}

// Run serves until ctx ends, then finishes the requests in progress; its error is an *Error.
func (g *Gate) Run(ctx context.Context) error {
	defer g.lines.Close()
	ready, err := net.Listen("tcp", g.set.Ready.String())
	if err != nil {
		return &Error{Addr: g.set.Ready.String(), Cause: err}
	}
	front, err := net.Listen("tcp", g.set.Listen.String())
	if err != nil {
		return &Error{Addr: g.set.Listen.String(), Cause: err}
	}
	g.log.Info("started", "listen", g.set.Listen, "zone", g.set.Zone, "first", g.set.First)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	probes := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: time.Second}
	go g.listen(probes, ready)
	callers := newCallers(g)
	go g.listen(callers, front)
	go follow.New(g.store, g.log, platform.ConfigKey, g.applyConfig, follow.WithPause(configPause)).Run(work)
	go follow.New(g.store, g.log, platform.MemberPrefix, g.applyMembers,
		follow.WithPause(memberPause), follow.WithLost(g.membersLost)).Run(work)
	go g.sweep(work)
	<-ctx.Done()
	g.stop(callers)
	return nil
}

func (g *Gate) listen(server *http.Server, l net.Listener) {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("listener ended", "addr", l.Addr(), "err", err)
	}
}

// stop lets the balancer notice, then closes the listener and finishes the requests in progress.
func (g *Gate) stop(callers *http.Server) {
	g.leaving.Store(true)
	began := time.Now()
	g.log.Info("stopping", "grace", g.set.Grace.D())
	callers.SetKeepAlivesEnabled(false)
	proc.Sleep(context.Background(), min(noticeTime, g.set.Grace.D()/2))
	ctx, cancel := context.WithTimeout(context.Background(), g.set.Grace.D()-time.Since(began)-lastMoment)
	defer cancel()
	err := callers.Shutdown(ctx)
	g.log.Info("stopped", "after", time.Since(began), "err", err)
}

// serveReady tells the balancer whether this entry takes new connections.
func (g *Gate) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case g.leaving.Load() || !g.serves():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// serves reports whether the gate knows a configuration and the upstreams.
func (g *Gate) serves() bool {
	return g.table.Load() != nil && g.fleet.Load().known
}

// sweep closes idle connections that upstreams have closed and drops upstreams that did not come back.
func (g *Gate) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		proc.Sleep(ctx, sweepEvery)
		g.outlet.Sweep()
		g.expireMembers()
	}
}

// budget returns the budget of repeated sends to a service.
func (g *Gate) budget(service string) *budget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		b = budget.New(g.set.Ratio, g.set.Slack, g.set.Window.D())
		b.Share(g.entries())
		g.budgets[service] = b
	}
	return b
}

// entries returns how many entries share the budgets.
func (g *Gate) entries() int {
	return assumedEntries
}

// assumedEntries divides the budgets while the other entries are not known.
const assumedEntries = 8
