package admit

import (
	"math"
	"sync"
	"time"
)

// Ticket is a request that waits for a slot of the upstream or occupies one.
type Ticket struct {
	Caller    string
	Priority  int            // 0 is the most urgent.
	Deadline  time.Time      // When the answer must have begun.
	Prompt    int            // Tokens.
	Output    int            // Tokens.
	Prefilled bool           // Its prompt was processed elsewhere, so it goes before others of its priority.
	Notify    func(*Refused) // See Queue.Offer.

	seq          uint64
	virtualStart float64 // At least the virtual time of its priority and the virtual finish time of its caller.
	queuedAt     time.Time
	startedAt    time.Time
	running      bool
	inPrefill    bool // Its prompt is being processed.
	done         bool // It was refused or released.
}

// Refused is the error of a request that did not run and will not run.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason is the reason for which a request was refused.
type Reason string

// The reasons of a Refused.
const (
	TooLate   Reason = "late"     // It can't begin before its deadline.
	QueueFull Reason = "full"     // The queue has reached its maximum length.
	Stopping  Reason = "stopping" // The upstream accepts no new requests.
	Failing   Reason = "failing"  // The circuit breaker of the upstream is open.
)

// Error returns the reason.
func (e *Refused) Error() string {
	return "refused: " + string(e.Reason)
}

// Load is a snapshot of the queue's load.
type Load struct {
	Running          int
	Queued           int
	Slots            int
	LowPriority      int           // Running or queued requests of priorities other than 0.
	LowPrioritySlots int           // Slots that those may use.
	Backlog          time.Duration // Time to process the prompts of running and queued requests.
}

const (
	defaultMaxQueued       = 1024
	defaultReserveShare    = 0.125            // Minimum share of the slots reserved for priority 0.
	defaultPrefillLimit    = 8192             // Prompt tokens.
	maxReserveShare        = 0.75             // Maximum share of the slots reserved for priority 0.
	reserveDeviations      = 3.0              // Standard deviations of the urgent load that the reserve covers.
	urgentLoadTimeConstant = 10 * time.Second // Of the exponential moving average of the urgent load.
	defaultAgingPeriod     = 10 * time.Second
	initialPrefillRate     = 8000.0 // Prompt tokens per second.
	initialSlotTime        = 200 * time.Millisecond
	smoothing              = 0.1  // Weight of the newest sample in moving averages.
	recommendedQuantum     = 8.0  // For WithQuantum; fair shares are off by default.
	fullSampleTokens       = 1000 // Prompt tokens from which a sample of the prefill rate has its full weight.
	lowestPriority         = 9
	maxStartDelay          = 200 * time.Millisecond // From a start to the first step of the prompt's processing.
	minRetryAfter          = 100 * time.Millisecond
)

// Queue is a priority queue of tickets in front of the slots of one upstream.
type Queue struct {
	slots        int
	reserveShare float64
	prefillLimit int
	maxQueued    int
	agingPeriod  time.Duration
	adaptive     bool // The reserve follows the urgent load.

	quantum float64

	mu              sync.Mutex
	waiting         []*Ticket
	running         int
	lowRunning      int // Running tickets of a priority above 0.
	seq             uint64
	slotTime        time.Duration      // Moving average of the time that a ticket occupies its slot.
	urgentLoad      average            // Slots that priority 0 uses.
	prefillRate     float64            // Moving average in prompt tokens per second.
	prefillTokens   int                // Prompt tokens being processed.
	prefillSince    time.Time          // Start of the sample of prefillRate in progress.
	virtualTime     map[int]float64    // By priority: the maximum virtual start time of started tickets.
	minVirtualStart map[int]float64    // By priority: the minimum virtual start time of the waiting tickets when next was last called.
	virtualFinish   map[string]float64 // By caller: the virtual finish time of its last ticket of any priority.
	closed          bool
}

// Option changes a Queue.
type Option func(*Queue)

// WithReserve fixes the share of slots that are reserved for priority 0; by default it follows the urgent load.
func WithReserve(share float64) Option {
	return func(q *Queue) { q.reserveShare, q.adaptive = share, false }
}

// WithPrefillLimit sets how many prompt tokens the upstream may process at once for a request of a priority other
// than 0 to start; 0 means no limit.
func WithPrefillLimit(tokens int) Option {
	return func(q *Queue) { q.prefillLimit = tokens }
}

// WithAging sets the waiting time that raises a ticket by one priority; 0 turns aging off.
func WithAging(d time.Duration) Option {
	return func(q *Queue) { q.agingPeriod = d }
}

// WithQuantum sets by how many requests a caller may be ahead of others of its priority; 0 turns fair shares off.
func WithQuantum(requests float64) Option {
	return func(q *Queue) { q.quantum = requests }
}

// WithMaxQueued sets how many tickets may wait.
func WithMaxQueued(n int) Option {
	return func(q *Queue) { q.maxQueued = n }
}

