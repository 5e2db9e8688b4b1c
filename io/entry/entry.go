package entry

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/event"
	"pimentoseam/core/grace"
	"pimentoseam/core/pick"
	"pimentoseam/core/retry"
	"pimentoseam/core/setup"
	"pimentoseam/io/answer"
	"pimentoseam/io/proc"
	"pimentoseam/io/server"
	"pimentoseam/io/store"
	"pimentoseam/io/vmlist"
)

const (
	maxEvents        = 8192            // Maximum number of events kept for the time line.
	retryRatio       = 0.1             // Retries per first attempt.
	healthCheckDelay = 2 * time.Second // Time for the load balancer to notice the failing health check.
)

// Entry serves callers and operators.
type Entry struct {
	settings       *setup.Entry
	log            *slog.Logger
	events         *event.Log
	store          *store.Client
	peers          *http.Client // Of other processes' control interfaces.
	vms            *vmlist.Client
	public         *server.Server
	admin          *server.Server
	budget         *retry.Budget
	blame          *blame.Ledger
	crashes        *crash.Book
	chooser        *pick.Chooser
	view           atomic.Pointer[view]
	fleet          atomic.Pointer[fleet]
	period         atomic.Pointer[grace.Period] // Of a planned stop; nil until the signal.
	ending         chan struct{}                // Closed when requests in progress are answered because the process ends.
	election       *election
	activeRequests atomic.Int64
	linkCount      atomic.Int64  // The number of open links, which sets the heartbeat interval.
	catchUpSignal  chan struct{} // Signals that a newer configuration is in force elsewhere.
	newerConfig    atomic.Pointer[newerConfig]
	lastListAt     atomic.Int64 // When the VM list was last read, in Unix nanoseconds.

	mu             sync.Mutex
	upstreams      map[string]*upstream         // The configured upstreams by name.
	previousOwners map[netip.AddrPort]*upstream // Upstreams that own keys and are no longer configured.
	attempts       sync.Map                     // Maps attemptID to *attempt.
}

// New returns an Entry with the given settings.
func New(settings *setup.Entry) *Entry {
	e := &Entry{
		settings:       settings,
		log:            proc.Logger(settings.Name),
		events:         event.New(settings.Name, maxEvents),
		store:          store.New(settings.Store),
		peers:          &http.Client{Transport: answer.NewTransport(nil)},
		budget:         retry.New(retryRatio),
		blame:          blame.New(),
		crashes:        crash.New(),
		chooser:        pick.New(),
		ending:         make(chan struct{}),
		catchUpSignal:  make(chan struct{}, 1),
		upstreams:      make(map[string]*upstream),
		previousOwners: make(map[netip.AddrPort]*upstream),
	}
	e.vms = vmlist.New(settings.VMs, vmlist.WithOnOdd(func(index int, err error) { e.log.Warn("VM left out", "index", index, "err", err) }))
	e.view.Store(emptyView())
	e.fleet.Store(&fleet{})
	e.election = newElection(e)
	e.public = server.New(settings.Listen, e.publicRoutes(), server.WithStopped(e.refuseStopped))
	e.admin = server.New(settings.Admin, e.adminRoutes())
	return e
}

// Run serves until ctx ends, then finishes the requests in progress; its error is a *proc.ListenError.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.public.Start(); err != nil {
		return err
	}
	if err := e.admin.Start(); err != nil {
		return err
	}
	e.log.Info("started", "listen", e.settings.Listen, "admin", e.settings.Admin)
	e.events.Add("started", "", e.settings.Name, "")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.watchConfig(work)
	go e.catchUp(work)
	go e.watchFleet(work)
	go e.election.run(work)
	<-ctx.Done()
	e.stop()
	return nil
}

func (e *Entry) publicRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/models", e.serveModels)
	mux.HandleFunc("GET /healthz", e.serveHealth)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isStopping() {
			w.Header().Set("Connection", "close")
		}
		// A ServeMux would decode the path for the service, and redirect callers from paths with dots or empty segments.
		if _, _, ok := servicePath(r); ok {
			e.serveService(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// serveHealth responds with status 503 while the entry has no configuration, and from the start of its shutdown.
func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if e.isStopping() || e.view.Load().revision == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
