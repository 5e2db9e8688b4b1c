package admit

import (
	"math"
	"sync"
	"time"
)

// Ticket is a request that waits for a place at the upstream.
type Ticket struct {
	Caller    string
	Priority  int       // the lowest goes first
	Deadline  time.Time // when the answer must have begun
	Prompt    int       // tokens
	Output    int       // tokens
	Prefilled bool      // its prompt was processed elsewhere, so it goes before others of its priority
	Notify    func(*Refused)

	seq     uint64
	start   float64 // virtual start time within its priority
	joined  time.Time
	started time.Time
	running bool
	prompt  bool // its prompt is being processed
	left    bool
}

// Refused reports a request that did not run and will not run.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason tells why a request was refused.
type Reason string

// The reasons of a Refused.
const (
	TooLate   Reason = "late"     // It can't begin before its deadline.
	QueueFull Reason = "full"     // Too many requests wait.
	Stopping  Reason = "stopping" // The upstream takes no new work.
	Failing   Reason = "failing"  // The upstream fails call after call.
)

// Error names the reason.
func (e *Refused) Error() string {
	return "refused: " + string(e.Reason)
}

// Load describes the queue at one moment.
type Load struct {
	Running          int
	Queued           int
	Slots            int
	LowPriority      int           // running or queued below priority 0
	LowPrioritySlots int           // slots that those may use
	Backlog          time.Duration // time to process the prompts that wait or run
}

const (
	defaultLength  = 1024
	defaultReserve = 0.125            // least share of the slots kept for priority 0
	defaultBurst   = 8192             // prompt tokens that may be processed at once below priority 0
	maxReserve     = 0.75             // largest share of the slots kept for priority 0
	spread         = 3.0              // standard deviations of the urgent load that the reserve covers
	rateWindow     = 10 * time.Second // over which the urgent load is averaged
	defaultAging   = 10 * time.Second // wait that raises a request by one priority
	defaultSpeed   = 8000.0           // prompt tokens per second
	startHold      = 200 * time.Millisecond
	smoothing      = 0.1                    // weight of the newest sample
	quantum        = 8.0                    // requests by which a caller may run ahead of others
	sampleTokens   = 1000                   // prompt tokens of a sample of full weight
	lowest         = 9                      // priority that goes after all others
	startDelay     = 200 * time.Millisecond // between a start and the prompt's first step, at most
	minRetry       = 100 * time.Millisecond
)

// Queue holds waiting tickets and counts running ones.
type Queue struct {
	slots  int
	share  float64
	burst  int
	length int
	aging  time.Duration
	adapt  bool

	quantum float64

	mu      sync.Mutex
	waiting []*Ticket
	running int
	low     int // running tickets of a priority above 0
	seq     uint64
	hold    time.Duration // mean time a ticket holds its slot
	urgent  average       // slots that priority 0 uses
	speed   float64       // prompt tokens per second
	tokens  int           // prompt tokens being processed
	busy    time.Time     // since when the present prompt tokens are being processed
	clock   map[int]float64
	least   map[int]float64 // virtual start times when the next ticket was chosen
	finish  map[string]float64
	closed  bool
}

// Option changes a Queue.
type Option func(*Queue)

// WithReserve fixes the share of slots that only priority 0 may use; by default it follows the urgent load.
func WithReserve(share float64) Option {
	return func(q *Queue) { q.share, q.adapt = share, false }
}

// WithPrefillLimit sets how many prompt tokens below priority 0 the upstream processes at once, 0 for any number.
func WithPrefillLimit(tokens int) Option {
	return func(q *Queue) { q.burst = tokens }
}

// WithAging sets the wait that raises a ticket by one priority; 0 turns aging off.
func WithAging(d time.Duration) Option {
	return func(q *Queue) { q.aging = d }
}

// WithQuantum sets by how many requests a caller may run ahead of others of its priority; 0 turns fair shares off.
func WithQuantum(requests float64) Option {
	return func(q *Queue) { q.quantum = requests }
}

// WithMaxQueued sets how many tickets may wait.
func WithMaxQueued(n int) Option {
	return func(q *Queue) { q.length = n }
}

