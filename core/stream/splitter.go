package stream

import (
	"bytes"
	"fmt"
)

// MaxEventBytes limits an event, and a line outside of events, in bytes. An event holds a few tokens; an upstream that
// sends more without ending the event is faulty.
const MaxEventBytes = 1 << 20

// TooLarge reports an event that exceeds MaxEventBytes.
type TooLarge struct {
	Size int // Bytes received of the event.
}

// Error returns a text with the size and the limit.
func (e *TooLarge) Error() string {
	return fmt.Sprintf("event of %d bytes or more exceeds the limit of %d", e.Size, MaxEventBytes)
}

// Incomplete reports a stream that ended inside an event.
type Incomplete struct {
	Size int // Bytes received of the event.
}

// Error returns a text with the size.
func (e *Incomplete) Error() string {
	return fmt.Sprintf("stream ended inside an event, after %d bytes of it", e.Size)
}

// Foreign reports text in a stream that is no event of it, such as an error page or another response.
type Foreign struct {
	Size int // Bytes up to the empty line that ends the text.
}

// Error returns a text with the size.
func (e *Foreign) Error() string {
	return fmt.Sprintf("%d bytes between events are no event of the stream", e.Size)
}

// Splitter collects the bytes of a stream and returns them in complete events. Lines end with LF, CR or CRLF; an empty
// line ends an event. A comment line outside of events is complete by itself.
type Splitter struct {
	data      []byte
	scanned   int // Length of the scanned part of data.
	lineStart int // Index of the present line in data.
	complete  int // Length of the complete events at the start of data.
	taken     int // Length of the part of data that Take has returned.
	afterCR   bool
	inEvent   bool // A field of the present event has been read.
	hasID     bool // The present event has an id.
	hasData   bool // The present event has data or a type.
	hasRetry  bool // The present event sets the time after which to reconnect; it may have nothing else.
	needsData bool // See WithData.
	hasIDs    bool // See WithIDs.
	needsID   bool // Events without an id are foreign from here on.
	isForeign bool // The text at the end of the data is no event.
	id        string
	lastID    string
	count     int
}

// Option configures a Splitter.
type Option func(*Splitter)

// WithIDs makes the Splitter report text that is no event: once an event has an id, all later ones must have one, and data or a
// type. last is the id of the last event before the stream, empty for none.
func WithIDs(last string) Option {
	return func(s *Splitter) { s.hasIDs, s.needsID = true, last != "" }
}

// WithData makes the Splitter report events that have neither data nor a type.
func WithData() Option {
	return func(s *Splitter) { s.needsData = true }
}

// New returns a Splitter at the start of a stream.
func New(opts ...Option) *Splitter {
	s := &Splitter{}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Add appends bytes of the stream; its error is a *TooLarge or a *Foreign, before which complete events may have come.
func (s *Splitter) Add(data []byte) error {
	s.dropTaken()
	s.data = append(s.data, data...)
	for ; s.scanned < len(s.data) && !s.isForeign; s.scanned++ {
		s.scan(s.data[s.scanned])
	}
	if s.isForeign {
		return &Foreign{Size: s.lineStart - s.complete}
	}
	if size := len(s.data) - s.complete; size > MaxEventBytes {
		return &TooLarge{Size: size}
	}
	return nil
}

func (s *Splitter) dropTaken() {
	s.data = append(s.data[:0], s.data[s.taken:]...)
	s.scanned -= s.taken
	s.lineStart -= s.taken
	s.complete, s.taken = 0, 0
}

// scan handles the byte at index s.scanned.
func (s *Splitter) scan(b byte) {
	i, afterCR := s.scanned, s.afterCR
	s.afterCR = b == '\r'
	switch {
	case b == '\n' && afterCR:
		// It belongs to the line end before it.
		if s.complete == i {
			s.complete = i + 1
		}
		s.lineStart = i + 1
	case b == '\n' || b == '\r':
		s.endLine(s.data[s.lineStart:i])
		if !s.inEvent && !s.isForeign {
			s.complete = i + 1
		}
		s.lineStart = i + 1
	}
}

func (s *Splitter) endLine(line []byte) {
	switch {
	case len(line) == 0:
		s.endEvent()
	case line[0] != ':':
		s.inEvent = true
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.hasID, s.id = true, string(bytes.TrimPrefix(value, []byte(" ")))
		}
		s.hasRetry = s.hasRetry || bytes.HasPrefix(line, []byte("retry:"))
		s.hasData = s.hasData || bytes.HasPrefix(line, []byte("data:")) || bytes.HasPrefix(line, []byte("event:"))
	}
}

// endEvent handles the empty line that ends an event, if there is one.
func (s *Splitter) endEvent() {
	lacksID, lacksData := s.needsID && !s.hasID, (s.needsID || s.needsData) && !s.hasData
	isControl := s.hasRetry && !s.hasData
	if s.inEvent && !isControl && (lacksID || lacksData) {
		s.isForeign = true
		return
	}
	if s.hasID {
		s.lastID, s.needsID = s.id, s.hasIDs
	}
	if s.inEvent {
		s.count++
	}
	s.inEvent, s.hasID, s.hasData, s.hasRetry = false, false, false, false
}

// Take returns the complete events that it hasn't returned before; they are valid until the next Add.
func (s *Splitter) Take() []byte {
	events := s.data[s.taken:s.complete]
	s.taken = s.complete
	return events
}

// End returns an *Incomplete if the stream, which has ended, did so inside an event.
func (s *Splitter) End() error {
	if s.inEvent || s.lineStart < len(s.data) {
		return &Incomplete{Size: len(s.data) - s.complete}
	}
	return nil
}

// LastID returns the id of the last complete event that has one, or an empty string.
func (s *Splitter) LastID() string {
	return s.lastID
}

// Count returns the number of complete events.
func (s *Splitter) Count() int {
	return s.count
}
