package gate_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

const (
	siegeBody    = 4_190_000 // Bytes, below the limit of 4,194,304.
	siegeTime    = 2500 * time.Millisecond
	siegeCallers = 8
	largeBytes   = 1 << 20   // Of a body of the one ordinary caller that sends large ones.
	bigResponse  = 200 << 10 // Bytes.
)

// attack is one kind of client that misbehaves. Each of its connections writes what send writes, again and again.
type attack struct {
	name  string
	conns int
	// send writes to one connection until that fails or ended is closed; path is the request's target.
	send func(c net.Conn, path string, ended <-chan struct{})
}

var payload = bytes.Repeat([]byte("x"), siegeBody)

// requestHead returns a head without its last line end.
func requestHead(method, path, rest string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: attack\r\n" + rest
}

// write writes data in pieces until that fails or ended is closed.
func write(c net.Conn, data []byte, piece int, pause time.Duration, ended <-chan struct{}) bool {
	for len(data) > 0 {
		select {
		case <-ended:
			return false
		default:
		}
		n := min(piece, len(data))
		if _, err := c.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
		time.Sleep(pause)
	}
	return true
}

// body returns a send function for a body that is written in pieces, with its last cut bytes missing.
func body(stated string, piece, cut int, pause time.Duration) func(net.Conn, string, <-chan struct{}) {
	return func(c net.Conn, path string, ended <-chan struct{}) {
		if _, err := io.WriteString(c, requestHead("POST", path, "Content-Length: "+stated+"\r\n\r\n")); err != nil {
			return
		}
		if write(c, payload[:siegeBody-cut], piece, pause, ended) && cut > 0 {
			<-ended
		}
	}
}

// chunked writes a body in chunks without its end.
func chunked(c net.Conn, path string, ended <-chan struct{}) {
	if _, err := io.WriteString(c, requestHead("POST", path, "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	chunk := append([]byte("1000\r\n"), append(slices.Clone(payload[:0x1000]), '\r', '\n')...)
	if write(c, bytes.Repeat(chunk, siegeBody/0x1000), 64<<10, 0, ended) {
		<-ended
	}
}

// sendAgain writes the same bytes again and again without reading.
func sendAgain(rest, end string, times int) func(net.Conn, string, <-chan struct{}) {
	return func(c net.Conn, path string, ended <-chan struct{}) {
		data := []byte(requestHead("GET", path, rest+end))
		for range times {
			if !write(c, data, len(data), 0, ended) {
				return
			}
		}
		<-ended
	}
}

var (
	shortFields = strings.Repeat("a:\r\n", 4000)
	attacks     = []attack{
		{"no attack", 0, nil},
		{"whole bodies", 60, body(strconv.Itoa(siegeBody), siegeBody, 0, 0)},
		{"bodies without their end", 100, body(strconv.Itoa(siegeBody), 64<<10, 10, 0)},
		{"bodies in small pieces", 100, body(strconv.Itoa(siegeBody), 700, 10, 0)},
		{"chunks without an end", 100, chunked},
		{"bodies over the limit", 60, body("900000000", 64<<10, 0, 0)},
		{"heads of short fields", 200, sendAgain(shortFields, "\r\n", 50)},
		{"halves of such heads", 300, sendAgain(shortFields, "", 1)},
		{"pipelining", 60, // Fewer than the connections that the upstream accepts.
			sendAgain("", "\r\n", 100_000)},
		{"connections without a request", 600, func(_ net.Conn, _ string, ended <-chan struct{}) { <-ended }},
		{"responses that aren't read", 200, func(c net.Conn, path string, ended <-chan struct{}) { sendAgain("", "\r\n", 40)(c, path+"big", ended) }},
	}
)

// siege is a gate process under attack.
type siege struct {
	g       *testGate
	app     *simop.Replica
	process *process
	host    netip.Addr
	peak    atomic.Int64 // Bytes resident and in the kernel's buffers of connections.
	alive   atomic.Bool
}

var buildGate = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "siege")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", filepath.Join(dir, "pimentoseam"), "pimentoseam").CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return filepath.Join(dir, "pimentoseam"), nil
})

