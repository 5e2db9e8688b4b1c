package fault

import (
	"net/http"
	"time"
)

// Kind states what is known about the outcome of a request.
type Kind string

// The kinds of errors.
const (
	NotRun  Kind = "notrun"       // The request did not run and will not run.
	Unknown Kind = "unknown"      // The request may have run.
	Failed  Kind = "failed"       // The request ran and failed.
	Invalid Kind = "invalid"      // The request is malformed.
	Denied  Kind = "unauthorised" // The caller's token is missing or unknown.
)

// Error is an error that is sent to a caller.
type Error struct {
	Kind       Kind
	Message    string
	Status     int           // HTTP status code, 0 for that of the kind
	RetryAfter time.Duration // 0 for no hint
}

// New returns an Error of the given kind with a message for the caller.
func New(kind Kind, message string) *Error {
	return &Error{Kind: kind, Message: message}
}

// Retry returns a NotRun Error with the time after which the caller may retry.
func Retry(message string, after time.Duration) *Error {
	return &Error{Kind: NotRun, Message: message, RetryAfter: after}
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// StatusCode returns the HTTP status code for the error.
func (e *Error) StatusCode() int {
	if e.Status != 0 {
		return e.Status
	}
	switch e.Kind {
	case NotRun:
		return http.StatusServiceUnavailable
	case Unknown:
		return http.StatusGatewayTimeout
	case Invalid:
		return http.StatusBadRequest
	case Denied:
		return http.StatusUnauthorized
	}
	return http.StatusBadGateway
}
