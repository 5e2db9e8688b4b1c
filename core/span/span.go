package span

import (
	"time"
)

// Span is a time.Duration that JSON encodes as text such as "510ms".
type Span time.Duration

// Duration returns the span as a time.Duration.
func (s Span) Duration() time.Duration {
	return time.Duration(s)
}

// MarshalText returns the span in the format of time.ParseDuration.
func (s Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText parses the format of time.ParseDuration.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*s = Span(d)
	return nil
}
