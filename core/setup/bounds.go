package setup

import (
	"time"

	"pimentoseam/core/span"
)

// defaultBounds are conservative defaults for bounds that the platform doesn't state.
var defaultBounds = Bounds{
	GracePeriod: span.Span(8 * time.Second),
	DrainTime:   span.Span(2 * time.Second),
	ApplyTime:   span.Span(2 * time.Second),
	LeaseTime:   span.Span(3 * time.Second),
	RetryRatio:  0.1,
	RetrySlack:  20,
	RetryWindow: span.Span(10 * time.Second),
}
