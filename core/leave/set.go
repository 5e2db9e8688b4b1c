package leave

import "time"

const (
	// retention is how long a run is remembered. A leaving upstream exits within a minute; a platform that delays
	// the exit must not get its work back from an entry that has forgotten.
	retention = time.Hour
	// unstatedRetention replaces retention for upstreams that don't state their start, since a restart under the
	// same id looks like the run that left.
	unstatedRetention = time.Minute
	// maxRuns limits the runs to about 200 kB.
	maxRuns = 4096
)

// Run is one run of an upstream, from its start until it exits.
type Run struct {
	_       struct{} `cbor:",toarray"`
	Key     uint32   // The key of the upstream in beats.
	Started int64    // Start time in Unix milliseconds; 0 if the upstream doesn't state it.
}

// Set holds the runs that leave. A run never returns from it: an upstream that serves again is another run.
type Set struct {
	since map[Run]time.Time
}

// New returns an empty Set.
func New() *Set {
	return &Set{since: make(map[Run]time.Time)}
}

// Add records that a run leaves and reports whether that is new.
func (s *Set) Add(r Run) bool {
	if s.Has(r) {
		return false
	}
	s.expire()
	s.since[r] = time.Now()
	return true
}

// Has reports whether a run leaves.
func (s *Set) Has(r Run) bool {
	_, ok := s.Since(r)
	return ok
}

// Since returns when it became known that a run leaves, and false if it doesn't.
func (s *Set) Since(r Run) (time.Time, bool) {
	since, ok := s.since[r]
	return since, ok && time.Since(since) < retentionOf(r)
}

// Runs returns up to limit of the runs that leave.
func (s *Set) Runs(limit int) []Run {
	runs := make([]Run, 0, min(limit, len(s.since)))
	for r := range s.since {
		if len(runs) < limit && s.Has(r) {
			runs = append(runs, r)
		}
	}
	return runs
}

// expire drops the runs whose retention is over, and the oldest ones beyond maxRuns-1.
func (s *Set) expire() {
	for r := range s.since {
		if !s.Has(r) {
			delete(s.since, r)
		}
	}
	for len(s.since) >= maxRuns {
		var oldest Run
		first := true
		for r, since := range s.since {
			if first || since.Before(s.since[oldest]) {
				oldest, first = r, false
			}
		}
		delete(s.since, oldest)
	}
}

// retentionOf returns how long a run is remembered.
func retentionOf(r Run) time.Duration {
	if r.Started == 0 {
		return unstatedRetention
	}
	return retention
}
