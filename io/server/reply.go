package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"pimentoseam/core/fault"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string     `json:"message"`
	Type    fault.Kind `json:"type"`
	Request string     `json:"request,omitempty"`
	Retry   float64    `json:"retry,omitempty"`
}

// ErrorJSON returns the JSON body of an error response with err for the request with the given ID.
func ErrorJSON(err *fault.Error, id string) []byte {
	e := errorBody{Error: errorDetail{Message: err.Message, Type: err.Kind, Request: id, Retry: err.RetryAfter.Seconds()}}
	data, _ := json.Marshal(&e)
	return data
}

// WriteError writes err as a JSON response and, if it has a retry delay, sets the Retry-After header in seconds.
func WriteError(w http.ResponseWriter, err *fault.Error, id string) {
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(err.RetryAfter)))
	}
	writeBody(w, err.StatusCode(), ErrorJSON(err, id))
}

// ceilSeconds rounds up to whole seconds, since Retry-After has no fractions.
func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(w, fault.New(fault.Failed, "the response can't be encoded"), "")
		return
	}
	writeBody(w, status, data)
}

func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
