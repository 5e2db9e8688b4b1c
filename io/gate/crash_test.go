package gate_test

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

const (
	contactTime  = 3 * time.Second        // Time in which all gates must know what one of them has seen.
	restartTime  = 400 * time.Millisecond // Time that a crashed engine is down.
	allowedCrash = 5                      // Crashes after which contactTime begins.
	allowedAfter = 3                      // Requests with the part that may reach engines after that.
	crashPart    = "bad0"
)

// crashTally is what one part of prompts did to engines.
type crashTally struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // Prefills included.
}

// arrive records a prompt with the part.
func (t *crashTally) arrive(string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, time.Now())
}

// late returns the number of crashes, and of prompts that reached engines later than contactTime after the fifth one.
func (t *crashTally) late() (crashes, late int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.arrivals {
		if len(t.crashes) >= allowedCrash && at.After(t.crashes[allowedCrash-1].Add(contactTime)) {
			late++
		}
	}
	return len(t.crashes), late
}

// crashFleet is a service's engines that crash under prompts with some parts, and start again at the same address as other replicas.
type crashFleet struct {
	t          *testing.T
	store      *simop.Store
	stage      simop.CrashStage
	firstEvent time.Duration          // Time until the first event of prompts with the parts; 0 for none.
	after      time.Duration          // From the first event to the crash; see simop.Crash.
	back       time.Duration          // Time that a crashed engine is down.
	events     int                    // Of other streams, 15 ms apart; 0 for 6.
	accepts    bool                   // The address of a crashed engine accepts connections and drops them.
	tallies    map[string]*crashTally // By part.

	mu      sync.Mutex
	engines []*simop.Replica // By slot.
	started int              // Number of engines that were ever started.
	ended   map[*simop.Replica]bool
	closed  bool
}

// newCrashFleet starts two prefill engines and some decode engines, which crash under crashPart once they have sent the head.
func newCrashFleet(t *testing.T, store *simop.Store, decodeEngines int) *crashFleet {
	f := &crashFleet{stage: simop.AfterHead, back: restartTime}
	f.run(t, store, decodeEngines, crashPart)
	return f
}

// newLateCrashFleet is newCrashFleet with engines that crash after the first event of a response, which takes some time.
func newLateCrashFleet(t *testing.T, store *simop.Store, decodeEngines int, firstEvent time.Duration) *crashFleet {
	f := &crashFleet{stage: simop.InsideBody, firstEvent: firstEvent, back: restartTime}
	f.run(t, store, decodeEngines, crashPart)
	return f
}

// run starts two prefill engines and some decode engines that crash under prompts with one of the parts.
func (f *crashFleet) run(t *testing.T, store *simop.Store, decodeEngines int, parts ...string) {
	f.t, f.store, f.tallies = t, store, make(map[string]*crashTally)
	f.engines, f.ended = make([]*simop.Replica, 2+decodeEngines), make(map[*simop.Replica]bool)
	for _, part := range parts {
		f.tallies[part] = &crashTally{}
	}
	for slot := range f.engines {
		l, err := net.Listen("tcp", freeAddrs(t, 1)[0].String()) // Where no other process takes the port while it is down.
		if err != nil {
			t.Fatal(err)
		}
		f.start(slot, l)
	}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
		for _, e := range f.engines {
			e.Close()
		}
	})
}

// start starts and registers a new engine in a slot.
func (f *crashFleet) start(slot int, l net.Listener) {
	stage := "decode"
	if slot < 2 {
		stage = "prefill"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = l.Close() // The test has ended.
		return
	}
	f.started++
	e := simop.NewReplica(fmt.Sprintf("e-%d", f.started), "lm", stage, simop.WithListener(l))
	e.SetBorn(time.Now().UnixMilli())
	e.SetStream(cmp.Or(f.events, 6), 15*time.Millisecond, 0)
	var crashes []*simop.Crash
	for part, tally := range f.tallies {
		crashes = append(crashes, &simop.Crash{
			Matches: f.matches(part), Stage: f.stage, After: f.after,
			OnArrival: tally.arrive, OnCrash: func() { f.crash(slot, e, tally) },
		})
	}
	e.SetCrash(crashes...)
	f.engines[slot] = e
	f.store.Put("servers/"+e.ID, e.Registration("ready"))
}

