package pace

import "time"

// minTimedEvents is the number of events after the first ones from which the pauses between a stream's events show the speed of its
// engine. It is small, so that the speeds of a fleet that has just started are known within a second.
const minTimedEvents = 5

// Timer measures the mean pause between the first events of a stream. Its zero value is ready for use.
type Timer struct {
	first   int // Events that came first, together; 0 before them.
	firstAt time.Time
	isDone  bool
}

// Add takes the number of events that a stream has had until now. Once, when enough have arrived, it returns their mean pause and
// true. Events that arrive together with the first one show no pause.
func (t *Timer) Add(events int) (time.Duration, bool) {
	switch later := events - t.first; {
	case t.isDone || events == 0:
	case t.first == 0:
		t.first, t.firstAt = events, time.Now()
	case later >= minTimedEvents:
		t.isDone = true
		return time.Since(t.firstAt) / time.Duration(later), true
	}
	return 0, false
}
