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
	// maxQueuedLines limits the lines that are queued for a slow writer; at 250 bytes a line they take 1 MB.
	maxQueuedLines = 4096
	// maxLinesPerSecond is the rate limit of lines with the same message. It is a few times the rate at which
	// an entry logs under its usual load.
	maxLinesPerSecond = 300
	// flushInterval is how long lines are collected for one write.
	flushInterval = 100 * time.Millisecond
	// maxWriteSize is the size in bytes at which a batch is written without more lines.
	maxWriteSize = 32 << 10
)

// Handler is a slog.Handler that formats records as key=value lines and writes them from a bounded queue.
type Handler struct {
	slog.Handler
	out *queueWriter
}

// queueWriter is the io.Writer of the text handler; it queues each line for flushLoop.
type queueWriter struct {
	queue   chan []byte
	closing chan struct{} // Closed by Close; lines that are queued later are lost.
	done    chan struct{} // Closed when the lines queued before are written.

	mu      sync.Mutex
	second  int64          // Unix time in seconds to which counts applies.
	counts  map[string]int // Lines by message in the current second.
	omitted int            // Dropped lines that no record has reported yet.
}

// New returns a Handler that writes to w until Close.
func New(w io.Writer) *Handler {
	q := &queueWriter{queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}), counts: make(map[string]int)}
	go q.flushLoop(w)
	return &Handler{Handler: slog.NewTextHandler(q, nil), out: q}
}

// Write queues one line, or drops it if the queue is full; it never blocks.
func (q *queueWriter) Write(line []byte) (int, error) {
	select {
	case q.queue <- append([]byte(nil), line...):
	default:
		q.mu.Lock()
		q.omitted++
		q.mu.Unlock()
	}
	return len(line), nil
}

// flushLoop writes queued lines to w in batches until Close, then those that are left.
func (q *queueWriter) flushLoop(w io.Writer) {
	defer close(q.done)
	var batch []byte
	for {
		select {
		case line := <-q.queue:
			batch = append(batch[:0], line...)
		case <-q.closing:
			for len(q.queue) > 0 {
				q.writeBatch(w, nil)
			}
			return
		}
		if len(q.queue) == 0 {
			time.Sleep(flushInterval)
		}
		batch = q.writeBatch(w, batch)
	}
}

// writeBatch writes batch with queued lines appended, as far as they fit, and returns its buffer.
func (q *queueWriter) writeBatch(w io.Writer, batch []byte) []byte {
	for len(batch) < maxWriteSize && len(q.queue) > 0 {
		batch = append(batch, <-q.queue...)
	}
	_, _ = w.Write(batch) // A failed write can't be reported anywhere else.
	return batch
}

// Handle formats and queues the record unless its message has reached the rate limit in the current second. The next
// record below the limit reports the number of dropped lines; if the queue is full, that number is lost with it.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	q := h.out
	q.mu.Lock()
	if now := r.Time.Unix(); now != q.second {
		q.second = now
		clear(q.counts)
	}
	q.counts[r.Message]++
	if q.counts[r.Message] > maxLinesPerSecond {
		q.omitted++
		q.mu.Unlock()
		return nil
	}
	omitted := q.omitted
	q.omitted = 0
	q.mu.Unlock()
	if omitted > 0 {
		r = r.Clone()
		r.AddAttrs(slog.String("omitted", strconv.Itoa(omitted)))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a Handler that adds attributes to each line.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{Handler: h.Handler.WithAttrs(attrs), out: h.out}
}

// WithGroup returns a Handler that puts later attributes into a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), out: h.out}
}

// Close writes the queued lines and stops the Handler. Lines that other goroutines log later are lost.
func (h *Handler) Close() {
	close(h.out.closing)
	<-h.out.done
}
