package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"pimentoseam/core/fault"
)

// problem is the JSON form of an error to a caller.
type problem struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string     `json:"message"`
	Type    fault.Kind `json:"type"`
	Request string     `json:"request,omitempty"`
	Retry   float64    `json:"retry,omitempty"`
}

// Problem returns the JSON form of err for the request with the given id.
func Problem(err *fault.Error, id string) []byte {
	p := problem{Error: detail{Message: err.Message, Type: err.Kind, Request: id, Retry: err.RetryAfter.Seconds()}}
	data, _ := json.Marshal(&p)
	return data
}

// Fail answers with err as typed JSON and, if it has a retry time, a Retry-After header in seconds.
func Fail(w http.ResponseWriter, err *fault.Error, id string) {
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(seconds(err.RetryAfter)))
	}
	body(w, err.StatusCode(), Problem(err, id))
}

// seconds rounds up, since Retry-After has no fractions.
func seconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// Reply answers with the JSON form of v.
func Reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		Fail(w, fault.New(fault.Failed, "the answer can't be encoded"), "")
		return
	}
	body(w, status, data)
}

func body(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
