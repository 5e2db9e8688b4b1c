package store

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

const (
	callTimeout = 2 * time.Second
	watchWait   = 8 * time.Second
	header      = "Kv-Revision"
)

// calls counts calls to the service by result.
var calls = expvar.NewMap("store.calls")

// Item is a value with its revision; revision 0 means that the key does not exist.
type Item struct {
	Value    []byte
	Revision int64
}

// ConflictError reports a compare-and-swap that lost; nothing was written.
type ConflictError struct {
	Revision int64
}

// Error names the revision that was found.
func (e *ConflictError) Error() string {
	return "store: conflict with revision " + strconv.FormatInt(e.Revision, 10)
}

// UnavailableError reports a call that the service refused; nothing was written.
type UnavailableError struct {
	Status     int
	RetryAfter time.Duration
}

// Error names the HTTP status.
func (e *UnavailableError) Error() string {
	return "store: refused with status " + strconv.Itoa(e.Status)
}

// NoResponseError reports a call without an answer; a write may have taken effect.
type NoResponseError struct {
	Cause error
}

// Error names the cause.
func (e *NoResponseError) Error() string {
	return "store: no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error {
	return e.Cause
}

// Client calls the service at one address.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client for the service at addr.
func New(addr netip.AddrPort) *Client {
	return &Client{base: "http://" + addr.String(), http: &http.Client{}}
}

// Get reads key; its error is a *Down or a *Lost.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, body, err := c.call(ctx, http.MethodGet, "/v1/keys/"+key, nil, nil)
	if err != nil {
		return Item{}, err
	}
	return Item{Value: body, Revision: revision(answer)}, nil
}

// Watch waits until key has a revision above after, or some seconds have passed.
// It returns an Item with revision 0 if nothing changed; its error is a *Down or a *Lost.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {watchWait.String()}}
	answer, body, err := c.call(ctx, http.MethodGet, "/v1/keys/"+key, query, nil)
	if err != nil {
		return Item{}, err
	}
	if answer.StatusCode == http.StatusNotModified {
		return Item{}, nil
	}
	return Item{Value: body, Revision: revision(answer)}, nil
}

// Swap writes value if key still has the given revision, 0 for a new key, under the lease if not empty.
// It returns the new revision; its error is a *Conflict, a *Down or a *Lost.
func (c *Client) Swap(ctx context.Context, key string, value []byte, want int64, lease string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"revision": {strconv.FormatInt(want, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	answer, _, err := c.call(ctx, http.MethodPut, "/v1/keys/"+key, query, value)
	if err != nil {
		return 0, err
	}
	if answer.StatusCode == http.StatusConflict {
		return 0, &ConflictError{Revision: revision(answer)}
	}
	return revision(answer), nil
}

// Delete removes key; its error is a *Down or a *Lost.
func (c *Client) Delete(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := c.call(ctx, http.MethodDelete, "/v1/keys/"+key, nil, nil)
	return err
}

// Grant returns a new lease that lasts ttl; its error is a *Down or a *Lost.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, body, err := c.call(ctx, http.MethodPost, "/v1/leases", url.Values{"ttl": {ttl.String()}}, nil)
	if err != nil {
		return "", err
	}
	var granted struct {
		Lease string `json:"lease"`
	}
	if err := json.Unmarshal(body, &granted); err != nil {
		return "", &NoResponseError{Cause: err}
	}
	return granted.Lease, nil
}

// Renew extends a lease and reports whether it still existed; its error is a *Down or a *Lost.
func (c *Client) Renew(ctx context.Context, lease string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, _, err := c.call(ctx, http.MethodPut, "/v1/leases/"+lease, nil, nil)
	if err != nil {
		return false, err
	}
	return answer.StatusCode == http.StatusOK, nil
}

// Revoke ends a lease; its error is a *Down or a *Lost.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := c.call(ctx, http.MethodDelete, "/v1/leases/"+lease, nil, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, []byte, error) {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &NoResponseError{Cause: err}
	}
	// The transport would repeat a call whose connection broke, and a write must not be repeated.
	r.GetBody = nil
	answer, err := c.http.Do(r)
	if err != nil {
		calls.Add("lost", 1)
		return nil, nil, &NoResponseError{Cause: err}
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		calls.Add("lost", 1)
		return nil, nil, &NoResponseError{Cause: err}
	}
	switch answer.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusNotModified:
		calls.Add("answered", 1)
		return answer, data, nil
	}
	calls.Add("refused", 1)
	return nil, nil, &UnavailableError{Status: answer.StatusCode, RetryAfter: retryAfter(answer)}
}

func retryAfter(answer *http.Response) time.Duration {
	n, err := strconv.Atoi(answer.Header.Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(n) * time.Second
}

func revision(answer *http.Response) int64 {
	n, _ := strconv.ParseInt(answer.Header.Get(header), 10, 64)
	return n
}
