package trial

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pimentoseam/core/trace"
)

// OutcomeCounts counts the outcomes of a group of requests.
type OutcomeCounts struct {
	Total       int
	Good        int
	Late        int
	Refused     int
	Failed      int
	FirstToken  *hdrhistogram.Histogram // microseconds to the first token
	RefusalTime *hdrhistogram.Histogram // microseconds to a refusal
}

// Result holds the outcomes of a trace.
type Result struct {
	mu          sync.Mutex
	Urgent      *OutcomeCounts // priority 0
	NonUrgent   *OutcomeCounts // all other priorities
	Callers     map[string]*OutcomeCounts
	RoleChanges int
	Lookups     int // of prompt prefixes
	Hits        int // lookups that found a cached prefix
}

const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func newOutcomeCounts() *OutcomeCounts {
	return &OutcomeCounts{FirstToken: hdrhistogram.New(1, maxMicros, significantDigits), RefusalTime: hdrhistogram.New(1, maxMicros, significantDigits)}
}

func newResult() *Result {
	return &Result{Urgent: newOutcomeCounts(), NonUrgent: newOutcomeCounts(), Callers: make(map[string]*OutcomeCounts)}
}

func (r *Result) recordRoleChange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RoleChanges++
}

func (r *Result) record(q *trace.Request, o requestOutcome, first, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.NonUrgent
	if q.Class.Priority == 0 {
		t = r.Urgent
	}
	t.record(o, first, total)
	c := r.Callers[q.Caller]
	if c == nil {
		c = &OutcomeCounts{}
		r.Callers[q.Caller] = c
	}
	c.record(o, first, total)
}

func (t *OutcomeCounts) record(o requestOutcome, first, total time.Duration) {
	t.Total++
	switch o {
	case good:
		t.Good++
	case late:
		t.Late++
	case failed:
		t.Failed++
	case refused:
		t.Refused++
		if t.RefusalTime != nil {
			_ = t.RefusalTime.RecordValue(total.Microseconds())
		}
	}
	if first > 0 && t.FirstToken != nil {
		_ = t.FirstToken.RecordValue(first.Microseconds())
	}
}

// GoodShare returns the fraction of good requests, 1 if there were none.
func (t *OutcomeCounts) GoodShare() float64 {
	if t.Total == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Total)
}

// Goodput returns the fraction of good requests over all classes.
func (r *Result) Goodput() float64 {
	return float64(r.Urgent.Good+r.NonUrgent.Good) / float64(max(r.Urgent.Total+r.NonUrgent.Total, 1))
}
