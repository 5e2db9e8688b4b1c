package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"pimentoseam/core/crash"
	"pimentoseam/core/plan"
	"pimentoseam/core/roles"
	"pimentoseam/io/engine"
	"pimentoseam/io/proc"
	"pimentoseam/io/store"
)

const (
	planPollInterval  = time.Minute // The plan is also read when an entry announces a newer one.
	statePollInterval = 200 * time.Millisecond
	retryDelay        = time.Second

	// maxCommandDelay is the maximum time that a command may take to reach the engine.
	maxCommandDelay = 5 * time.Second
)

// phaseReady is the phase of an engine that executes no command.
const phaseReady = "ready"

// reconciler applies the commands of the plan to the engine, one at a time.
type reconciler struct {
	agent *Agent
	store *store.Client
	wake  chan struct{} // Signals run that a newer plan was announced.

	mu         sync.Mutex
	state      engine.State
	plan       *plan.Plan // The newest plan read since the agent's start, nil before.
	announced  plan.Plan  // The newest epoch and revision that entries have announced.
	isChanging bool

	crashes   int       // Commands in a row under which the engine has ended.
	crashedAt time.Time // When it ended under the last one.

	earlierCommandsExpired bool      // Set when no earlier command can still reach the engine; reset by a timeout.
	answeringSince         time.Time // Since when the engine has answered without a failure.
}

func newReconciler(a *Agent, s *store.Client) *reconciler {
	return &reconciler{agent: a, store: s, wake: make(chan struct{}, 1), state: engine.State{Role: "mixed"}}
}

// run reconciles the engine with the plan until ctx ends.
func (r *reconciler) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := proc.Jitter(planPollInterval)
		if !r.reconcile(ctx) {
			wait = proc.Jitter(retryDelay)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// observePlan records the plan that an entry announced and triggers a reconciliation if it is newer than any before.
func (r *reconciler) observePlan(epoch, revision int64) {
	announced := plan.Plan{Epoch: epoch, Revision: revision}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !announced.Newer(&r.announced) {
		return
	}
	r.announced = announced
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// isBusy reports whether a command is being applied.
func (r *reconciler) isBusy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isChanging
}

// current returns the engine's last known state; its epoch and revision are those of the plan last read.
func (r *reconciler) current() engine.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state
	if r.plan != nil {
		s.Epoch, s.Revision = r.plan.Epoch, r.plan.Revision
	}
	return s
}

// reconcile reads the plan and applies the engine's command; it returns false if it must be retried.
func (r *reconciler) reconcile(ctx context.Context) bool {
	p, ok := r.readPlan(ctx)
	if !ok {
		return false
	}
	state, ok := r.awaitReady(ctx)
	if !ok {
		r.answeringSince = time.Time{}
		return false
	}
	if r.answeringSince.IsZero() {
		r.answeringSince = time.Now()
	}
	command, ok := p.Command(r.agent.settings.Name)
	if !ok || (command.Role == state.Role && command.Version == state.Version) {
		return true
	}
	if !roles.Role(command.Role).IsKnown() {
		r.agent.log.Warn("unknown role not followed", "revision", p.Revision, "epoch", p.Epoch, "lead", p.Leader, "role", command.Role)
		return true
	}
	return r.checkEarlierCommands() && !r.isPausedAfterCrash() && r.apply(ctx, p, command)
}

// isPausedAfterCrash reports whether the engine gets no command now, because it has ended under the last ones.
func (r *reconciler) isPausedAfterCrash() bool {
	return r.crashes > 0 && time.Since(r.crashedAt) < crash.Backoff(r.crashes)
}

// recordCommand records whether the engine has ended under a command that failed.
func (r *reconciler) recordCommand(failed error) {
	if failed == nil {
		r.crashes = 0
		return
	}
	if r.agent.isDown() {
		r.crashes++
		r.crashedAt = time.Now()
		r.agent.log.Warn("engine ended under command", "crashes", r.crashes, "next", crash.Backoff(r.crashes), "err", failed)
	}
}

// checkEarlierCommands returns true if no earlier command can still reach the engine: neither one of the agent's
// previous process nor one of this process that timed out. It keeps this result until the next command times out.
func (r *reconciler) checkEarlierCommands() bool {
	r.earlierCommandsExpired = r.earlierCommandsExpired || time.Since(r.answeringSince) > maxCommandDelay
	return r.earlierCommandsExpired
}

// readPlan returns the stored plan; it rejects a plan that is older than one that was read or announced before.
func (r *reconciler) readPlan(ctx context.Context) (*plan.Plan, bool) {
	item, err := r.store.Get(ctx, "plan/"+r.agent.settings.Target)
	if err != nil {
		r.agent.log.Warn("plan not read", "err", err)
		return nil, false
	}
	p, err := plan.Parse(item.Value)
	if err != nil {
		r.agent.log.Error("plan not understood", "err", err)
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announced.Newer(p) || (r.plan != nil && r.plan.Newer(p)) {
		return nil, false
	}
	r.plan = p
	return p, true
}

// awaitReady waits until the engine executes no command and returns its state.
func (r *reconciler) awaitReady(ctx context.Context) (engine.State, bool) {
	for ctx.Err() == nil {
		state, err := r.agent.client.State(ctx)
		if err != nil {
			return state, false
		}
		if state.Phase == phaseReady {
			r.mu.Lock()
			r.state = state
			r.mu.Unlock()
			return state, true
		}
		time.Sleep(statePollInterval)
	}
	return engine.State{}, false
}

// apply drains the upstream, sends it the command and reports whether the command was executed.
func (r *reconciler) apply(ctx context.Context, p *plan.Plan, command plan.Command) bool {
	r.setChanging(true)
	defer r.setChanging(false)
	r.agent.events.Add("change", "", command.Upstream, command.Role+" "+command.Version)
	r.agent.queue.Close()
	defer r.agent.queue.Reopen()
	r.drain(ctx)
	if !r.isNewest(p) {
		return false
	}
	err := r.agent.client.Apply(ctx, engine.Command{
		Epoch: p.Epoch, Revision: p.Revision, Role: command.Role, Version: command.Version, Holder: r.agent.settings.Name,
	})
	if errors.Is(err, context.DeadlineExceeded) {
		r.earlierCommandsExpired, r.answeringSince = false, time.Time{}
	}
	r.recordCommand(err)
	if err != nil {
		r.agent.events.Add("change-failed", "", command.Upstream, err.Error())
		return false
	}
	_, ok := r.awaitReady(ctx)
	r.agent.events.Add("changed", "", command.Upstream, command.Role+" "+command.Version)
	return ok
}

// drain waits until no request is queued or running at the upstream.
func (r *reconciler) drain(ctx context.Context) {
	for ctx.Err() == nil {
		load := r.agent.queue.Load()
		if load.Running+load.Queued == 0 {
			return
		}
		time.Sleep(tickInterval)
	}
}

// isNewest reports whether no plan newer than p was announced.
func (r *reconciler) isNewest(p *plan.Plan) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.announced.Newer(p)
}

func (r *reconciler) setChanging(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isChanging = on
}
