package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pimentoseam/core/route"
	"pimentoseam/io/front"
)

// recorder is a handler that records the requests that it gets.
type recorder struct {
	mu       sync.Mutex
	requests []string      // Method, target and body; the error takes the place of a body that can't be read.
	done     chan struct{} // Closed when a request for /wait is cancelled.
}

func (rec *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/early" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		body = []byte(err.Error())
	}
	rec.mu.Lock()
	rec.requests = append(rec.requests, r.Method+" "+r.RequestURI+" "+string(body))
	rec.mu.Unlock()
	if r.URL.Path == "/slow" {
		time.Sleep(200 * time.Millisecond)
	}
	if r.URL.Path == "/wait" {
		<-r.Context().Done()
		close(rec.done)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// shortHeadTimeout is the deadline of a head where tests wait for it.
const shortHeadTimeout = 300 * time.Millisecond

// start serves rec on a free port until the test ends.
func start(t *testing.T, rec *recorder, opts ...front.Option) *net.TCPAddr {
	t.Helper()
	return startFor(t, rec, shortHeadTimeout, opts...)
}

// startFor is start with another deadline of a head.
func startFor(t *testing.T, rec *recorder, headTimeout time.Duration, opts ...front.Option) *net.TCPAddr {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	rec.done = make(chan struct{})
	s := front.New(l, rec, slog.New(slog.DiscardHandler), opts...)
	s.SetLimits(route.Limits{MaxHeaderBytes: 8000, HeaderTimeout: headTimeout, IdleTimeout: 5 * time.Second})
	go func() { _ = s.Serve() }() // Ends with Shutdown.
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return l.Addr().(*net.TCPAddr)
}

// exchange sends data in parts of a size and returns the statuses of the responses: a number of them, and those that arrive soon
// after. It reports whether the server closes the connection.
func exchange(t *testing.T, addr *net.TCPAddr, data string, size, number int) (statuses []int, closed bool) {
	t.Helper()
	c, err := net.DialTCP("tcp", nil, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for part := range slices.Chunk([]byte(data), size) {
		if _, err := c.Write(part); err != nil {
			break // The server has refused the request.
		}
		if size < len(data) {
			time.Sleep(200 * time.Microsecond) // So that the server reads the parts one by one.
		}
	}
	reader := bufio.NewReader(c)
	for {
		wait := 2 * time.Second
		if len(statuses) >= number {
			wait = 100 * time.Millisecond
		}
		_ = c.SetReadDeadline(time.Now().Add(wait))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			netErr, ok := err.(net.Error)
			return statuses, !ok || !netErr.Timeout()
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return statuses, true
		}
		statuses = append(statuses, resp.StatusCode)
	}
}

// TestConn sends requests as a whole and in small parts. It guards against bytes that net/http gets twice, out of order or before
// they are accepted, and against a refusal that overtakes the response to the request before it.
func TestConn(t *testing.T) {
	const (
		host     = " HTTP/1.1\r\nHost: h\r\n"
		get      = "GET /a" + host + "\r\n"
		post     = "POST /b" + host + "Content-Length: 4\r\n\r\nbody"
		chunked  = "POST /c" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2; x = y ;z\r\ndy\r\n0\r\nA: b\r\n\r\n"
		bad      = "GET /bad HTTP/1.1\nHost: h\r\n\r\n"
		badChunk = "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0x2\r\ndy\r\n0\r\n\r\n"
	)
	const headTimeout = 10 * time.Second // No case waits for it. A busy machine can take longer than shortHeadTimeout for a head in 230 parts.
	long := strings.Repeat("x", 7000)
	tests := []struct {
		name, data string
		statuses   []int
		closed     bool
		requests   []string
	}{
		{"pipelined", get + post + chunked + get, []int{200, 200, 200, 200}, false, []string{"GET /a ", "POST /b body", "POST /c body", "GET /a "}},
		{"empty line after a body", post + "\r\n" + get, []int{200, 200}, false, []string{"POST /b body", "GET /a "}},
		{"bad after a slow request", "GET /slow" + host + "\r\n" + bad + get, []int{200, 400}, true, []string{"GET /slow "}},
		{"bad after a chunked body", chunked + bad + get, []int{200, 400}, true, []string{"POST /c body"}},
		{"long head", "GET /" + long + host + "\r\n" + get, []int{200, 200}, false, []string{"GET /" + long + " ", "GET /a "}},
		{"longer head", "GET /" + long + long + host + "\r\n" + get, []int{431}, true, nil},
		{"much longer head", "GET /" + strings.Repeat(long, 20) + host + "\r\n" + get, []int{431}, true, nil},
		{"bad chunk", "POST /c" + host + badChunk + get, []int{400}, true, []string{"POST /c 400: malformed chunk size"}},
		{"bad chunk after an early response", "POST /early" + host + badChunk + get, []int{404}, true, nil},
		{"unread body", "POST /early" + host + "Content-Length: 4\r\n\r\nbody" + get, []int{404, 200}, false, []string{"GET /a "}},
		{"unread chunks", "POST /early" + host + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + get, []int{404, 200}, false, []string{"GET /a "}},
		{"unread long body", "POST /early" + host + "Content-Length: 400000\r\n\r\n" + strings.Repeat(get, 10), []int{404}, true, nil},
		{"large chunk", "POST /c" + host + "Transfer-Encoding: chunked\r\n\r\n1b58\r\n" + long + "\r\n0\r\n\r\n" + get, []int{200, 200}, false, []string{"POST /c " + long, "GET /a "}},
	}
	for _, test := range tests {
		for _, size := range []int{1 << 20, 61, 1} {
			if size*2000 < len(test.data) {
				continue // Parts of one byte take long.
			}
			var rec recorder
			addr := startFor(t, &rec, headTimeout)
			statuses, closed := exchange(t, addr, test.data, size, len(test.statuses))
			rec.mu.Lock()
			if !slices.Equal(statuses, test.statuses) || closed != test.closed || !slices.Equal(rec.requests, test.requests) {
				t.Errorf("%s, parts of %d: got %v, closed %t, %.100q, want %v, %t, %.100q", test.name, size, statuses, closed, rec.requests, test.statuses, test.closed, test.requests)
			}
			rec.mu.Unlock()
		}
	}
}

// TestAdmission guards against a head that is parsed though it wasn't admitted, and against wrong figures.
func TestAdmission(t *testing.T) {
	var rec recorder
	figures := make(chan string, 2)
	addr := start(t, &rec, front.WithAdmission(func(fields, bytes int) bool {
		figures <- fmt.Sprint(fields, " ", bytes)
		return fields < 3
	}))
	const sound, large = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /b HTTP/1.1\r\nHost: h\r\nA:\r\nB:\r\n\r\n"
	statuses, closed := exchange(t, addr, sound+large+sound, 1<<20, 2)
	if !slices.Equal(statuses, []int{200, 503}) || !closed || len(rec.requests) != 1 {
		t.Errorf("got %v, closed %t and %q, want 200, 503 and closed", statuses, closed, rec.requests)
	}
	if first, second := <-figures, <-figures; first != fmt.Sprint("1 ", len(sound)) || second != fmt.Sprint("3 ", len(large)) {
		t.Errorf("got %s and %s", first, second)
	}
}

// TestLateHead guards against a later head that may take as long as a connection may be idle.
func TestLateHead(t *testing.T) {
	var rec recorder
	addr := start(t, &rec)
	for _, data := range []string{"GET", "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\nGET"} {
		began := time.Now()
		statuses, closed := exchange(t, addr, data, 1<<20, 2)
		if len(statuses) == 0 || statuses[len(statuses)-1] != 408 || !closed || time.Since(began) > 550*time.Millisecond {
			t.Errorf("%q: got %v and closed %t after %v, want 408 after 300 ms", data, statuses, closed, time.Since(began))
		}
	}
}

// TestEmptyLine guards against an empty line after a body that counts as the beginning of a late head.
func TestEmptyLine(t *testing.T) {
	var rec recorder
	addr := start(t, &rec)
	for _, together := range []bool{true, false} {
		c, err := net.DialTCP("tcp", nil, addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		reader := bufio.NewReader(c)
		for range 2 {
			parts := []string{"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "\r\n"}
			if together {
				parts = []string{parts[0] + parts[1]}
			}
			for _, part := range parts {
				_, _ = io.WriteString(c, part) // The response shows whether it has arrived.
				time.Sleep(50 * time.Millisecond)
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("together %t: got %+v and error %v, want 200", together, resp, err)
			}
			time.Sleep(350 * time.Millisecond) // Longer than the deadline of a head.
		}
	}
}

// TestDisconnect guards against requests that run on after the caller has disconnected, also if it had sent another request.
func TestDisconnect(t *testing.T) {
	const wait, bad = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a\n"
	for _, data := range []string{wait, wait + wait, wait + bad} {
		var rec recorder
		c, err := net.DialTCP("tcp", nil, start(t, &rec))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, data) // Nothing else is sent, so it can't fail.
		time.Sleep(50 * time.Millisecond)
		select {
		case <-rec.done:
			t.Errorf("%q: the request is cancelled while its caller waits", data)
		default:
		}
		_ = c.Close()
		select {
		case <-rec.done:
		case <-time.After(time.Second):
			t.Errorf("%q: the request isn't cancelled", data)
		}
	}
}

// TestRefusalArrives guards against refusals that the caller can't read because the close of the connection resets it.
func TestRefusalArrives(t *testing.T) {
	for _, request := range []string{"GET /a\r\n\r\n", "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\n"} {
		var rec recorder
		c, err := net.DialTCP("tcp", nil, start(t, &rec))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, request+strings.Repeat("x", 100_000)) // The response shows whether it has arrived.
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "more")
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		data, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(data), "HTTP/1.1 400 ") {
			t.Errorf("%q: got %q and error %v, want 400 and the end", request, data, err)
		}
	}
}

// TestContinue guards against a body that is awaited before the caller was told to send it.
func TestContinue(t *testing.T) {
	var rec recorder
	c, err := net.DialTCP("tcp", nil, start(t, &rec))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	reader := bufio.NewReader(c)
	for range 2 {
		_, _ = io.WriteString(c, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 100 {
			t.Fatalf("got %+v and error %v, want 100", resp, err)
		}
		_, _ = io.WriteString(c, "body") // The response shows whether it has arrived.
		resp, err = http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("got %+v and error %v, want 200", resp, err)
		}
	}
}
