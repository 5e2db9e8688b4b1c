package setup

import (
	"time"

	"pimentoseam/core/span"
)

// defaultBounds holds where the platform states none; they are on the careful side of its usual ones.
var defaultBounds = Bounds{
	Grace:  span.Span(8 * time.Second),
	Drain:  span.Span(2 * time.Second),
	Apply:  span.Span(2 * time.Second),
	Lease:  span.Span(3 * time.Second),
	Ratio:  0.1,
	Slack:  20,
	Window: span.Span(10 * time.Second),
}