// startSiege starts a gate as a process of its own, without the race detector, which multiplies the memory.
func startSiege(t *testing.T, megabytes int64) *siege {
	t.Helper()
	binary, err := buildGate()
	if err != nil {
		t.Fatal(err, binary)
	}
	store := newStore(t)
	store.Put("op/config", []byte(strings.Replace(string(config(1, 4000)), `"maxBodyBytes":65536`, `"maxBodyBytes":4194304`, 1)))
	s := &siege{app: newReplica(t, "i-1", "app", "")}
	s.app.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // An attack may end within a body.
		if strings.HasSuffix(r.URL.Path, "big") {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Seal", "i-1."+r.Header.Get("X-Attempt-Id"))
			_, _ = w.Write(payload[:bigResponse]) // Fails only if the gate has disconnected.
			return
		}
		time.Sleep(5 * time.Millisecond)
		s.app.ServeDefault(w, r)
	})
	store.Put("servers/i-1", s.app.Registration("ready"))
	set := newSettings(t, store, "")
	set.Memory, set.Files = megabytes, 3075
	s.g, s.host = &testGate{store: store, set: set}, set.Listen.Addr()
	data, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if keep := os.Getenv("KEEP"); keep != "" {
		dir = keep
	}
	file := filepath.Join(dir, "gate.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "gate.log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = log.Close() })
	s.process = &process{args: []string{binary, "gate", "--settings", file}, log: log}
	s.process.start(t)
	t.Cleanup(func() { s.process.end(t, syscall.SIGKILL) })
	s.g.waitReady(t)
	return s
}

// watch records the peak of memory until ended is closed: resident memory, and what the kernel holds for connections.
func (s *siege) watch(ended <-chan struct{}) {
	pid := s.process.cmd.Process.Pid
	for {
		if n := resident(pid) + s.queued(); n > s.peak.Load() {
			s.peak.Store(n)
		}
		select {
		case <-ended:
			s.alive.Store(syscall.Kill(pid, 0) == nil && resident(pid) > 0)
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// resident returns the resident memory of a process in bytes, 0 if it has ended.
func resident(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // Fails only if the process has ended.
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// queued returns the bytes in the kernel's buffers of the gate's side of its connections with callers.
func (s *siege) queued() int64 {
	ip := s.host.As4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	var n int64
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 4 && strings.HasPrefix(f[1], prefix) {
			sent, received, _ := strings.Cut(f[4], ":")
			for _, queue := range []string{sent, received} {
				bytes, _ := strconv.ParseInt(queue, 16, 64)
				n += bytes
			}
		}
	}
	return n
}

// attack lets a.conns connections misbehave until ended is closed; each is opened again when it is closed.
func (s *siege) attack(a attack, target, path string, ended <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for range a.conns {
		wg.Go(func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(50 * time.Millisecond): // Bounds the load.
				}
				c, err := net.DialTimeout("tcp", target, time.Second)
				if err != nil {
					continue
				}
				done := make(chan struct{})
				go func() {
					select {
					case <-ended:
					case <-done:
					}
					_ = c.SetDeadline(time.Unix(1, 0)) // Fails only on a closed connection.
				}()
				a.send(c, path, ended)
				close(done)
				_ = c.Close()
			}
		})
	}
	return &wg
}

// ordinary is what ordinary callers saw.
type ordinary struct {
	mu      sync.Mutex
	served  int
	refused int
	failed  int // No response, and the request may have run.
	lost    int // No response although the request has run.
	took    []time.Duration
}

