package entry

import (
	"bytes"
	"net/http"
	"strconv"

	"pimentoseam/core/fault"
	"pimentoseam/io/server"
)

// maxWhole is the largest answer in bytes that is not streamed.
const maxBufferedBytes = 8 << 20

// eventSink streams server-sent events, whole events only.
type eventSink struct {
	w       http.ResponseWriter
	stream  *server.Stream
	started bool
	pending []byte
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

// finish sends what is left of an answer that is whole.
func (s *eventSink) finish() {
	if len(s.pending) > 0 {
		_, _ = s.stream.Write(s.pending)
	}
}

// fail ends the stream with a typed error event.
func (s *eventSink) fail(err *fault.Error, id string) {
	event := append([]byte("event: error\ndata: "), server.ErrorJSON(err, id)...)
	_, _ = s.stream.Write(append(event, eventSeparator...))
}

// wholeSink collects an answer before any of it is sent.
type bufferSink struct {
	status      int
	contentType string
	body        []byte
}

// tooLarge reports an answer beyond maxWhole.
type tooLargeError struct{}

// Error returns a fixed text.
func (*tooLargeError) Error() string {
	return "the answer is too large"
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

func (s *bufferSink) send(w http.ResponseWriter) {
	if s.contentType != "" {
		w.Header().Set("Content-Type", s.contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}
