package entry

import (
	"bytes"
	"net/http"
	"strconv"

	"pimentoseam/core/fault"
	"pimentoseam/io/server"
)

// maxWhole is the largest answer in bytes that is not streamed.
const maxWhole = 8 << 20

// eventSink streams server-sent events, whole events only.
type eventSink struct {
	w       http.ResponseWriter
	stream  *server.Stream
	started bool
	rest    []byte
}

func (s *eventSink) head(status int, kind string) {
	if s.started {
		return
	}
	s.w.Header().Set("Content-Type", kind)
	s.w.Header().Set("Cache-Control", "no-cache")
	if status != http.StatusOK {
		s.w.WriteHeader(status)
	}
}

var eventEnd = []byte("\n\n")

func (s *eventSink) write(p []byte) error {
	s.rest = append(s.rest, p...)
	cut := bytes.LastIndex(s.rest, eventEnd)
	if cut < 0 {
		return nil
	}
	cut += len(eventEnd)
	s.started = true
	_, err := s.stream.Write(s.rest[:cut])
	s.rest = append(s.rest[:0], s.rest[cut:]...)
	return err
}

func (s *eventSink) delivered() bool { return s.started }

func (s *eventSink) reset() { s.rest = nil }

// finish sends what is left of an answer that is whole.
func (s *eventSink) finish() {
	if len(s.rest) > 0 {
		_, _ = s.stream.Write(s.rest)
	}
}

// fail ends the stream with a typed error event.
func (s *eventSink) fail(err *fault.Error, id string) {
	event := append([]byte("event: error\ndata: "), server.ErrorJSON(err, id)...)
	_, _ = s.stream.Write(append(event, eventEnd...))
}

// wholeSink collects an answer before any of it is sent.
type wholeSink struct {
	status int
	kind   string
	body   []byte
}

// tooLarge reports an answer beyond maxWhole.
type tooLarge struct{}

// Error returns a fixed text.
func (*tooLarge) Error() string {
	return "the answer is too large"
}

func (s *wholeSink) head(status int, kind string) {
	s.status, s.kind = status, kind
}

func (s *wholeSink) write(p []byte) error {
	if len(s.body)+len(p) > maxWhole {
		return &tooLarge{}
	}
	s.body = append(s.body, p...)
	return nil
}

func (s *wholeSink) delivered() bool { return false }

func (s *wholeSink) reset() { s.body = nil }

func (s *wholeSink) send(w http.ResponseWriter) {
	if s.kind != "" {
		w.Header().Set("Content-Type", s.kind)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}
