package gate_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"slices"
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
	// The processes, upstreams and callers of TestSoak at size 1.
	gatesPerSize   = 4
	enginesPerSize = 4
	appsPerSize    = 3
	callersPerSize = 8
	streamEvents   = 12
	// recoveryTime is the time after the last fault in which all gates must serve again: half of the
	// required recovery time of twelve seconds.
	recoveryTime = 6 * time.Second
	// signalPause is the time after a SIGTERM until a SIGHUP and a second SIGTERM.
	signalPause = 300 * time.Millisecond
	// slowEvery is how many requests of a caller have one with a slow body among them, which takes up to maxSlowBody.
	slowEvery   = 16
	maxSlowBody = 2 * time.Second
	// longEvery is how many requests of a caller have one with a body of longBody bytes among them, which buffers of the kernel don't hold.
	longEvery = 37
	longBody  = 1 << 20
)

// soakCluster runs gates and agents as processes of their own against a simulated platform.
type soakCluster struct {
	t           *testing.T
	number      int // Of the cluster in this test process.
	store       *simop.Store
	gates       []*process
	settings    []*setup.Gate
	storeRelays []*simnet.Relay // The relay between each gate and the store.
	agents      []*process
	engines     []*simop.Replica
	version     atomic.Int64 // Version of the newest configuration.
	added       atomic.Int64 // Number of replicas of the app service that were ever added.
	crashPlan

	mu         sync.Mutex
	apps       []*relayedReplica // The replicas of the app service that faults are injected into.
	replicas   []*simop.Replica  // All replicas, including removed ones.
	results    []callResult
	served     map[string]int64               // Newest configuration version that each instance of a gate served.
	crashes    map[string][]time.Time         // Of engines, by the part that they crashed under.
	limits     map[*simop.Replica]*namedLimit // The limits in force.
	excesses   []string                       // Limits that calm gates exceeded.
	appCrashes []time.Time                    // Of replicas of the app service under crashBody.
	appLate    []string                       // Attempt ids of the requests with crashBody that calm gates sent too late after the third crash.
	late       map[string][]string            // Attempt ids of the requests with each part that calm gates sent too late after its fifth crash.
	stopped    bool                           // No engine is started again.
	disturbed  []disturbance                  // By gate.
	limiting   sync.WaitGroup                 // The replicas that name limits.
	repeats    repeatTally
	faults     faultLog // Guarded by mu.

	arrivalsMu sync.Mutex
	arrivals   map[string][]*soakArrival // By attempt id.
}

// relayedReplica is a replica of the app service with the relay that gates connect to it through.
type relayedReplica struct {
	*simop.Replica
	relay    *simnet.Relay
	hasEnded bool // It has crashed under a request.
}

// callResult is the result of one request as seen by its caller.
type callResult struct {
	id     string
	unsafe bool      // The request may run at most once.
	crash  bool      // The prompt has the part that crashes engines.
	status int       // 0 if there was no complete response.
	at     time.Time // When the request was begun.
	sent   time.Time // When its last byte was sent.
	ended  time.Time

	headSeen bool // A response has begun.
	reused   bool // The connection had carried another request.
	timedOut bool // The caller has given up.
}

