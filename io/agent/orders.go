package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"pimentoseam/core/plan"
	"pimentoseam/io/engine"
	"pimentoseam/io/proc"
	"pimentoseam/io/store"
)

const (
	planEvery  = time.Minute            // time between readings of the plan without a hint
	settleWait = 200 * time.Millisecond // time between readings of an unsettled engine
	retryWait  = time.Second            // time before the plan is read again after a failure
	quietTime  = 5 * time.Second        // time that an order may take to reach the engine
)

// ready is the phase of an engine that carries out no order.
const ready = "ready"

// orders carries out the plan at the engine, one order at a time.
type orders struct {
	agent *Agent
	store *store.Client
	hint  chan struct{}

	mu       sync.Mutex
	state    engine.State
	plan     *plan.Plan // newest that was read since the agent's start, nil before
	heard    plan.Plan  // newest that entries told of
	changing bool

	clear bool      // no order but this agent's next one can reach the engine
	seen  time.Time // since when the engine has answered
}

func newOrders(a *Agent, s *store.Client) *orders {
	return &orders{agent: a, store: s, hint: make(chan struct{}, 1), state: engine.State{Role: "mixed"}}
}

// run follows the plan until ctx ends.
func (o *orders) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := proc.Jitter(planEvery)
		if !o.follow(ctx) {
			wait = proc.Jitter(retryWait)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-o.hint:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// hear notes the newest plan that an entry told of.
func (o *orders) hear(epoch, revision int64) {
	told := plan.Plan{Epoch: epoch, Revision: revision}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !told.Newer(&o.heard) {
		return
	}
	o.heard = told
	select {
	case o.hint <- struct{}{}:
	default:
	}
}

// busy reports whether an order is being carried out.
func (o *orders) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changing
}

func (o *orders) current() engine.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.state
	if o.plan != nil {
		s.Epoch, s.Revision = o.plan.Epoch, o.plan.Revision
	}
	return s
}

// follow reads the plan and brings the engine to it; it reports false if it must be tried again.
func (o *orders) follow(ctx context.Context) bool {
	p, ok := o.read(ctx)
	if !ok {
		return false
	}
	state, ok := o.settled(ctx)
	if !ok {
		o.seen = time.Time{}
		return false
	}
	if o.seen.IsZero() {
		o.seen = time.Now()
	}
	order, ok := p.Command(o.agent.set.Name)
	if !ok || (order.Role == state.Role && order.Version == state.Version) {
		return true
	}
	return o.quiet() && o.change(ctx, p, order)
}

// quiet reports whether an order of the agent before this one, or of this one without an answer,
// would have reached the engine by now.
func (o *orders) quiet() bool {
	o.clear = o.clear || time.Since(o.seen) > quietTime
	return o.clear
}

// read returns the newest plan; an older one than was read or heard before is refused.
func (o *orders) read(ctx context.Context) (*plan.Plan, bool) {
	item, err := o.store.Get(ctx, "plan/"+o.agent.set.Target)
	if err != nil {
		o.agent.log.Warn("plan not read", "err", err)
		return nil, false
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		o.agent.log.Error("plan not understood", "err", err)
		return nil, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.heard.Newer(p) || (o.plan != nil && o.plan.Newer(p)) {
		return nil, false
	}
	o.plan = p
	return p, true
}

// settled returns the engine's state once it carries out no order.
func (o *orders) settled(ctx context.Context) (engine.State, bool) {
	for ctx.Err() == nil {
		state, err := o.agent.client.State(ctx)
		if err != nil {
			return state, false
		}
		if state.Phase == ready {
			o.mu.Lock()
			o.state = state
			o.mu.Unlock()
			return state, true
		}
		time.Sleep(settleWait)
	}
	return engine.State{}, false
}

// change empties the upstream, gives it the order and reports whether it was carried out.
func (o *orders) change(ctx context.Context, p *plan.Plan, order plan.Command) bool {
	o.setChanging(true)
	defer o.setChanging(false)
	o.agent.events.Add("change", "", order.Upstream, order.Role+" "+order.Version)
	o.agent.queue.Close()
	defer o.agent.queue.Reopen()
	o.drain(ctx)
	if !o.newest(p) {
		return false
	}
	err := o.agent.client.Give(ctx, engine.Order{
		Epoch: p.Epoch, Revision: p.Revision, Role: order.Role, Version: order.Version, Holder: o.agent.set.Name,
	})
	if errors.Is(err, context.DeadlineExceeded) {
		o.clear, o.seen = false, time.Time{}
	}
	if err != nil {
		o.agent.events.Add("change-failed", "", order.Upstream, err.Error())
		return false
	}
	_, ok := o.settled(ctx)
	o.agent.events.Add("changed", "", order.Upstream, order.Role+" "+order.Version)
	return ok
}

// drain waits until no request waits or runs at the upstream.
func (o *orders) drain(ctx context.Context) {
	for ctx.Err() == nil {
		load := o.agent.queue.Load()
		if load.Running+load.Queued == 0 {
			return
		}
		time.Sleep(tickEvery)
	}
}

// newest reports whether no newer plan is known than p.
func (o *orders) newest(p *plan.Plan) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.heard.Newer(p)
}

func (o *orders) setChanging(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changing = on
}
