package gate_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pimentoseam/core/setup"
	"pimentoseam/io/simnet"
	"pimentoseam/io/simop"
)

const (
	numGates     = 4
	numEngines   = 4
	numApps      = 3
	numCallers   = 8
	streamEvents = 12
	// soakBack is the time after the last fault in which all gates must serve again: half of the
	// twelve seconds that recovery may take.
	recoveryTime = 6 * time.Second
)

// program is a real process that a soak kills, stops and starts.
type process struct {
	args []string
	log  *os.File
	mu   sync.Mutex
	cmd  *exec.Cmd
	boot atomic.Int64
}

func (p *process) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.boot.Add(1)
	if err := p.cmd.Start(); err != nil {
		t.Error(err)
	}
}

// end sends a signal that ends the process and waits for it.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // It may have ended by itself; Wait tells.
	_ = p.cmd.Wait()            // A killed process has no success to report.
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // As above.
}

// yard is a stand-in of the platform with real processes.
type soakCluster struct {
	t       *testing.T
	store   *simop.Store
	gates   []*process
	sets    []*setup.Gate
	links   []*simnet.Relay // Between each gate and the store.
	agents  []*process
	engines []*simop.Replica
	version atomic.Int64
	added   atomic.Int64

	mu     sync.Mutex
	apps   []*relayedReplica
	all    []*simop.Replica // Those that left included.
	calls  []callResult
	served map[string]int64 // Newest configuration seen by boot of a gate.
}

// wired is a plain replica with the relay before it.
type relayedReplica struct {
	*simop.Replica
	relay *simnet.Relay
}

// soakCall is one request as its caller saw it.
type callResult struct {
	id     string
	unsafe bool
	status int // 0 without an answer.
	at     time.Time
}

