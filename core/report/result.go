package report

import (
	"encoding/json"
	"net/http"
)

// Outcome is the result kind of a configuration submission.
type Outcome string

// The outcomes of a submission.
const (
	Accepted    Outcome = "accepted"    // The configuration is active as Revision.
	Conflict    Outcome = "conflict"    // Not written; Revision is the active configuration.
	Invalid     Outcome = "invalid"     // Not written; Faults lists the reasons.
	Unknown     Outcome = "unknown"     // May have been written; query the outcome by ID.
	Unavailable Outcome = "unavailable" // Not written; the key-value service refused the request.
)

// Result is the response to a submission.
type Result struct {
	ID       string   `json:"id"`
	Outcome  Outcome  `json:"outcome"`
	Revision int64    `json:"revision,omitempty"`
	Faults   []string `json:"faults,omitempty"`
}

// StatusCode returns the HTTP status code of the result.
func (r *Result) StatusCode() int {
	switch r.Outcome {
	case Accepted:
		return http.StatusOK
	case Conflict:
		return http.StatusConflict
	case Invalid:
		return http.StatusUnprocessableEntity
	case Unknown:
		return http.StatusAccepted
	}
	return http.StatusServiceUnavailable
}

// Config is the active configuration document and its revision, or revision 0 if there is none.
type Config struct {
	Revision int64           `json:"revision"`
	Body     json.RawMessage `json:"body,omitempty"`
}
