package logbuf

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
)

const (
	// queueLines bounds the lines that wait for a slow reader; at 250 bytes a line it is 1 MB.
	queueLines = 4096
	// kindPerSecond bounds the lines of one kind, a few times what an entry writes at its usual load.
	kindPerSecond = 300
	// flushEvery collects lines into one write.
	flushEvery = 100 * time.Millisecond
	writeSize  = 32 << 10 // Bytes of one write.
)

// Handler is a slog.Handler that writes key=value lines from a bounded queue.
type Handler struct {
	slog.Handler
	shared *shared
}

type shared struct {
	queue chan []byte
	done  chan struct{}

	mu     sync.Mutex
	second int64
	counts map[string]int // Lines of the present second by message.
	left   int            // Lines left out since the last one that told of it.
}

// New returns a Handler that writes to w until Close.
func New(w io.Writer) *Handler {
	s := &shared{queue: make(chan []byte, queueLines), done: make(chan struct{}), counts: make(map[string]int)}
	go s.write(w)
	return &Handler{Handler: slog.NewTextHandler(s, nil), shared: s}
}

// Write queues one line; it never blocks.
func (s *shared) Write(line []byte) (int, error) {
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.mu.Lock()
		s.left++
		s.mu.Unlock()
	}
	return len(line), nil
}

func (s *shared) write(w io.Writer) {
	defer close(s.done)
	var batch []byte
	for line := range s.queue {
		batch = append(batch[:0], line...)
		if len(s.queue) == 0 {
			time.Sleep(flushEvery)
		}
		for len(batch) < writeSize && len(s.queue) > 0 {
			more, ok := <-s.queue
			if !ok {
				break
			}
			batch = append(batch, more...)
		}
		_, _ = w.Write(batch) // There is no other place to tell that the log can't be written.
	}
}

// Handle writes the record unless its kind has used up the present second.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	s := h.shared
	s.mu.Lock()
	if now := r.Time.Unix(); now != s.second {
		s.second = now
		clear(s.counts)
	}
	s.counts[r.Message]++
	if s.counts[r.Message] > kindPerSecond {
		s.left++
		s.mu.Unlock()
		return nil
	}
	left := s.left
	s.left = 0
	s.mu.Unlock()
	if left > 0 {
		r = r.Clone()
		r.AddAttrs(slog.String("omitted", strconv.Itoa(left)))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a Handler that adds attributes to each line.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), shared: h.shared}
}

// WithGroup returns a Handler that puts attributes into a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), shared: h.shared}
}

// Close writes what is queued; no line may be written after it.
func (h *Handler) Close() {
	close(h.shared.queue)
	<-h.shared.done
}