// call sends small requests on persistent connections until ended is closed.
func (s *siege) call(n int, o *ordinary, ended <-chan struct{}) {
	var c net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-ended:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		began, id := time.Now(), fmt.Sprintf("o-%d-%d", n, i)
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", s.g.set.Listen.String(), time.Second); err != nil {
				o.add(0, false, time.Since(began))
				c = nil
				continue
			}
			reader = bufio.NewReader(c)
		}
		_ = c.SetDeadline(began.Add(4 * time.Second)) // Fails only on a closed connection, like the write.
		size := 600
		if n == siegeCallers && i > 0 {
			size = largeBytes
		}
		_, _ = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, size, payload[:size])
		status, keep := 0, false
		if resp, err := http.ReadResponse(reader, nil); err == nil {
			if _, err = io.Copy(io.Discard, resp.Body); err == nil {
				status, keep = resp.StatusCode, !resp.Close
			}
		}
		o.add(status, status == 0 && s.app.Runs(id) > 0, time.Since(began))
		if !keep {
			_ = c.Close()
			c = nil
		}
	}
}

func (o *ordinary) add(status int, lost bool, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case status == http.StatusOK:
		o.served++
		o.took = append(o.took, took)
	case status != 0:
		o.refused++
	case lost:
		o.lost++
	default:
		o.failed++
	}
}

func (o *ordinary) share() float64 {
	return float64(o.served) / float64(max(1, o.served+o.refused+o.failed+o.lost))
}

func (o *ordinary) quantile(q float64) time.Duration {
	slices.Sort(o.took)
	if len(o.took) == 0 {
		return 0
	}
	return o.took[int(q*float64(len(o.took)-1))]
}

// TestMisbehavingClients guards against clients that take a gate over its VM's memory, or keep it from serving ordinary callers, and
// against the loss of forwarded requests' responses. TABLE=1 attacks each listener and path in each of the smallest VMs and logs a table.
func TestMisbehavingClients(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	whole := os.Getenv("TABLE") != ""
	sizes := []int64{144}
	if whole {
		sizes = []int64{144, 184}
	}
	for _, megabytes := range sizes {
		for i, a := range attacks {
			for j, target := range []string{"/once/x", "/none/x", "readiness"} {
				if a.name == "no attack" && j > 0 || !whole && j != 0 && (i+j)%3 != 0 {
					continue
				}
				t.Run(fmt.Sprintf("%d MB/%s/%s", megabytes, a.name, strings.Trim(target, "/x")), func(t *testing.T) {
					s := startSiege(t, megabytes)
					s.run(t, a, target, megabytes)
				})
			}
		}
	}
}

// run attacks the gate for siegeTime and checks what ordinary callers and the readiness probe see.
func (s *siege) run(t *testing.T, a attack, target string, megabytes int64) {
	addr, path := s.g.set.Listen.String(), target
	if target == "readiness" {
		addr, path = s.g.set.Ready.String(), "/api/ready"
	}
	ended, watched := make(chan struct{}), make(chan struct{})
	attackers := s.attack(a, addr, path, ended)
	o := &ordinary{}
	var callers sync.WaitGroup
	for n := range siegeCallers {
		callers.Go(func() { s.call(n, o, ended) })
	}
	large := &ordinary{}
	callers.Go(func() { s.call(siegeCallers, large, ended) })
	go func() {
		s.watch(ended)
		close(watched)
	}()
	probes, passed := 0, 0
	for end := time.Now().Add(siegeTime); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		probes++
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if resp, err := client.Get("http://" + s.g.set.Ready.String() + "/api/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				passed++
			}
		}
	}
	close(ended)
	callers.Wait()
	attackers.Wait()
	<-watched
	peak := float64(s.peak.Load()) / 1e6
	t.Logf("| %d | %s | %s | %.0f | %.3f | %.1f | %.1f | %.3f | %d/%d |", megabytes, a.name, target, peak, o.share(),
		float64(o.quantile(0.5).Microseconds())/1000, float64(o.quantile(0.99).Microseconds())/1000, large.share(), passed, probes)
	if !s.alive.Load() {
		t.Error("the gate has ended")
	}
	if peak > float64(megabytes) {
		t.Errorf("peak of memory %.0f MB, want at most %d", peak, megabytes)
	}
	if o.lost+large.lost > 0 {
		t.Errorf("%d requests of ordinary callers ran and got no response", o.lost+large.lost)
	}
	if large.share() < 0.5 {
		t.Errorf("%d served, %d refused, %d failed of large bodies, want half served", large.served, large.refused, large.failed)
	}
	if o.share() < 0.8 {
		t.Errorf("%d served, %d refused, %d failed, want 80 %% served", o.served, o.refused, o.failed)
	}
	if passed < probes-1 {
		t.Errorf("%d of %d readiness probes passed", passed, probes)
	}
}

