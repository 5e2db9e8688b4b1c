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
)

const (
	stateTimeout = 2 * time.Second
	orderTimeout = time.Minute
	idleConns    = 256
)

// Error reports a call to the upstream that failed; Sent tells whether the request may have reached it.
type Error struct {
	Op    string
	Sent  bool
	Cause error
}

// Error names the operation and the cause.
func (e *Error) Error() string {
	return "upstream: " + e.Op + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Refused reports an upstream that answered with an unexpected status.
type Refused struct {
	Status int
}

// Error names the status.
func (e *Refused) Error() string {
	return "status " + strconv.Itoa(e.Status)
}

// Client calls the upstream at one address.
type Client struct {
	base   string
	repeat *http.Client
	once   *http.Client
}

// New returns a Client for the upstream at addr.
func New(addr netip.AddrPort) *Client {
	pooled := &http.Transport{MaxIdleConnsPerHost: idleConns}
	// The transport repeats a call whose pooled connection broke, so calls that
	// may not be repeated get a connection of their own.
	single := &http.Transport{DisableKeepAlives: true}
	return &Client{
		base:   "http://" + addr.String(),
		repeat: &http.Client{Transport: pooled},
		once:   &http.Client{Transport: single},
	}
}

// Do sends the request of run; the caller closes the answer's body. Its error is a *Error.
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
	client := c.repeat
	if run.NonRepeatable {
		r.Header.Set("Idempotency-Key", run.Key)
		r.GetBody = nil
		client = c.once
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, &Error{Op: run.Method + " " + run.Path, Sent: true, Cause: err}
	}
	return answer, nil
}

// State is what a model engine reports of itself; Phase is "ready" when it is settled.
type State struct {
	Phase    string `json:"phase"`
	Role     string `json:"role"`
	Version  string `json:"version"`
	Epoch    int64  `json:"epoch"`
	Revision int64  `json:"revision"`
	Running  int64  `json:"running"`
}

// Order asks a model engine for a role and a version under a fencing number.
type Order struct {
	Epoch    int64  `json:"epoch"`
	Revision int64  `json:"revision"`
	Role     string `json:"role"`
	Version  string `json:"version"`
	Holder   string `json:"holder"`
}

// State reads the engine's state; its error is a *Error.
func (c *Client) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var s State
	err := c.call(ctx, http.MethodGet, "/state", nil, &s)
	return s, err
}

// Give sends an order and waits until the engine has carried it out; its error is a *Error.
func (c *Client) Give(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.call(ctx, http.MethodPost, "/orders", &o, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in *Order, out *State) error {
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
	answer, err := c.once.Do(r)
	if err != nil {
		return &Error{Op: path, Sent: true, Cause: err}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return &Error{Op: path, Sent: true, Cause: &Refused{Status: answer.StatusCode}}
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(answer.Body).Decode(out); err != nil {
		return &Error{Op: path, Sent: true, Cause: err}
	}
	return nil
}