// TestSoak runs gates and agents as processes among overlapping faults and checks what callers and upstreams
// see: calls that may run once do, refusals are true, answers whole, configurations never go back, and all is
// served soon after the last fault. SEED and LENGTH choose the run, KEEP a directory for the logs.
func TestSoak(t *testing.T) {
	n := uint64(1)
	if s := os.Getenv("SEED"); s != "" {
		var err error
		if n, err = strconv.ParseUint(s, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	length := 12 * time.Second
	if s := os.Getenv("LENGTH"); s != "" {
		var err error
		if length, err = time.ParseDuration(s); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("seed %d, %v", n, length)
	y := newSoakCluster(t)
	stop := make(chan struct{})
	var callers, faultSeries sync.WaitGroup
	for i := range numCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			y.call(rand.New(rand.NewPCG(n, uint64(i))), i, stop)
		}()
	}
	end := time.Now().Add(length)
	for i := range 2 { // Two series of faults that overlap.
		faultSeries.Add(1)
		go func() {
			defer faultSeries.Done()
			random := rand.New(rand.NewPCG(n, uint64(100+i)))
			for time.Now().Before(end) {
				y.injectFault(random, i)
				time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
			}
		}()
	}
	faultSeries.Wait()
	y.store.SetMode(simop.Up)
	y.configure()
	faultsEnd := time.Now()
	time.Sleep(recoveryTime)
	recovered := time.Now()
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	y.check(faultsEnd, recovered)
}

func newSoakCluster(t *testing.T) *soakCluster {
	t.Helper()
	dir := t.TempDir()
	logs := dir
	if keep := os.Getenv("KEEP"); keep != "" {
		logs = keep
	}
	binary := filepath.Join(dir, "pimentoseam")
	if out, err := exec.Command("go", "build", "-race", "-o", binary, "pimentoseam").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	y := &soakCluster{t: t, store: newStore(t), served: make(map[string]int64)}
	y.configure()
	peer := freeAddrs(t, 1)[0].Port()
	launch := func(kind, name string, settings any) *process {
		file := filepath.Join(dir, name+".json")
		data, err := json.Marshal(settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		log, err := os.Create(filepath.Join(logs, name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		p := &process{args: []string{binary, kind, "--settings", file}, log: log}
		p.start(t)
		t.Cleanup(func() {
			p.signal(syscall.SIGCONT)
			p.end(syscall.SIGKILL)
			_ = log.Close() // It is only read by people.
		})
		return p
	}
	for range numApps {
		y.addApp(int(y.added.Add(1)))
	}
	for i := range numEngines {
		stage := []string{"prefill", "decode"}[i%2]
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.3.%d:0", 1+i))
		if err != nil {
			t.Fatal(err)
		}
		e := simop.NewReplica(fmt.Sprintf("e-%d", i), "lm", stage, simop.WithListener(l))
		t.Cleanup(e.Close)
		e.SetStream(streamEvents, 15*time.Millisecond, 0)
		y.engines, y.all = append(y.engines, e), append(y.all, e)
		y.store.Put("servers/"+e.ID, e.Registration("ready"))
		name := fmt.Sprintf("side-%d", i)
		y.agents = append(y.agents, launch("tend", name, &setup.Tend{
			Name: name, Engine: e.Addr(), Service: "lm", Store: y.store.Addr(),
			Peer: netip.AddrPortFrom(e.Addr().Addr(), peer), Debug: freeAddrs(t, 1)[0],
		}))
	}
	for i := range numGates {
		set := newSettings(t, y.store, "")
		link, err := simnet.New(y.store.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		set.Name, set.Zone, set.Store = fmt.Sprintf("gate-%d", i), []string{"east", "west"}[i%2], link.Addr()
		// An address of its own keeps outgoing connections of others from taking a gate's ports while
		// it is down, as seeds 14, 18 and 29 showed.
		host := netip.AddrFrom4([4]byte{127, 0, 4, byte(1 + i)})
		for _, addr := range []*netip.AddrPort{&set.Listen, &set.Ready, &set.Share, &set.Debug} {
			*addr = netip.AddrPortFrom(host, addr.Port())
		}
		set.Peer = netip.AddrPortFrom(host, peer)
		y.sets, y.links = append(y.sets, set), append(y.links, link)
		y.gates = append(y.gates, launch("gate", set.Name, set))
	}
	for _, set := range y.sets {
		(&testGate{set: set}).waitReady(t)
	}
	return y
}

// configure writes the next configuration: it alone has the route that bears its number.
func (y *soakCluster) configure() {
	v := y.version.Add(1)
	y.store.Put("op/config", []byte(strings.ReplaceAll(string(config(int(v), 3000)), "/plain/", fmt.Sprintf("/gen%d/", v))))
}

// addApp starts a plain replica behind a relay.
func (y *soakCluster) addApp(n int) {
	r := simop.NewReplica(fmt.Sprintf("a-%d", n), "app", "")
	relay, err := simnet.New(r.Addr())
	if err != nil {
		y.t.Error(err)
		return
	}
	y.t.Cleanup(r.Close)
	y.t.Cleanup(relay.Close)
	y.mu.Lock()
	defer y.mu.Unlock()
	y.apps, y.all = append(y.apps, &relayedReplica{Replica: r, relay: relay}), append(y.all, r)
	y.store.Put("servers/"+r.ID, r.RegistrationAt("ready", relay.Addr()))
}

// app returns one of the plain replicas that have not left.
func (y *soakCluster) app(random *rand.Rand) *relayedReplica {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.apps[random.IntN(len(y.apps))]
}

// withdraw takes the oldest plain replica out of those that faults hit, and returns it.
func (y *soakCluster) removeApp() *relayedReplica {
	y.mu.Lock()
	defer y.mu.Unlock()
	r := y.apps[0]
	y.apps = y.apps[1:]
	return r
}

// trouble causes one fault and ends it.
func (y *soakCluster) injectFault(random *rand.Rand, series int) {
	pause := func(least, most int) { time.Sleep(time.Duration(least+random.IntN(most-least)) * time.Millisecond) }
	// The series never kill or stop the same process at once.
	i := 2*random.IntN(numGates/2) + series
	switch random.IntN(11) {
	case 0:
		y.gates[i].end(syscall.SIGKILL)
		pause(10, 1500)
		y.gates[i].start(y.t)
	case 1:
		y.gates[i].end(syscall.SIGTERM)
		pause(10, 500)
		y.gates[i].start(y.t)
	case 2:
		y.gates[i].signal(syscall.SIGSTOP)
		pause(300, 4000)
		y.gates[i].signal(syscall.SIGCONT)
	case 3:
		y.store.SetMode([]simop.Mode{simop.Refusing, simop.Hanging, simop.WatchesStalled, simop.HistoryLost}[random.IntN(4)])
		pause(200, 3000)
		y.store.SetMode(simop.Up)
	case 4:
		link := y.links[random.IntN(len(y.links))]
		[]func(){link.Blackhole, link.Partition, link.Reset, link.DropResponses, func() { link.SetLatency(200 * time.Millisecond) }}[random.IntN(5)]()
		pause(200, 4000)
		link.Heal()
	case 5:
		relay := y.app(random).relay
		[]func(){relay.Blackhole, relay.Partition, relay.Reset, relay.DropResponses, func() { relay.SetLatency(100 * time.Millisecond) }}[random.IntN(5)]()
		pause(200, 2500)
		relay.Heal()
	case 6:
		r := y.app(random).Replica
		if random.IntN(2) == 0 {
			r = y.engines[random.IntN(numEngines)]
		}
		r.SetHandler(faultyHandler(r, random.IntN(5)))
		pause(200, 2500)
		r.SetHandler(nil)
	case 7:
		y.addApp(int(y.added.Add(1)))
		r := y.removeApp()
		if random.IntN(2) == 0 {
			y.store.Put("servers/"+r.ID, r.RegistrationAt("draining", r.relay.Addr()))
			pause(2000, 3000)
		}
		y.store.Remove("servers/" + r.ID)
	case 8:
		a := y.agents[i%len(y.agents)]
		a.end(syscall.SIGKILL)
		pause(10, 2000)
		a.start(y.t)
	case 9:
		for range 1 + random.IntN(4) {
			y.configure()
			pause(10, 300)
		}
	case 10:
		y.engines[random.IntN(numEngines)].Restart([]string{"prefill", "decode"}[random.IntN(2)])
	}
}

// mischief returns a way in which a replica answers badly.
func faultyHandler(r *simop.Replica, kind int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		switch kind {
		case 0: // It may have run.
			panic(http.ErrAbortHandler)
		case 1:
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2: // It ran, and says what callers take for a promise.
			r.ServeDefault(&discardWriter{header: make(http.Header)}, req)
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3: // It ran, and the answer is lost.
			r.ServeDefault(&discardWriter{header: make(http.Header)}, req)
			panic(http.ErrAbortHandler)
		case 4: // An answer to somebody else.
			w.Header().Set("X-Attempt-Id", "other")
			w.Header().Set("X-Response-Seal", r.ID+".other")
			_, _ = io.WriteString(w, "other") // A caller that left sees nothing.
		}
	}
}

// headless drops an answer.
type discardWriter struct {
	header http.Header
}

// Header returns the dropped header.
func (h *discardWriter) Header() http.Header { return h.header }

// Write drops p.
func (h *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (h *discardWriter) WriteHeader(int) {}

// Flush does nothing.
func (h *discardWriter) Flush() {}

// call sends requests of all kinds to all gates until stop is closed.
func (y *soakCluster) call(random *rand.Rand, n int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}, Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	for seq := 0; ; seq++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+random.IntN(20)) * time.Millisecond):
		}
		id := fmt.Sprintf("c%d-%d", n, seq)
		gate := random.IntN(numGates)
		boot := y.gates[gate].boot.Load()
		version := y.version.Load()
		c := callResult{id: id, at: time.Now()}
		var path string
		switch random.IntN(4) {
		case 0, 1:
			path, c.unsafe = "/once/x", true
		case 2:
			path = fmt.Sprintf("/gen%d/x", version)
		case 3:
			path = "/model/x"
			if random.IntN(2) == 0 {
				path, c.unsafe = "/fixed/x", true
			}
		}
		before := y.seen(gate, boot)
		req, err := http.NewRequest(http.MethodPost, "http://"+y.sets[gate].Listen.String()+path, strings.NewReader("body"))
		if err != nil {
			y.t.Error(err)
			return
		}
		req.Host = "a.example"
		req.Header.Set("X-Attempt-Id", id)
		for i := 0; i < len(promptHeaders); i += 2 {
			req.Header.Set(promptHeaders[i], promptHeaders[i+1])
		}
		req.Header.Set("X-Deadline-Remaining-Ms", "5000")
		if resp, err := client.Do(req); err == nil {
			c.status = y.read(resp, id, path)
		}
		if strings.HasPrefix(path, "/gen") && y.gates[gate].boot.Load() == boot {
			y.saw(gate, boot, version, before, c.status)
		}
		y.mu.Lock()
		y.calls = append(y.calls, c)
		y.mu.Unlock()
	}
}

