package setup

import (
	"time"

	"pimentoseam/core/span"
)

// defaultBounds are defaults for bounds that the platform doesn't state. They are more conservative than the
// values that it usually states.
var defaultBounds = Bounds{
	GracePeriod: span.Span(8 * time.Second),
	DrainTime:   span.Span(2 * time.Second),
	ApplyTime:   span.Span(2 * time.Second),
	LeaseTime:   span.Span(3 * time.Second),
	RevokeTime:  span.Span(5 * time.Second),
	RetryRatio:  0.1,
	RetrySlack:  20,
	RetryWindow: span.Span(10 * time.Second),

	ReportWindow: span.Span(5 * time.Second),
	UsageLate:    span.Span(10 * time.Second),
	ThawSlack:    span.Span(300 * time.Millisecond),
}
