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

// chunkMax is the largest piece in bytes that is written at once. For a chunk of 64 KiB and
// more the library uses a buffer that it has already given back, which mixes answers up.
const chunkMax = 16 << 10

// Stream is the answer to one request, whose context ends when the caller's connection closes.
type Stream struct {
	w      http.ResponseWriter
	conn   *nbio.Conn
	state  *state
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
}

// Gone reports that the caller's connection is closed.
type Gone struct{}

// Error returns a fixed text.
func (*Gone) Error() string {
	return "caller disconnected"
}

// Stream ties w to its connection; the handler must call Close before it returns.
func (s *Server) Stream(w http.ResponseWriter) *Stream {
	st := &Stream{w: w, server: s}
	st.ctx, st.cancel = context.WithCancel(context.Background())
	response, ok := w.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return st
	}
	st.conn = unwrap(response.Parser.Conn)
	if st.conn == nil {
		return st
	}
	st.state = s.find(st.conn)
	if st.state == nil {
		st.cancel()
		return st
	}
	st.state.mu.Lock()
	defer st.state.mu.Unlock()
	if st.state.gone {
		st.cancel()
		return st
	}
	st.state.cancels[st] = st.cancel
	select {
	case s.streaming <- struct{}{}:
	default:
	}
	// The library leaves the read deadline of the request in force while the answer streams;
	// Server.lift removes one that it sets later.
	_ = st.conn.SetReadDeadline(time.Time{})
	return st
}

// unwrap returns the poller's connection below c, or nil.
func unwrap(c net.Conn) *nbio.Conn {
	if outer, ok := c.(*nbhttp.Conn); ok {
		c = outer.Conn
	}
	inner, _ := c.(*nbio.Conn)
	return inner
}

// Context ends when the caller disconnects or the stream is closed.
func (st *Stream) Context() context.Context {
	return st.ctx
}

// Write sends p at once and waits while the caller reads slowly; its error is a *Gone.
func (st *Stream) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n, err := st.send(p[sent:min(sent+chunkMax, len(p))])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

func (st *Stream) send(p []byte) (int, error) {
	if st.ctx.Err() != nil {
		return 0, &Gone{}
	}
	st.account(len(p))
	n, err := st.w.Write(p)
	if err != nil {
		return n, &Gone{}
	}
	if flusher, ok := st.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return n, st.await()
}

func (st *Stream) account(n int) {
	if st.state == nil {
		return
	}
	st.state.mu.Lock()
	st.state.pending += int64(n)
	st.state.mu.Unlock()
}

func (st *Stream) await() error {
	if st.state == nil {
		return nil
	}
	st.state.mu.Lock()
	defer st.state.mu.Unlock()
	for st.state.pending > writeLimit && !st.state.gone {
		st.state.drained.Wait()
	}
	if st.state.gone {
		return &Gone{}
	}
	return nil
}

// Close ends the stream and restores the connection's keep-alive deadline.
func (st *Stream) Close() {
	if st.state != nil {
		st.state.mu.Lock()
		delete(st.state.cancels, st)
		st.state.mu.Unlock()
		_ = st.conn.SetReadDeadline(time.Now().Add(st.server.keepalive))
	}
	st.cancel()
}

// Body reads the request's body; its error is a *fault.Error of kind Invalid.
func (s *Server) Body(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(s.body)+1))
	if err != nil {
		return nil, fault.New(fault.Invalid, "the request's body can't be read")
	}
	if len(data) > s.body {
		large := fault.New(fault.Invalid, "the request's body is too large")
		large.Status = http.StatusRequestEntityTooLarge
		return nil, large
	}
	return data, nil
}
