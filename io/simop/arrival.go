package simop

import (
	"net/http"
	"time"
)

// Arrival is a request, or a prompt to be read, that has reached a Replica.
type Arrival struct {
	ID     string // The attempt ID.
	Begun  time.Time
	Ended  time.Time
	Prompt bool // Only the prompt was to be read.
	Status int  // Of the response; 0 without one.
}

// WithArrivals has a function called with each request, or prompt to be read, once it has been answered or has failed.
func WithArrivals(f func(*Arrival)) Option {
	return func(r *Replica) { r.onArrival = f }
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and passes on a status.
func (s *statusRecorder) WriteHeader(status int) {
	if s.status == 0 {
		s.status = status
	}
	s.ResponseWriter.WriteHeader(status)
}

// Write passes on a part of the body, before which the status defaults to 200.
func (s *statusRecorder) Write(p []byte) (int, error) {
	if s.status == 0 {
		s.status = http.StatusOK
	}
	return s.ResponseWriter.Write(p)
}

// Unwrap returns the recorded writer to http.ResponseController.
func (s *statusRecorder) Unwrap() http.ResponseWriter {
	return s.ResponseWriter
}

// observe returns a writer for the response to a call and a function to call at its end, which reports a request or prompt.
func (r *Replica) observe(w http.ResponseWriter, req *http.Request) (http.ResponseWriter, func()) {
	id := req.Header.Get("X-Attempt-Id")
	if r.onArrival == nil || id == "" {
		return w, func() {}
	}
	begun, recorder := time.Now(), &statusRecorder{ResponseWriter: w}
	return recorder, func() {
		r.onArrival(&Arrival{ID: id, Begun: begun, Ended: time.Now(), Prompt: req.Header.Get("X-Stage") == "prefill", Status: recorder.status})
	}
}
