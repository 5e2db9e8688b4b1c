package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"pimentoseam/core/fault"
)

// errorBody is the JSON form of an error to a caller.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string     `json:"message"`
	Type    fault.Kind `json:"type"`
	Request string     `json:"request,omitempty"`
	Retry   float64    `json:"retry,omitempty"`
}

// ErrorJSON returns the JSON form of err for the request with the given id.
func ErrorJSON(err *fault.Error, id string) []byte {
	p := errorBody{Error: errorDetail{Message: err.Text, Type: err.Kind, Request: id, Retry: err.After.Seconds()}}
	data, _ := json.Marshal(&p)
	return data
}

// WriteError answers with err as typed JSON and, if it has a retry time, a Retry-After header in seconds.
func WriteError(w http.ResponseWriter, err *fault.Error, id string) {
	if err.After > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(err.After)))
	}
	writeBody(w, err.Code(), ErrorJSON(err, id))
}

// ceilSeconds rounds up, since Retry-After has no fractions.
func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// WriteJSON answers with the JSON form of v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		WriteError(w, fault.New(fault.Failed, "the answer can't be encoded"), "")
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
