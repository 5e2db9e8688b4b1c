package mean_test

import (
	"testing"
	"time"

	"pimentoseam/core/mean"
)

func TestMean(t *testing.T) {
	m := mean.New()
	if got := m.Value(); got != 0 {
		t.Errorf("before the first duration: got %v, want 0", got)
	}
	m.Add(time.Second)
	if got := m.Value(); got != time.Second {
		t.Errorf("after the first duration: got %v, want 1s", got)
	}
	for range 200 {
		m.Add(3 * time.Second)
	}
	if got := m.Value(); got < 2990*time.Millisecond || got > 3*time.Second {
		t.Errorf("after 200 of 3s: got %v, want about 3s", got)
	}
}
