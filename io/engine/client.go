package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"time"

	"pimentoseam/core/frame"
	"pimentoseam/io/answer"
	"pimentoseam/io/limit"
)

const (
	stateTimeout   = 2 * time.Second
	commandTimeout = time.Minute
	maxIdleConns   = 256
	maxStateBytes  = 64 << 10 // Limit of a state.
)

// Error reports a failed call to the upstream; MaybeSent is true if the request may have reached the upstream.
type Error struct {
	Op        string
	MaybeSent bool
	Cause     error
}

// Error returns the operation and the cause.
func (e *Error) Error() string {
	return "upstream: " + e.Op + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// UnexpectedStatus reports a response with a status other than 200.
type UnexpectedStatus struct {
	Status int
}

// Error returns the status.
func (e *UnexpectedStatus) Error() string {
	return "status " + strconv.Itoa(e.Status)
}

// StrayResponse reports a response that may belong to an earlier request on the same connection.
type StrayResponse struct {
	Status int
	ID     string // The request that the response names; empty for none.
}

// Error returns the status and the request that the response names.
func (e *StrayResponse) Error() string {
	return "response with status " + strconv.Itoa(e.Status) + " may belong to an earlier request " + e.ID
}

// Client calls the upstream at one address.
type Client struct {
	base     string
	pooled   *http.Client
	unpooled *http.Client
}

// New returns a Client for the upstream at addr.
func New(addr netip.AddrPort) *Client {
	pooled := answer.NewTransport(nil)
	pooled.MaxIdleConnsPerHost = maxIdleConns
	// The transport repeats a call whose pooled connection breaks, so each call that must run at most once gets a
	// new connection.
	unpooled := answer.NewTransport(nil)
	unpooled.DisableKeepAlives = true
	return &Client{
		base:     "http://" + addr.String(),
		pooled:   &http.Client{Transport: pooled},
		unpooled: &http.Client{Transport: unpooled},
	}
}

// Do sends the request of run; the caller must close the response's body. Its error is a *Error.
func (c *Client) Do(ctx context.Context, run *frame.Run) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, run.Method, c.base+run.Path, bytes.NewReader(run.Body))
	if err != nil {
		return nil, &Error{Op: "request", Cause: err}
	}
	if run.Type != "" {
		r.Header.Set("Content-Type", run.Type)
	}
	r.Header.Set(requestIDHeader, run.ID)
	r.Header.Set("X-Priority", strconv.Itoa(run.Priority))
	if run.KVHandle != "" {
		r.Header.Set("X-Kv-Source", run.KVHandle)
	}
	client := c.pooled
	if run.NonRepeatable {
		r.Header.Set("Idempotency-Key", run.Key)
		r.GetBody = nil
		client = c.unpooled
	}
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
	resp, err := client.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && isStray(resp, run.ID, reused) {
		err = &StrayResponse{Status: resp.StatusCode, ID: resp.Header.Get(requestIDHeader)}
		_ = resp.Body.Close() // Nothing is read from it.
	}
	if err != nil {
		return nil, &Error{Op: run.Method + " " + run.Path, MaybeSent: true, Cause: err}
	}
	return resp, nil
}

// requestIDHeader has the id of a request; upstreams may state it in their responses.
const requestIDHeader = "X-Request-Id"

// isStray reports whether a response may be a late copy of that to an earlier request on the connection: it names another
// request or, on a connection that was used before, it says that the request did not run and names none.
func isStray(resp *http.Response, id string, reused bool) bool {
	named := resp.Header.Get(requestIDHeader)
	if named == "" {
		return reused && resp.StatusCode == http.StatusServiceUnavailable
	}
	return named != id
}

// State is the state that a model engine reports; Phase is "ready" while it executes no command.
type State struct {
	Phase    string `json:"phase"`
	Role     string `json:"role"`
	Version  string `json:"version"`
	Epoch    int64  `json:"epoch"`
	Revision int64  `json:"revision"`
	Running  int64  `json:"running"`
}

// Command assigns a role and a version to a model engine; its epoch and revision are the fencing token.
type Command struct {
	Epoch    int64  `json:"epoch"`
	Revision int64  `json:"revision"`
	Role     string `json:"role"`
	Version  string `json:"version"`
	Holder   string `json:"holder"`
}

// State returns the engine's state; its error is a *Error.
func (c *Client) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var s State
	err := c.call(ctx, http.MethodGet, "/state", nil, &s)
	return s, err
}

// Apply sends a command and waits until the engine has executed it; its error is a *Error.
func (c *Client) Apply(ctx context.Context, command Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return c.call(ctx, http.MethodPost, "/orders", &command, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in *Command, out *State) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return &Error{Op: path, Cause: err}
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return &Error{Op: path, Cause: err}
	}
	r.GetBody = nil
	resp, err := c.unpooled.Do(r)
	if err != nil {
		return &Error{Op: path, MaybeSent: true, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return &Error{Op: path, MaybeSent: true, Cause: &UnexpectedStatus{Status: resp.StatusCode}}
	}
	if out == nil {
		return nil
	}
	data, err := limit.ReadAll(resp.Body, maxStateBytes)
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		return &Error{Op: path, MaybeSent: true, Cause: err}
	}
	return nil
}
