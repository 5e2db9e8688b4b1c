package report

import (
	"encoding/json"
	"net/http"
)

// Outcome is the result kind of a configuration submission.
type Outcome string

// The outcomes of a submission.
const (
	Accepted    Outcome = "accepted"    // Stored as Revision, by this submission or an earlier one with its ID.
	Conflict    Outcome = "conflict"    // Not written; Revision is that of the stored configuration.
	Invalid     Outcome = "invalid"     // Not written; Faults lists the faults of the document or the ID.
	Unknown     Outcome = "unknown"     // May have been written or may still be; query the outcome by ID.
	Unavailable Outcome = "unavailable" // Not written; a store call failed, a read was stale or the stored document is unreadable.
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
