package server_test

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"pimentoseam/io/proc"
	"pimentoseam/io/server"
)

// TestTakenAddress guards against a start that neither succeeds nor fails: a server whose address is taken says so at once, so that its
// process ends and can be started again.
func TestTakenAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	for i := range 50 {
		s := server.New(netip.MustParseAddrPort(taken.Addr().String()), http.NotFoundHandler())
		started := make(chan error, 1)
		go func() { started <- s.Start() }()
		select {
		case err := <-started:
			var failed *proc.ListenError
			if !errors.As(err, &failed) {
				t.Fatalf("start %d: got %v, want a ListenError", i, err)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("start %d: neither started nor failed in 5s", i)
		}
	}
}
