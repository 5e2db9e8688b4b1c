package gate

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/alert"
	"pimentoseam/core/beat"
	"pimentoseam/core/blame"
	"pimentoseam/core/budget"
	"pimentoseam/core/cached"
	"pimentoseam/core/crash"
	"pimentoseam/core/curve"
	"pimentoseam/core/fair"
	"pimentoseam/core/leave"
	"pimentoseam/core/member"
	"pimentoseam/core/outage"
	"pimentoseam/core/pace"
	"pimentoseam/core/place"
	"pimentoseam/core/setup"
	"pimentoseam/io/check"
	"pimentoseam/io/client"
	"pimentoseam/io/follow"
	"pimentoseam/io/front"
	"pimentoseam/io/gossip"
	"pimentoseam/io/intake"
	"pimentoseam/io/logbuf"
	"pimentoseam/io/meter"
	"pimentoseam/io/proc"
	"pimentoseam/platform"
)

const (
	// configPause and memberPause are the minimum times between two store calls, so that a series of changes takes
	// few calls. Both are far below the two seconds in which a new configuration or a leaving upstream must take
	// effect.
	configPause   = 50 * time.Millisecond
	memberPause   = 350 * time.Millisecond
	sweepInterval = 500 * time.Millisecond
)

// Gate is an entry that routes callers' requests to upstreams.
type Gate struct {
	current       atomic.Pointer[setup.Gate] // The settings in force.
	file          *proc.SettingsFile
	log           *slog.Logger
	logHandler    *logbuf.Handler
	store         *platform.Store
	pool          *client.Pool
	checker       *check.Checker
	placer        *place.Placer
	paces         *pace.Meter // Speeds of engines for prompts.
	streamPaces   *pace.Meter // Speeds of engines in generating output.
	cached        *cached.Map
	blame         *blame.Ledger
	crashes       *crash.Book
	meter         *meter.Meter
	intake        *intake.Intake
	gossip        *gossip.Gossip
	peerClient    *http.Client
	config        atomic.Pointer[activeConfig]
	snapshot      atomic.Pointer[upstreamSnapshot] // The upstreams that requests may use.
	lastPeerState atomic.Pointer[peerState]
	election      *election
	permits       *permits
	shares        *fair.Shares
	duties        *duties       // Nil if the settings ask for none.
	server        *front.Server // Serves callers; set before the goroutines that change its limits start.
	prefillRate   rateMeter
	stop          stopState
	learnsSpeeds  atomic.Bool // Upstreams state how slow their VMs are, so that engines can differ from the stated model.
	started       time.Time
	beatSeq       atomic.Uint64
	newerBeats    chan *beat.Beat // Beats of entries that have newer versions than this one.

	watchConfig  *follow.Follower
	watchMembers *follow.Follower

	prefillWork atomic.Uint64 // Total prefill work that callers requested, in milliseconds.

	mu             sync.Mutex
	memberSet      *member.Set               // The upstreams of the list, and removed ones in their grace.
	storeList      upstreamList              // The list in the store as last known, with recent removals.
	membersKnown   bool                      // The upstream list has been read.
	expiry         *time.Timer               // Calls expireMembers; nil before the first removal.
	leaving        *leave.Set                // The upstreams that have stated that they leave.
	beatPrefixes   []beat.CachedPrefix       // Prefixes for the next beat.
	alertPrompts   []alert.Prompt            // Times of engines for prompts, for the next alert.
	alertPaces     []alert.Pace              // Speeds of engines relative to the stated model, for the next alert.
	alertStreams   []alert.Pace              // Speeds of engines in generating output, for the next alert.
	intervals      map[string]*pace.Interval // By service.
	curves         map[string]*curve.Curve   // By service.
	digestPrefixes []beat.CachedPrefix       // Prefixes for the next digest of the zone.
	newest         peerVersions
	storedRead     time.Time            // When the blocks and holds in the store were last read.
	breakages      []*breakage          // Of upstreams that may have crashed and been back at once.
	abandoned      []abandonment        // Requests that upstreams may still run.
	upstreamStates map[string]*upstream // This gate's state for each upstream, by id.
	budgets        map[string]*budget.Budget
	outages        map[string]*outage.Outage // By service, from its first refusal without an upstream on.
}

