package entry

import (
	"context"
	"net/http"
	"strconv"

	"pimentoseam/io/limit"
)

// maxPeerBytes limits a response of another process, which holds at most a configuration or a process's events.
const maxPeerBytes = 16 << 20

// PeerError reports a failed control request to another process.
type PeerError struct {
	URL    string
	Status int // The HTTP status, 0 if there was no response.
	Cause  error
}

// Error returns the URL with the status or the cause.
func (e *PeerError) Error() string {
	if e.Cause == nil {
		return e.URL + ": status " + strconv.Itoa(e.Status)
	}
	return e.URL + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error {
	return e.Cause
}

// fetch sends a GET request to a control URL of another process; its error is a *PeerError.
func (e *Entry) fetch(ctx context.Context, url string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &PeerError{URL: url, Cause: err}
	}
	r.Header.Set("Authorization", "Bearer "+e.settings.Secret)
	resp, err := e.peers.Do(r)
	if err != nil {
		return nil, &PeerError{URL: url, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &PeerError{URL: url, Status: resp.StatusCode}
	}
	data, err := limit.ReadAll(resp.Body, maxPeerBytes)
	if err != nil {
		return nil, &PeerError{URL: url, Cause: err}
	}
	return data, nil
}

func itoa(n int64) string {
	return strconv.FormatInt(n, 10)
}
