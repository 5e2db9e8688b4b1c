package event

import (
	"sync"
	"time"
)

// Event is one event of the time line.
type Event struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Seq     uint64    `json:"seq"` // The sequence number within the process, from 1.
	Name    string    `json:"name"`
	Request string    `json:"request,omitempty"` // The id of the request.
	Subject string    `json:"subject,omitempty"` // What the event is about, such as the name of an upstream.
	Detail  string    `json:"detail,omitempty"`
}

// Log holds the newest events of a process in a ring buffer of fixed size.
type Log struct {
	process string
	mu      sync.Mutex
	ring    []Event // The ring buffer; its capacity is fixed.
	seq     uint64  // The sequence number of the newest event.
}

// New returns an empty Log for the named process with space for size events.
func New(process string, size int) *Log {
	return &Log{process: process, ring: make([]Event, 0, size)}
}

// Add appends an event and overwrites the oldest one when the buffer is full; request, subject and detail
// may be empty.
func (l *Log) Add(name, request, subject, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e := Event{Time: time.Now(), Process: l.process, Seq: l.seq, Name: name, Request: request, Subject: subject, Detail: detail}
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[int(l.seq-1)%cap(l.ring)] = e
}

// Since returns the events at or after time t in order; if request is not empty, only those of that request.
func (l *Log) Since(t time.Time, request string) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var events []Event
	start := 0
	if len(l.ring) == cap(l.ring) {
		start = int(l.seq) % cap(l.ring)
	}
	for i := range l.ring {
		e := l.ring[(start+i)%len(l.ring)]
		if e.Time.Before(t) || (request != "" && e.Request != request) {
			continue
		}
		events = append(events, e)
	}
	return events
}
