//go:build review

package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// Channel is a requester's channel to a gate.
type Channel struct {
	net.Conn
	reader *bufio.Reader
	used   int // Number of complete answers so far.
}

// Open opens a channel; a requester allows a second for that.
func Open(addr netip.AddrPort) (*Channel, error) {
	c, err := net.DialTimeout("tcp", addr.String(), time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Answer is how an attempt ended.
type Answer struct {
	Status   int    // 0 without an answer.
	Body     string // Complete unless Err is set.
	Seal     string
	KeepOpen bool // The channel may be used again.
	Err      error
	Took     time.Duration
	Sent     bool // The whole request was written.
}

// Complete reports whether the answer is a complete one.
func (a *Answer) Complete() bool { return a.Status != 0 && a.Err == nil }

// Send sends a request; header has the further header lines, each with its line end.
func (c *Channel) Send(method, path, id string, header string, body []byte, limit time.Duration) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining-Ms: %d\r\n%s", method, path, id, limit.Milliseconds(), header)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	_ = c.SetDeadline(time.Now().Add(limit))
	_, err := c.Write(append([]byte(b.String()), body...))
	return err
}

// Read reads the answer to the last request.
func (c *Channel) Read(method string) Answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	data, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Body: string(data), Seal: resp.Header.Get("X-Response-Seal"), KeepOpen: !resp.Close && err == nil, Err: err}
	if err == nil {
		c.used++
	}
	return a
}

// Used returns the number of complete answers so far.
func (c *Channel) Used() int { return c.used }

// Do sends a request and reads its answer.
func (c *Channel) Do(method, path, id, header string, body []byte, limit time.Duration) Answer {
	began := time.Now()
	err := c.Send(method, path, id, header, body, limit)
	a := c.Read(method) // The gate may answer before it has read the whole request.
	a.Sent, a.Took = err == nil, time.Since(began)
	if a.Status == 0 && err != nil {
		a.Err = err
	}
	return a
}
