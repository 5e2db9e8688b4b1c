package head

import (
	"net/http"
	"strconv"
)

// Error reports a request that must be refused, or an answer that must not be used.
type Error struct {
	Status int // The status of the response to a request; 502 for an answer.
	Reason string
}

// Error returns the status and the reason.
func (e *Error) Error() string {
	return strconv.Itoa(e.Status) + ": " + e.Reason
}

// bad returns the error of a malformed request.
func bad(reason string) error {
	return &Error{Status: http.StatusBadRequest, Reason: reason}
}
