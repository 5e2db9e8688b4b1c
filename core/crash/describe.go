package crash

import (
	"time"

	"pimentoseam/core/span"
)

// Summary describes a hold to operators.
type Summary struct {
	Request string    `json:"request"` // The digest in hexadecimal.
	Strikes int       `json:"strikes"` // Trials that have crashed an upstream.
	Left    span.Span `json:"left"`    // The time until the next trial; 0 if it may be made.
}

// Describe returns the summaries of holds.
func Describe(holds []Hold) []Summary {
	list := make([]Summary, len(holds))
	for i, h := range holds {
		left := max(0, h.Left()).Round(time.Millisecond)
		list[i] = Summary{Request: h.Request.String(), Strikes: int(h.Strikes), Left: span.Span(left)}
	}
	return list
}
