package gate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pimentoseam/core/setup"
	"pimentoseam/core/span"
	"pimentoseam/io/gate"
	"pimentoseam/io/simop"
)

// configFormat is a configuration with a version and a timeout in milliseconds. The route once is unsafe: a request
// that may have run must not be repeated. The route fixed is that of model, but its streams are not resumable.
const configFormat = `{"version":%d,"routes":[
	{"name":"plain","host":"a.example","pathPrefix":"/plain/","kind":"safe","timeoutMs":%[2]d,"service":"app","maxAttempts":2},
	{"name":"once","host":"a.example","pathPrefix":"/once/","kind":"unsafe","timeoutMs":%[2]d,"service":"app","maxAttempts":1},
	{"name":"model","host":"a.example","pathPrefix":"/model/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":800,"gapAimMs":200,"service":"lm","maxAttempts":2,"sessionAffinity":true,"resumable":true},
	{"name":"fixed","host":"a.example","pathPrefix":"/fixed/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":800,"gapAimMs":200,"service":"lm","maxAttempts":2,"sessionAffinity":true,"resumable":false}],
	"services":[{"name":"app","maxConnections":100},{"name":"lm","maxConnections":100,"engine":{"slots":64,"kvCapacity":400000,"kvTokenBytes":1000,"linkMbps":1000000.0,"kvRetentionS":5.0,"reconfigureS":3.0}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":1000,"idleTimeoutMs":5000}}`

// config returns a configuration with the given version and timeout of the app service's routes.
func config(version, timeoutMs int) []byte {
	return fmt.Appendf(nil, configFormat, version, timeoutMs)
}

// testGate is a running gate with the simulated store that it uses.
type testGate struct {
	store *simop.Store
	set   *setup.Gate
	stop  context.CancelFunc
	done  chan error // Receives the result of gate.Gate.Run.
}

// startGate registers the replicas in the store and runs a gate until the test ends. The seeds are the addresses of
// other gates.
func startGate(t *testing.T, store *simop.Store, seeds string, replicas ...*simop.Replica) *testGate {
	t.Helper()
	return startWithSettings(t, store, newSettings(t, store, seeds), replicas...)
}

// startPeer runs a gate that has another one as its seed. All gates receive beats at the same port, so each needs
// an IP address of its own.
func startPeer(t *testing.T, store *simop.Store, other *testGate) *testGate {
	t.Helper()
	set := newSettings(t, store, other.set.Share.String())
	set.Peer = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), other.set.Peer.Port())
	return startWithSettings(t, store, set)
}

// newSettings returns the settings of a gate in zone z with free ports, in a system that starts for the first time.
func newSettings(t *testing.T, store *simop.Store, seeds string) *setup.Gate {
	t.Helper()
	addrs := freeAddrs(t, 5)
	return &setup.Gate{
		Name: fmt.Sprintf("gate-%d", addrs[0].Port()), Zone: "z", Listen: addrs[0], Ready: addrs[1], Share: addrs[2], Peer: addrs[3], Debug: addrs[4],
		Store: store.Addr(), Seeds: seeds, FirstStart: true,
		Bounds: setup.Bounds{
			GracePeriod: span.Span(4 * time.Second), DrainTime: span.Span(2 * time.Second), ApplyTime: span.Span(2 * time.Second),
			LeaseTime: span.Span(3 * time.Second), RetryRatio: 0.2, RetrySlack: 200, RetryWindow: span.Span(10 * time.Second),
		},
	}
}

// startWithSettings is startGate with settings other than the default.
func startWithSettings(t *testing.T, store *simop.Store, set *setup.Gate, replicas ...*simop.Replica) *testGate {
	t.Helper()
	return startWithLog(t, store, set, testWriter{t}, replicas...)
}

