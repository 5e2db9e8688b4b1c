package entry

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pimentoseam/io/server"
)

// TestTooLargeAnswer checks that an answer beyond the limit ends as a failure that is not tried again, and not as a
// caller that has disconnected, after which the collected part would be sent as a complete answer.
func TestTooLargeAnswer(t *testing.T) {
	sink := &bufferSink{}
	if err := sink.write(make([]byte, maxBufferedBytes)); err != nil {
		t.Fatalf("an answer of the maximum size was refused: %v", err)
	}
	result := sinkOutcome(sink.write([]byte("x")))
	if result.callerGone || result.fault == nil || result.fault.StatusCode() != http.StatusBadGateway {
		t.Errorf("got %+v, want a failure with status 502", result)
	}
	if q := (&request{sink: sink}); q.mayRetry(*result) {
		t.Error("a too large answer is requested again")
	}
	if result := sinkOutcome(io.ErrClosedPipe); !result.callerGone {
		t.Errorf("a failed write: got %+v, want a caller that has disconnected", result)
	}
}

// TestShortAnswer guards against an answer that its upstream broke off and ended properly, and that the caller gets as
// complete.
func TestShortAnswer(t *testing.T) {
	tests := []struct {
		name, body string
		whole      bool
	}{
		{"whole", "data: {}\n\ndata: [DONE]\n\n", true},
		{"whole with CRLF and a comment", "data: {}\r\n\r\ndata:[DONE]\r\n\r\n: bye", true},
		{"between two events", "data: {}\n\n", false},
		{"inside an event", "data: {}\n\ndata: {\"cho", false},
		{"inside the last event", "data: {}\n\ndata: [DONE]\n", false},
		{"no event", "", false},
		{"the mark inside an event", "data: {\"content\": \"data: [DONE]\"}\n\n", false},
	}
	for _, test := range tests {
		w := httptest.NewRecorder()
		out := &eventSink{w: w, stream: (&server.Server{}).Stream(w)}
		out.writeHeader(http.StatusOK, "text/event-stream; charset=utf-8")
		for i := range len(test.body) {
			if err := out.write([]byte(test.body[i : i+1])); err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
		}
		err := out.end()
		if test.whole != (err == nil) {
			t.Errorf("%s: got %v, want a whole answer %v", test.name, err, test.whole)
		}
		if err != nil && (sinkOutcome(err).fault == nil || sinkOutcome(err).isFinal) {
			t.Errorf("%s: got %+v, want a failure that another attempt may mend", test.name, sinkOutcome(err))
		}
	}
	for body, whole := range map[string]bool{`{"id": "x"}`: true, `{"id": "x`: false, "": false} {
		out := &bufferSink{isJSON: true}
		out.writeHeader(http.StatusOK, "application/json")
		if err := out.write([]byte(body)); err != nil {
			t.Fatal(err)
		}
		if err := out.end(); whole != (err == nil) {
			t.Errorf("%q: got %v, want a whole answer %v", body, err, whole)
		}
	}
}

// TestAnswerWithoutHead guards against an answer that ends without a status, and a stream request's answer that is no
// stream and was cut.
func TestAnswerWithoutHead(t *testing.T) {
	w := httptest.NewRecorder()
	incomplete := new(incompleteError)
	for _, s := range []sink{&bufferSink{}, &eventSink{w: w, stream: (&server.Server{}).Stream(w)}} {
		if err := s.end(); !errors.As(err, &incomplete) {
			t.Errorf("%T without a status: got %v, want an *incompleteError", s, err)
		}
	}
	cut := &eventSink{w: w, stream: (&server.Server{}).Stream(w)}
	cut.writeHeader(http.StatusOK, "application/json")
	if err := cut.write([]byte(`{"id": "x`)); err != nil {
		t.Fatal(err)
	}
	if err := cut.end(); !errors.As(err, &incomplete) || cut.hasDelivered() {
		t.Errorf("half a JSON value: got %v, want an *incompleteError and nothing sent", err)
	}
}

// TestErrorAnswerOfStream checks that an answer to a stream request that is no stream is passed on with its status.
func TestErrorAnswerOfStream(t *testing.T) {
	w := httptest.NewRecorder()
	out := &eventSink{w: w, stream: (&server.Server{}).Stream(w)}
	out.writeHeader(http.StatusBadRequest, "application/json")
	if err := out.write([]byte(`{"error": "x"}`)); err != nil {
		t.Fatal(err)
	}
	if out.hasDelivered() {
		t.Error("a part of the answer was sent")
	}
	if err := out.end(); err != nil {
		t.Fatal(err)
	}
	if w.Code != http.StatusBadRequest || w.Body.String() != `{"error": "x"}` || w.Header().Get("Content-Type") != "application/json" {
		t.Errorf("got %d %v %q", w.Code, w.Header(), w.Body)
	}
}

// TestErrorInStream guards against the text of an error in the middle of a stream that has begun, and against a stream with such
// a text that ends as if it were complete.
func TestErrorInStream(t *testing.T) {
	const begun = "data: {\"x\": 1}\n\n"
	for _, text := range []string{
		"HTTP/1.1 500 broken-text\r\nA: b\r\n\r\nfail", "{\"error\": \"broken-text\"}\n\n", "daHTTP/1.1 503 broken-text\r\n\r\n", "<p>broken-text</p>\n\n" + begun + "data: [DONE]\n\n",
	} {
		w := httptest.NewRecorder()
		out := &eventSink{w: w, stream: (&server.Server{}).Stream(w)}
		out.writeHeader(http.StatusOK, "text/event-stream")
		if err := out.write([]byte(begun)); err != nil {
			t.Fatal(err)
		}
		err := out.write([]byte(text))
		if err == nil {
			err = out.end()
		}
		if incomplete := new(incompleteError); !errors.As(err, &incomplete) || w.Body.String() != begun {
			t.Errorf("%q: got %v and sent %q, want an *incompleteError and the first event", text, err, w.Body)
		}
		q := &request{sink: out, deadline: time.Now().Add(time.Minute)}
		if q.mayRetry(*sinkOutcome(err)) {
			t.Error("another answer may follow a stream that has begun")
		}
	}
}