// TestSoak runs gates and agents as processes, injects overlapping faults and checks what callers and upstreams see:
// requests of unsafe routes run at most once, and not at all if they were rejected; repeats stay within their budget; what was accepted is answered; streams go on at one replica at a time; no process ends by itself; responses are complete; no gate
// returns to an older configuration; upstreams that name limits get no more than these; prompts with parts that crash engines (see seedCrashes), and requests that crash plain upstreams, which odd seeds send, soon reach none; and
// requests are served again soon after the last fault. The environment
// variables SEED and LENGTH set the random seed and the duration of the faults, SIZE multiplies the processes, KEEP sets a
// directory for the logs.
func TestSoak(t *testing.T) {
	seed := uint64(1)
	if s := os.Getenv("SEED"); s != "" {
		var err error
		if seed, err = strconv.ParseUint(s, 10, 64); err != nil {
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
	size := 1
	if s := os.Getenv("SIZE"); s != "" {
		var err error
		if size, err = strconv.Atoi(s); err != nil || size < 1 || size > 32 {
			t.Fatalf("SIZE=%s, want 1 to 32", s)
		}
	}
	t.Logf("seed %d, %v, size %d", seed, length, size)
	c := newSoakCluster(t, buildBinary(t), size, seedCrashes(seed))
	stop := make(chan struct{})
	var callers, faultSeries sync.WaitGroup
	for i := range callersPerSize * size {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c.call(rand.New(rand.NewPCG(seed, uint64(i))), i, stop)
		}()
	}
	end := time.Now().Add(length)
	for i := range 2 { // Two series of faults run concurrently.
		faultSeries.Add(1)
		go func() {
			defer faultSeries.Done()
			random := rand.New(rand.NewPCG(seed, uint64(100+i)))
			for time.Now().Before(end) {
				c.injectFault(random, i)
				time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
			}
		}()
	}
	if playsLeaving(seed) {
		faultSeries.Go(func() {
			random := rand.New(rand.NewPCG(seed, 200))
			for time.Now().Before(end) {
				c.leaveAndKill(random)
				time.Sleep(time.Duration(500+random.IntN(2000)) * time.Millisecond)
			}
		})
	}
	faultSeries.Wait()
	c.limiting.Wait()
	c.store.SetMode(simop.Up)
	c.configure()
	faultsEndedAt := time.Now()
	time.Sleep(recoveryTime)
	recoveredAt := time.Now()
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	c.verify(faultsEndedAt, recoveredAt)
}

// clusters is the number of clusters that this test process has started.
var clusters atomic.Int64

// newSoakCluster starts a cluster of a multiple of the default size without faults.
func newSoakCluster(t *testing.T, binary string, size int, crashes crashPlan) *soakCluster {
	t.Helper()
	logs := t.TempDir()
	if keep := os.Getenv("KEEP"); keep != "" {
		logs = keep
	}
	c := &soakCluster{t: t, number: int(clusters.Add(1)), store: newStore(t), served: make(map[string]int64), faults: make(faultLog), arrivals: make(map[string][]*soakArrival), limits: make(map[*simop.Replica]*namedLimit), crashPlan: crashes, crashes: make(map[string][]time.Time), late: make(map[string][]string), disturbed: make([]disturbance, gatesPerSize*size)}
	t.Cleanup(c.stopEngines)
	c.configure()
	peer := freeAddrs(t, 1)[0].Port()
	launch := func(command, name string, settings any) *process {
		return launchProcess(t, binary, logs, command, name, settings)
	}
	for range appsPerSize * size {
		c.addApp(int(c.added.Add(1)))
	}
	for i := range enginesPerSize * size {
		stage := []string{"prefill", "decode"}[i%2]
		l, err := net.Listen("tcp", netip.AddrPortFrom(c.host(3, i), 0).String())
		if err != nil {
			t.Fatal(err)
		}
		c.engines = append(c.engines, nil)
		e := c.startEngine(i, stage, l)
		name := fmt.Sprintf("side-%d", i)
		c.agents = append(c.agents, launch("tend", name, &setup.Tend{
			Name: name, Engine: e.Addr(), Service: "lm", Store: c.store.Addr(),
			Peer: netip.AddrPortFrom(e.Addr().Addr(), peer), Debug: freeAddrs(t, 1)[0],
		}))
	}
	for i := range gatesPerSize * size {
		set := newSettings(t, c.store, "")
		relay, err := simnet.New(c.store.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(relay.Close)
		set.RetrySlack, set.FirstStart = repeatSlack, false // The processes are started again with the same file.
		set.Name, set.Zone, set.Store = fmt.Sprintf("gate-%d", i), []string{"east", "west"}[i%2], relay.Addr()
		// Each gate has an IP address of its own. Otherwise an outgoing connection of another process could take
		// one of its ports while it is down.
		host := c.host(4, i)
		for _, addr := range []*netip.AddrPort{&set.Listen, &set.Ready, &set.Share, &set.Debug} {
			*addr = netip.AddrPortFrom(host, addr.Port())
		}
		set.Peer = netip.AddrPortFrom(host, peer)
		c.settings, c.storeRelays = append(c.settings, set), append(c.storeRelays, relay)
		c.gates = append(c.gates, launch("gate", set.Name, set))
	}
	for _, set := range c.settings {
		(&testGate{set: set}).waitReady(t)
	}
	return c
}

// host returns the loopback address of the i-th process of a group. Clusters at the same time have different ones, also those of
// other test processes, since ports are chosen before the processes listen on them.
func (c *soakCluster) host(group, i int) netip.Addr {
	const maxRuns, groups = 250, 8
	return netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%maxRuns), byte(groups*(c.number%(maxRuns/groups)) + group), byte(1 + i)})
}

