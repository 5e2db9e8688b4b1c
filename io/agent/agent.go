package agent

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/blame"
	"pimentoseam/core/crash"
	"pimentoseam/core/dedup"
	"pimentoseam/core/event"
	"pimentoseam/core/frame"
	"pimentoseam/core/health"
	"pimentoseam/core/setup"
	"pimentoseam/io/engine"
	"pimentoseam/io/link"
	"pimentoseam/io/proc"
	"pimentoseam/io/server"
	"pimentoseam/io/store"
)

const (
	maxEvents    = 4096
	tickInterval = 20 * time.Millisecond
	stopTimeout  = 60 * time.Second // The maximum time for which a stop waits for calls in progress.

	// modelStopDelay is the time between a model agent's notice that it stops and the closing of its queue, in which
	// the notice reaches the entries.
	modelStopDelay = time.Second
	// serviceStopDelay is the same for a plain service, whose entries compare times of different clocks: the maximum
	// clock skew and a heartbeat.
	serviceStopDelay = 3 * time.Second

	controlIdleTimeout = 30 * time.Second
	// startReportPeriod is the time after the start in which heartbeats contain the start time.
	startReportPeriod = time.Minute
)

// Agent admits, runs and relays the requests of one upstream.
type Agent struct {
	settings   *setup.Agent
	log        *slog.Logger
	events     *event.Log
	client     *engine.Client
	queue      *admit.Queue
	table      *dedup.Table
	server     *server.Server
	reconciler *reconciler
	breaker    *health.Breaker
	blame      *blame.Ledger // What entries report of prompts; passed on to the others.
	crashes    *crash.Book   // What entries report of requests; passed on to the others.

	wake           chan struct{} // Signals refuseLate that a request may be queued.
	isLeaving      atomic.Bool
	startedAt      time.Time
	stoppedAt      atomic.Pointer[time.Time] // When the agent began to reject new keys; nil before.
	links          atomic.Int64
	configRevision atomic.Int64 // The newest revision that an entry has announced.
	promptTokens   atomic.Int64
	outputTokens   atomic.Int64

	mu        sync.Mutex
	calls     map[callID]*call
	crashedAt time.Time // When the upstream last crashed.
}

// New returns an Agent with the given settings.
func New(settings *setup.Agent) *Agent {
	now := time.Now().Round(time.Millisecond)
	a := &Agent{
		startedAt: now,
		settings:  settings,
		log:       proc.Logger(settings.Name),
		events:    event.New(settings.Name, maxEvents),
		client:    engine.New(settings.Upstream),
		queue:     admit.New(settings.Slots),
		table:     dedup.New(now),
		calls:     make(map[callID]*call),
		breaker:   health.New(),
		blame:     blame.New(),
		crashes:   crash.New(),
		wake:      make(chan struct{}, 1),
	}
	a.reconciler = newReconciler(a, store.New(settings.Store))
	mux := http.NewServeMux()
	proc.NewControl(settings.Secret, a.events).Register(mux)
	mux.HandleFunc("GET "+link.Path, a.acceptLink)
	a.server = server.New(settings.Listen, mux, server.WithKeepAlive(controlIdleTimeout))
	return a
}

// Run serves until ctx ends, then waits up to stopTimeout for the requests in progress. Its error is a
// *proc.ListenError.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.server.Start(); err != nil {
		return err
	}
	a.log.Info("started", "listen", a.settings.Listen, "upstream", a.settings.Upstream)
	a.events.Add("started", "", a.settings.Name, "")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.refuseLate(work)
	if a.settings.Kind == "model" {
		go a.reconciler.run(work)
	}
	<-ctx.Done()
	a.stop()
	return nil
}

// refuseLate refuses queued requests that can't meet their deadline; it pauses while the queue is empty.
func (a *Agent) refuseLate(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if a.queue.Load().Queued == 0 {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-a.wake:
			}
			ticker.Reset(tickInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.queue.Tick()
		}
	}
}

