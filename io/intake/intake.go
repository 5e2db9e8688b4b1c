package intake

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"pimentoseam/core/head"
	"pimentoseam/io/guard"
)

const (
	// firstBuffer is the size of a body's buffer in bytes until that many have arrived, so that a stated length alone costs little.
	firstBuffer = 64 << 10
	// growth is the factor by which a full buffer grows. The sizes up to 4 MiB are few, as each one becomes garbage.
	growth = 8
	// progressStep is how many bytes count as progress under pressure, so that a body that drips counts as stalled.
	progressStep = 4 << 10
	// maxGarbage is the number of bytes of dropped bodies after which they are collected, some milliseconds each time. The
	// runtime would wait until the heap has doubled, which a VM has no room for.
	maxGarbage = 16 << 20
	// readSize is how many bytes are read at once, so that progress is seen and the connection keeps no copy of more.
	readSize = 64 << 10
	// deadlineStep is how old a read deadline may become before it is renewed.
	deadlineStep = 500 * time.Millisecond
)

// Refusal reports a body that was not read; nothing of the request has been forwarded.
type Refusal struct {
	Status int // The status to send.
	Reason guard.Reason
	Cause  error // Nil unless reading failed.
}

// Error returns the reason and the cause.
func (e *Refusal) Error() string {
	text := strconv.Itoa(e.Status) + " " + string(e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Refusal) Unwrap() error { return e.Cause }

// Intake reads bodies and sees to it that dropped ones are collected before others take new memory.
type Intake struct {
	garbage    atomic.Int64 // Bytes dropped since the last collection.
	collecting sync.Mutex   // Held during a collection.
}

// New returns an Intake.
func New() *Intake { return &Intake{} }

// Drop records that a body returned by Read is no longer used.
func (i *Intake) Drop(body []byte) { i.garbage.Add(int64(cap(body))) }

// collect collects dropped bodies if they are many. It returns when their memory can be used again.
func (i *Intake) collect() {
	if i.garbage.Load() < maxGarbage {
		return
	}
	i.collecting.Lock()
	defer i.collecting.Unlock()
	if n := i.garbage.Load(); n >= maxGarbage {
		runtime.GC()      // It sweeps, too, before it returns.
		i.garbage.Add(-n) // Only now, so that others wait for its end.
	}
}

// Read reads the body of a request, which may have at most limit bytes. Without a budget it may take maxTime; with one, it may go on until
// deadline as long as it makes progress. The error is a *Refusal.
func (i *Intake) Read(w http.ResponseWriter, r *http.Request, limit int64, maxTime time.Duration, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	conn := guard.FromContext(r.Context())
	if r.ContentLength > limit {
		refuse(conn, guard.TooLong)
		return nil, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: guard.TooLong}
	}
	b := &body{intake: i, conn: conn, control: http.NewResponseController(w), r: r, size: limit, deadline: deadline}
	if r.ContentLength > 0 {
		b.size = r.ContentLength
	}
	if conn == nil {
		b.end = time.Now().Add(maxTime)
		if deadline.Before(b.end) {
			b.end = deadline
		}
	}
	err := b.read(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// The deadline must not end the handler's wait for the caller's disconnection.
		err = b.control.SetReadDeadline(time.Time{})
	}
	if err == nil {
		return b.data, nil
	}
	i.Drop(b.data)
	refusal := b.refusal(err)
	refuse(conn, refusal.Reason)
	return nil, refusal
}

func refuse(conn *guard.Conn, why guard.Reason) {
	if conn != nil {
		conn.RefuseBody(why)
	}
}

// body is a body that is being read.
type body struct {
	intake   *Intake
	conn     *guard.Conn // Nil without a budget.
	control  *http.ResponseController
	r        *http.Request
	size     int64 // The stated length, or the largest allowed one.
	data     []byte
	deadline time.Time // Of the request.
	end      time.Time // The time limit without a budget.
	renewed  time.Time // When the read deadline was last set.
}

// noMemory reports that there is no memory for a body.
type noMemory struct{}

// Error returns a fixed text.
func (*noMemory) Error() string { return "no memory for body" }

// evicted reports that the connection had to give way.
type evicted struct{}

// Error returns a fixed text.
func (*evicted) Error() string { return "connection evicted" }

// refusal returns the refusal for an error of read.
func (b *body) refusal(err error) *Refusal {
	tooLarge, none, out, malformed := new(http.MaxBytesError), new(noMemory), new(evicted), new(head.Error)
	switch {
	case errors.As(err, &malformed):
		return &Refusal{Status: malformed.Status, Reason: guard.Malformed, Cause: err}
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: guard.TooLong, Cause: err}
	case errors.As(err, &none):
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: guard.NoBody, Cause: err}
	case errors.As(err, &out):
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: guard.Evicted, Cause: err}
	}
	return &Refusal{Status: http.StatusRequestTimeout, Reason: guard.Stalled, Cause: err}
}

// read reads src to its end. It reserves memory before it reads what needs that.
func (b *body) read(src io.Reader) error {
	if err := b.grow(); err != nil {
		return err
	}
	if b.conn != nil {
		b.conn.StartBody()
	}
	err := b.readAll(src)
	if b.conn != nil && !b.conn.EndBody() {
		return &evicted{}
	}
	return err
}

func (b *body) readAll(src io.Reader) error {
	unmarked := 0
	for {
		if len(b.data) == cap(b.data) && int64(len(b.data)) < b.size {
			if err := b.grow(); err != nil {
				return err
			}
		}
		if err := b.renewDeadline(); err != nil {
			return err
		}
		free := b.data[len(b.data):min(cap(b.data), len(b.data)+readSize)]
		if len(free) == 0 {
			free = make([]byte, 1) // Only the end may follow; one byte more makes src fail.
		}
		n, err := src.Read(free)
		b.data = b.data[:min(cap(b.data), len(b.data)+n)]
		if unmarked += n; unmarked >= progressStep && b.conn != nil {
			b.conn.BodyProgress()
			unmarked = 0
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow enlarges the buffer: from nothing to firstBuffer, then by growth, up to the size.
func (b *body) grow() error {
	next := min(b.size, max(firstBuffer, growth*int64(cap(b.data))))
	reserved := next
	if cap(b.data) > 0 && b.r.ContentLength > 0 {
		reserved = b.size // A body that has begun must not fail for its rest.
	}
	if b.conn != nil && !b.conn.ReserveBody(b.r.Context(), reserved) {
		return &noMemory{}
	}
	if next > firstBuffer {
		b.intake.collect()
	}
	data := make([]byte, len(b.data), next)
	copy(data, b.data)
	b.intake.Drop(b.data)
	b.data = data
	return nil
}

// renewDeadline sets the read deadline: with a budget, some time from now.
func (b *body) renewDeadline() error {
	now := time.Now()
	if now.Sub(b.renewed) < deadlineStep || (b.conn == nil && !b.renewed.IsZero()) {
		return nil
	}
	b.renewed = now
	end := b.end
	if b.conn != nil {
		if end = now.Add(guard.StallTimeout); b.deadline.Before(end) {
			end = b.deadline
		}
	}
	if err := b.control.SetReadDeadline(end); err != nil {
		return err
	}
	if b.conn != nil && b.conn.Evicted() {
		return &evicted{} // The new deadline may have replaced the one that ends an evicted connection's reads.
	}
	return nil
}
