package gate

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/beat"
	"pimentoseam/core/budget"
	"pimentoseam/core/cached"
	"pimentoseam/core/member"
	"pimentoseam/core/place"
	"pimentoseam/core/setup"
	"pimentoseam/io/door"
	"pimentoseam/io/follow"
	"pimentoseam/io/gossip"
	"pimentoseam/io/logbuf"
	"pimentoseam/io/meter"
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
	current atomic.Pointer[setup.Gate] // The settings in force.
	file    string                     // They are read from; empty for none.
	log     *slog.Logger
	lines   *logbuf.Handler
	store   *platform.Store
	outlet  *outlet.Pool
	placer  *place.Placer
	cached  *cached.Map
	meter   *meter.Meter
	gossip  *gossip.Gossip
	peer    *http.Client
	config  atomic.Pointer[document]
	fleet   atomic.Pointer[fleet]
	others  atomic.Pointer[others]
	lead    *lead
	door    *door.Server // Set before anything else runs.
	demand  demand
	leaving atomic.Bool
	began   time.Time
	beats   atomic.Uint64
	behind  chan *beat.Beat

	watchConfig  *follow.Follower
	watchMembers *follow.Follower

	prompted atomic.Uint64 // Milliseconds of prefill work that callers asked for.

	mu        sync.Mutex
	members   *member.Set
	listed    listed
	known     bool                // The list of upstreams has been read.
	parts     []beat.CachedPrefix // For the next beat.
	zoneParts []beat.CachedPrefix // For the next sum of the zone.
	rumour    rumour
	upstreams map[string]*upstream // By id; only the follower of members changes it.
	budgets   map[string]*budget.Budget
}

// Option changes a Gate.
type Option func(*options)

type options struct {
	out  io.Writer
	file string
}

// WithFile has the settings read again from a file on SIGHUP and whenever it changes.
func WithFile(path string) Option {
	return func(o *options) { o.file = path }
}

// WithLog sends the log lines to w in place of the standard output.
func WithLog(w io.Writer) Option {
	return func(o *options) { o.out = w }
}

// New returns a Gate with the given settings.
func New(set *setup.Gate, opts ...Option) *Gate {
	o := options{out: os.Stdout}
	for _, opt := range opts {
		opt(&o)
	}
	lines := logbuf.New(o.out)
	g := &Gate{
		file: o.file, lines: lines, log: slog.New(lines).With("process", set.Name),
		store: platform.NewStore(set.Store), outlet: outlet.New(), placer: place.New(), cached: cached.New(), meter: meter.New(),
		members: member.New(), upstreams: make(map[string]*upstream), budgets: make(map[string]*budget.Budget),
		listed: listed{Items: make(map[string]platform.Item), Gone: make(map[string]int64)},
		began:  time.Now(), behind: make(chan *beat.Beat, 1),
		peer: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}},
	}
	g.current.Store(set)
	g.gossip = gossip.New(set.Peer, set.Name, set.Zone, g.log, voice{g})
	g.lead = newLead(g)
	g.watchConfig = follow.New(g.store, g.log, platform.ConfigKey, g.applyConfig, follow.WithPause(configPause),
		follow.WithWait(watchWait), follow.WithSuspend(g.rests, g.configAt), follow.WithMaxRetryInterval(g.retryMost))
	g.watchMembers = follow.New(g.store, g.log, platform.MemberPrefix, g.applyMembers, follow.WithPause(memberPause),
		follow.WithWait(watchWait), follow.WithOnFailure(g.membersLost), follow.WithSuspend(g.rests, g.membersAt), follow.WithMaxRetryInterval(g.retryMost))
	g.fleet.Store(&fleet{})
	return g
}

// set returns the settings in force.
func (g *Gate) set() *setup.Gate {
	return g.current.Load()
}

// Run serves until ctx ends, then finishes the requests in progress; its error is a *proc.Unbound.
func (g *Gate) Run(ctx context.Context) error {
	defer g.lines.Close()
	ready, err := net.Listen("tcp", g.set().Ready.String())
	if err != nil {
		return &proc.ListenError{Addr: g.set().Ready, Cause: err}
	}
	front, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(g.set().Listen))
	if err != nil {
		return &proc.ListenError{Addr: g.set().Listen, Cause: err}
	}
	share, err := net.Listen("tcp", g.set().Share.String())
	if err != nil {
		return &proc.ListenError{Addr: g.set().Share, Cause: err}
	}
	g.log.Info("started", "listen", g.set().Listen, "zone", g.set().Zone, "first", g.set().FirstStart)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	probes := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: time.Second}
	go g.listen(probes, ready)
	callers := door.New(front, http.HandlerFunc(g.serve), g.log)
	g.door = callers
	go func() {
		if err := callers.Serve(); err != nil {
			g.log.Error("listener ended", "addr", front.Addr(), "err", err)
		}
	}()
	g.gauges()
	debug, err := net.Listen("tcp", g.set().Debug.String())
	if err != nil {
		return &proc.ListenError{Addr: g.set().Debug, Cause: err}
	}
	go g.listen(&http.Server{Handler: g.meter.Handler(), ReadHeaderTimeout: time.Second}, debug)
	shares := &http.Server{Handler: g.shareHandler(), ReadHeaderTimeout: time.Second}
	go g.listen(shares, share)
	go func() {
		if err := g.gossip.Run(work); err != nil {
			g.log.Error("no beats", "err", err)
		}
	}()
	go g.register(work)
	go g.catchUp(work)
	go g.watchConfig.Run(work)
	go g.watchMembers.Run(work)
	go g.sweep(work)
	go g.lead.run(ctx)
	go proc.WatchSettings(work, g.log, g.file, g.reload)
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
func (g *Gate) stop(callers *door.Server) {
	g.leaving.Store(true)
	began := time.Now()
	g.log.Info("stopping", "grace", g.set().GracePeriod.Duration())
	callers.DisableKeepAlives()
	proc.Sleep(context.Background(), min(noticeTime, g.set().GracePeriod.Duration()/2))
	ctx, cancel := context.WithTimeout(context.Background(), g.set().GracePeriod.Duration()-time.Since(began)-lastMoment)
	defer cancel()
	err := callers.Shutdown(ctx)
	g.log.Info("stopped", "after", time.Since(began), "err", err)
}

// gauges has the meter tell what this entry believes and how much it has in progress.
func (g *Gate) gauges() {
	g.meter.Gauge("config version", func() float64 { return float64(g.version()) })
	g.meter.Gauge("upstreams", func() float64 { return float64(len(g.fleet.Load().byKey)) })
	g.meter.Gauge("entries", func() float64 { return float64(g.gossip.NumEntries()) })
	g.meter.Gauge("lead", func() float64 {
		if g.lead.holds() {
			return 1
		}
		return 0
	})
	g.meter.Gauge("running", func() float64 {
		var n int64
		for _, u := range g.fleet.Load().byKey {
			n += u.running.Load()
		}
		return float64(n)
	})
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
	return g.config.Load() != nil && g.fleet.Load().known
}

// sweep closes idle connections that upstreams have closed and drops upstreams that did not come back.
func (g *Gate) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		proc.Sleep(ctx, sweepEvery)
		g.outlet.Sweep()
		if g.watchMembers.IsUnavailable() {
			g.membersLost()
		}
		g.expireMembers()
	}
}

// budget returns the budget of repeated sends to a service.
func (g *Gate) budget(service string) *budget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		b = budget.New(g.set().RetryRatio, g.set().RetrySlack, g.set().RetryWindow.Duration())
		g.budgets[service] = b
	}
	b.SetGates(g.gossip.NumEntries())
	return b
}