// configure writes the next configuration version. Only this version has a route with the prefix /genVERSION/.
func (c *soakCluster) configure() {
	v := c.version.Add(1)
	text := strings.NewReplacer("/plain/", fmt.Sprintf("/gen%d/", v), `"maxBodyBytes":65536`, fmt.Sprintf(`"maxBodyBytes":%d`, 2*longBody)).Replace(string(config(int(v), 3000)))
	c.store.Put("op/config", []byte(text))
}

// addApp starts and registers a replica of the app service behind a relay.
func (c *soakCluster) addApp(n int) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(c.host(5, n%250), 0).String())
	if err != nil {
		c.t.Error(err)
		return
	}
	r := c.startApp(fmt.Sprintf("a-%d", n), l)
	relay, err := simnet.New(r.Addr())
	if err != nil {
		c.t.Error(err)
		return
	}
	c.t.Cleanup(relay.Close)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apps, c.replicas = append(c.apps, &relayedReplica{Replica: r, relay: relay}), append(c.replicas, r)
	c.store.Put("servers/"+r.ID, r.RegistrationAt("ready", relay.Addr()))
}

// randomApp returns one of the replicas of the app service that weren't removed.
func (c *soakCluster) randomApp(random *rand.Rand) *relayedReplica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.apps[random.IntN(len(c.apps))]
}

// removeApp removes the oldest replica from those that faults are injected into, and returns it.
func (c *soakCluster) removeApp() *relayedReplica {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.apps[0]
	c.apps = c.apps[1:]
	return r
}

// injectFault injects one random fault and ends it; series selects the gates and agents that it may kill or suspend.
func (c *soakCluster) injectFault(random *rand.Rand, series int) {
	pause := func(minMs, maxMs int) { time.Sleep(time.Duration(minMs+random.IntN(maxMs-minMs)) * time.Millisecond) }
	// The two series select different processes, so none is killed or suspended twice at a time.
	i := 2*random.IntN(len(c.gates)/2) + series
	switch random.IntN(14) {
	case 0:
		defer c.disturb(i)()
		defer c.begin(gateName(i), false)()
		c.gates[i].end(c.t, syscall.SIGKILL)
		pause(10, 1500)
		c.gates[i].start(c.t)
	case 1:
		defer c.disturb(i)()
		defer c.begin(gateName(i), true)()
		c.gates[i].end(c.t, syscall.SIGTERM)
		pause(10, 500)
		c.gates[i].start(c.t)
	case 2:
		defer c.disturb(i)()
		defer c.begin(gateName(i), false)()
		c.gates[i].signal(syscall.SIGSTOP)
		pause(300, 4000)
		c.gates[i].signal(syscall.SIGCONT)
	case 3:
		for n := range c.gates {
			defer c.disturb(n)()
		}
		c.store.SetMode([]simop.Mode{simop.Refusing, simop.Hanging, simop.WatchesStalled, simop.HistoryLost}[random.IntN(4)])
		pause(200, 3000)
		c.store.SetMode(simop.Up)
	case 4:
		n := random.IntN(len(c.storeRelays))
		defer c.disturb(n)()
		relay := c.storeRelays[n]
		[]func(){relay.Blackhole, relay.Partition, relay.Reset, relay.DropResponses, func() { relay.SetLatency(200 * time.Millisecond) }}[random.IntN(5)]()
		pause(200, 4000)
		relay.Heal()
	case 5:
		app := c.randomApp(random)
		relay := app.relay
		defer c.begin(app.ID, false)()
		[]func(){relay.Blackhole, relay.Partition, relay.Reset, relay.DropResponses, func() { relay.SetLatency(100 * time.Millisecond) }}[random.IntN(5)]()
		pause(200, 2500)
		relay.Heal()
	case 6:
		r := c.randomApp(random).Replica
		if random.IntN(2) == 0 {
			r = c.randomEngine(random)
		}
		defer c.begin(r.ID, false)()
		r.SetHandler(faultyHandler(r, random.IntN(8)))
		pause(200, 2500)
		r.SetHandler(nil)
	case 7:
		c.addApp(int(c.added.Add(1)))
		r := c.removeApp()
		c.begin(r.ID, false)
		if random.IntN(2) == 0 {
			c.store.Put("servers/"+r.ID, r.RegistrationAt("draining", r.relay.Addr()))
			pause(2000, 3000)
		}
		c.store.Remove("servers/" + r.ID)
	case 8:
		a := c.agents[i%len(c.agents)]
		a.end(c.t, syscall.SIGKILL)
		pause(10, 2000)
		a.start(c.t)
	case 9:
		for range 1 + random.IntN(4) {
			c.configure()
			pause(10, 300)
		}
	case 10:
		e := c.randomEngine(random)
		defer c.begin(e.ID, false)()
		e.Restart([]string{"prefill", "decode"}[random.IntN(2)])
		c.registerAgain(e)
	case 11:
		slot := random.IntN(len(c.engines))
		c.replaceEngine(slot, c.engine(slot), time.Duration(200+random.IntN(1500))*time.Millisecond, "")
	case 12:
		r := c.randomApp(random).Replica
		if random.IntN(2) == 0 {
			r = c.randomEngine(random)
		}
		c.nameLimit(r, []float64{0, 0.7, 3, 5.5, 12}[random.IntN(5)], time.Duration(4000+random.IntN(6000))*time.Millisecond)
	case 13:
		defer c.failMost(random.IntN(2))()
		pause(1000, 3000)
	}
}