// reservedSlots returns the number of slots that only priority 0 may use.
func (q *Queue) reservedSlots() int {
	if q.slots < 2 || q.reserveShare <= 0 {
		return 0
	}
	minSlots := max(int(float64(q.slots)*q.reserveShare), 1)
	if !q.adaptive {
		return minSlots
	}
	mean := q.urgentLoad.value
	required := int(math.Ceil(mean + reserveDeviations*math.Sqrt(mean)))
	return min(max(required, minSlots), int(float64(q.slots)*maxReserveShare))
}

// average is an exponential moving average with the time constant urgentLoadTimeConstant.
type average struct {
	value     float64
	updatedAt time.Time
}

// add updates the average with the value since the last call.
func (a *average) add(value float64, now time.Time) {
	if a.updatedAt.IsZero() {
		a.updatedAt = now
		return
	}
	weight := 1 - math.Exp(-now.Sub(a.updatedAt).Seconds()/urgentLoadTimeConstant.Seconds())
	a.value += weight * (value - a.value)
	a.updatedAt = now
}

// New returns an empty Queue for an upstream that runs up to slots requests at once.
func New(slots int, opts ...Option) *Queue {
	q := &Queue{
		slots:         slots,
		reserveShare:  defaultReserveShare,
		prefillLimit:  defaultPrefillLimit,
		maxQueued:     defaultMaxQueued,
		agingPeriod:   defaultAgingPeriod,
		adaptive:      true,
		slotTime:      initialSlotTime,
		prefillRate:   initialPrefillRate,
		virtualTime:   make(map[int]float64),
		virtualFinish: make(map[string]float64),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Offer enqueues t, or returns why it is refused.
// After an enqueue, t.Notify is called exactly once, with nil when t starts or with the reason when it is
// refused, unless t is released first. Notify runs with the queue's lock held, possibly before Offer returns, so it
// must not call the queue or block.
func (q *Queue) Offer(t *Ticket) *Refused {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.closed {
		return &Refused{Reason: Stopping, RetryAfter: minRetryAfter}
	}
	if len(q.waiting) >= q.maxQueued {
		return &Refused{Reason: QueueFull, RetryAfter: q.retryAfter(t.Priority)}
	}
	if now.Add(q.timeToFirstToken(t)).After(t.Deadline) {
		return &Refused{Reason: TooLate, RetryAfter: q.retryAfter(t.Priority)}
	}
	q.seq++
	t.seq = q.seq
	t.queuedAt = now
	q.setVirtualStart(t)
	q.waiting = append(q.waiting, t)
	q.schedule(now)
	return nil
}

// setVirtualStart sets the virtual start time of t, which is later the more tickets its caller has offered.
func (q *Queue) setVirtualStart(t *Ticket) {
	virtualTime := q.virtualTime[t.Priority]
	t.virtualStart = max(virtualTime, q.virtualFinish[t.Caller])
	q.virtualFinish[t.Caller] = t.virtualStart + 1
}

// Release removes t from the queue or frees its slot.
func (q *Queue) Release(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	now := time.Now()
	if !t.running {
		q.remove(t)
		return
	}
	q.urgentLoad.add(float64(q.running-q.lowRunning), now)
	q.running--
	if t.Priority > 0 {
		q.lowRunning--
	}
	q.endPrefill(t, now)
	occupied := now.Sub(t.startedAt)
	q.slotTime += time.Duration(smoothing * float64(occupied-q.slotTime))
	q.schedule(now)
}

func (q *Queue) remove(t *Ticket) {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// FinishPrefill records that the upstream has processed the prompt of t, which is running.
func (q *Queue) FinishPrefill(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.endPrefill(t, now)
	q.schedule(now)
}

// endPrefill removes the prompt of t from those being processed and updates the prefill rate.
func (q *Queue) endPrefill(t *Ticket, now time.Time) {
	if !t.inPrefill {
		return
	}
	t.inPrefill = false
	elapsed := now.Sub(q.prefillSince)
	q.prefillSince = now
	q.prefillTokens -= t.Prompt
	if t.Prompt > 0 && elapsed > 0 {
		weight := smoothing * min(float64(t.Prompt)/fullSampleTokens, 1)
		q.prefillRate += weight * (float64(t.Prompt)/elapsed.Seconds() - q.prefillRate)
	}
}

// Tick refuses tickets that would miss their deadline and starts those that can run.
func (q *Queue) Tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedule(time.Now())
}

// Close refuses new tickets; those that wait or run are not affected.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}

// Reopen accepts new tickets again after Close.
func (q *Queue) Reopen() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = false
}

// Resize sets the number of slots; running tickets are not affected.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.schedule(time.Now())
}

// Load returns the present load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	low := q.lowRunning
	for _, t := range q.waiting {
		if t.Priority > 0 {
			low++
		}
	}
	return Load{
		Running: q.running, Queued: len(q.waiting), Slots: q.slots, LowPriority: low, LowPrioritySlots: q.slots - q.reservedSlots(),
		Backlog: q.backlog(lowestPriority),
	}
}
