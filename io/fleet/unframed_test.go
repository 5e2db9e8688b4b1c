package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"

	"pimentoseam/core/setup"
	"pimentoseam/io/fleet"
)

// unframedService starts a service at which each answer has neither a length nor chunks and ends with its connection. If isKilled is
// set, its process ends in the middle of the first answer. It returns its address and counts the requests.
func unframedService(t *testing.T, isKilled bool, requests *atomic.Int64) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return // A connection that shows whether the service is alive.
				}
				requests.Add(1)
				_, _ = io.Copy(io.Discard, req.Body)
				if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf"); err != nil {
					return
				}
				if isKilled {
					_ = l.Close()
					return
				}
				_, _ = io.WriteString(conn, " and half")
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestUnframedAnswers guards against an answer without a length of a service that is killed in the middle, which reaches the caller as
// complete, and against a sound one that does not.
func TestUnframedAnswers(t *testing.T) {
	for _, isKilled := range []bool{false, true} {
		for _, isOnce := range []bool{false, true} {
			t.Run(fmt.Sprintf("killed %v, once %v", isKilled, isOnce), func(t *testing.T) {
				c := newCluster(t, 1, 0, 1)
				file := filepath.Join(c.dir, "agent-redirect-1.json")
				settings, err := setup.ReadAgent(file)
				if err != nil {
					t.Fatal(err)
				}
				var requests atomic.Int64
				settings.Upstream = unframedService(t, isKilled, &requests)
				c.writeJSON(file, settings)
				c.startAll()
				var status int
				var body []byte
				c.eventually(startTimeout, "the request reaches the service", func() bool {
					method, path, key := http.MethodGet, "/v1/services/redirect-app/x", ""
					if isOnce { // An agent that has just started doesn't run keys that may be older.
						method, path, key = http.MethodPost, "/v1/services/redirect-app/orders", uuid.Must(uuid.NewV7()).String()
					}
					status, _, body, err = c.call("entry-1", method, path, fleet.CourierToken, key, nil)
					return requests.Load() > 0
				})
				isComplete := err == nil && status == http.StatusOK
				if isComplete == isKilled || isComplete && string(body) != "half and half" {
					t.Errorf("got status %d, %q, %v; want it complete: %v", status, body, err, !isKilled)
				}
			})
		}
	}
}
