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

// LoadSource is how an entry learns the load of upstreams.
type LoadSource string

// The load sources.
const (
	Random       LoadSource = "random"    // No load information.
	Reported     LoadSource = "reported"  // Reports of the platform on all upstreams each second, 1 to 5 s late.
	Piggyback    LoadSource = "piggyback" // Load reports in the answers to requests.
	Heartbeats   LoadSource = "beats"     // Heartbeats of a subset of the upstreams.
	Probes       LoadSource = "probes"    // Queries to two random upstreams of the subset before each request.
	PrefixProbes LoadSource = "homes"     // Queries to the prefix's two highest-ranked upstreams and one of the subset.
)

// Balancing simulates load balancing by a fleet of entries over the replicas of one model.
type Balancing struct {
	Source            LoadSource
	Entries           int
	Replicas          int
	Slots             int
	Rate              float64       // requests per second over all entries
	ServiceTime       time.Duration // mean, exponentially distributed
	SubsetSize        int           // upstreams that an entry considers, 0 for all
	HeartbeatInterval time.Duration // between heartbeats
	Candidates        int           // candidates compared for a request, 0 for all
	HasAffinity       bool
	Seed              uint64
}

// BalancingResult holds the measurements of a Balancing run.
type BalancingResult struct {
	Wait           *hdrhistogram.Histogram // microseconds until a slot was available
	Imbalance      float64                 // maximum over mean of the requests at a replica, averaged over time
	HitRate        float64                 // fraction of requests whose prefix was cached
	BytesPerSecond float64                 // load information received by one entry
	Requests       int
}

const (
	reportBytes    = 60  // one load report with its framing
	probeBytes     = 100 // one load query and its answer with their framing
	numPrefixes    = 2000
	maxCached      = 40 // prefixes cached by a replica
	probeLatency   = 2 * hopLatency
	sampleInterval = 100 * time.Millisecond
	rampUp         = 15 * time.Second // excluded from the imbalance samples
)

type replica struct {
	queue  *admit.Queue
	mu     sync.Mutex
	cached []int
}

// loadEstimate is an entry's estimate of one replica's load.
type loadEstimate struct {
	reported int
	sent     int
}

type entry struct {
	subset    []int
	estimates map[int]*loadEstimate
}

type balancingRun struct {
	config    Balancing
	replicas  []*replica
	names     []string
	indexes   map[string]int
	preferred map[int][]string // the two highest-ranked replicas of each prefix
	entries   []*entry
	chooser   *pick.Chooser
	random    *rand.Rand
	mu        sync.Mutex
	result    BalancingResult
	hits      int
	inFlight  sync.WaitGroup
	stop      chan struct{}
}

// Run simulates a seeded workload of the given length; it must run inside a synctest bubble.
func (c Balancing) Run(length time.Duration) *BalancingResult {
	r := &balancingRun{config: c, random: rand.New(rand.NewPCG(c.Seed, 3)), stop: make(chan struct{})}
	r.result.Wait = hdrhistogram.New(1, maxMicros, significantDigits)
	bound := 0.0
	if c.HasAffinity {
		bound = 1.25
	}
	r.chooser = pick.New(pick.WithChoices(c.Candidates), pick.WithAffinityBound(bound), pick.WithRandom(r.random.IntN))
	r.build()
	go r.publishLoads()
	imbalance := make(chan float64, 1)
	go r.sampleImbalance(length, imbalance)
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.draw(r.random.ExpFloat64) / c.Rate * float64(time.Second)))
		r.inFlight.Go(r.serveRequest)
	}
	r.inFlight.Wait()
	close(r.stop)
	r.result.Imbalance = <-imbalance
	r.result.HitRate = float64(r.hits) / float64(max(r.result.Requests, 1))
	r.result.BytesPerSecond = r.bytesPerSecond()
	return &r.result
}

func (r *balancingRun) draw(f func() float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f()
}

func (r *balancingRun) build() {
	r.indexes, r.preferred = make(map[string]int), make(map[int][]string)
	for i := range r.config.Replicas {
		r.replicas = append(r.replicas, &replica{queue: admit.New(r.config.Slots, admit.WithReserve(0))})
		r.names = append(r.names, fmt.Sprint("r", i))
		r.indexes[r.names[i]] = i
	}
	size := r.config.SubsetSize
	if size == 0 {
		size = r.config.Replicas
	}
	picker := subset.New(size)
	for i := range r.config.Entries {
		e := &entry{estimates: make(map[int]*loadEstimate)}
		for _, name := range picker.Of(i, r.names) {
			e.subset = append(e.subset, r.indexes[name])
			e.estimates[r.indexes[name]] = &loadEstimate{}
		}
		r.entries = append(r.entries, e)
	}
}

// publishLoads sends the reports or heartbeats of all replicas to the entries.
func (r *balancingRun) publishLoads() {
	interval := r.config.HeartbeatInterval
	switch r.config.Source {
	case Reported:
		interval = time.Second
	case Heartbeats:
	default:
		return
	}
	for {
		loads := make([]int, len(r.replicas))
		for i, p := range r.replicas {
			loads[i] = currentLoad(p)
		}
		lag := hopLatency
		if r.config.Source == Reported {
			lag = time.Second + time.Duration(r.draw(r.random.Float64)*float64(4*time.Second))
		}
		time.AfterFunc(lag, func() { r.updateEstimates(loads) })
		select {
		case <-r.stop:
			return
		case <-time.After(interval):
		}
	}
}

