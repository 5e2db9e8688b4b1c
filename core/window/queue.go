package window

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// Settle is the time from the end of a window until its counts are fetched. By then each entry has counted the
	// requests that began in it, though its clock may be behind a little.
	Settle = 600 * time.Millisecond
	// maxSkew is the most that the clocks of two VMs may differ.
	maxSkew = 2 * time.Second
	// maxRecordAge is the time after the end of a window until which a record of it may be made.
	maxRecordAge = 45 * time.Second
	// maxRecordWindows is that time in windows, if they are short: core/usage keeps the counts of 14 windows.
	maxRecordWindows = 12
	// maxReportAge is the time after the end of a window until which it is reported. The record is removed later.
	maxReportAge = time.Minute
	// keepRecords is the time after the end of a window for which this entry remembers the record.
	keepRecords = 2 * time.Minute
	// maxPending limits the list of records that were not accepted yet. No more windows of a second end within maxReportAge.
	maxPending = 60
	// maxRemovals limits the records that are removed in one write.
	maxRemovals = 32
)

// Record is the report of one window, as it is written to the store before it is sent.
type Record struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"` // Requests by organisation.
	Era    int64            `json:"era,omitempty"`
	// Floor is the first window that can't have been recorded before the store began this era.
	Floor int64 `json:"floor,omitempty"`
	// Pending lists the other windows whose records had not been accepted yet, and could still be, when this one was made.
	Pending []int64 `json:"pending,omitempty"`
}

// Queue tells the entry that holds the duty which window to record and which record to send next. Each record that it
// is given must be known to be in the store, or to have been there.
type Queue struct {
	length time.Duration
	late   time.Duration
	start  int64 // The window in which this entry started.

	mu      sync.Mutex
	era     int64
	floor   int64
	records map[int64]Record
	stored  map[int64]bool // Windows with a record in the store that must be removed some time.
	sent    map[int64]bool
	missed  int64 // The newest window that Missed has returned or passed over.
}

// New returns a Queue of windows of a length, whose reports are due within late after their end.
func New(length, late time.Duration, now time.Time) *Queue {
	q := &Queue{length: length, late: late, records: make(map[int64]Record), stored: make(map[int64]bool), sent: make(map[int64]bool)}
	q.start = q.Of(now)
	q.missed = q.start - 1
	return q
}

// Of returns the window in which a time falls.
func (q *Queue) Of(t time.Time) int64 {
	return t.UnixNano() / int64(q.length)
}

// End returns the end of a window.
func (q *Queue) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(q.length))
}

// IsLate reports whether the report of a window is overdue at a time.
func (q *Queue) IsLate(window int64, now time.Time) bool {
	return now.Sub(q.End(window)) > q.late
}

// ObserveEra records the newest known era of the store. A window that ended before may have been reported from a record that
// the store has lost, so no record of it is made again.
func (q *Queue) ObserveEra(era int64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if era > q.era {
		q.era, q.floor = era, q.Of(now.Add(maxSkew))
		clear(q.stored)
	}
}

// Resume adds the records that are in the store when the lease has just been gained, the one that was written last at the end.
// It states which of the others had been accepted. A record of a window before the present era that this entry doesn't remember
// isn't sent: a delayed write may have created it after the store came back, when another one had been sent already.
func (q *Queue) Resume(found []Record, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var unknown []int64
	for _, r := range found {
		q.stored[r.Window] = true
		if _, ok := q.records[r.Window]; !ok {
			q.records[r.Window] = r
			unknown = append(unknown, r.Window)
		}
		if r.Era == q.era {
			q.floor = min(q.floor, r.Floor)
		}
	}
	for _, w := range unknown {
		if w < q.floor {
			q.sent[w] = true
		}
	}
	if len(found) > 0 {
		last := found[len(found)-1]
		for _, r := range found {
			if r.Window != last.Window && !slices.Contains(last.Pending, r.Window) {
				q.sent[r.Window] = true
			}
		}
	}
	q.missed = max(q.missed, q.Of(now.Add(-maxReportAge))-1)
}

// first returns the first window of which a record may be made; the lock must be held.
func (q *Queue) first(now time.Time) int64 {
	oldest := int64(math.MaxInt64)
	for w := range q.records {
		oldest = min(oldest, w)
	}
	return max(min(q.start, oldest), q.floor, q.Of(now.Add(-min(maxRecordAge, maxRecordWindows*q.length))))
}

// ToRecord returns the next window of which a record must be made: the first that is still in time, else the first.
func (q *Queue) ToRecord(now time.Time) (window int64, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for w := q.first(now); now.Sub(q.End(w)) >= Settle; w++ {
		if _, recorded := q.records[w]; recorded {
			continue
		}
		if !ok || !q.IsLate(w, now) {
			window, ok = w, true
		}
		if !q.IsLate(w, now) {
			break
		}
	}
	return window, ok
}

// NewRecord returns the record of a window in the present era.
func (q *Queue) NewRecord(window int64, counts map[string]int64) Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := Record{Window: window, Counts: counts, Era: q.era, Floor: q.floor}
	for _, w := range slices.Sorted(maps.Keys(q.records)) {
		tooOld := q.End(window).Sub(q.End(w)) > maxReportAge
		if w != window && !q.sent[w] && !tooOld && len(r.Pending) < maxPending {
			r.Pending = append(r.Pending, w)
		}
	}
	return r
}

// Recorded adds a record that is in the store.
func (q *Queue) Recorded(r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.records[r.Window], q.stored[r.Window] = r, true
}

// ToSend returns the record that must be sent next: the first that is still in time, else the first.
func (q *Queue) ToSend(now time.Time) (r Record, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range slices.Sorted(maps.Keys(q.records)) {
		if q.sent[w] || now.Sub(q.End(w)) > maxReportAge {
			continue
		}
		if !ok || !q.IsLate(w, now) {
			r, ok = q.records[w], true
		}
		if !q.IsLate(w, now) {
			break
		}
	}
	return r, ok
}

// Sent records that the provider has accepted the record of a window.
func (q *Queue) Sent(window int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sent[window] = true
	if r, ok := q.records[window]; ok {
		r.Counts = nil // Needed no more.
		q.records[window] = r
	}
}

// Missed returns the windows, each once, that are too old to be reported and weren't, as far as this entry knows.
func (q *Queue) Missed(now time.Time) []int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []int64
	for w := q.missed + 1; now.Sub(q.End(w)) > maxReportAge; w++ {
		if !q.sent[w] {
			list = append(list, w)
		}
		q.missed = w
	}
	isOld := func(w int64) bool { return now.Sub(q.End(w)) > keepRecords }
	maps.DeleteFunc(q.records, func(w int64, _ Record) bool { return isOld(w) })
	maps.DeleteFunc(q.sent, func(w int64, _ bool) bool { return isOld(w) })
	return list
}

// ToRemove returns windows whose records in the store are no longer needed.
func (q *Queue) ToRemove(now time.Time) []int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []int64
	for w := range q.stored {
		if len(list) < maxRemovals && now.Sub(q.End(w)) > maxReportAge {
			list = append(list, w)
		}
	}
	return list
}

// Removed records that the store no longer holds the records of windows.
func (q *Queue) Removed(windows []int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range windows {
		delete(q.stored, w)
	}
}
