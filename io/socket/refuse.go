package socket

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// refusalTimeout limits the wait for a refusal. The host of a process that has ended sends it at once.
const refusalTimeout = 250 * time.Millisecond

// IsRefused reports whether an address refuses a connection, which shows that the process that listened there has ended.
func IsRefused(addr netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // Nothing was sent.
	return false
}