// matches returns a function that matches prompts with a part, and takes the time until the first event of a response to them.
func (f *crashFleet) matches(part string) func(*http.Request, string) bool {
	return func(req *http.Request, body string) bool {
		if !simop.HasPart(part)(req, body) {
			return false
		}
		if req.Header.Get("X-Stage") != "prefill" {
			time.Sleep(f.firstEvent)
		}
		return true
	}
}

// crash ends the engine of a slot unless it has ended already, and starts another one later. The crash counts for a part; nil for
// none.
func (f *crashFleet) crash(slot int, e *simop.Replica, tally *crashTally) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended[e] || f.closed {
		return
	}
	f.ended[e] = true
	if tally != nil {
		tally.mu.Lock()
		tally.crashes = append(tally.crashes, time.Now())
		tally.mu.Unlock()
	}
	addr := e.Addr()
	go func() {
		stop := func() {}
		if f.accepts {
			e.StopListening()
			stop = dropConns(f.t, addr)
		}
		e.Crash()
		time.Sleep(f.back)
		stop()
		f.store.Remove("servers/" + e.ID)
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			f.t.Errorf("engine not started again: %v", err)
			return
		}
		f.start(slot, l)
	}()
}

// dropConns accepts connections to an address and drops them until the returned function is called.
func dropConns(t *testing.T, addr netip.AddrPort) (stop func()) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		t.Errorf("connections not dropped: %v", err)
		return func() {}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	return func() { _ = l.Close() }
}

// numCrashes returns the number of crashes under crashPart.
func (f *crashFleet) numCrashes() int {
	crashes, _ := f.tallies[crashPart].late()
	return crashes
}

// arrivalsAfter returns the number of requests with crashPart that arrived after a time.
func (f *crashFleet) arrivalsAfter(at time.Time) int {
	tally := f.tallies[crashPart]
	tally.mu.Lock()
	defer tally.mu.Unlock()
	n := 0
	for _, arrival := range tally.arrivals {
		if arrival.After(at) {
			n++
		}
	}
	return n
}

// startCluster runs gates of one store in two zones.
func startCluster(t *testing.T, store *simop.Store, n int) []*testGate {
	t.Helper()
	return startLoggedCluster(t, store, n, testWriter{t})
}

// startLoggedCluster is startCluster with log lines written to log.
func startLoggedCluster(t *testing.T, store *simop.Store, n int, log io.Writer) []*testGate {
	t.Helper()
	var gates []*testGate
	for i := range n {
		set := newSettings(t, store, "")
		set.Name = fmt.Sprintf("gate-%d-%d", i, set.Listen.Port())
		set.Zone = []string{"z", "z", "y"}[i%3]
		if i > 0 {
			set.Seeds = gates[0].set.Share.String()
			set.Peer = netip.AddrPortFrom(set.Listen.Addr(), gates[0].set.Peer.Port())
		}
		gates = append(gates, startWithLog(t, store, set, log))
	}
	for _, g := range gates {
		g.waitReady(t)
	}
	return gates
}

// prompt returns the headers of a prompt with the given shared parts and a part of its own.
func prompt(id string, parts ...string) []string {
	list := ""
	for _, p := range parts {
		list += p + ":200,"
	}
	return []string{"X-Model", "m", "X-Token-Counts", "700,20", "X-Prompt-Prefix", list + id + ":300", "X-Deadline-Remaining-Ms", "5000"}
}

// load sends prompts at a mean interval to random gates until stop is closed.
func load(t *testing.T, gates []*testGate, interval time.Duration, stop <-chan struct{}, wait *sync.WaitGroup, next func(i int) (path string, parts []string), answered func(i, status int)) {
	loadFor(t, callTimeout, gates, interval, stop, wait, next, answered)
}