// logRecorder records log lines in order to count them.
type logRecorder struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write records the lines.
func (r *logRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// countLines returns the number of lines that contain a text, plus the number of lines that were omitted because
// their message was too frequent.
func (r *logRecorder) countLines(text string) int {
	time.Sleep(300 * time.Millisecond) // Log lines are written in batches.
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for line := range strings.Lines(r.text.String()) {
		if strings.Contains(line, text) {
			n++
		}
		if _, omitted, ok := strings.Cut(line, "omitted="); ok {
			count, err := strconv.Atoi(strings.Fields(omitted)[0])
			if err == nil {
				n += count
			}
		}
	}
	return n
}

// startWithLog is startWithSettings with log lines written to log.
func startWithLog(t *testing.T, store *simop.Store, set *setup.Gate, log io.Writer, replicas ...*simop.Replica) *testGate {
	t.Helper()
	return runGate(t, store, set, gate.New(set, gate.WithLog(log)), replicas...)
}

// runGate registers the replicas in the store and runs process until the test ends.
func runGate(t *testing.T, store *simop.Store, set *setup.Gate, process *gate.Gate, replicas ...*simop.Replica) *testGate {
	t.Helper()
	for _, r := range replicas {
		store.Put("servers/"+r.ID, r.Registration("ready"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &testGate{store: store, set: set, stop: cancel, done: make(chan error, 1)}
	go func() { g.done <- process.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-g.done; err != nil {
			t.Errorf("gate: %v", err)
		}
	})
	return g
}

// testWriter writes log lines to the log of the test.
type testWriter struct {
	t *testing.T
}

// Write logs p.
func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// freeAddrs returns addresses with unused ports on a random loopback host. Outgoing connections don't use that host
// as their source, so they can't take one of the ports before a process listens on it. Nor is a process started meanwhile,
// which would hold a copy of the listeners until it has replaced its program, so that the ports are still taken after Close.
func freeAddrs(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	host := netip.AddrFrom4([4]byte{127, byte(1 + rand.N(250)), byte(rand.N(250)), byte(1 + rand.N(250))})
	var list []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		list = append(list, netip.MustParseAddrPort(l.Addr().String()))
	}
	return list
}

// newStore returns a simulated store that is closed when the test ends.
func newStore(t *testing.T) *simop.Store {
	t.Helper()
	store := simop.NewStore()
	t.Cleanup(store.Close)
	return store
}

// newReplica returns a simulated replica that is closed when the test ends; stage is as in simop.NewReplica.
func newReplica(t *testing.T, id, service, stage string) *simop.Replica {
	t.Helper()
	r := simop.NewReplica(id, service, stage)
	t.Cleanup(r.Close)
	return r
}

// waitReady waits until the gate's readiness check passes.
func (g *testGate) waitReady(t *testing.T) {
	t.Helper()
	eventually(t, 5*time.Second, "ready", func() bool {
		resp, err := http.Get("http://" + g.set.Ready.String() + "/api/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// eventually fails the test unless condition becomes true within a timeout; state names that condition.
func eventually(t *testing.T, timeout time.Duration, state string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not %s within %v", state, timeout)
}

// call sends one request to the gate and returns the response with its body. The response is nil if there was none
// or if its body is incomplete. The headers are names and values in turn.
func (g *testGate) call(t *testing.T, method, path, attemptID string, headers ...string) (*http.Response, string) {
	t.Helper()
	return g.callFor(t, callTimeout, method, path, attemptID, headers...)
}

// callTimeout is the patience of callers that don't leave.
const callTimeout = 20 * time.Second

// callFor is call by a caller that leaves after some time.
func (g *testGate) callFor(t *testing.T, patience time.Duration, method, path, attemptID string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+g.set.Listen.String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", attemptID)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: patience}
	resp, err := client.Do(req)
	if err != nil {
		return nil, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, string(body)
	}
	return resp, string(body)
}

// dial opens a connection to the gate and writes data to it; the connection is closed when the test ends.
func (g *testGate) dial(t *testing.T, data string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", g.set.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // The test may have closed it before.
	if _, err := io.WriteString(conn, data); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readRest reads from a connection until it ends or the timeout expires.
func readRest(t *testing.T, conn net.Conn, timeout time.Duration) (string, error) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(conn)
	return string(data), err
}

// sendRaw writes data to the gate on a new connection. It returns the statuses of the responses, and whether the gate
// closed the connection; otherwise it sent nothing more within the timeout.
func (g *testGate) sendRaw(t *testing.T, data string, timeout time.Duration) (statuses []int, closed bool) {
	t.Helper()
	conn := g.dial(t, data)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	method, _, _ := strings.Cut(data, " ")
	for {
		if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			var netErr net.Error
			isTimeout := errors.As(err, &netErr) && netErr.Timeout()
			return statuses, !isTimeout
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return statuses, true
		}
		if resp.StatusCode >= http.StatusOK {
			method = http.MethodGet // Only the first request of a test can be a HEAD request, whose response has no body.
			statuses = append(statuses, resp.StatusCode)
		}
	}
}
