package agent

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/admit"
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
	eventsKept  = 4096
	tickEvery   = 20 * time.Millisecond
	stopGrace   = 60 * time.Second
	linkNotice  = time.Second     // time for entries to learn that the agent leaves
	keyNotice   = 3 * time.Second // the same for a plain service: the clocks' skew and a heartbeat
	controlIdle = 30 * time.Second
	startTold   = time.Minute // after its start, in which the agent tells of it
)

// Agent admits, runs and relays the requests of one upstream.
type Agent struct {
	set    *setup.Agent
	log    *slog.Logger
	events *event.Log
	client *engine.Client
	queue  *admit.Queue
	table  *dedup.Table
	server *server.Server
	orders *orders
	health *health.Breaker

	offered chan struct{} // signals that a request may wait
	leaving atomic.Bool
	begun   time.Time
	left    atomic.Pointer[time.Time] // since when unseen keys are barred
	links   atomic.Int64
	config  atomic.Int64 // newest revision that an entry told of
	prompt  atomic.Int64
	output  atomic.Int64

	mu    sync.Mutex
	calls map[callID]*call
}

// New returns an Agent with the given settings.
func New(set *setup.Agent) *Agent {
	now := time.Now().Round(time.Millisecond)
	a := &Agent{
		begun:   now,
		set:     set,
		log:     proc.Logger(set.Name),
		events:  event.New(set.Name, eventsKept),
		client:  engine.New(set.Upstream),
		queue:   admit.New(set.Slots),
		table:   dedup.New(now),
		calls:   make(map[callID]*call),
		health:  health.New(),
		offered: make(chan struct{}, 1),
	}
	a.orders = newOrders(a, store.New(set.Store))
	mux := http.NewServeMux()
	proc.NewControl(set.Secret, a.events).Register(mux)
	mux.HandleFunc("GET "+link.Path, a.accept)
	a.server = server.New(set.Listen, mux, server.WithKeepAlive(controlIdle))
	return a
}

// Run serves until ctx ends, then finishes the requests in progress; its error is a *proc.Unbound.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.server.Start(); err != nil {
		return err
	}
	a.log.Info("started", "listen", a.set.Listen, "upstream", a.set.Upstream)
	a.events.Add("started", "", a.set.Name, "")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.tick(work)
	if a.set.Kind == "model" {
		go a.orders.run(work)
	}
	<-ctx.Done()
	a.stop()
	return nil
}

// tick drops requests that can't meet their deadline, while any wait.
func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		if a.queue.Load().Queued == 0 {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-a.offered:
			}
			ticker.Reset(tickEvery)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.queue.Tick()
		}
	}
}

// stop refuses new work, tells the entries, and waits for the requests in progress.
func (a *Agent) stop() {
	a.leaving.Store(true)
	now := time.Now()
	a.left.Store(&now)
	a.events.Add("stopping", "", a.set.Name, "")
	if a.set.Kind == "model" {
		time.Sleep(linkNotice)
	} else {
		time.Sleep(keyNotice)
	}
	a.queue.Close()
	deadline := time.Now().Add(stopGrace)
	for a.active() > 0 && time.Now().Before(deadline) {
		time.Sleep(tickEvery)
	}
	a.log.Info("stopped", "left", a.active())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a.server.Stop(ctx)
}

// active counts the calls whose answers were not yet taken whole, but for refused ones.
func (a *Agent) active() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, k := range a.calls {
		if !k.out.refused() {
			n++
		}
	}
	return n
}

func (a *Agent) accept(w http.ResponseWriter, r *http.Request) {
	_, err := link.Accept(a.server.Engine(), w, r, a.set.Secret, a)
	if err != nil {
		a.log.Warn("link refused", "err", err)
		return
	}
	a.links.Add(1)
}

// Beat returns the agent's load and revisions.
func (a *Agent) Beat() *frame.Beat {
	load := a.queue.Load()
	state := a.orders.current()
	var begun, left time.Time
	if time.Since(a.begun) < startTold {
		begun = a.begun
	}
	if since := a.left.Load(); since != nil {
		left = *since
	}
	return &frame.Beat{
		Name:             a.set.Name,
		Period:           link.HeartbeatInterval(int(a.links.Load())),
		Config:           a.config.Load(),
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
		Leaving:          a.leaving.Load() || a.orders.busy(),
		Failing:          a.health.IsOpen(),
		PromptTokens:     a.prompt.Load(),
		OutputTokens:     a.output.Load(),
		Start:            begun,
		StoppedAt:        left,
	}
}

// Frame handles one frame from an entry.
func (a *Agent) Frame(c *link.Conn, f frame.Frame) {
	switch m := f.(type) {
	case *frame.Run:
		a.start(c, m)
	case *frame.Control:
		a.ask(c, m)
	case *frame.Beat:
		a.orders.hear(m.Epoch, m.Plan)
		a.hearConfig(m.Config)
	case *frame.Part, *frame.End:
		a.log.Warn("unexpected frame")
	}
}

// hearConfig keeps the newest revision, which heartbeats carry to the other entries.
func (a *Agent) hearConfig(revision int64) {
	for {
		known := a.config.Load()
		if revision <= known || a.config.CompareAndSwap(known, revision) {
			return
		}
	}
}

// Closed leaves the calls of a closed link waiting for a resume.
func (a *Agent) Closed(c *link.Conn, err error) {
	a.links.Add(-1)
	a.mu.Lock()
	calls := make([]*call, 0, len(a.calls))
	for _, call := range a.calls {
		calls = append(calls, call)
	}
	a.mu.Unlock()
	for _, call := range calls {
		call.out.detach(c)
	}
	a.events.Add("link-closed", "", a.set.Name, err.Error())
}