// Option configures a Gate.
type Option func(*options)

type options struct {
	out  io.Writer
	file *proc.SettingsFile
}

// WithFile sets the settings file, which is read again on SIGHUP and whenever it changes.
func WithFile(file *proc.SettingsFile) Option {
	return func(o *options) { o.file = file }
}

// WithLog sets the destination of the log; the default is standard output.
func WithLog(w io.Writer) Option {
	return func(o *options) { o.out = w }
}

// New returns a Gate with the given settings.
func New(settings *setup.Gate, opts ...Option) *Gate {
	o := options{out: os.Stdout, file: proc.WatchSettings("")}
	for _, opt := range opts {
		opt(&o)
	}
	logHandler := logbuf.New(o.out)
	g := &Gate{
		file: o.file, logHandler: logHandler, log: slog.New(logHandler).With("process", settings.Name),
		store: platform.NewStore(settings.Store), pool: client.New(), checker: check.New(), placer: place.New(), paces: pace.New(), streamPaces: pace.New(), cached: cached.New(), blame: blame.New(), crashes: crash.New(), shares: fair.New(), meter: meter.New(), intake: intake.New(),
		memberSet: member.New(), leaving: leave.New(), upstreamStates: make(map[string]*upstream), budgets: make(map[string]*budget.Budget), outages: make(map[string]*outage.Outage), curves: make(map[string]*curve.Curve), intervals: make(map[string]*pace.Interval),
		storeList: upstreamList{Items: make(map[string]platform.Item), Gone: make(map[string]int64)},
		started:   time.Now(), newerBeats: make(chan *beat.Beat, 1),
		peerClient: newPeerClient(),
	}
	g.current.Store(settings)
	g.stop.init()
	g.gossip = gossip.New(settings.Peer, settings.Name, settings.Zone, g.log, gossipSource{g})
	g.election = newElection(g)
	g.permits = newPermits(g)
	g.duties = newDuties(g)
	g.watchConfig = follow.New(g.store, g.log, platform.ConfigKey, g.applyConfig, follow.WithPause(configPause),
		follow.WithWait(watchWait), follow.WithSuspend(g.reliesOnPeers, g.configRevision), follow.WithRetryWait(g.storeRetryWait))
	g.watchMembers = follow.New(g.store, g.log, platform.MemberPrefix, g.applyMembers, follow.WithPause(memberPause),
		follow.WithWait(watchWait), follow.WithOnFailure(g.recordListOutage), follow.WithSuspend(g.reliesOnPeers, g.membersRevision), follow.WithRetryWait(g.storeRetryWait))
	g.snapshot.Store(&upstreamSnapshot{})
	return g
}

// settings returns the settings in force.
func (g *Gate) settings() *setup.Gate {
	return g.current.Load()
}

