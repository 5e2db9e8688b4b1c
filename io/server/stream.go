package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"pimentoseam/core/fault"
)

// maxChunk limits the bytes of one write. For chunks of 64 KiB or more nbio uses a buffer that it has already
// returned to its pool, which mixes up the data of different responses.
const maxChunk = 16 << 10

// Stream is a streamed response to one request. Its context ends when the caller's connection closes.
type Stream struct {
	w      http.ResponseWriter
	conn   *nbio.Conn
	state  *connState
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
}

// ClientDisconnected reports that the caller's connection is closed.
type ClientDisconnected struct{}

// Error returns a fixed text.
func (*ClientDisconnected) Error() string {
	return "caller disconnected"
}

// Stream starts a streamed response on w; the handler must call Close before it returns.
func (s *Server) Stream(w http.ResponseWriter) *Stream {
	st := &Stream{w: w, server: s}
	st.ctx, st.cancel = context.WithCancel(context.Background())
	response, ok := w.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return st
	}
	st.conn = pollerConn(response.Parser.Conn)
	if st.conn == nil {
		return st
	}
	st.state = s.stateFor(st.conn)
	if st.state == nil {
		st.cancel()
		return st
	}
	st.state.mu.Lock()
	defer st.state.mu.Unlock()
	if st.state.closed {
		st.cancel()
		return st
	}
	st.state.cancels[st] = st.cancel
	select {
	case s.streamStarted <- struct{}{}:
	default:
	}
	// nbio keeps the read deadline of the request while the response is streamed, which would close the
	// connection. Server.clearReadDeadline clears a deadline that nbio sets later.
	_ = st.conn.SetReadDeadline(time.Time{})
	return st
}

// pollerConn returns the nbio connection that c is or wraps, or nil.
func pollerConn(c net.Conn) *nbio.Conn {
	if wrapper, ok := c.(*nbhttp.Conn); ok {
		c = wrapper.Conn
	}
	polled, _ := c.(*nbio.Conn)
	return polled
}

// Context ends when the caller disconnects or the stream is closed.
func (st *Stream) Context() context.Context {
	return st.ctx
}

// Write sends p without buffering and blocks while the caller reads slowly; its error is a *ClientDisconnected.
func (st *Stream) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n, err := st.writeChunk(p[sent:min(sent+maxChunk, len(p))])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// writeChunk writes and flushes p, then waits until the pending bytes are within the limit.
func (st *Stream) writeChunk(p []byte) (int, error) {
	if st.ctx.Err() != nil {
		return 0, &ClientDisconnected{}
	}
	st.addPending(len(p))
	n, err := st.w.Write(p)
	if err != nil {
		return n, &ClientDisconnected{}
	}
	if flusher, ok := st.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return n, st.waitDrained()
}

// addPending adds n bytes to the pending ones of the connection.
func (st *Stream) addPending(n int) {
	if st.state == nil {
		return
	}
	st.state.mu.Lock()
	st.state.pendingBytes += int64(n)
	st.state.mu.Unlock()
}

// waitDrained blocks until at most maxStreamPending bytes are pending or the connection is closed.
func (st *Stream) waitDrained() error {
	if st.state == nil {
		return nil
	}
	st.state.mu.Lock()
	defer st.state.mu.Unlock()
	for st.state.pendingBytes > maxStreamPending && !st.state.closed {
		st.state.drained.Wait()
	}
	if st.state.closed {
		return &ClientDisconnected{}
	}
	return nil
}

// Close ends the stream and restores the connection's keep-alive deadline.
func (st *Stream) Close() {
	if st.state != nil {
		st.state.mu.Lock()
		delete(st.state.cancels, st)
		st.state.mu.Unlock()
		_ = st.conn.SetReadDeadline(time.Now().Add(st.server.keepAlive))
	}
	st.cancel()
}

// ReadBody returns the request's body; its error is a *fault.Error of kind Invalid.
func (s *Server) ReadBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(s.maxBody)+1))
	if err != nil {
		return nil, fault.New(fault.Invalid, "the request's body can't be read")
	}
	if len(data) > s.maxBody {
		tooLarge := fault.New(fault.Invalid, "the request's body is too large")
		tooLarge.Status = http.StatusRequestEntityTooLarge
		return nil, tooLarge
	}
	return data, nil
}
