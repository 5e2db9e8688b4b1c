package store

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"pimentoseam/io/answer"
	"pimentoseam/io/limit"
)

const (
	callTimeout    = 2 * time.Second
	maxWatchTime   = 8 * time.Second // Maximum time for which the store holds a watch.
	revisionHeader = "Kv-Revision"
	// maxResponseBytes exceeds the largest value of the store, 1 MB.
	maxResponseBytes = 2 << 20
)

// callCounts counts the calls to the store by result.
var callCounts = expvar.NewMap("store.calls")

// Item is the value of a key with its revision, which is 0 if the key doesn't exist.
type Item struct {
	Value    []byte
	Revision int64
}

// ConflictError reports a compare-and-swap whose expected revision didn't match; nothing was written.
type ConflictError struct {
	Revision int64 // Current revision of the key.
}

// Error names the current revision.
func (e *ConflictError) Error() string {
	return "store: conflict with revision " + strconv.FormatInt(e.Revision, 10)
}

// UnavailableError reports a call that the store refused; nothing was written.
type UnavailableError struct {
	Status     int           // HTTP status; 0 if the client of package platform could not connect. Client returns a NoResponseError then.
	RetryAfter time.Duration // Time to wait before the next attempt.
}

// Error names the HTTP status.
func (e *UnavailableError) Error() string {
	return "store: refused with status " + strconv.Itoa(e.Status)
}

// NoResponseError reports a call without a complete response; a write may have taken effect.
type NoResponseError struct {
	Cause error
}

// Error names the cause.
func (e *NoResponseError) Error() string {
	return "store: no response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error {
	return e.Cause
}

// Client calls the store at one address.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a Client for the store at addr.
func New(addr netip.AddrPort) *Client {
	return &Client{baseURL: "http://" + addr.String(), http: &http.Client{Transport: answer.NewTransport(nil)}}
}

// Get reads key; its error is an *UnavailableError or a *NoResponseError.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, body, err := c.call(ctx, http.MethodGet, "/v1/keys/"+key, nil, nil)
	if err != nil {
		return Item{}, err
	}
	return Item{Value: body, Revision: revision(resp)}, nil
}

// Watch waits until the revision of key exceeds after, for at most maxWatchTime.
// It returns an Item with revision 0 if nothing changed; its error is an *UnavailableError or a *NoResponseError.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Item, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchTime+callTimeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {maxWatchTime.String()}}
	resp, body, err := c.call(ctx, http.MethodGet, "/v1/keys/"+key, query, nil)
	if err != nil {
		return Item{}, err
	}
	if resp.StatusCode == http.StatusNotModified {
		return Item{}, nil
	}
	return Item{Value: body, Revision: revision(resp)}, nil
}

// Swap writes value if the revision of key is expected, 0 for a key that doesn't exist, and attaches the key to
// the lease unless that is empty. It returns the new revision; its error is a *ConflictError, an *UnavailableError
// or a *NoResponseError.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected int64, lease string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	query := url.Values{"revision": {strconv.FormatInt(expected, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	resp, _, err := c.call(ctx, http.MethodPut, "/v1/keys/"+key, query, value)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusConflict {
		return 0, &ConflictError{Revision: revision(resp)}
	}
	return revision(resp), nil
}

// Delete removes key; its error is an *UnavailableError or a *NoResponseError.
func (c *Client) Delete(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := c.call(ctx, http.MethodDelete, "/v1/keys/"+key, nil, nil)
	return err
}

// Grant creates a lease with the given TTL and returns its ID; its error is an *UnavailableError or a
// *NoResponseError.
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

// Renew extends a lease and reports whether it still existed; its error is an *UnavailableError or a
// *NoResponseError.
func (c *Client) Renew(ctx context.Context, lease string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, _, err := c.call(ctx, http.MethodPut, "/v1/leases/"+lease, nil, nil)
	if err != nil {
		return false, err
	}
	return resp.StatusCode == http.StatusOK, nil
}

// Revoke ends a lease, which deletes the keys attached to it; its error is an *UnavailableError or a
// *NoResponseError.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, err := c.call(ctx, http.MethodDelete, "/v1/leases/"+lease, nil, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Response, []byte, error) {
	callURL := c.baseURL + path
	if len(query) > 0 {
		callURL += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, callURL, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &NoResponseError{Cause: err}
	}
	// Without GetBody the transport can't repeat a call with a body whose connection broke: a value must not be
	// written twice. It may still repeat a call without a body.
	r.GetBody = nil
	resp, err := c.http.Do(r)
	if err != nil {
		callCounts.Add("lost", 1)
		return nil, nil, &NoResponseError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := limit.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		callCounts.Add("lost", 1)
		return nil, nil, &NoResponseError{Cause: err}
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusNotModified:
		callCounts.Add("answered", 1)
		return resp, data, nil
	}
	callCounts.Add("refused", 1)
	return nil, nil, &UnavailableError{Status: resp.StatusCode, RetryAfter: retryAfter(resp)}
}

func retryAfter(resp *http.Response) time.Duration {
	n, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(n) * time.Second
}

func revision(resp *http.Response) int64 {
	n, _ := strconv.ParseInt(resp.Header.Get(revisionHeader), 10, 64)
	return n
}