// Run serves until ctx ends, then finishes the requests in progress; its error is a *proc.ListenError.
func (g *Gate) Run(ctx context.Context) error {
	defer g.logHandler.Close()
	probeListener, err := net.Listen("tcp", g.settings().Ready.String())
	if err != nil {
		return &proc.ListenError{Addr: g.settings().Ready, Cause: err}
	}
	callerListener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(g.settings().Listen))
	if err != nil {
		return &proc.ListenError{Addr: g.settings().Listen, Cause: err}
	}
	shareListener, err := net.Listen("tcp", g.settings().Share.String())
	if err != nil {
		return &proc.ListenError{Addr: g.settings().Share, Cause: err}
	}
	g.log.Info("started", "listen", g.settings().Listen, "zone", g.settings().Zone, "first", g.settings().FirstStart)
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go g.serveListener(readyListener, readyConnections, http.HandlerFunc(g.serveReady), probeListener)
	server := front.New(callerListener, http.HandlerFunc(g.serve), g.log, g.frontOptions()...)
	g.server = server
	go func() {
		if err := server.Serve(); err != nil {
			g.log.Error("listener ended", "addr", callerListener.Addr(), "err", err)
		}
	}()
	g.registerGauges()
	debugListener, err := net.Listen("tcp", g.settings().Debug.String())
	if err != nil {
		return &proc.ListenError{Addr: g.settings().Debug, Cause: err}
	}
	go g.serveListener("debug", debugConnections, g.meter.Handler(), debugListener)
	go g.serveListener("share", shareConnections, g.shareHandler(), shareListener)
	go func() {
		if err := g.gossip.Run(workCtx); err != nil {
			g.log.Error("gossip not started", "err", err)
		}
	}()
	go g.register(workCtx)
	go g.catchUp(workCtx)
	go g.watchConfig.Run(workCtx)
	go g.watchMembers.Run(workCtx)
	go g.sweep(workCtx)
	go g.permits.run(workCtx)
	g.duties.run(ctx, workCtx)
	go g.election.run(ctx)
	go g.file.Run(workCtx, g.log, g.reload)
	<-ctx.Done()
	g.shutdown(server)
	return nil
}

// registerGauges registers the gauges of this entry's state and load.
func (g *Gate) registerGauges() {
	g.meter.Gauge("config version", func() float64 { return float64(g.version()) })
	g.meter.Gauge("slowness", g.paces.Median)
	g.meter.Gauge("suspect requests", func() float64 {
		suspects, _ := g.crashes.Known()
		return float64(suspects)
	})
	g.meter.Gauge("held requests", func() float64 { return float64(len(g.crashes.Holds())) })
	g.meter.Gauge("blocked sets", func() float64 { return float64(len(g.blame.Blocks())) })
	g.meter.Gauge("held sets", func() float64 { return float64(g.blame.NumHolds()) })
	g.meter.Gauge("limits", func() float64 { return float64(g.permits.book.InForce()) })
	g.meter.Gauge("organisations counted", func() float64 { return float64(g.shares.Len()) })
	g.meter.Gauge("era", func() float64 { return float64(g.store.Era()) })
	g.meter.Gauge("upstreams", func() float64 { return float64(len(g.snapshot.Load().byKey)) })
	g.meter.Gauge("entries", func() float64 { return float64(g.gossip.NumEntries()) })
	g.meter.Gauge("lead", func() float64 {
		if g.election.isLeader() {
			return 1
		}
		return 0
	})
	g.meter.Gauge("running", func() float64 {
		var n int64
		for _, u := range g.snapshot.Load().byKey {
			n += u.running.Load()
		}
		return float64(n)
	})
}

// serveReady responds to the load balancer's readiness probes.
func (g *Gate) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case g.stop.isStopping() || !g.isReady():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// isReady reports whether the gate has a configuration and the upstream list.
func (g *Gate) isReady() bool {
	return g.config.Load() != nil && g.snapshot.Load().known
}

// sweep periodically closes idle connections that have expired or that upstreams have closed, records an outage of
// the upstream list while the store is unavailable.
func (g *Gate) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		proc.Sleep(ctx, sweepInterval)
		g.pool.Sweep()
		g.checker.Sweep()
		if g.watchMembers.IsUnavailable() {
			g.recordListOutage()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.expiry != nil {
		g.expiry.Stop()
	}
}

// budget returns the retry budget of a service.
func (g *Gate) budget(service string) *budget.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		set := g.settings()
		b = budget.New(set.RetryRatio, set.RetrySlack, set.RetryWindow.Duration(), budget.WithStart(g.started), budget.WithFirstStart(set.FirstStart))
		g.budgets[service] = b
	}
	b.SetEntries(g.gossip.NumEntries())
	return b
}

// outage returns the state of a service's outages.
func (g *Gate) outage(service string) *outage.Outage {
	g.mu.Lock()
	defer g.mu.Unlock()
	o, ok := g.outages[service]
	if !ok {
		o = &outage.Outage{}
		g.outages[service] = o
	}
	return o
}
