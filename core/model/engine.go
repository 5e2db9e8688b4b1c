package model

import (
	"sort"
	"sync"
	"time"
)

// Role is the kind of work that an engine accepts.
type Role string

// The roles of an engine.
const (
	Mixed   Role = "mixed"   // prefill and decode
	Prefill Role = "prefill" // prefill only
	Decode  Role = "decode"  // decode only
)

// Params holds the cost model of an engine. A step generates one token of each decoding request and
// processes up to a chunk of prompt tokens. It takes
//
//	(StepBase + PerSequence·decoding + PerPromptToken·chunk) · (1 + MixedOverhead if both counts are above 0)
type Params struct {
	StepBase         time.Duration // fixed time of a step
	PerSequence      time.Duration // added for each decoding request
	PerPromptToken   time.Duration // added for each prompt token of the step
	MixedOverhead    float64       // added fraction of a step that decodes and processes prompts
	MixedChunk       int           // maximum prompt tokens of a step on a mixed engine
	PrefillChunk     int           // maximum prompt tokens of a step on a prefill engine
	CacheSize        int           // capacity of the prefix cache in tokens
	TransferPerToken time.Duration // time to transfer one token's KV cache to another engine
	RoleChange       time.Duration // time that a role change makes the engine unavailable
}

// DefaultParams returns the parameters used for the measurements in docs/POLICY.md.
func DefaultParams() Params {
	return Params{
		StepBase:         6 * time.Millisecond,
		PerSequence:      250 * time.Microsecond,
		PerPromptToken:   40 * time.Microsecond,
		MixedOverhead:    0.25,
		MixedChunk:       512,
		PrefillChunk:     4096,
		CacheSize:        200_000,
		TransferPerToken: 2 * time.Microsecond,
		RoleChange:       5 * time.Second,
	}
}

// Job is the work of one request at one engine; closed channels report its progress.
type Job struct {
	Priority     int
	PromptTokens int           // to process
	OutputTokens int           // to generate after the prompt
	Prefix       string        // key of the prompt's shared prefix, empty if there is none
	PrefixTokens int           // tokens of the shared prefix
	FirstToken   chan struct{} // closed when the prompt, if any, is processed; that step generates the first token
	Done         chan struct{} // closed when the output is complete
	Failed       chan struct{} // closed if the engine fails first

	seq             int
	promptRemaining int
	outputRemaining int
	isDecoding      bool
}

// NewJob returns a job with the given numbers of prompt and output tokens, either of which may be 0.
func NewJob(priority, prompt, output int) *Job {
	return &Job{
		Priority: priority, PromptTokens: prompt, OutputTokens: output,
		FirstToken: make(chan struct{}), Done: make(chan struct{}), Failed: make(chan struct{}),
	}
}

// Engine is a simulated engine that runs jobs in steps.
type Engine struct {
	params           Params
	mu               sync.Mutex
	wake             chan struct{}
	stop             chan struct{}
	role             Role
	unavailableUntil time.Time // end of the role change
	seq              int
	jobs             []*Job
	hasFailed        bool

	prefixTokens  map[string]int // cached prefixes with their lengths
	prefixLRU     []string       // keys, least recently used first
	cachedTokens  int            // total length of the cached prefixes
	prefixHits    int
	prefixLookups int
}

// New returns an Engine in the given role; the caller must start Run.
func New(params Params, role Role) *Engine {
	return &Engine{
		params: params, role: role, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		prefixTokens: make(map[string]int),
	}
}

// Run executes steps until Stop is called and all jobs are done.
func (e *Engine) Run() {
	for {
		d := e.step()
		if d > 0 {
			time.Sleep(d)
			e.finishStep()
			continue
		}
		select {
		case <-e.stop:
			return
		case <-e.wake:
		}
	}
}

// Stop makes Run return once all jobs are done.
func (e *Engine) Stop() {
	close(e.stop)
}

// Submit adds a job.
func (e *Engine) Submit(j *Job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasFailed {
		close(j.Failed)
		return
	}
	e.seq++
	j.seq = e.seq
	j.promptRemaining = j.PromptTokens - e.lookupPrefix(j)
	j.outputRemaining = j.OutputTokens
	e.jobs = append(e.jobs, j)
	e.notify()
}

