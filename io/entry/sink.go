package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strconv"

	"pimentoseam/core/fault"
	"pimentoseam/core/stream"
	"pimentoseam/io/server"
)

// eventSink streams server-sent events and sends only complete events. An answer that is not a stream, such as an
// error, is collected and sent at its end.
type eventSink struct {
	w           http.ResponseWriter
	stream      *server.Stream
	status      int
	contentType string
	started     bool             // The head was sent.
	events      *stream.Splitter // Nil if the answer is not a stream.
	hasDone     bool             // The event that ends a chat stream was sent.
	collector                    // The answer if it is not a stream.
}

// incompleteError reports an answer that its upstream ended properly, but that is not whole.
type incompleteError struct {
	lacks string // What shows it.
}

// Error returns a text with what the answer lacks.
func (e *incompleteError) Error() string {
	return "the upstream's answer is incomplete: no " + e.lacks
}

func (s *eventSink) writeHeader(status int, contentType string) {
	if s.started {
		return
	}
	s.status, s.contentType = status, contentType
	if mediaType, _, err := mime.ParseMediaType(contentType); status == http.StatusOK && err == nil && mediaType == "text/event-stream" {
		s.events = stream.New(stream.WithData())
	}
}

// sendHeader sends the head before the first bytes of the answer.
func (s *eventSink) sendHeader() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", s.contentType)
	s.w.Header().Set("Cache-Control", "no-cache")
	if s.status != http.StatusOK {
		s.w.WriteHeader(s.status)
	}
}

func (s *eventSink) write(p []byte) error {
	if s.events == nil {
		return s.add(p)
	}
	unsound := s.events.Add(p)
	if events := s.events.Take(); len(events) > 0 {
		s.sendHeader()
		s.hasDone = s.hasDone || endsWithDone(events)
		if _, err := s.stream.Write(events); err != nil {
			return err
		}
	}
	if errors.As(unsound, new(*stream.Foreign)) {
		return &incompleteError{lacks: "event where one is due"}
	}
	if unsound != nil {
		return &tooLargeError{}
	}
	return nil
}

// endsWithDone reports whether the last line of events is the data of the event that ends a chat stream.
func endsWithDone(events []byte) bool {
	text := bytes.TrimRight(events, "\r\n")
	data, ok := bytes.CutPrefix(text[bytes.LastIndexAny(text, "\r\n")+1:], []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

func (s *eventSink) hasDelivered() bool { return s.started }

func (s *eventSink) reset() {
	s.events = nil
	s.drop()
}

// end sends the rest of an answer whose upstream has ended it. An upstream that fails may end it properly too, so a
// stream must have its last event.
func (s *eventSink) end() error {
	if s.events != nil {
		if !s.hasDone {
			return &incompleteError{lacks: "[DONE]"}
		}
		return nil
	}
	if err := checkBody(s.status, s.body, true); err != nil {
		return err
	}
	s.sendHeader()
	_, err := s.stream.Write(s.body)
	return err
}

// fail sends an error event, which ends the stream.
func (s *eventSink) fail(err *fault.Error, id string) {
	event := append([]byte("event: error\ndata: "), server.ErrorJSON(err, id)...)
	_, _ = s.stream.Write(append(event, "\n\n"...))
}

// bufferSink collects the complete answer before it is sent.
type bufferSink struct {
	isJSON      bool // A successful answer must be one JSON value.
	status      int
	contentType string
	collector
}

// tooLargeError reports an answer larger than maxBufferedBytes, or one for which there is no room beside others.
type tooLargeError struct{}

// Error returns a fixed text.
func (*tooLargeError) Error() string {
	return "the answer is too large"
}

// sinkOutcome returns the outcome of an attempt whose answer a sink could not take. An incomplete answer is a failure
// after which another attempt may be made. So is one that is too large, but no other attempt would have a smaller one.
func sinkOutcome(err error) *outcome {
	incomplete := new(incompleteError)
	if errors.As(err, &incomplete) {
		return &outcome{fault: &fault.Error{Kind: fault.Failed, Message: incomplete.Error(), RetryAfter: attemptRetryAfter}}
	}
	tooLarge := new(tooLargeError)
	if errors.As(err, &tooLarge) {
		return &outcome{fault: fault.New(fault.Failed, tooLarge.Error()), isFinal: true}
	}
	return &outcome{callerGone: true}
}

func (s *bufferSink) writeHeader(status int, contentType string) {
	s.status, s.contentType = status, contentType
}

func (s *bufferSink) write(p []byte) error {
	return s.add(p)
}

func (s *bufferSink) end() error {
	return checkBody(s.status, s.body, s.isJSON)
}

// checkBody returns an *incompleteError if a collected answer is not whole: it has no status, or it is successful and must
// be one JSON value but isn't.
func checkBody(status int, body []byte, isJSON bool) error {
	if status == 0 {
		return &incompleteError{lacks: "status"}
	}
	if isJSON && status == http.StatusOK && !json.Valid(body) {
		return &incompleteError{lacks: "end of the JSON value"}
	}
	return nil
}

func (s *bufferSink) hasDelivered() bool { return false }

func (s *bufferSink) reset() { s.drop() }

// send writes the collected answer to the caller.
func (s *bufferSink) send(w http.ResponseWriter) {
	if s.contentType != "" {
		w.Header().Set("Content-Type", s.contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}