// loadFor is load by callers that leave after some time.
func loadFor(t *testing.T, patience time.Duration, gates []*testGate, interval time.Duration, stop <-chan struct{}, wait *sync.WaitGroup, next func(i int) (path string, parts []string), answered func(i, status int)) {
	wait.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval/2 + rand.N(interval)):
			}
			wait.Go(func() {
				path, parts := next(i)
				id := fmt.Sprintf("%x", rand.Uint64())
				resp, _ := gates[rand.N(len(gates))].callFor(t, patience, "POST", path, id, prompt(id, parts...)...)
				status := 0
				if resp != nil {
					status = resp.StatusCode
				}
				answered(i, status)
			})
		}
	})
}

// TestPartThatCrashesEngines guards against prompts with one part that crash engine after engine.
func TestPartThatCrashesEngines(t *testing.T) {
	checkPartThatCrashesEngines(t, &crashFleet{stage: simop.AfterHead, back: restartTime})
}

// TestPartBehindAcceptingAddress guards against the same if the addresses of crashed engines refuse no connections, so that crashes
// show only by the registrations of their next runs.
func TestPartBehindAcceptingAddress(t *testing.T) {
	checkPartThatCrashesEngines(t, &crashFleet{stage: simop.AfterHead, back: 5 * time.Second, accepts: true})
}

func checkPartThatCrashesEngines(t *testing.T, fleet *crashFleet) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", checkedConfig())
	fleet.run(t, store, 6, crashPart)
	gates := startCluster(t, store, 3)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var sound, served, measuring atomic.Int64
	paths := []string{"/fixed/x", "/model/x"}
	load(t, gates, 120*time.Millisecond, stop, &wait, func(i int) (string, []string) {
		return paths[i%2], []string{[]string{"aa", "ab"}[i/2%2], crashPart}
	}, func(int, int) {})
	load(t, gates, 25*time.Millisecond, stop, &wait, func(i int) (string, []string) {
		return paths[i%2], []string{"aa", fmt.Sprintf("50%d", rand.N(40))}
	}, func(_, status int) {
		if measuring.Load() > 0 {
			sound.Add(1)
			if status == http.StatusOK {
				served.Add(1)
			}
		}
	})
	eventually(t, 20*time.Second, "five crashes", func() bool { return fleet.numCrashes() >= allowedCrash })
	fifth := time.Now()
	time.Sleep(2 * contactTime)
	measuring.Store(1)
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	t.Logf("%d crashes", fleet.numCrashes())
	if n := fleet.arrivalsAfter(fifth.Add(contactTime)); n > allowedAfter {
		t.Errorf("%d requests with the part reached engines later than %v after the fifth crash, want %d at most", n, contactTime, allowedAfter)
	}
	if 2*served.Load() < sound.Load() || sound.Load() < 20 {
		t.Errorf("%d of %d sound prompts were served, want half at least of 20 or more", served.Load(), sound.Load())
	}
}

// TestPartWithLateFirstEvent guards against prompts that are suspect only for some time after they were sent, although the engine
// begins to answer them, and crashes, later.
func TestPartWithLateFirstEvent(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	fleet := newLateCrashFleet(t, store, 6, 1300*time.Millisecond)
	gates := startCluster(t, store, 2)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	load(t, gates, 400*time.Millisecond, stop, &wait, func(int) (string, []string) {
		return "/fixed/x", []string{"aa", crashPart}
	}, func(int, int) {})
	load(t, gates, 25*time.Millisecond, stop, &wait, func(int) (string, []string) {
		return "/fixed/x", []string{"aa", fmt.Sprintf("50%d", rand.N(40))}
	}, func(int, int) {})
	eventually(t, 20*time.Second, "five crashes", func() bool { return fleet.numCrashes() >= allowedCrash })
	fifth := time.Now()
	time.Sleep(4 * contactTime)
	close(stop)
	wait.Wait()
	t.Logf("%d crashes", fleet.numCrashes())
	if n := fleet.arrivalsAfter(fifth.Add(contactTime)); n > allowedAfter {
		t.Errorf("%d requests with the part reached engines later than %v after the fifth crash, want %d at most", n, contactTime, allowedAfter)
	}
}

