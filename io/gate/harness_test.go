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
	"testing"
	"time"

	"pimentoseam/core/setup"
	"pimentoseam/core/span"
	"pimentoseam/io/gate"
	"pimentoseam/io/simop"
)

const configFormat = `{"version":%d,"routes":[
	{"name":"plain","host":"a.example","pathPrefix":"/plain/","kind":"safe","timeoutMs":%[2]d,"service":"app","maxAttempts":2},
	{"name":"once","host":"a.example","pathPrefix":"/once/","kind":"unsafe","timeoutMs":%[2]d,"service":"app","maxAttempts":1},
	{"name":"model","host":"a.example","pathPrefix":"/model/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":800,"gapAimMs":200,"service":"lm","maxAttempts":2,"sessionAffinity":true,"resumable":true},
	{"name":"fixed","host":"a.example","pathPrefix":"/fixed/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":800,"gapAimMs":200,"service":"lm","maxAttempts":2,"sessionAffinity":true,"resumable":false}],
	"services":[{"name":"app","maxConnections":100},{"name":"lm","maxConnections":100,"engine":{"slots":64,"kvCapacity":400000,"kvTokenBytes":1000,"linkMbps":1000000.0,"kvRetentionS":5.0,"reconfigureS":3.0}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":1000,"idleTimeoutMs":5000}}`

func config(version, timeout int) []byte {
	return fmt.Appendf(nil, configFormat, version, timeout)
}

// site is a stand-in of the platform with one gate.
type site struct {
	store *simop.Store
	set   *setup.Gate
	stop  context.CancelFunc
	done  chan error
}

// start runs a gate on a store until the test ends; the store holds a configuration and the replicas.
func start(t *testing.T, store *simop.Store, seeds string, replicas ...*simop.Replica) *site {
	t.Helper()
	return startSet(t, store, settings(t, store, seeds), replicas...)
}

// startBeside runs a gate that knows of another one by its settings. All gates of a site receive beats at
// the same port, each at its own address.
func startBeside(t *testing.T, store *simop.Store, other *site) *site {
	t.Helper()
	set := settings(t, store, other.set.Share.String())
	set.Peer = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), other.set.Peer.Port())
	return startSet(t, store, set)
}

func settings(t *testing.T, store *simop.Store, seeds string) *setup.Gate {
	t.Helper()
	ports := free(t, 5)
	return &setup.Gate{
		Name: fmt.Sprintf("gate-%d", ports[0].Port()), Zone: "z", Listen: ports[0], Ready: ports[1], Share: ports[2], Peer: ports[3], Debug: ports[4],
		Store: store.Addr(), Seeds: seeds,
		Bounds: setup.Bounds{
			GracePeriod: span.Span(4 * time.Second), DrainTime: span.Span(2 * time.Second), ApplyTime: span.Span(2 * time.Second),
			LeaseTime: span.Span(3 * time.Second), RetryRatio: 0.2, RetrySlack: 200, RetryWindow: span.Span(10 * time.Second),
		},
	}
}

func startSet(t *testing.T, store *simop.Store, set *setup.Gate, replicas ...*simop.Replica) *site {
	t.Helper()
	return startLogged(t, store, set, testWriter{t}, replicas...)
}

// counter keeps log lines to be counted.
type counter struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write keeps the lines.
func (c *counter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.Write(p)
}

// lines returns how many lines hold a text, those that were left out included.
func (c *counter) lines(with string) int {
	time.Sleep(300 * time.Millisecond) // Lines are written in batches.
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for line := range strings.Lines(c.text.String()) {
		if strings.Contains(line, with) {
			n++
		}
		if _, omitted, ok := strings.Cut(line, "omitted="); ok {
			more, err := strconv.Atoi(strings.Fields(omitted)[0])
			if err == nil {
				n += more
			}
		}
	}
	return n
}

func startLogged(t *testing.T, store *simop.Store, set *setup.Gate, log io.Writer, replicas ...*simop.Replica) *site {
	t.Helper()
	return startGate(t, store, set, gate.New(set, gate.WithLog(log)), replicas...)
}

func startGate(t *testing.T, store *simop.Store, set *setup.Gate, g *gate.Gate, replicas ...*simop.Replica) *site {
	t.Helper()
	for _, r := range replicas {
		store.Put("servers/"+r.ID, r.Registration("ready"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{store: store, set: set, stop: cancel, done: make(chan error, 1)}
	go func() { s.done <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-s.done; err != nil {
			t.Errorf("gate: %v", err)
		}
	})
	return s
}

// testWriter hands log lines to the test's own log.
type testWriter struct {
	t *testing.T
}

// Write logs the lines.
func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// free returns addresses of one loopback host that nobody listens at. The host is none that connections go out
// from, so that none takes a port before it is listened at.
func free(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
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

func newStore(t *testing.T) *simop.Store {
	t.Helper()
	s := simop.NewStore()
	t.Cleanup(s.Close)
	return s
}

func newReplica(t *testing.T, id, service, stage string) *simop.Replica {
	t.Helper()
	r := simop.NewReplica(id, service, stage)
	t.Cleanup(r.Close)
	return r
}

// ready waits until the gate reports itself ready.
func (s *site) ready(t *testing.T) {
	t.Helper()
	eventually(t, 5*time.Second, "ready", func() bool {
		answer, err := http.Get("http://" + s.set.Ready.String() + "/api/ready")
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not %s within %v", what, within)
}

// call sends one request of a caller and returns the answer with its body; a nil answer is a broken one.
func (s *site) call(t *testing.T, method, path, id string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.set.Listen.String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 20 * time.Second}
	answer, err := client.Do(req)
	if err != nil {
		return nil, ""
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, string(body)
	}
	return answer, string(body)
}

// dial opens a connection to the gate, writes bytes on it and returns it.
func (s *site) dial(t *testing.T, sent string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.set.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // Most tests have closed it.
	if _, err := io.WriteString(conn, sent); err != nil {
		t.Fatal(err)
	}
	return conn
}

// rest returns what still comes on a connection until it ends, within a time.
func rest(t *testing.T, conn net.Conn, within time.Duration) (string, error) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(conn)
	return string(all), err
}

// raw writes bytes to the gate on a new connection and returns the answers until it closes or falls silent.
func (s *site) raw(t *testing.T, sent string, silence time.Duration) (statuses []int, closed bool) {
	t.Helper()
	conn := s.dial(t, sent)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	method, _, _ := strings.Cut(sent, " ")
	for {
		if err := conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
			t.Fatal(err)
		}
		answer, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			var timeout net.Error
			isTimeout := errors.As(err, &timeout) && timeout.Timeout()
			return statuses, !isTimeout
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return statuses, true
		}
		if answer.StatusCode >= http.StatusOK {
			method = http.MethodGet // Only the first request is of another kind where that matters.
			statuses = append(statuses, answer.StatusCode)
		}
	}
}
