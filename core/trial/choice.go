package trial

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pimentoseam/core/admit"
	"pimentoseam/core/pick"
	"pimentoseam/core/rank"
	"pimentoseam/core/subset"
)

// Way is how an entry learns the load of upstreams.
type Way string

// The ways that are compared.
const (
	Random    Way = "random"    // It learns nothing.
	Reported  Way = "reported"  // The platform's reports of all upstreams each second, 1 to 5 s late.
	Piggyback Way = "piggyback" // The load that comes with each answer.
	Beats     Way = "beats"     // Heartbeats of a subset.
	Probes    Way = "probes"    // Two upstreams of the subset are asked before each request.
	Homes     Way = "homes"     // The prefix's first two homes of all and one of the subset are asked.
)

// Choice is a fleet of entries before the replicas of one model, with one way to choose.
type Choice struct {
	Way      Way
	Entries  int
	Replicas int
	Slots    int
	Rate     float64       // requests per second over all entries
	Hold     time.Duration // mean time of a request
	Subset   int           // upstreams that an entry knows, 0 for all
	Every    time.Duration // between heartbeats
	Choices  int           // candidates compared, 0 for all
	Affinity bool
	Seed     uint64
}

// Spread is what a Choice measured.
type Spread struct {
	Wait     *hdrhistogram.Histogram // microseconds until a slot was free
	Fullest  float64                 // greatest number of requests at one replica over the mean, averaged over time
	Hits     float64                 // share of requests whose prefix was cached
	Bytes    float64                 // bytes per second that one entry spends on learning load
	Requests int
}

const (
	reportBytes = 60  // one load report with its framing
	probeBytes  = 100 // a question and its answer with their framing
	prefixes    = 2000
	cachedMax   = 40 // prefixes that a replica holds
	probeTime   = 2 * hop
	sampleEvery = 100 * time.Millisecond
	rampUp      = 15 * time.Second // before the fullest replica is sampled
)

type replica struct {
	queue  *admit.Queue
	mu     sync.Mutex
	cached []int
}

// known is what one entry knows of one replica.
type known struct {
	taken int
	local int
}

type chooserEntry struct {
	ids  []int
	load map[int]*known
}

type choiceRun struct {
	c        Choice
	replicas []*replica
	names    []string
	byName   map[string]int
	homes    map[int][]string // by prefix
	entries  []*chooserEntry
	chooser  *pick.Chooser
	random   *rand.Rand
	mu       sync.Mutex
	spread   Spread
	hits     int
	wait     sync.WaitGroup
	stop     chan struct{}
}

// Run serves a seeded load for the given time; it must run inside a synctest bubble.
func (c Choice) Run(length time.Duration) *Spread {
	r := &choiceRun{c: c, random: rand.New(rand.NewPCG(c.Seed, 3)), stop: make(chan struct{})}
	r.spread.Wait = hdrhistogram.New(1, maxMicros, figures)
	bound := 0.0
	if c.Affinity {
		bound = 1.25
	}
	r.chooser = pick.New(pick.WithChoices(c.Choices), pick.WithAffinityBound(bound), pick.WithRandom(r.random.IntN))
	r.build()
	go r.learn()
	fullest := make(chan float64, 1)
	go r.sample(length, fullest)
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.locked(r.random.ExpFloat64) / c.Rate * float64(time.Second)))
		r.wait.Go(r.request)
	}
	r.wait.Wait()
	close(r.stop)
	r.spread.Fullest = <-fullest
	r.spread.Hits = float64(r.hits) / float64(max(r.spread.Requests, 1))
	r.spread.Bytes = r.bytes()
	return &r.spread
}

func (r *choiceRun) locked(f func() float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f()
}

func (r *choiceRun) build() {
	r.byName, r.homes = make(map[string]int), make(map[int][]string)
	for i := range r.c.Replicas {
		r.replicas = append(r.replicas, &replica{queue: admit.New(r.c.Slots, admit.WithReserve(0))})
		r.names = append(r.names, fmt.Sprint("r", i))
		r.byName[r.names[i]] = i
	}
	size := r.c.Subset
	if size == 0 {
		size = r.c.Replicas
	}
	picker := subset.New(size)
	for i := range r.c.Entries {
		e := &chooserEntry{load: make(map[int]*known)}
		for _, name := range picker.Of(i, r.names) {
			e.ids = append(e.ids, r.byName[name])
			e.load[r.byName[name]] = &known{}
		}
		r.entries = append(r.entries, e)
	}
}

// learn brings the reports or heartbeats of all replicas to the entries.
func (r *choiceRun) learn() {
	every := r.c.Every
	switch r.c.Way {
	case Reported:
		every = time.Second
	case Beats:
	default:
		return
	}
	for {
		loads := make([]int, len(r.replicas))
		for i, p := range r.replicas {
			loads[i] = taken(p)
		}
		lag := hop
		if r.c.Way == Reported {
			lag = time.Second + time.Duration(r.locked(r.random.Float64)*float64(4*time.Second))
		}
		time.AfterFunc(lag, func() { r.tell(loads) })
		select {
		case <-r.stop:
			return
		case <-time.After(every):
		}
	}
}

