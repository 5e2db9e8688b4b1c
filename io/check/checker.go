package check

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"pimentoseam/core/alive"
	"pimentoseam/io/client"
	"pimentoseam/io/socket"
	"pimentoseam/platform"
)

const (
	// prepareTimeout limits the opening of a connection ahead of a check; see the dial timeout of package client.
	prepareTimeout = 300 * time.Millisecond
	// maxBody and bodyTimeout limit the body of an answer, which is dropped so that the connection can be used again.
	maxBody     = 16 << 10
	bodyTimeout = 20 * time.Millisecond
)

// Checker makes health checks on connections of its own, which no request takes or waits for.
type Checker struct {
	pool *client.Pool

	mu   sync.Mutex
	busy map[netip.AddrPort]int // Connections that are opened ahead or carry a check now.
}

// New returns a Checker.
func New() *Checker {
	return &Checker{pool: client.New(), busy: make(map[netip.AddrPort]int)}
}

// Prepare opens a connection to an address unless there is one. Responses that begin at the same time share it, since upstreams
// limit their connections. The answer to a check on a connection that was open
// before a response ended shows that the same process is alive.
func (c *Checker) Prepare(addr netip.AddrPort) {
	if !c.begin(addr, true) {
		return
	}
	defer c.end(addr)
	ctx, cancel := context.WithTimeout(context.Background(), prepareTimeout)
	defer cancel()
	_ = c.pool.Prepare(ctx, addr) // Without it, the check opens a connection.
}

// Check sends a health check. Without a path, it only finds out whether a process listens at the address.
func (c *Checker) Check(ctx context.Context, addr netip.AddrPort, path string) (alive.Answer, error) {
	sent := time.Now()
	if path == "" {
		return alive.Answer{Sent: sent, IsRefused: socket.IsRefused(addr)}, nil
	}
	c.begin(addr, false)
	defer c.end(addr)
	resp, err := c.pool.Do(ctx, addr, &client.Request{
		Method: http.MethodGet, Target: path, Host: addr.String(), Header: make(http.Header), Matches: isHealthAnswer,
	}, 0)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return alive.Answer{Sent: sent, IsRefused: true}, nil
		}
		return alive.Answer{}, err
	}
	defer resp.Close()
	answer := alive.Answer{Instance: platform.ReadReply(resp.StatusCode, resp.Header).Instance, Opened: resp.Opened(), Sent: sent, HasLost: resp.HasLost()}
	_ = resp.Discard(maxBody, bodyTimeout) // If it fails, Close resets the connection.
	return answer, nil
}

// begin counts a connection to an address as in use, unless it must be the only one and isn't.
func (c *Checker) begin(addr netip.AddrPort, isOnly bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isOnly && c.busy[addr] > 0 {
		return false
	}
	c.busy[addr]++
	return true
}

// end undoes begin.
func (c *Checker) end(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[addr]--; c.busy[addr] == 0 {
		delete(c.busy, addr)
	}
}

// Sweep closes the idle connections that have expired or that upstreams have closed.
func (c *Checker) Sweep() {
	c.pool.Sweep()
}

// isHealthAnswer reports whether a response isn't a late one to a caller's request.
func isHealthAnswer(status int, h http.Header, _ bool) bool {
	return platform.ReadReply(status, h).ID == ""
}