// failMost makes all replicas fail most requests with a fault of faultyHandler until the returned function is called, so that
// callers need more repeats than the budget allows.
func (c *soakCluster) failMost(kind int) func() {
	const share = 0.7
	c.mu.Lock()
	replicas := slices.Clone(c.replicas)
	c.mu.Unlock()
	var ends []func()
	for _, r := range replicas {
		ends = append(ends, c.begin(r.ID, false), func() { r.SetHandler(nil) })
		faulty := faultyHandler(r, kind)
		r.SetHandler(func(w http.ResponseWriter, req *http.Request) {
			if rand.Float64() < share {
				faulty(w, req)
				return
			}
			r.ServeDefault(w, req)
		})
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// oddHeads begin heads that are malformed.
var oddHeads = []string{
	"HTTP/1.1 000 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 200 OK\r\nX Odd: a\r\n", "HTTP/1.1 200 OK\r\nX\x01: a\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"HTTP/1.1 101 OK\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// faultyHandler returns a handler with one of eight faults.
func faultyHandler(r *simop.Replica, kind int) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		switch kind {
		case 0: // The connection is reset; the request may have run.
			panic(http.ErrAbortHandler)
		case 1:
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2: // The request ran, but the status looks like a rejection.
			r.ServeDefault(&discardWriter{header: make(http.Header)}, req)
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3: // The request ran, but the response is lost.
			r.ServeDefault(&discardWriter{header: make(http.Header)}, req)
			panic(http.ErrAbortHandler)
		case 4: // The response belongs to another request, or is none.
			if id := req.Header.Get("X-Attempt-Id"); len(id)%2 == 0 {
				answerRaw(oddHeads[int(id[len(id)-1])%len(oddHeads)]+"X-Attempt-Id: ID\r\nX-Response-Seal: "+r.ID+".ID\r\nContent-Length: 5\r\n\r\nother")(w, req)
				return
			}
			w.Header().Set("X-Attempt-Id", "other")
			w.Header().Set("X-Response-Seal", r.ID+".other")
			_, _ = io.WriteString(w, "other") // Fails only if the gate has closed the connection.
		case 5: // The request ran, but its response is cut.
			r.ServeDefault(&discardWriter{header: make(http.Header)}, req)
			cutResponse(r, w, req)
		case 6: // Bytes without end.
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				flood(conn, "HTTP/1.1 200 OK\r\n", "X-More: x\r\n")
				_ = conn.Close() // The gate has closed it.
			}
		case 7: // A rejection whose body never comes.
			answerHalf("HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\n")(w, req)
		}
	}
}

