package socket_test

import (
	"net"
	"net/netip"
	"testing"

	"pimentoseam/io/socket"
)

// TestIsRefused checks an address before and after its listener is closed.
func TestIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	if socket.IsRefused(addr) {
		t.Error("refused while a process listens")
	}
	l.Close()
	if !socket.IsRefused(addr) {
		t.Error("not refused without a listener")
	}
}
