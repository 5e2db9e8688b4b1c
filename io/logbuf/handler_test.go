package logbuf_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"pimentoseam/io/logbuf"
)

// stuck is a reader of logs that does not read until it is let go.
type stuck struct {
	mu     sync.Mutex
	letGo  chan struct{}
	buffer bytes.Buffer
}

// Write waits until the reader reads.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.letGo
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

// TestStuck writes many lines while nobody reads them: no writer waits, and what is left out is counted.
func TestStuck(t *testing.T) {
	s := &stuck{letGo: make(chan struct{})}
	h := logbuf.New(s)
	log := slog.New(h).With("process", "p")
	began := time.Now()
	const lines = 20000
	for i := range lines {
		log.Info("kind"+string(rune('a'+i%26)), "n", i)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("writing took %v", took)
	}
	close(s.letGo)
	time.Sleep(1100 * time.Millisecond)
	log.Info("last")
	h.Close()
	text := s.buffer.String()
	if n := strings.Count(text, "\n"); n < 100 || n >= lines {
		t.Errorf("%d lines written of %d", n, lines)
	}
	if !strings.Contains(text, "msg=last") || !strings.Contains(text, "omitted=") {
		t.Error("the last line or the count of omitted ones is missing")
	}
	if !strings.Contains(text, "process=p") {
		t.Error("the process is missing")
	}
}

// TestBounded writes one kind of line in excess: others still come through.
func TestBounded(t *testing.T) {
	var out bytes.Buffer
	h := logbuf.New(&out)
	log := slog.New(h)
	for range 5000 {
		log.Info("often")
	}
	log.Info("rare")
	h.Close()
	if n := strings.Count(out.String(), "msg=often"); n > 1000 {
		t.Errorf("%d lines of one kind in a moment", n)
	}
	if !strings.Contains(out.String(), "msg=rare") {
		t.Error("the rare line is missing")
	}
}