// cutResponse sends half a response. That of an engine ends inside an event, framed as if it were complete; that of a plain
// service has no length and is reset.
func cutResponse(r *simop.Replica, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	seal := "X-Response-Seal: " + r.ID + "." + id
	if r.Stage() != "" {
		text := frameBody(framings[len(id)%len(framings)], "id: 1\ndata: x\n\nid: 2\nda")
		answerRaw(strings.Replace(text, "X-Response-Seal: s", seal, 1))(w, req)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\n"+seal+"\r\n\r\nPOST") // Fails only if the gate has closed it.
	time.Sleep(10 * time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

// Header returns the header, which is discarded.
func (d *discardWriter) Header() http.Header { return d.header }

// Write discards p.
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader discards the status.
func (d *discardWriter) WriteHeader(int) {}

// Flush does nothing.
func (d *discardWriter) Flush() {}

// call sends requests of all kinds to random gates until stop is closed; n identifies the caller.
func (c *soakCluster) call(random *rand.Rand, n int, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}, Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	for seq := 0; ; seq++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+random.IntN(20)) * time.Millisecond):
		}
		gate := random.IntN(len(c.gates))
		id := fmt.Sprintf("c%d-%d-g%d", n, seq, gate)
		starts := c.gates[gate].starts.Load()
		version := c.version.Load()
		result := callResult{id: id, at: time.Now()}
		var path string
		service := "app"
		switch random.IntN(4) {
		case 0, 1:
			path, result.unsafe = "/once/x", true
		case 2:
			path = fmt.Sprintf("/gen%d/x", version)
		case 3:
			path, service = "/model/x", "lm"
			if random.IntN(2) == 0 {
				path, result.unsafe = "/fixed/x", true
			}
			result.crash = random.IntN(6) < len(c.parts)
		}
		body := "body"
		if len(c.parts) > 0 && path == "/once/x" && random.IntN(30) == 0 {
			body, result.crash = crashBody, true
		}
		before := c.newestServed(gate, starts)
		isLong := seq%longEvery == 0 && body != crashBody
		if isLong {
			body = strings.Repeat("x", longBody)
		}
		var content io.Reader = strings.NewReader(body)
		if !isLong && seq%slowEvery == n%slowEvery {
			content = &slowBody{Reader: content, pause: maxSlowBody / time.Duration(len(body)) * time.Duration(seq%7) / 6}
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+c.settings[gate].Listen.String()+path, content)
		if err != nil {
			c.t.Error(err)
			return
		}
		req.Host = "a.example"
		req.Header.Set("X-Attempt-Id", id)
		for i := 0; i < len(promptHeaders); i += 2 {
			req.Header.Set(promptHeaders[i], promptHeaders[i+1])
		}
		patience := client.Timeout
		if result.crash && body != crashBody {
			req.Header.Set("X-Prompt-Prefix", "aa:500,"+c.parts[seq%len(c.parts)]+":4800,cc:6700")
			patience = cmp.Or(c.patience, patience)
		}
		req.Header.Set("X-Deadline-Remaining-Ms", "5000")
		if seq%2 == 0 {
			req.ContentLength = int64(len(body)) // Otherwise a slow body comes in chunks.
		}
		c.repeats.send(service)
		var sent atomic.Pointer[time.Time]
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(i httptrace.GotConnInfo) { result.reused = i.Reused },
			WroteRequest: func(i httptrace.WroteRequestInfo) {
				if now := time.Now(); i.Err == nil {
					sent.Store(&now)
				}
			},
		}))
		resp, err := client.Do(req)
		if err == nil {
			result.headSeen = true
			result.status = c.checkResponse(resp, id, path)
		}
		result.ended, result.timedOut = time.Now(), os.IsTimeout(err) || ctx.Err() != nil
		cancel()
		result.sent = result.ended // If the end came first.
		if at := sent.Load(); at != nil {
			result.sent = *at
		}
		if strings.HasPrefix(path, "/gen") && c.gates[gate].starts.Load() == starts {
			c.recordServed(gate, starts, version, before, result.status)
		}
		c.mu.Lock()
		c.results = append(c.results, result)
		c.mu.Unlock()
	}
}

// slowBody is a body of which one byte at a time is sent, each after a pause.
type slowBody struct {
	io.Reader
	pause time.Duration
}

// Read reads one byte after the pause.
func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.pause)
	return b.Reader.Read(p[:min(1, len(p))])
}

