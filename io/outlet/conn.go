package outlet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// BadRequest reports a request that can't be put on the wire as one request.
type BadRequest struct {
	Why string
}

// Error says what is wrong with it.
func (e *BadRequest) Error() string {
	return "request: " + e.Why
}

// Stray reports answers that belong to none of the connection's requests.
type Stray struct{}

// Error says what was read.
func (e *Stray) Error() string {
	return "the answers read are not for this request"
}

// send writes the request and reports whether any byte may have left.
func (c *conn) send(r *Request) (bool, error) {
	head, err := r.head()
	if err != nil {
		return false, err
	}
	if len(r.Body) <= largeBody {
		n, err := c.Write(append(head, r.Body...))
		return n > 0, err
	}
	// An upstream may answer before it reads a long body, so that is written beside the reading.
	if n, err := c.Write(head); err != nil {
		return n > 0, err
	}
	c.written = make(chan error, 1)
	go func(done chan<- error) {
		_, err := c.Write(r.Body)
		done <- err
	}(c.written)
	return true, nil
}

// head returns the request line and the headers.
func (r *Request) head() ([]byte, error) {
	for _, b := range []byte(r.Target + r.Host + r.Method) {
		if b <= ' ' || b == 0x7f {
			return nil, &BadRequest{Why: "a control character or space in its target, host or method"}
		}
	}
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		_, _ = fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.Body))
	}
	err := r.Header.WriteSubset(&out, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	return append(out.Bytes(), '\r', '\n'), err
}

// receive reads the answer's head; it reads past answers that are not for the request.
func (c *conn) receive(r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for strays := 0; strays <= mostStale; {
		answer, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(answer.StatusCode, answer.Header) {
			return answer, nil
		}
		strays++
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, staleBytes))
		if err != nil || n == staleBytes || answer.Close {
			break
		}
	}
	return nil, &Stray{}
}

// Answer is an upstream's answer; Close must be called once.
type Answer struct {
	*http.Response
	outlet *Outlet
	conn   *conn
	stop   func() bool
	whole  bool
}

// Read reads the body; io.EOF comes only at the end of the whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close keeps the connection if the whole answer was read, else it closes it, which cancels the request.
func (a *Answer) Close() {
	usable := a.stop() && a.whole && !a.Response.Close && a.delimited() && a.conn.reader.Buffered() == 0
	if usable && a.conn.written != nil {
		select {
		case err := <-a.conn.written:
			usable = err == nil
		default:
			usable = false // The upstream would take the next request for the rest of the body.
		}
	}
	if !a.whole {
		a.outlet.reset(a.conn)
		return
	}
	if !usable {
		a.outlet.discard(a.conn)
		return
	}
	a.conn.written = nil
	a.outlet.keep(a.conn, a.Header)
}

// delimited reports whether the body's end is told by its length or its last chunk.
func (a *Answer) delimited() bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

var _ io.Reader = (*Answer)(nil)

// Whole reads the rest of the body, at most limit bytes.
func (a *Answer) Whole(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &Large{Limit: limit}
	}
	return data, err
}

// Large reports a body above a limit in bytes.
type Large struct {
	Limit int64
}

// Error names the limit.
func (e *Large) Error() string {
	return "body above " + strconv.FormatInt(e.Limit, 10) + " bytes"
}
