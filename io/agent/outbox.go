package agent

import (
	"sync"

	"pimentoseam/core/frame"
	"pimentoseam/io/link"
)

const maxPartSize = 16 << 10 // bytes of an answer in one frame

// outbox buffers the answer bytes that the entry has not acknowledged; write blocks while they fill the window.
type outbox struct {
	mu          sync.Mutex
	cond        *sync.Cond
	conn        *link.Conn
	id          callID
	window      int
	data        []byte
	ackedOffset int64 // The offset of data[0] in the answer.
	sentOffset  int64 // The offset of the next byte to send.
	status      int
	contentType string
	isHeadSent  bool
	end         *frame.End
	isEndSent   bool
	isClosed    bool
}

func newOutbox(c *link.Conn, run *frame.Run) *outbox {
	o := &outbox{conn: c, id: callID{run.ID, run.Attempt}, window: max(run.Window, maxPartSize)}
	o.cond = sync.NewCond(&o.mu)
	return o
}

// setHead sets the upstream's status and content type, which are sent with the first part.
func (o *outbox) setHead(status int, contentType string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.status, o.contentType = status, contentType
}

// write appends p to the answer; it blocks while the window is full and returns false after close.
func (o *outbox) write(p []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.data) >= o.window && !o.isClosed {
		o.cond.Wait()
	}
	if o.isClosed {
		return false
	}
	o.data = append(o.data, p...)
	o.flush()
	return true
}

// finish sets the end of the answer, which is sent after the last byte; only the first call has an effect.
func (o *outbox) finish(end *frame.End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.end != nil {
		return
	}
	end.ID, end.Attempt = o.id.id, o.id.attempt
	end.Offset = o.ackedOffset + int64(len(o.data))
	o.end = end
	o.flush()
}

// ack discards the bytes before offset and reports whether the whole answer was consumed.
func (o *outbox) ack(offset int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if offset > o.ackedOffset && offset <= o.sentOffset {
		o.data = o.data[offset-o.ackedOffset:]
		o.ackedOffset = offset
		o.cond.Broadcast()
	}
	return o.end != nil && o.isEndSent && o.ackedOffset == o.end.Offset
}

// resume continues on link c from offset; it returns false if those bytes are not buffered.
func (o *outbox) resume(c *link.Conn, offset int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if offset < o.ackedOffset || offset > o.ackedOffset+int64(len(o.data)) {
		return false
	}
	o.data = o.data[offset-o.ackedOffset:]
	o.ackedOffset, o.sentOffset = offset, offset
	o.conn = c
	o.isHeadSent, o.isEndSent = false, false
	o.cond.Broadcast()
	o.flush()
	return true
}

// detach stops sending on c.
func (o *outbox) detach(c *link.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn == c {
		o.conn = nil
	}
}

// hasLink reports whether the outbox is attached to a link.
func (o *outbox) hasLink() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conn != nil
}

// hasFailed reports whether the call ended in an error.
func (o *outbox) hasFailed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.end != nil && o.end.Kind != ""
}

func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isClosed = true
	o.cond.Broadcast()
}

// flush sends the bytes and the end that were not sent on the current link yet.
func (o *outbox) flush() {
	for o.conn != nil && o.sentOffset < o.ackedOffset+int64(len(o.data)) {
		start := int(o.sentOffset - o.ackedOffset)
		chunk := o.data[start:min(start+maxPartSize, len(o.data))]
		o.send(&frame.Part{Offset: o.sentOffset, Data: chunk})
		o.sentOffset += int64(len(chunk))
	}
	if o.conn == nil || o.end == nil || o.isEndSent {
		return
	}
	if !o.isHeadSent && o.status != 0 {
		o.send(&frame.Part{Offset: o.sentOffset})
	}
	end := *o.end
	_ = o.conn.Send(&end)
	o.isEndSent = true
}

func (o *outbox) send(p *frame.Part) {
	p.ID, p.Attempt = o.id.id, o.id.attempt
	if !o.isHeadSent {
		p.Status, p.Type = o.status, o.contentType
		o.isHeadSent = true
	}
	_ = o.conn.Send(p)
}