// checkResponse checks a response and returns its status, or 0 if it was aborted.
func (c *soakCluster) checkResponse(resp *http.Response, id, path string) int {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	servedBy, forID, _ := strings.Cut(resp.Header.Get("X-Response-Seal"), ".")
	if forID != id {
		c.t.Errorf("%s: got a response with the seal of request %q", id, forID)
	}
	if strings.HasPrefix(path, "/model/") || strings.HasPrefix(path, "/fixed/") {
		next := 1
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				if event != strconv.Itoa(next) {
					c.t.Errorf("%s: got event %s, want %d", id, event, next)
				}
				next++
			}
		}
		if lines.Err() != nil {
			return 0
		}
		if next != streamEvents+1 {
			c.t.Errorf("%s: the stream was completed after %d events", id, next-1)
		}
		return resp.StatusCode
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if want := "POST " + path + " by " + servedBy; string(body) != want {
		c.t.Errorf("%s: got %q, want %q", id, body, want)
	}
	return resp.StatusCode
}

// newestServed returns the newest configuration version that an instance of a gate is known to have served.
func (c *soakCluster) newestServed(gate int, starts int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served[fmt.Sprint(gate, ".", starts)]
}

// recordServed checks and records the status of a request for a route of one configuration version. The gate must not
// serve a version older than before, the newest one it had served when the request was sent, or lose that version.
func (c *soakCluster) recordServed(gate int, starts, version, before int64, status int) {
	key := fmt.Sprint(gate, ".", starts)
	switch {
	case status == http.StatusOK:
		if version < before {
			c.t.Errorf("gate %d served configuration %d after %d", gate, version, before)
		}
		c.mu.Lock()
		c.served[key] = max(c.served[key], version)
		c.mu.Unlock()
	case status == http.StatusNotFound && version == before && c.version.Load() == version:
		c.t.Errorf("gate %d no longer serves configuration %d", gate, version)
	}
}

// verify checks the results of all requests and that all gates have the newest configuration.
func (c *soakCluster) verify(faultsEndedAt, recoveredAt time.Time) {
	outcomes := make(map[int]int)
	var afterRecovery, servedCalls int
	for _, result := range c.results {
		outcomes[result.status]++
		runs := 0
		for _, r := range c.replicas {
			runs += r.Runs(result.id)
		}
		if result.unsafe && runs > 1 {
			c.t.Errorf("%s ran %d times", result.id, runs)
		}
		switch result.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if result.unsafe && runs > 0 {
				c.t.Errorf("%s was rejected with %d but ran", result.id, result.status)
			}
		case http.StatusOK:
			if runs == 0 {
				c.t.Errorf("%s got 200 but didn't run", result.id)
			}
		}
		if result.at.After(recoveredAt) && !result.crash {
			afterRecovery++
			if result.status == http.StatusOK {
				servedCalls++
			}
		}
	}
	c.t.Logf("%d calls by status %v; %d of %d served from %v after the last fault", len(c.results), outcomes, servedCalls, afterRecovery, recoveredAt.Sub(faultsEndedAt))
	if 4*servedCalls < 3*afterRecovery || afterRecovery == 0 {
		c.t.Errorf("%d of %d calls served from %v after the last fault, want three quarters at least", servedCalls, afterRecovery, recoveredAt.Sub(faultsEndedAt))
	}
	c.repeats.check(c.t, retryRatio, repeatSlack)
	arrivals := c.sortedArrivals()
	c.mu.Lock()
	c.checkLost(arrivals)
	c.checkOverlaps(arrivals)
	for _, part := range c.parts {
		crashes, late := c.crashes[part], c.late[part]
		if len(late) > allowedAfter {
			c.t.Errorf("%d requests with %s, which crashes engines, were sent later than %v after the fifth of %d crashes, want %d at most: %v", len(late), part, contactTime, len(crashes), allowedAfter, late)
		}
		c.t.Logf("%d engines crashed under %s, %d late", len(crashes), part, len(late))
	}
	if len(c.appLate) > allowedAfter {
		c.t.Errorf("%d requests that crash replicas were sent later than %v after the third of %d crashes, want %d at most: %v", len(c.appLate), contactTime, len(c.appCrashes), allowedAfter, c.appLate)
	}
	c.t.Logf("%d replicas crashed under the request, %d late", len(c.appCrashes), len(c.appLate))
	for _, e := range c.excesses {
		c.t.Error(e)
	}
	c.mu.Unlock()
	path := fmt.Sprintf("/gen%d/x", c.version.Load())
	for _, set := range c.settings {
		g := &testGate{set: set}
		eventually(c.t, 2*time.Second, set.Name+" at the newest configuration", isServed(c.t, g, path))
	}
}
