package simop

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// DutyCall is a call to the simulated provider.
type DutyCall struct {
	At      time.Time
	Path    string
	Holder  string
	Token   int64
	Window  int64            `json:"windowId"`
	Counts  map[string]int64 `json:"counts"`
	Service string           `json:"service"`
	Zone    string           `json:"zone"`
	Desired int              `json:"desired"`
	Status  int              // 0 until the call is carried out.
}

// Cloud simulates the provider's interface for duties.
type Cloud struct {
	server *httptest.Server

	mu      sync.Mutex
	fenced  bool
	status  int           // Sent in place of carrying out calls; 0 for none.
	delay   time.Duration // Before calls are carried out; their callers may have given up by then.
	calls   []*DutyCall
	highest map[string]int64 // Tokens by duty and subject.
}

// NewCloud starts a Cloud, which refuses lower tokens if fenced is set.
func NewCloud(fenced bool) *Cloud {
	c := &Cloud{fenced: fenced, highest: make(map[string]int64)}
	c.server = httptest.NewServer(http.HandlerFunc(c.serve))
	return c
}

// Addr returns the address at which the provider listens.
func (c *Cloud) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(c.server.Listener.Addr().String())
}

// Close stops the provider.
func (c *Cloud) Close() {
	c.server.CloseClientConnections()
	c.server.Close()
}

// SetFault has later calls answered with a status, 0 for none, or carried out after a delay.
func (c *Cloud) SetFault(status int, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.delay = status, delay
}

// Calls returns the calls so far.
func (c *Cloud) Calls() []DutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]DutyCall, len(c.calls))
	for i, call := range c.calls {
		list[i] = *call
	}
	return list
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	call := &DutyCall{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("X-Duty-Holder")}
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if bad := json.NewDecoder(r.Body).Decode(call); err != nil || bad != nil || (r.URL.Path != "/usage" && r.URL.Path != "/scale") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call.Token = token
	c.mu.Lock()
	c.calls = append(c.calls, call)
	status, delay := c.status, c.delay
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := call.Path + call.Service + "/" + call.Zone
	switch {
	case status != 0:
		call.Status = status
	case c.fenced && token < c.highest[subject]:
		call.Status = http.StatusConflict
	default:
		call.Status = http.StatusOK
		c.highest[subject] = max(c.highest[subject], token)
	}
	w.WriteHeader(call.Status)
}