func currentLoad(p *replica) int {
	load := p.queue.Load()
	return load.Running + load.Queued
}

func (r *balancingRun) updateEstimates(loads []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		for id, estimate := range e.estimates {
			estimate.reported, estimate.sent = loads[id], 0
		}
	}
}

// sampleImbalance averages the maximum load over the mean load, from the end of the ramp-up on.
func (r *balancingRun) sampleImbalance(length time.Duration, result chan<- float64) {
	sum, n := 0.0, 0
	time.Sleep(rampUp)
	for end := time.Now().Add(length - rampUp); time.Now().Before(end); time.Sleep(sampleInterval) {
		total, maxLoad := 0, 0
		for _, p := range r.replicas {
			t := currentLoad(p)
			total += t
			maxLoad = max(maxLoad, t)
		}
		if total > 0 {
			sum += float64(maxLoad) * float64(len(r.replicas)) / float64(total)
			n++
		}
	}
	result <- sum / float64(max(n, 1))
}

func (r *balancingRun) serveRequest() {
	r.mu.Lock()
	e := r.entries[r.random.IntN(len(r.entries))]
	prefix := int(float64(numPrefixes) * r.random.Float64() * r.random.Float64())
	serviceTime := time.Duration(r.random.ExpFloat64() * float64(r.config.ServiceTime))
	r.mu.Unlock()
	id := r.choose(e, prefix)
	p := r.replicas[id]
	started := make(chan *admit.Refused, 1)
	ticket := &admit.Ticket{Deadline: time.Now().Add(time.Hour), Notify: func(v *admit.Refused) { started <- v }}
	offered := time.Now()
	if p.queue.Offer(ticket) != nil {
		return
	}
	<-started
	r.recordRequest(p, prefix, time.Since(offered))
	time.Sleep(serviceTime)
	p.queue.Release(ticket)
	if r.config.Source == Piggyback {
		r.mu.Lock()
		e.estimates[id].reported, e.estimates[id].sent = currentLoad(p), 0
		r.mu.Unlock()
	}
}

// choose returns the replica that the entry selects from its load information.
func (r *balancingRun) choose(e *entry, prefix int) int {
	if r.config.Source == Probes || r.config.Source == PrefixProbes {
		time.Sleep(probeLatency)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := e.subset
	switch r.config.Source {
	case Probes:
		ids = r.probeTwo(e)
	case PrefixProbes:
		return r.choosePreferred(e, prefix)
	}
	candidates := make([]pick.Candidate, len(ids))
	for i, id := range ids {
		estimate := e.estimates[id]
		candidates[i] = pick.Candidate{Name: fmt.Sprint(id), Reported: estimate.reported, UnreportedChange: estimate.sent, Slots: r.config.Slots}
	}
	name := ""
	if r.config.HasAffinity {
		name = fmt.Sprint("p", prefix)
	}
	id := ids[r.chooser.ChoosePrefill(name, candidates)]
	e.estimates[id].sent++
	return id
}

// probeTwo queries the current load of two random replicas of the subset.
func (r *balancingRun) probeTwo(e *entry) []int {
	a, b := r.random.IntN(len(e.subset)), r.random.IntN(len(e.subset)-1)
	if b >= a {
		b++
	}
	ids := []int{e.subset[a], e.subset[b]}
	for _, id := range ids {
		e.estimates[id].reported, e.estimates[id].sent = currentLoad(r.replicas[id]), 0
	}
	return ids
}

// choosePreferred returns the less loaded of the prefix's two preferred replicas; if both are fully loaded, it
// returns a random one of the subset where that has less load.
func (r *balancingRun) choosePreferred(e *entry, prefix int) int {
	order := r.preferred[prefix]
	if order == nil {
		order = rank.Order(fmt.Sprint("p", prefix), r.names)[:2]
		r.preferred[prefix] = order
	}
	a, b := r.indexes[order[0]], r.indexes[order[1]]
	if currentLoad(r.replicas[b]) < currentLoad(r.replicas[a]) {
		a = b
	}
	if currentLoad(r.replicas[a]) < r.config.Slots {
		return a
	}
	other := e.subset[r.random.IntN(len(e.subset))]
	if currentLoad(r.replicas[other]) < currentLoad(r.replicas[a]) {
		return other
	}
	return a
}

func (r *balancingRun) recordRequest(p *replica, prefix int, wait time.Duration) {
	p.mu.Lock()
	hit := p.lookup(prefix)
	p.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	if hit {
		r.hits++
	}
	_ = r.result.Wait.RecordValue(max(wait.Microseconds(), 1))
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
	if len(p.cached) > maxCached {
		p.cached = p.cached[1:]
	}
	return false
}

// bytesPerSecond returns the traffic that load information causes at one entry for this model.
func (r *balancingRun) bytesPerSecond() float64 {
	perEntry := r.config.Rate / float64(r.config.Entries)
	switch r.config.Source {
	case Reported:
		return float64(r.config.Replicas) * reportBytes
	case Piggyback:
		return perEntry * reportBytes
	case Heartbeats:
		return float64(len(r.entries[0].subset)) * reportBytes / r.config.HeartbeatInterval.Seconds()
	case Probes:
		return perEntry * 2 * probeBytes
	case PrefixProbes:
		return perEntry * 3 * probeBytes
	}
	return 0
}