// read checks an answer and returns its status, 0 if it broke off.
func (y *soakCluster) read(resp *http.Response, id, path string) int {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	by, of, _ := strings.Cut(resp.Header.Get("X-Response-Seal"), ".")
	if of != id {
		y.t.Errorf("%s: an answer with the proof of %q", id, of)
	}
	if strings.HasPrefix(path, "/model/") || strings.HasPrefix(path, "/fixed/") {
		next := 1
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				if event != strconv.Itoa(next) {
					y.t.Errorf("%s: event %s, want %d", id, event, next)
				}
				next++
			}
		}
		if lines.Err() != nil {
			return 0
		}
		if next != streamEvents+1 {
			y.t.Errorf("%s: the stream ends as whole after %d events", id, next-1)
		}
		return resp.StatusCode
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if want := "POST " + path + " by " + by; string(body) != want {
		y.t.Errorf("%s: got %q, want %q", id, body, want)
	}
	return resp.StatusCode
}

// seen returns the newest configuration that a boot of a gate is known to have served.
func (y *soakCluster) seen(gate int, boot int64) int64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.served[fmt.Sprint(gate, ".", boot)]
}

// saw notes what a gate served of a configuration; one that it had served before must not be unknown.
func (y *soakCluster) saw(gate int, boot, version, before int64, status int) {
	key := fmt.Sprint(gate, ".", boot)
	switch {
	case status == http.StatusOK:
		if version < before {
			y.t.Errorf("gate %d served configuration %d after %d", gate, version, before)
		}
		y.mu.Lock()
		y.served[key] = max(y.served[key], version)
		y.mu.Unlock()
	case status == http.StatusNotFound && version == before && y.version.Load() == version:
		y.t.Errorf("gate %d no longer knows configuration %d", gate, version)
	}
}

