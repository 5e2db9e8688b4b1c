package fair

import (
	"math"
	"sync"
	"time"
)

const (
	// memory is the time constant with which counts decay. Within it, an entry of 20 requests a second sees enough of them to
	// tell large organisations from small ones, and an organisation that stops its flood is soon treated as before.
	memory = 10 * time.Second
	// updateInterval is how often counts decay and levels are computed. With 10,000 organisations an update takes about
	// a millisecond of a whole core.
	updateInterval = 200 * time.Millisecond
	// minServedRatio is the part of the ratio of all organisations together that each one is served at least, however large it
	// is. A quarter is required; the rest is for what an entry doesn't see.
	minServedRatio = 0.35
	// demandMargin is the demand, in multiples of the level, up to which an organisation is never beyond its share. Retries raise
	// the demand of an organisation that has been refused by chance.
	demandMargin = 1.5
	// shareRoom is the part of the room for an organisation that asks for more than its share and hasn't had it yet. It is
	// below 1 so that first attempts make use of the share rather than the retries of what was refused.
	shareRoom = 0.9
	// overRoom is the part of the room for an organisation beyond its share. What is left is for bursts of the others.
	overRoom = 0.5
	// lowRoom is that for an organisation beyond its share that has been served less than minServedRatio. It comes before those
	// that have not, but after those within their shares.
	lowRoom = 0.75
	// minDemand is the demand below which an organisation is forgotten, three memories after its last request.
	minDemand = 0.05
	// minRefused is the number of refusals below which capacity doesn't count as short.
	minRefused = 1.0
	// maxRecords limits the pairs of a service and an organisation that are counted, about 2 MB. Others count as within
	// their shares.
	maxRecords = 20_000
	// levelSteps is the number of halvings in the search for a level; it is then known to a millionth of the largest demand.
	levelSteps = 20
)

// Shares counts the requests of organisations by service.
type Shares struct {
	mu         sync.Mutex
	services   map[string]*ledger
	numRecords int
	updated    time.Time
	demands    []float64 // Used by level.
}

// ledger holds the counts of a service, which decay.
type ledger struct {
	records map[string]*record // By organisation.
	level   float64            // What an organisation may have at least; infinite while capacity isn't short.
	ratio   float64            // Part of all requests that is served.
}

// record holds the counts of an organisation.
type record struct {
	demand  float64 // Requests.
	refused float64 // Those that were refused for lack of capacity.
}

// New returns empty Shares.
func New() *Shares {
	return &Shares{services: make(map[string]*ledger), updated: time.Now()}
}

// Arrive counts a request to a service. It returns the part of the longest wait that this one may use: 1 unless its
// organisation asks for more than its share. Requests without an organisation share the empty name.
func (s *Shares) Arrive(service, organisation string) (room float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update()
	l := s.services[service]
	if l == nil {
		l = &ledger{records: make(map[string]*record), level: math.Inf(1), ratio: 1}
		s.services[service] = l
	}
	r := l.records[organisation]
	if r == nil {
		if s.numRecords >= maxRecords {
			return 1
		}
		r = &record{}
		l.records[organisation] = r
		s.numRecords++
	}
	served := r.demand - r.refused
	switch {
	case r.demand <= l.level:
		room = 1
	case served <= l.level || r.demand <= demandMargin*l.level:
		room = shareRoom
	case served <= minServedRatio*l.ratio*r.demand:
		room = lowRoom
	default:
		room = overRoom
	}
	r.demand++
	return room
}

// Refuse counts a request as refused for lack of capacity. Arrive has counted it before.
func (s *Shares) Refuse(service, organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.services[service]; l != nil {
		if r := l.records[organisation]; r != nil {
			r.refused = min(r.refused+1, r.demand)
		}
	}
}

// Len returns the number of pairs of a service and an organisation that are counted.
func (s *Shares) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.numRecords
}

// update lets counts decay and computes the levels, if the time has come; the lock must be held.
func (s *Shares) update() {
	passed := time.Since(s.updated)
	if passed < updateInterval {
		return
	}
	s.updated = time.Now()
	rest := math.Exp(-passed.Seconds() / memory.Seconds())
	for service, l := range s.services {
		for organisation, r := range l.records {
			r.demand *= rest
			r.refused *= rest
			if r.demand < minDemand {
				delete(l.records, organisation)
				s.numRecords--
			}
		}
		if len(l.records) == 0 {
			delete(s.services, service)
			continue
		}
		l.level, l.ratio = s.level(l)
	}
}

// level returns the level up to which organisations are served alike, and the part of all requests that is served. With each
// organisation at its demand or the level, whichever is less, but at least at minServedRatio of that part, all together get
// what they were served.
func (s *Shares) level(l *ledger) (level, ratio float64) {
	s.demands = s.demands[:0]
	var demand, served, largest float64
	for _, r := range l.records {
		s.demands = append(s.demands, r.demand)
		demand += r.demand
		served += r.demand - r.refused
		largest = max(largest, r.demand)
	}
	if demand-served < minRefused {
		return math.Inf(1), 1
	}
	ratio = served / demand
	low, high := 0.0, largest
	for range levelSteps {
		middle := (low + high) / 2
		sum := 0.0
		for _, d := range s.demands {
			sum += max(min(d, middle), minServedRatio*ratio*d)
		}
		if sum < served {
			low = middle
		} else {
			high = middle
		}
	}
	return high, ratio
}
