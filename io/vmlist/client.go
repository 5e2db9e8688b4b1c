package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"pimentoseam/io/answer"
	"pimentoseam/io/limit"
)

// State is the state of a VM in the platform's list.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving" // Will be removed and must get no new work.
	Gone    State = "gone"    // Has been removed; nothing runs on it.
)

// VM is one VM of the list.
type VM struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
	Role    string         `json:"role"` // "entry" or "upstream".
	State   State          `json:"state"`
	Since   time.Time      `json:"since"` // Time of the last change of State.
}

// Error reports that the list could not be read.
type Error struct {
	Cause error // Nil if the service responded with an unexpected status.
}

// Error names the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return "VM list: unexpected response status"
	}
	return "VM list: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Client reads the list from one address; it must not be used concurrently.
type Client struct {
	listURL string
	http    *http.Client
	etag    string // ETag of the last list that was read.
	onOdd   func(index int, err error)
}

// Option configures a Client.
type Option func(*Client)

// WithOnOdd sets a function that is called with the index and the error, a *BadVM, of each element that is left out.
func WithOnOdd(f func(index int, err error)) Option {
	return func(c *Client) { c.onOdd = f }
}

const (
	callTimeout = 2 * time.Second
	// maxListBytes exceeds the list of 5,700 VMs, about 1 MB.
	maxListBytes = 16 << 20
)

// New returns a Client for the list served at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &Client{listURL: "http://" + addr.String() + "/v1/vms", http: &http.Client{Timeout: callTimeout, Transport: answer.NewTransport(nil)}, onOdd: func(int, error) {}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// List returns the VMs, which may lag behind their actual state, without elements that describe none, or false if the list hasn't changed since
// the last successful call or can't be read. Its error is an *Error.
func (c *Client) List(ctx context.Context) ([]VM, bool, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.listURL, nil)
	if err != nil {
		return nil, false, &Error{Cause: err}
	}
	if c.etag != "" {
		r.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, false, &Error{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified && c.etag != "" {
		return nil, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, &Error{}
	}
	data, err := limit.ReadAll(resp.Body, maxListBytes)
	if err != nil {
		return nil, false, &Error{Cause: err}
	}
	elements, err := split(data)
	if err != nil {
		return nil, false, &Error{Cause: err}
	}
	vms := make([]VM, 0, len(elements))
	for i, element := range elements {
		vm, err := readVM(element)
		if err != nil {
			c.onOdd(i, err)
			continue
		}
		vms = append(vms, vm)
	}
	c.etag = resp.Header.Get("ETag")
	return vms, true, nil
}

// BadVM reports an element of the list that describes no VM.
type BadVM struct {
	Cause error // Nil if a field is missing or its value is unknown.
}

// Error names the cause.
func (e *BadVM) Error() string {
	if e.Cause == nil {
		return "VM without a name or a known state"
	}
	return "VM not decoded: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BadVM) Unwrap() error {
	return e.Cause
}

// readVM decodes an element of the list; its error is a *BadVM.
func readVM(data []byte) (VM, error) {
	var vm VM
	if err := json.Unmarshal(data, &vm); err != nil {
		return VM{}, &BadVM{Cause: err}
	}
	if vm.Name == "" || !slices.Contains([]State{Live, Leaving, Gone}, vm.State) {
		return VM{}, &BadVM{}
	}
	return vm, nil
}
