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

// blockedWriter is a log destination whose writes block until it is released.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	buffer  bytes.Buffer
}

// Write blocks until release is closed.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

// TestStuck logs many lines while the destination blocks: no caller may block, and dropped lines are counted.
func TestStuck(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	h := logbuf.New(w)
	log := slog.New(h).With("process", "p")
	start := time.Now()
	const lines = 20000
	for i := range lines {
		log.Info("kind"+string(rune('a'+i%26)), "n", i)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("logging took %v", took)
	}
	close(w.release)
	time.Sleep(1100 * time.Millisecond)
	log.Info("last")
	h.Close()
	text := w.buffer.String()
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

// TestBounded logs one message far above the rate limit: its lines are limited, and other messages are written.
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
		t.Errorf("got %d lines with one message, want at most 1000", n)
	}
	if !strings.Contains(out.String(), "msg=rare") {
		t.Error("the rare line is missing")
	}
}

// TestLogAfterClose checks that lines queued before Close are written, and that goroutines which still log while a
// process ends don't make it panic.
func TestLogAfterClose(t *testing.T) {
	var out bytes.Buffer
	h := logbuf.New(&out)
	log := slog.New(h)
	for i := range 100 {
		log.Info("before", "n", i)
	}
	h.Close()
	log.Info("after")
	if n := strings.Count(out.String(), "msg=before"); n != 100 {
		t.Errorf("%d lines written, want 100", n)
	}
}