// check judges the run by what callers and upstreams saw.
func (y *soakCluster) check(faultsEnd, recovered time.Time) {
	outcomes := make(map[int]int)
	var late, good int
	for _, c := range y.calls {
		outcomes[c.status]++
		runs := 0
		for _, r := range y.all {
			runs += r.Runs(c.id)
		}
		if c.unsafe && runs > 1 {
			y.t.Errorf("%s ran %d times", c.id, runs)
		}
		switch c.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if c.unsafe && runs > 0 {
				y.t.Errorf("%s was refused with %d and ran", c.id, c.status)
			}
		case http.StatusOK:
			if runs == 0 {
				y.t.Errorf("%s was answered and ran nowhere", c.id)
			}
		}
		if c.at.After(recovered) {
			late++
			if c.status == http.StatusOK {
				good++
			}
		}
	}
	y.t.Logf("%d calls by status %v; %d of %d served from %v after the last fault", len(y.calls), outcomes, good, late, recovered.Sub(faultsEnd))
	if 4*good < 3*late || late == 0 {
		y.t.Errorf("%d of %d calls served %v after the last fault, want three quarters", good, late, recovered.Sub(faultsEnd))
	}
	path := fmt.Sprintf("/gen%d/x", y.version.Load())
	for _, set := range y.sets {
		g := &testGate{set: set}
		eventually(y.t, 2*time.Second, set.Name+" at the newest configuration", isServed(y.t, g, path))
	}
}
