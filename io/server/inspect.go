package server

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"pimentoseam/core/head"
)

// refusalLinger is how long a connection stays open after a refusal, so that what the caller still sends doesn't reset it before
// the caller has read the refusal.
const refusalLinger = 500 * time.Millisecond

// methods are the methods that nbio takes. It closes a connection without a response at another one, and takes those in lower
// case for the ones in upper case.
var methods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true,
	http.MethodDelete: true, http.MethodOptions: true, http.MethodTrace: true,
}

// inspector scans what one connection of a caller sends. nbio's parser gets only what core/head has accepted.
type inspector struct {
	scanner head.Scanner
	held    []byte       // A head that isn't complete.
	body    head.Framing // Of the body that is being received; None between messages.
	length  int64        // What is left of a body with a length.
	chunks  head.Chunks
	refused bool // All further bytes are dropped.
}

func newInspector() *inspector {
	return &inspector{scanner: head.New(maxHeadBytes), body: head.None}
}

// next scans the next bytes. It returns accepted bytes for the parser, and the bytes after them that are to be scanned next. Its
// error is a *head.Error.
func (i *inspector) next(data []byte) (accepted, rest []byte, err error) {
	switch i.body {
	case head.Length:
		n := min(i.length, int64(len(data)))
		i.length -= n
		if i.length == 0 {
			i.body = head.None
		}
		return data[:n], data[n:], nil
	case head.Chunked:
		n, done, err := i.chunks.Scan(data)
		if done {
			i.body = head.None
		}
		return data[:n], data[n:], err
	}
	return i.nextHead(data)
}

func (i *inspector) nextHead(data []byte) (accepted, rest []byte, err error) {
	if len(i.held) > 0 {
		i.held = append(i.held, data...)
		data = i.held
	}
	done, err := i.scanner.Scan(data)
	switch {
	case err != nil:
		return nil, nil, err
	case !done && len(i.held) == 0:
		i.held = append(i.held, data...) // nbio uses the buffer of data again.
		return nil, nil, nil
	case !done:
		return nil, nil, nil
	}
	h := i.scanner.Head(data)
	if !methods[string(h.Method)] {
		return nil, nil, &head.Error{Status: http.StatusNotImplemented, Reason: "unknown method"}
	}
	i.scanner, i.held = head.New(maxHeadBytes), nil
	i.body, i.length, i.chunks = h.Framing, h.Length, head.Chunks{}
	end := h.Skip + h.Size
	accepted, rest = data[h.Skip:end], data[end:]
	if target := string(h.Target); head.Origin(target) != target { // nbio refuses absolute targets.
		inOrigin := append([]byte(string(h.Method)+" "+head.Origin(target)), accepted[len(h.Method)+1+len(target):]...)
		return inOrigin, rest, nil
	}
	return accepted, rest, nil
}

// onOpen begins the inspection of a caller's connection; nbio doesn't call it for connections that this process opens.
func (s *Server) onOpen(c net.Conn) {
	if nbc, ok := c.(*nbio.Conn); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inspectors[nbc] = newInspector()
	}
}

// endInspection drops the state of a closed connection.
func (s *Server) endInspection(c net.Conn) {
	if nbc, ok := c.(*nbio.Conn); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inspectors, nbc)
	}
}

// onData passes on what a connection has sent as far as it is accepted. Connections of links are passed on as they are. nbio
// doesn't call it concurrently for one connection.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	s.mu.Lock()
	i := s.inspectors[c]
	s.mu.Unlock()
	for len(data) > 0 {
		if _, isHTTP := c.Session().(*nbhttp.Parser); i == nil || !isHTTP {
			c.DataHandler()(c, data)
			return
		}
		if i.refused {
			return
		}
		accepted, rest, err := i.next(data)
		if len(accepted) > 0 {
			c.DataHandler()(c, accepted)
		}
		if err != nil {
			i.refused, i.held = true, nil
			refuse(c, err)
			return
		}
		data = rest
	}
}

// refuse answers a malformed request after the requests before it and has the connection closed a little later.
func refuse(c *nbio.Conn, err error) {
	status := http.StatusBadRequest
	var refused *head.Error
	if errors.As(err, &refused) {
		status = refused.Status
	}
	c.Execute(func() {
		response := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		_, _ = c.Write([]byte(response)) // Fails only on a closed connection, as does the deadline.
		_ = c.SetReadDeadline(time.Now().Add(refusalLinger))
	})
}
