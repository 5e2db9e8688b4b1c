package entry

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"

	"pimentoseam/core/fault"
	"pimentoseam/io/server"
)

// maxBufferedBytes is the maximum size in bytes of an answer that is not streamed.
const maxBufferedBytes = 8 << 20

// eventSink streams server-sent events and sends only complete events.
type eventSink struct {
	w       http.ResponseWriter
	stream  *server.Stream
	started bool   // An event was sent.
	pending []byte // The incomplete event at the end.
}

func (s *eventSink) writeHeader(status int, contentType string) {
	if s.started {
		return
	}
	s.w.Header().Set("Content-Type", contentType)
	s.w.Header().Set("Cache-Control", "no-cache")
	if status != http.StatusOK {
		s.w.WriteHeader(status)
	}
}

var eventSeparator = []byte("\n\n")

func (s *eventSink) write(p []byte) error {
	s.pending = append(s.pending, p...)
	end := bytes.LastIndex(s.pending, eventSeparator)
	if end < 0 {
		return nil
	}
	end += len(eventSeparator)
	s.started = true
	_, err := s.stream.Write(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return err
}

func (s *eventSink) hasDelivered() bool { return s.started }

func (s *eventSink) reset() { s.pending = nil }

// finish sends the pending bytes of a complete answer.
func (s *eventSink) finish() {
	if len(s.pending) > 0 {
		_, _ = s.stream.Write(s.pending)
	}
}

// fail sends an error event, which ends the stream.
func (s *eventSink) fail(err *fault.Error, id string) {
	event := append([]byte("event: error\ndata: "), server.ErrorJSON(err, id)...)
	_, _ = s.stream.Write(append(event, eventSeparator...))
}

// bufferSink collects the complete answer before it is sent.
type bufferSink struct {
	status      int
	contentType string
	body        []byte
}

// tooLargeError reports an answer larger than maxBufferedBytes.
type tooLargeError struct{}

// Error returns a fixed text.
func (*tooLargeError) Error() string {
	return "the answer is too large"
}

// sinkOutcome returns the outcome of an attempt whose answer a sink could not take. An answer that is too large is a
// failure that the caller is told of, and no other attempt would have a smaller one.
func sinkOutcome(err error) *outcome {
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
	if len(s.body)+len(p) > maxBufferedBytes {
		return &tooLargeError{}
	}
	s.body = append(s.body, p...)
	return nil
}

func (s *bufferSink) hasDelivered() bool { return false }

func (s *bufferSink) reset() { s.body = nil }

// send writes the collected answer to the caller.
func (s *bufferSink) send(w http.ResponseWriter) {
	if s.contentType != "" {
		w.Header().Set("Content-Type", s.contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}
