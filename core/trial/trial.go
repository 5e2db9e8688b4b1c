package trial

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/admit"
	"pimentoseam/core/model"
	"pimentoseam/core/pick"
	"pimentoseam/core/retry"
	"pimentoseam/core/roles"
	"pimentoseam/core/trace"
)

// Planner decides on role changes; tests also use naive planners.
type Planner interface {
	// Observe adds the mean demand since the previous call.
	Observe(d roles.Demand)
	// Next returns a change to make now and whether there is one.
	Next(f roles.Fleet) (roles.Change, bool)
}

// Trial simulates one fleet with its decision code.
type Trial struct {
	params         model.Params
	engineCount    int
	initialFleet   roles.Fleet
	chooser        *pick.Chooser
	hasAffinity    bool
	planner        Planner
	reportInterval time.Duration // between load reports
	minLag         time.Duration
	maxLag         time.Duration
	queueOptions   []admit.Option
	hasRetries     bool
	cost           trace.Cost
	failures       []EngineFailure
	slots          map[model.Role]int

	nodes        []*node
	retryBudget  *retry.Budget
	result       *Result
	mu           sync.Mutex
	promptTokens atomic.Int64
	outputTokens atomic.Int64
	random       *rand.Rand
	inFlight     sync.WaitGroup
	stop         chan struct{}

	roleChanges sync.WaitGroup // role changes in progress
}

// EngineFailure makes an engine fail permanently.
type EngineFailure struct {
	After time.Duration // since the start of the run
	Index int           // of the engine, counted from 0
}

// Option configures a Trial.
type Option func(*Trial)

// WithFleet sets the initial roles of the engines.
func WithFleet(f roles.Fleet) Option {
	return func(t *Trial) { t.initialFleet = f }
}

// WithChooser sets the chooser of upstreams and whether it uses prefix affinity.
func WithChooser(c *pick.Chooser, affinity bool) Option {
	return func(t *Trial) { t.chooser, t.hasAffinity = c, affinity }
}

// WithPlanner sets the planner of role changes; nil disables them.
func WithPlanner(p Planner) Option {
	return func(t *Trial) { t.planner = p }
}

// WithReports sets the interval of load reports and the range of their delays.
func WithReports(interval, minLag, maxLag time.Duration) Option {
	return func(t *Trial) { t.reportInterval, t.minLag, t.maxLag = interval, minLag, maxLag }
}

// WithAdmission sets the options of the upstreams' admission queues.
func WithAdmission(opts ...admit.Option) Option {
	return func(t *Trial) { t.queueOptions = opts }
}

// WithRetries sets whether refused requests are retried at a second upstream, within the retry budget.
func WithRetries(on bool) Option {
	return func(t *Trial) { t.hasRetries = on }
}

// WithEngineFailures sets the engines that fail during the trial.
func WithEngineFailures(failures ...EngineFailure) Option {
	return func(t *Trial) { t.failures = failures }
}

const (
	heartbeatInterval = 500 * time.Millisecond
	planInterval      = 2 * time.Second
	tickInterval      = 20 * time.Millisecond
	hopLatency        = time.Millisecond // one-way latency between an entry and an agent
	retryRatio        = 0.1
	maxDrain          = 2 * time.Minute
)

// New returns a Trial of the default decision code with mixed engines.
func New(params model.Params, engines int, seed uint64, opts ...Option) *Trial {
	t := &Trial{
		params: params, engineCount: engines, initialFleet: roles.Fleet{Mixed: engines}, reportInterval: heartbeatInterval,
		minLag: hopLatency, maxLag: 2 * hopLatency, hasRetries: true, cost: TokenCosts(params), hasAffinity: true,
		slots:       map[model.Role]int{model.Mixed: 48, model.Prefill: 8, model.Decode: 64},
		retryBudget: retry.New(retryRatio), stop: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 7)),
	}
	t.chooser = pick.New(pick.WithRandom(t.randomIntN))
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// TokenCosts returns the engine time per token on specialised engines with full batches.
func TokenCosts(params model.Params) trace.Cost {
	const batch = 48
	return trace.Cost{
		Prompt: params.PerPromptToken + params.StepBase/time.Duration(params.PrefillChunk),
		Output: params.PerSequence + params.StepBase/batch,
	}
}

func (t *Trial) randomIntN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

// Run simulates the requests of a trace of the given length and returns their outcomes.
// It must run inside a synctest bubble.
func (t *Trial) Run(requests []trace.Request, length time.Duration) *Result {
	t.result = newResult()
	t.build()
	start := time.Now()
	for _, r := range requests {
		time.Sleep(r.Arrival - time.Since(start))
		t.inFlight.Go(func() { t.serve(r) })
	}
	time.Sleep(length - time.Since(start))
	t.inFlight.Wait()
	close(t.stop)
	t.roleChanges.Wait()
	for _, n := range t.nodes {
		n.engine.Stop()
		lookups, hits := n.engine.PrefixStats()
		t.result.Lookups += lookups
		t.result.Hits += hits
	}
	return t.result
}

func (t *Trial) build() {
	for i := range t.engineCount {
		role := t.initialRole(i)
		n := &node{
			trial: t, name: string(rune('a' + i)), engine: model.New(t.params, role), role: role,
			queue: admit.New(t.slots[role], t.queueOptions...),
		}
		t.nodes = append(t.nodes, n)
		go n.engine.Run()
		go n.tickQueue()
		go n.reportLoad()
	}
	for _, f := range t.failures {
		go t.failEngine(f)
	}
	if t.planner != nil {
		go t.runPlanner()
	}
}

// initialRole returns the initial role of the i-th engine.
func (t *Trial) initialRole(i int) model.Role {
	if i < t.initialFleet.Prefill {
		return model.Prefill
	}
	if i < t.initialFleet.Prefill+t.initialFleet.Decode {
		return model.Decode
	}
	return model.Mixed
}

func (t *Trial) failEngine(f EngineFailure) {
	time.Sleep(f.After)
	n := t.nodes[f.Index]
	n.setLeaving(true)
	n.engine.Fail()
}

// runPlanner reports the demand to the planner and carries out its role changes.
func (t *Trial) runPlanner() {
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(planInterval):
		}
		prompt, output := t.promptTokens.Swap(0), t.outputTokens.Swap(0)
		t.planner.Observe(roles.Demand{
			Prompt: float64(prompt) * t.cost.Prompt.Seconds() / planInterval.Seconds(),
			Output: float64(output) * t.cost.Output.Seconds() / planInterval.Seconds(),
		})
		change, ok := t.planner.Next(t.countRoles())
		if !ok {
			continue
		}
		if n := t.leastLoaded(model.Role(change.From)); n != nil {
			t.result.recordRoleChange()
			t.roleChanges.Go(func() { n.changeRole(model.Role(change.To)) })
		}
	}
}

// countRoles counts the engines by their current or pending role.
func (t *Trial) countRoles() roles.Fleet {
	var f roles.Fleet
	for _, n := range t.nodes {
		switch n.plannedRole() {
		case model.Mixed:
			f.Mixed++
		case model.Prefill:
			f.Prefill++
		case model.Decode:
			f.Decode++
		}
	}
	return f
}

// leastLoaded returns the engine of a role with the fewest running requests that isn't changing roles, or nil.
func (t *Trial) leastLoaded(role model.Role) *node {
	var best *node
	for _, n := range t.nodes {
		if n.plannedRole() != role || n.isLeaving() {
			continue
		}
		if best == nil || n.queue.Load().Running < best.queue.Load().Running {
			best = n
		}
	}
	return best
}
