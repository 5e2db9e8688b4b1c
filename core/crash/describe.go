package crash

import (
	"time"

	"pimentoseam/core/report"
	"pimentoseam/core/span"
)

// Describe returns holds for operators.
func Describe(holds []Hold) []report.Held {
	list := make([]report.Held, len(holds))
	for i, h := range holds {
		left := max(0, h.Left()).Round(time.Millisecond)
		list[i] = report.Held{Request: h.Request.String(), Strikes: int(h.Strikes), Left: span.Span(left)}
	}
	return list
}