// Fail fails all current and future jobs.
func (e *Engine) Fail() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hasFailed = true
	for _, j := range e.jobs {
		close(j.Failed)
	}
	e.jobs = nil
}

// ChangeRole makes the engine unavailable for the time of a role change, then sets the role and clears the
// prefix cache.
func (e *Engine) ChangeRole(role Role) {
	e.mu.Lock()
	e.unavailableUntil = time.Now().Add(e.params.RoleChange)
	e.mu.Unlock()
	time.Sleep(e.params.RoleChange)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = role
	e.prefixTokens, e.prefixLRU, e.cachedTokens = make(map[string]int), nil, 0
	e.notify()
}

// PrefixStats returns the number of prefix lookups and how many of them were hits.
func (e *Engine) PrefixStats() (lookups, hits int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefixLookups, e.prefixHits
}

func (e *Engine) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxChunk returns the maximum number of prompt tokens of one step.
func (e *Engine) maxChunk() int {
	if e.role == Prefill {
		return e.params.PrefillChunk
	}
	return e.params.MixedChunk
}

// step schedules the jobs of the next step and returns its duration, 0 if there is no work.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.jobs) == 0 || time.Now().Before(e.unavailableUntil) {
		return 0
	}
	decoding, chunk := 0, 0
	budget := e.maxChunk()
	sort.Slice(e.jobs, func(i, k int) bool { return runsBefore(e.jobs[i], e.jobs[k]) })
	for _, j := range e.jobs {
		j.isDecoding = false
		if j.promptRemaining > 0 {
			n := min(j.promptRemaining, budget)
			j.promptRemaining -= n
			budget -= n
			chunk += n
			continue
		}
		j.isDecoding = true
		decoding++
	}
	d := e.params.StepBase + time.Duration(decoding)*e.params.PerSequence + time.Duration(chunk)*e.params.PerPromptToken
	if decoding > 0 && chunk > 0 {
		d += time.Duration(e.params.MixedOverhead * float64(d))
	}
	return d
}

func runsBefore(a, b *Job) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.seq < b.seq
}

// finishStep applies the results of the step that has ended.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	unfinished := e.jobs[:0]
	for _, j := range e.jobs {
		if j.promptRemaining == 0 && !j.isDecoding {
			e.finishPrompt(j)
		} else if j.isDecoding {
			j.outputRemaining--
		}
		if j.promptRemaining == 0 && j.outputRemaining <= 0 {
			close(j.Done)
			continue
		}
		unfinished = append(unfinished, j)
	}
	clear(e.jobs[len(unfinished):])
	e.jobs = unfinished
}

// finishPrompt closes FirstToken; the step that completes a prompt also generates the first output token.
func (e *Engine) finishPrompt(j *Job) {
	select {
	case <-j.FirstToken:
		return
	default:
	}
	close(j.FirstToken)
	if j.PromptTokens > 0 {
		j.outputRemaining--
	}
}

// lookupPrefix returns how many prompt tokens of the job are cached and caches its prefix on a miss.
func (e *Engine) lookupPrefix(j *Job) int {
	if j.Prefix == "" || j.PrefixTokens == 0 || j.PromptTokens == 0 {
		return 0
	}
	e.prefixLookups++
	cached := e.prefixTokens[j.Prefix]
	if cached > 0 {
		e.prefixHits++
		e.markUsed(j.Prefix)
		return min(cached, j.PromptTokens-1)
	}
	e.prefixTokens[j.Prefix] = j.PrefixTokens
	e.cachedTokens += j.PrefixTokens
	e.prefixLRU = append(e.prefixLRU, j.Prefix)
	for e.cachedTokens > e.params.CacheSize {
		e.cachedTokens -= e.prefixTokens[e.prefixLRU[0]]
		delete(e.prefixTokens, e.prefixLRU[0])
		e.prefixLRU = e.prefixLRU[1:]
	}
	return 0
}

func (e *Engine) markUsed(prefix string) {
	for i, p := range e.prefixLRU {
		if p == prefix {
			e.prefixLRU = append(append(e.prefixLRU[:i:i], e.prefixLRU[i+1:]...), prefix)
			return
		}
	}
}