// reserve returns how many slots only priority 0 may use.
func (q *Queue) reserve() int {
	if q.slots < 2 || q.share <= 0 {
		return 0
	}
	least := max(int(float64(q.slots)*q.share), 1)
	if !q.adapt {
		return least
	}
	mean := q.urgent.value
	want := int(math.Ceil(mean + spread*math.Sqrt(mean)))
	return min(max(want, least), int(float64(q.slots)*maxReserve))
}

// average is an exponential average over rateWindow.
type average struct {
	value float64
	at    time.Time
}

// add moves the average to a value that held since the last call.
func (a *average) add(value float64, now time.Time) {
	if a.at.IsZero() {
		a.at = now
		return
	}
	weight := 1 - math.Exp(-now.Sub(a.at).Seconds()/rateWindow.Seconds())
	a.value += weight * (value - a.value)
	a.at = now
}

// New returns an empty Queue for an upstream that runs slots requests at once.
func New(slots int, opts ...Option) *Queue {
	q := &Queue{
		slots:  slots,
		share:  defaultReserve,
		burst:  defaultBurst,
		length: defaultLength,
		aging:  defaultAging,
		adapt:  true,
		hold:   startHold,
		speed:  defaultSpeed,
		clock:  make(map[int]float64),
		finish: make(map[string]float64),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Offer adds t, or returns why it is refused.
// Later, t.Notify is called exactly once: with nil when t runs, else with the reason, unless Leave came first.
func (q *Queue) Offer(t *Ticket) *Refused {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.closed {
		return &Refused{Reason: Stopping, RetryAfter: minRetry}
	}
	if len(q.waiting) >= q.length {
		return &Refused{Reason: QueueFull, RetryAfter: q.retry(t.Priority)}
	}
	if now.Add(q.expected(t)).After(t.Deadline) {
		return &Refused{Reason: TooLate, RetryAfter: q.retry(t.Priority)}
	}
	q.seq++
	t.seq = q.seq
	t.joined = now
	q.tag(t)
	q.waiting = append(q.waiting, t)
	q.advance(now)
	return nil
}

// tag gives t its virtual start time, by which a caller that takes more than its share waits longer.
func (q *Queue) tag(t *Ticket) {
	clock := q.clock[t.Priority]
	t.start = max(clock, q.finish[t.Caller])
	q.finish[t.Caller] = t.start + 1
}

// Release takes t out of the queue or frees its slot.
func (q *Queue) Release(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.left {
		return
	}
	t.left = true
	now := time.Now()
	if !t.running {
		q.remove(t)
		return
	}
	q.urgent.add(float64(q.running-q.low), now)
	q.running--
	if t.Priority > 0 {
		q.low--
	}
	q.prompted(t, now)
	held := now.Sub(t.started)
	q.hold += time.Duration(smoothing * float64(held-q.hold))
	q.advance(now)
}

func (q *Queue) remove(t *Ticket) {
	for i, w := range q.waiting {
		if w == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// FinishPrefill records that the upstream has processed the prompt of t, which runs.
func (q *Queue) FinishPrefill(t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.prompted(t, now)
	q.advance(now)
}

func (q *Queue) prompted(t *Ticket, now time.Time) {
	if !t.prompt {
		return
	}
	t.prompt = false
	took := now.Sub(q.busy)
	q.busy = now
	q.tokens -= t.Prompt
	if t.Prompt > 0 && took > 0 {
		share := smoothing * min(float64(t.Prompt)/sampleTokens, 1)
		q.speed += share * (float64(t.Prompt)/took.Seconds() - q.speed)
	}
}

// Tick refuses tickets that can't meet their deadline any more and starts those that can run.
func (q *Queue) Tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(time.Now())
}

// Close refuses all new tickets; those that wait or run go on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}

// Reopen takes new tickets again after Close.
func (q *Queue) Reopen() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = false
}

// Resize sets how many requests run at once; those that run go on.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.advance(time.Now())
}

// Load returns the present load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	low := q.low
	for _, t := range q.waiting {
		if t.Priority > 0 {
			low++
		}
	}
	return Load{
		Running: q.running, Queued: len(q.waiting), Slots: q.slots, LowPriority: low, LowPrioritySlots: q.slots - q.reserve(),
		Backlog: q.backlog(lowest),
	}
}