func taken(p *replica) int {
	load := p.queue.Load()
	return load.Running + load.Queued
}

func (r *choiceRun) tell(loads []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		for id, k := range e.load {
			k.taken, k.local = loads[id], 0
		}
	}
}

// sample averages the fullest replica over the mean, from the end of the ramp-up to the end of the load.
func (r *choiceRun) sample(length time.Duration, result chan<- float64) {
	sum, n := 0.0, 0
	time.Sleep(rampUp)
	for end := time.Now().Add(length - rampUp); time.Now().Before(end); time.Sleep(sampleEvery) {
		total, most := 0, 0
		for _, p := range r.replicas {
			t := taken(p)
			total += t
			most = max(most, t)
		}
		if total > 0 {
			sum += float64(most) * float64(len(r.replicas)) / float64(total)
			n++
		}
	}
	result <- sum / float64(max(n, 1))
}

func (r *choiceRun) request() {
	r.mu.Lock()
	e := r.entries[r.random.IntN(len(r.entries))]
	prefix := int(float64(prefixes) * r.random.Float64() * r.random.Float64())
	hold := time.Duration(r.random.ExpFloat64() * float64(r.c.Hold))
	r.mu.Unlock()
	id := r.pick(e, prefix)
	p := r.replicas[id]
	began := make(chan *admit.Refused, 1)
	ticket := &admit.Ticket{Deadline: time.Now().Add(time.Hour), Notify: func(v *admit.Refused) { began <- v }}
	asked := time.Now()
	if p.queue.Offer(ticket) != nil {
		return
	}
	<-began
	r.record(p, prefix, time.Since(asked))
	time.Sleep(hold)
	p.queue.Release(ticket)
	if r.c.Way == Piggyback {
		r.mu.Lock()
		e.load[id].taken, e.load[id].local = taken(p), 0
		r.mu.Unlock()
	}
}

// pick returns the replica that the entry chooses from what it knows.
func (r *choiceRun) pick(e *chooserEntry, prefix int) int {
	if r.c.Way == Probes || r.c.Way == Homes {
		time.Sleep(probeTime)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := e.ids
	switch r.c.Way {
	case Probes:
		ids = r.probe(e)
	case Homes:
		return r.home(e, prefix)
	}
	candidates := make([]pick.Candidate, len(ids))
	for i, id := range ids {
		k := e.load[id]
		candidates[i] = pick.Candidate{Name: fmt.Sprint(id), Reported: k.taken, Unreported: k.local, Slots: r.c.Slots}
	}
	name := ""
	if r.c.Affinity {
		name = fmt.Sprint("p", prefix)
	}
	id := ids[r.chooser.ChoosePrefill(name, candidates)]
	e.load[id].local++
	return id
}

// probe asks two members of the subset for their present load.
func (r *choiceRun) probe(e *chooserEntry) []int {
	a, b := r.random.IntN(len(e.ids)), r.random.IntN(len(e.ids)-1)
	if b >= a {
		b++
	}
	ids := []int{e.ids[a], e.ids[b]}
	for _, id := range ids {
		e.load[id].taken, e.load[id].local = taken(r.replicas[id]), 0
	}
	return ids
}

// home returns the less loaded of the prefix's first two homes, or one of the subset if both are full.
func (r *choiceRun) home(e *chooserEntry, prefix int) int {
	order := r.homes[prefix]
	if order == nil {
		order = rank.Order(fmt.Sprint("p", prefix), r.names)[:2]
		r.homes[prefix] = order
	}
	a, b := r.byName[order[0]], r.byName[order[1]]
	if taken(r.replicas[b]) < taken(r.replicas[a]) {
		a = b
	}
	if taken(r.replicas[a]) < r.c.Slots {
		return a
	}
	other := e.ids[r.random.IntN(len(e.ids))]
	if taken(r.replicas[other]) < taken(r.replicas[a]) {
		return other
	}
	return a
}

func (r *choiceRun) record(p *replica, prefix int, wait time.Duration) {
	p.mu.Lock()
	hit := p.lookup(prefix)
	p.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spread.Requests++
	if hit {
		r.hits++
	}
	_ = r.spread.Wait.RecordValue(max(wait.Microseconds(), 1))
}

// lookup reports whether the prefix was cached, and caches it as the most recently used.
func (p *replica) lookup(prefix int) bool {
	for i, c := range p.cached {
		if c == prefix {
			p.cached = append(append(p.cached[:i:i], p.cached[i+1:]...), prefix)
			return true
		}
	}
	p.cached = append(p.cached, prefix)
	if len(p.cached) > cachedMax {
		p.cached = p.cached[1:]
	}
	return false
}

// bytes returns what learning costs one entry for this model.
func (r *choiceRun) bytes() float64 {
	perEntry := r.c.Rate / float64(r.c.Entries)
	switch r.c.Way {
	case Reported:
		return float64(r.c.Replicas) * reportBytes
	case Piggyback:
		return perEntry * reportBytes
	case Beats:
		return float64(len(r.entries[0].ids)) * reportBytes / r.c.Every.Seconds()
	case Probes:
		return perEntry * 2 * probeBytes
	case Homes:
		return perEntry * 3 * probeBytes
	}
	return 0
}