// stop announces the stop to the entries, then refuses new requests and waits for those in progress.
func (a *Agent) stop() {
	a.isLeaving.Store(true)
	now := time.Now()
	a.stoppedAt.Store(&now)
	a.events.Add("stopping", "", a.settings.Name, "")
	if a.settings.Kind == "model" {
		time.Sleep(modelStopDelay)
	} else {
		time.Sleep(serviceStopDelay)
	}
	a.queue.Close()
	deadline := time.Now().Add(stopTimeout)
	for a.activeCalls() > 0 && time.Now().Before(deadline) {
		time.Sleep(tickInterval)
	}
	a.log.Info("stopped", "left", a.activeCalls())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a.server.Stop(ctx)
}

// activeCalls counts the calls whose answers the entries have not consumed yet, except those that ended in an error.
func (a *Agent) activeCalls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, k := range a.calls {
		if !k.outbox.hasFailed() {
			n++
		}
	}
	return n
}

func (a *Agent) acceptLink(w http.ResponseWriter, r *http.Request) {
	_, err := link.Accept(a.server.Engine(), w, r, a.settings.Secret, a)
	if err != nil {
		a.log.Warn("link refused", "err", err)
		return
	}
	a.links.Add(1)
}

// Beat returns a heartbeat with the agent's load and revisions.
func (a *Agent) Beat() *frame.Beat {
	load := a.queue.Load()
	state := a.reconciler.current()
	var startedAt, stoppedAt time.Time
	if time.Since(a.startedAt) < startReportPeriod {
		startedAt = a.startedAt
	}
	if t := a.stoppedAt.Load(); t != nil {
		stoppedAt = *t
	}
	return &frame.Beat{
		Name:             a.settings.Name,
		Period:           link.HeartbeatInterval(int(a.links.Load())),
		Config:           a.configRevision.Load(),
		Running:          load.Running,
		Queued:           load.Queued,
		Slots:            load.Slots,
		Backlog:          load.Backlog,
		LowPriority:      load.LowPriority,
		LowPrioritySlots: load.LowPrioritySlots,
		Role:             state.Role,
		Version:          state.Version,
		Epoch:            state.Epoch,
		Plan:             state.Revision,
		Leaving:          a.isLeaving.Load() || a.reconciler.isBusy(),
		Failing:          a.breaker.IsOpen(),
		PromptTokens:     a.promptTokens.Load(),
		OutputTokens:     a.outputTokens.Load(),
		Start:            startedAt,
		StoppedAt:        stoppedAt,
		Blame:            a.blame.Report(),
		Crashes:          a.crashes.Report(),
	}
}

// Frame handles one frame from an entry.
func (a *Agent) Frame(c *link.Conn, f frame.Frame) {
	switch m := f.(type) {
	case *frame.Run:
		a.startCall(c, m)
	case *frame.Control:
		a.handleControl(c, m)
	case *frame.Beat:
		a.reconciler.observePlan(m.Epoch, m.Plan)
		a.observeConfig(m.Config)
		a.blame.Merge(m.Blame)
		a.crashes.Merge(m.Crashes)
	case *frame.Part, *frame.End:
		a.log.Warn("unexpected frame")
	}
}

// observeConfig stores the newest announced revision, which heartbeats pass on to the other entries.
func (a *Agent) observeConfig(revision int64) {
	for {
		known := a.configRevision.Load()
		if revision <= known || a.configRevision.CompareAndSwap(known, revision) {
			return
		}
	}
}

// Closed detaches the calls from a closed link; an entry may resume them on another link.
func (a *Agent) Closed(c *link.Conn, err error) {
	a.links.Add(-1)
	a.mu.Lock()
	calls := make([]*call, 0, len(a.calls))
	for _, call := range a.calls {
		calls = append(calls, call)
	}
	a.mu.Unlock()
	for _, call := range calls {
		call.outbox.detach(c)
	}
	a.events.Add("link-closed", "", a.settings.Name, err.Error())
}
