package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"pimentoseam/core/crash"
	"pimentoseam/core/event"
	"pimentoseam/core/report"
	"pimentoseam/io/answer"
	"pimentoseam/io/limit"
)

const (
	callTimeout = 10 * time.Second
	// maxResponseBytes limits a response, which holds at most a configuration or the events of all processes.
	maxResponseBytes = 64 << 20
)

// Error reports a call that was rejected, with Status and Text, or that got no valid response, with Cause. With Cause
// set, a submission may have taken effect.
type Error struct {
	Path   string
	Status int
	Text   string
	Cause  error
}

// Error returns the path and the cause.
func (e *Error) Error() string {
	if e.Cause != nil {
		return e.Path + ": " + e.Cause.Error()
	}
	return e.Path + ": status " + strconv.Itoa(e.Status) + ": " + e.Text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Client calls the administration interface at one address.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a Client that authenticates with the operators' token.
func New(addr netip.AddrPort, token string) *Client {
	return &Client{base: "http://" + addr.String(), token: token, http: &http.Client{Timeout: callTimeout, Transport: answer.NewTransport(nil)}}
}

// Config returns the current configuration; its error is a *Error.
func (c *Client) Config(ctx context.Context) (*report.Config, error) {
	var config report.Config
	data, err := c.call(ctx, http.MethodGet, "/admin/config", nil)
	if err != nil {
		return nil, err
	}
	return &config, decode("/admin/config", data, &config)
}

// Submit submits a document that replaces the given revision; its error is a *Error.
func (c *Client) Submit(ctx context.Context, body []byte, revision int64, id string) (*report.Result, error) {
	query := url.Values{"revision": {strconv.FormatInt(revision, 10)}, "id": {id}}
	return c.requestResult(ctx, http.MethodPost, "/admin/config?"+query.Encode(), body)
}

// Submission returns the result of an earlier submission; its error is a *Error.
func (c *Client) Submission(ctx context.Context, id string) (*report.Result, error) {
	return c.requestResult(ctx, http.MethodGet, "/admin/submissions/"+url.PathEscape(id), nil)
}

// Drain sets or clears an upstream's drain flag; its error is a *Error.
func (c *Client) Drain(ctx context.Context, upstream string, on bool) (*report.Result, error) {
	path := "/admin/drain/" + url.PathEscape(upstream) + "?on=" + strconv.FormatBool(on)
	return c.requestResult(ctx, http.MethodPost, path, nil)
}

// Status returns the status of the processes, with or without the other entries; its error is a *Error.
func (c *Client) Status(ctx context.Context, peers bool) (*report.Status, error) {
	path := "/admin/status?peers=" + strconv.FormatBool(peers)
	var status report.Status
	data, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return &status, decode(path, data, &status)
}

// Held returns the requests that are held because they crash upstreams; its error is a *Error.
func (c *Client) Held(ctx context.Context) ([]crash.Summary, error) {
	return c.held(ctx, http.MethodGet, "/admin/held")
}

// Lift clears a request that is held, given its digest, and returns the others; its error is a *Error.
func (c *Client) Lift(ctx context.Context, request string) ([]crash.Summary, error) {
	return c.held(ctx, http.MethodPost, "/admin/lift/"+url.PathEscape(request))
}

func (c *Client) held(ctx context.Context, method, path string) ([]crash.Summary, error) {
	var list []crash.Summary
	data, err := c.call(ctx, method, path, nil)
	if err != nil {
		return nil, err
	}
	return list, decode(path, data, &list)
}

// Events returns the events since the given time, only those of a request if it is not empty; its error is a *Error.
func (c *Client) Events(ctx context.Context, since time.Time, request string) ([]event.Event, error) {
	query := url.Values{"request": {request}}
	if !since.IsZero() {
		query.Set("since", since.Format(time.RFC3339Nano))
	}
	path := "/admin/events?" + query.Encode()
	var events []event.Event
	data, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	return events, decode(path, data, &events)
}

func (c *Client) requestResult(ctx context.Context, method, path string, body []byte) (*report.Result, error) {
	var result report.Result
	data, err := c.call(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	return &result, decode(path, data, &result)
}

func decode(path string, data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return &Error{Path: path, Cause: err}
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Path: path, Cause: err}
	}
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, &Error{Path: path, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := limit.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, &Error{Path: path, Cause: err}
	}
	// The other statuses come with a JSON body, which the caller decodes.
	switch resp.StatusCode {
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return nil, &Error{Path: path, Status: resp.StatusCode, Text: string(data)}
	}
	return data, nil
}