// TestBlockReachesAllGates guards against gates that must see engines crash themselves before they refuse a part.
func TestBlockReachesAllGates(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	fleet := newCrashFleet(t, store, 4)
	gates := startCluster(t, store, 3)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	load(t, gates, 25*time.Millisecond, stop, &wait, func(int) (string, []string) {
		return "/fixed/x", []string{"aa", fmt.Sprintf("50%d", rand.N(40))}
	}, func(int, int) {})
	send := func(g *testGate, n int) {
		for range n {
			id := fmt.Sprintf("%x", rand.Uint64())
			g.call(t, "POST", "/fixed/x", id, prompt(id, "aa", crashPart)...)
			time.Sleep(400 * time.Millisecond)
		}
	}
	send(gates[0], allowedCrash)
	if fleet.numCrashes() == 0 {
		t.Fatal("no engine crashed")
	}
	time.Sleep(contactTime)
	began := time.Now()
	for _, g := range gates[1:] {
		send(g, allowedCrash)
	}
	close(stop)
	wait.Wait()
	if n := fleet.arrivalsAfter(began); n > allowedAfter {
		t.Errorf("%d requests with the part reached engines from the other gates, want %d at most", n, allowedAfter)
	}
}

// TestCrashesKeepSoundParts guards against crashes that have other causes shutting out the parts of prompts that were at the
// engines.
func TestCrashesKeepSoundParts(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	fleet := newCrashFleet(t, store, 4)
	gates := startCluster(t, store, 2)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	paths := []string{"/fixed/x", "/model/x"}
	subject := func(i int) string { return fmt.Sprintf("50%d", i%30) }
	load(t, gates, 15*time.Millisecond, stop, &wait, func(i int) (string, []string) {
		return paths[i%2], []string{"aa", subject(i)}
	}, func(int, int) {})
	for round := range 12 { // In turn, and all at once as in a loss of power.
		for slot := range fleet.engines {
			if round%3 == 0 || slot == round%len(fleet.engines) {
				fleet.mu.Lock()
				e := fleet.engines[slot]
				fleet.mu.Unlock()
				fleet.crash(slot, e, nil)
			}
		}
		time.Sleep(300*time.Millisecond + rand.N(300*time.Millisecond))
	}
	close(stop)
	wait.Wait()
	time.Sleep(2 * restartTime)
	for i := range 30 {
		for _, g := range gates {
			id := fmt.Sprintf("after%d", i)
			eventually(t, 3*time.Second, "served: part "+subject(i), func() bool {
				resp, _ := g.call(t, "POST", "/model/x", id, prompt(id, "aa", subject(i))...)
				return resp != nil && resp.StatusCode == http.StatusOK
			})
		}
	}
}

// TestPartStaysOutOverRestart guards against gates that forget, in a restart of all of them, which part crashes engines.
func TestPartStaysOutOverRestart(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	fleet := newCrashFleet(t, store, 6)
	gates := startCluster(t, store, 2)
	send := func(gates []*testGate, n int) {
		stop := make(chan struct{})
		var wait sync.WaitGroup
		load(t, gates, 25*time.Millisecond, stop, &wait, func(int) (string, []string) {
			return "/fixed/x", []string{"aa", fmt.Sprintf("50%d", rand.N(40))}
		}, func(int, int) {})
		defer wait.Wait()
		defer close(stop)
		for i := range n {
			id := fmt.Sprintf("%x", rand.Uint64())
			gates[i%len(gates)].call(t, "POST", "/fixed/x", id, prompt(id, "aa", crashPart)...)
			time.Sleep(300 * time.Millisecond)
		}
	}
	send(gates, 8)
	if fleet.numCrashes() == 0 {
		t.Fatal("no engine crashed")
	}
	time.Sleep(contactTime)
	for _, g := range gates {
		g.stop()
		err := <-g.done
		g.done <- err // For the cleanup.
	}
	restarted := startCluster(t, store, 2)
	time.Sleep(contactTime)
	began := time.Now()
	send(restarted, 6)
	if n := fleet.arrivalsAfter(began); n > allowedAfter {
		t.Errorf("%d requests with the part reached engines after the restart, want %d at most", n, allowedAfter)
	}
}
