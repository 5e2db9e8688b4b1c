package entry

import (
	"io"
	"net/http"
	"testing"
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
