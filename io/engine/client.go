package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"pimentoseam/core/frame"
	"pimentoseam/io/limit"
)

const (
	stateTimeout   = 2 * time.Second
	commandTimeout = time.Minute
	maxIdleConns   = 256
	maxHeadBytes   = 64 << 10 // Limit of a response head. The default of net/http, 10 MB, is too much for hundreds of calls.
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

// Client calls the upstream at one address.
type Client struct {
	base     string
	pooled   *http.Client
	unpooled *http.Client
}

// New returns a Client for the upstream at addr.
func New(addr netip.AddrPort) *Client {
	pooled := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeadBytes}
	// The transport repeats a call whose pooled connection breaks, so each call that must run at most once gets a
	// new connection.
	unpooled := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
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
	r.Header.Set("X-Request-Id", run.ID)
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
	resp, err := client.Do(r)
	if err != nil {
		return nil, &Error{Op: run.Method + " " + run.Path, MaybeSent: true, Cause: err}
	}
	return resp, nil
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