// TestLargestRequests guards against limits that refuse single requests within the platform's limits in the smallest VM, or cut a body
// that goes on slowly; and against a body over the limit that is read.
func TestLargestRequests(t *testing.T) {
	s := startSiege(t, 144)
	fields := requestHead("GET", "/plain/x", "")
	fields += strings.Repeat("a:b\r\n", (16384-len(fields)-2)/5) + "\r\n"
	post := requestHead("POST", "/once/x", "Content-Length: %d\r\n\r\n")
	body := bytes.Repeat([]byte("x"), 4<<20)
	c := s.g.dial(t, "")
	reader := bufio.NewReader(c)
	expect := func(what string, status int) *http.Response {
		t.Helper()
		if err := c.SetReadDeadline(time.Now().Add(6 * time.Second)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(what, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body) // The status is what counts.
		if resp.StatusCode != status {
			t.Errorf("%s: got %d, want %d", what, resp.StatusCode, status)
		}
		return resp
	}
	for range 3 {
		_, _ = io.WriteString(c, fields) // A failure shows in the response, as below.
		expect(fmt.Sprintf("%d fields", strings.Count(fields, "\r\n")), http.StatusOK)
		began := time.Now()
		_, _ = io.WriteString(c, fmt.Sprintf(post, len(body))+string(body))
		expect("4 MiB", http.StatusOK)
		if took := time.Since(began); took > time.Second {
			t.Errorf("4 MiB took %v; the sender waits for the window", took)
		}
	}
	_, _ = io.WriteString(c, fmt.Sprintf(post, 30))
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		_, _ = c.Write(body[:1])
	}
	expect("30 bytes in 3 s", http.StatusOK)
	_, _ = io.WriteString(c, fmt.Sprintf(post, len(body)+1))
	if resp := expect("4 MiB and a byte", http.StatusRequestEntityTooLarge); !resp.Close {
		t.Error("the connection stays open before a body that isn't read")
	}
}

// TestManySlowResponses guards against the refusal of ordinary requests because small responses in progress are charged as large ones.
func TestManySlowResponses(t *testing.T) {
	s := startSiege(t, 144)
	for i := range 5 { // An upstream takes at most 90 connections.
		id := fmt.Sprintf("i-%d", i+1)
		app := s.app
		if i > 0 {
			app = newReplica(t, id, "app", "")
			s.g.store.Put("servers/"+id, app.Registration("ready"))
		}
		app.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Seal", id+"."+r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Content-Length", "8000")
			_ = http.NewResponseController(w).Flush() // Fails only if the gate has disconnected, like the write.
			time.Sleep(2 * time.Second)
			_, _ = w.Write(payload[:8000])
		})
	}
	time.Sleep(time.Second) // The gate follows the upstream list.
	var served atomic.Int64
	var callers sync.WaitGroup
	const n = 280
	for range n {
		c := s.g.dial(t, requestHead("GET", "/plain/x", "\r\n"))
		callers.Go(func() {
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // Fails only on a closed connection.
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(2 * time.Millisecond)
	}
	callers.Wait()
	if served.Load() != n {
		t.Errorf("%d of %d served", served.Load(), n)
	}
}
