package gate_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"pimentoseam/core/setup"
	"pimentoseam/io/simop"
)

const (
	limitWindow = 4 * time.Second // Any such time counts.
	limitShare  = 1.5             // Share of the limit that may arrive in a window,
	limitSlack  = 5               // plus so many requests.
	toldTime    = time.Second     // Time from the first naming of a limit until its requests count; a third of contactTime.
)

// minTrickle is the share of a limit of some requests a second that must arrive so that the upstream can state that it ends,
// also while others have room: one request in some seconds.
const minTrickle = 0.03

// limitLoad sends requests to gates and records what the callers get.
type limitLoad struct {
	mu      sync.Mutex
	results []limitResult
}

// limitResult is one answer.
type limitResult struct {
	id         string
	status     int // 0 if there was none.
	at         time.Time
	took       time.Duration
	retryAfter float64 // Seconds; -1 if not stated.
}

// run sends requests a second at random times to paths in turn, each to the gate that pick returns, for a duration.
func (l *limitLoad) run(t *testing.T, perSecond int, length time.Duration, paths []string, pick func(i int) *testGate) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	interval := time.Second / time.Duration(perSecond)
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		wait.Go(func() { l.send(t, client, pick(i), paths[i%len(paths)]) })
		time.Sleep(interval/2 + rand.N(interval))
	}
	wait.Wait()
}

// send sends one request and records the answer.
func (l *limitLoad) send(t *testing.T, client *http.Client, g *testGate, path string) {
	r := limitResult{id: fmt.Sprintf("%x", rand.Uint64()), at: time.Now(), retryAfter: -1}
	method := http.MethodGet
	if path == "/model/x" || path == "/fixed/x" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+g.set.Listen.String()+path, nil)
	if err != nil {
		t.Error(err)
		return
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", r.id)
	if method == http.MethodPost {
		headers := prompt(r.id, "a"+r.id) // No engine has a part of it cached, so that all get prompts.
		for i := 0; i < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	if resp, err := client.Do(req); err == nil {
		_, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil {
			r.status = resp.StatusCode
		}
		if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			r.retryAfter = after
		}
	}
	r.took = time.Since(r.at)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// share returns the share of the requests with a status.
func (l *limitLoad) share(status int) float64 {
	n := 0
	for _, r := range l.results {
		if r.status == status {
			n++
		}
	}
	return float64(n) / float64(max(1, len(l.results)))
}

// checkLimit fails the test if a replica got more than a limit allows in some window that begins after from, or less than a
// share of the limit from there until to.
func checkLimit(t *testing.T, r *simop.Replica, limit float64, from, to time.Time, minUse float64) {
	t.Helper()
	var times []time.Time
	for _, at := range r.Arrivals() {
		if at.After(from) && at.Before(to) {
			times = append(times, at)
		}
	}
	allowed := int(limitShare*limit*limitWindow.Seconds() + limitSlack)
	most := 0
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	length := to.Sub(from).Seconds()
	used := float64(len(times)) / (limit * length)
	t.Logf("%s: %d requests in %.1f s, limit %v a second, at most %d in %v, %d allowed", r.ID, len(times), length, limit, most, limitWindow, allowed)
	if most > allowed {
		t.Errorf("%s got %d requests in %v, want %d at most", r.ID, most, limitWindow, allowed)
	}
	if used < minUse {
		t.Errorf("%s got %.2f of its limit, want %.2f at least", r.ID, used, minUse)
	}
}

// gateCluster runs n gates of one store in up to five zones, which know the first one.
func gateCluster(t *testing.T, store *simop.Store, n int) []*testGate {
	t.Helper()
	var gates []*testGate
	for i := range n {
		gates = append(gates, startWithSettings(t, store, clusterSettings(t, store, gates, i)))
	}
	for _, g := range gates {
		g.waitReady(t)
	}
	time.Sleep(500 * time.Millisecond) // They hear of each other.
	return gates
}

// clusterSettings returns the settings of the i-th gate of a cluster.
func clusterSettings(t *testing.T, store *simop.Store, gates []*testGate, i int) *setup.Gate {
	t.Helper()
	set := newSettings(t, store, "")
	set.Name, set.Zone = fmt.Sprintf("gate-%d-%d", i, set.Listen.Port()), fmt.Sprintf("z%d", i%5/2)
	if len(gates) > 0 {
		set.Seeds = gates[0].set.Share.String()
		set.Peer = netip.AddrPortFrom(set.Listen.Addr(), gates[0].set.Peer.Port())
	}
	return set
}

// newReplicas returns n replicas of a service, registered in the store.
func newReplicas(t *testing.T, store *simop.Store, n int, prefix, service, stage string) []*simop.Replica {
	t.Helper()
	var list []*simop.Replica
	for i := range n {
		r := newReplica(t, fmt.Sprintf("%s-%d", prefix, i), service, stage)
		r.SetBorn(time.Now().UnixMilli())
		r.SetStream(4, 10*time.Millisecond, 0)
		store.Put("servers/"+r.ID, r.Registration("ready"))
		list = append(list, r)
	}
	return list
}

// TestLimitOverAllGates guards against gates that send an upstream more than the limit that it has named, or that keep the
// limit each for itself.
func TestLimitOverAllGates(t *testing.T) {
	tests := []struct {
		name   string
		gates  int
		stages []string // Of the replicas; the first two name limits.
		paths  []string
		even   bool // The callers use all gates, otherwise one.
		turns  bool // The first replica turns all requests away.
		alone  bool // There are only the two replicas that name limits.
	}{
		{"may be repeated", 3, []string{"", "", "", ""}, []string{"/plain/x"}, true, false, false},
		{"may not be repeated", 3, []string{"", "", "", ""}, []string{"/once/x"}, true, false, false},
		{"one gate has all callers", 3, []string{"", "", "", ""}, []string{"/plain/x", "/once/x"}, false, false, false},
		{"streams", 3, []string{"decode", "decode", "decode", "prefill", "prefill"}, []string{"/model/x", "/fixed/x"}, true, false, false},
		{"streams at one gate", 3, []string{"decode", "decode", "decode", "prefill", "prefill"}, []string{"/model/x", "/fixed/x"}, false, false, false},
		{"prefill", 3, []string{"prefill", "decode", "prefill", "decode"}, []string{"/model/x", "/fixed/x"}, true, false, false},
		{"turned away", 3, []string{"", "", "", ""}, []string{"/plain/x", "/once/x"}, true, true, false},
		{"no other has room", 3, []string{"", ""}, []string{"/plain/x", "/once/x"}, true, false, true},
		{"no other has room, one gate has all callers", 3, []string{"", ""}, []string{"/plain/x", "/once/x"}, false, false, true},
		{"no other has room, nine gates", 9, []string{"", ""}, []string{"/plain/x", "/once/x"}, true, false, true},
		{"nine gates", 9, []string{"", "", "", ""}, []string{"/plain/x"}, true, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			var replicas []*simop.Replica
			for i, stage := range test.stages {
				service := "app"
				if stage != "" {
					service = "lm"
				}
				replicas = append(replicas, newReplicas(t, store, 1, fmt.Sprintf("r%d", i), service, stage)...)
			}
			if test.turns {
				replicas[0].SetHandler(respond(http.StatusServiceUnavailable, "", "X-Not-Executed", "1"))
			}
			gates := gateCluster(t, store, test.gates)
			limits := []float64{5, 7.3}
			for i, limit := range limits {
				replicas[i].SetLimit(strconv.FormatFloat(limit, 'f', -1, 64))
			}
			named := time.Now()
			load := &limitLoad{}
			load.run(t, 60, 9*time.Second, test.paths, func(i int) *testGate {
				if !test.even {
					return gates[0]
				}
				return gates[i%len(gates)]
			})
			end := time.Now()
			minUse := minTrickle
			switch {
			case test.alone && test.even:
				minUse = 0.75
			case test.alone:
				minUse = 0.5
			case test.stages[0] == "decode":
				minUse = 0 // The leader gives one of the two another role, which no agent carries out.
			}
			for i, limit := range limits {
				checkLimit(t, replicas[i], limit, named.Add(toldTime), end, minUse)
			}
			if test.alone {
				return
			}
			if served := load.share(http.StatusOK); served < 0.95 {
				t.Errorf("%.2f of the requests were served, want 0.95 at least: other replicas have room", served)
			}
		})
	}
}

// TestLimitBelowOneIsKept guards against entries that each send one request although an upstream takes less than one a second.
func TestLimitBelowOneIsKept(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	replicas := newReplicas(t, store, 2, "a", "app", "") // No other has room.
	gates := gateCluster(t, store, 9)
	replicas[0].SetLimit("0.7")
	replicas[1].SetLimit("0")
	named := time.Now()
	load := &limitLoad{}
	load.run(t, 60, 9*time.Second, []string{"/plain/x", "/once/x"}, func(i int) *testGate { return gates[i%len(gates)] })
	checkLimit(t, replicas[0], 0.7, named.Add(toldTime), time.Now(), 0.5)
	checkLimit(t, replicas[1], 0, named.Add(toldTime), time.Now(), 0)
}

// TestLimitOverGateRestart guards against a limit that is kept twice or forgotten while gates start again and join.
func TestLimitOverGateRestart(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	replicas := newReplicas(t, store, 1, "a", "app", "") // No other has room.
	gates := gateCluster(t, store, 3)
	replicas[0].SetLimit("5")
	named := time.Now()
	stopped := make(chan struct{})
	var mu sync.Mutex
	live := append([]*testGate(nil), gates...)
	go func() {
		defer close(stopped)
		time.Sleep(3 * time.Second)
		for i, g := range gates[1:] {
			mu.Lock()
			live[1+i] = gates[0]
			mu.Unlock()
			g.stop()
			err := <-g.done
			g.done <- err // For the cleanup.
			// The listeners of a gate end with its process, which goes on here.
			set := newSettings(t, store, gates[0].set.Share.String())
			set.Name, set.Zone, set.Peer = g.set.Name, g.set.Zone, g.set.Peer
			again := startWithSettings(t, store, set)
			again.waitReady(t)
			joined := startWithSettings(t, store, clusterSettings(t, store, gates, 3+i))
			joined.waitReady(t)
			mu.Lock()
			live[1+i] = again
			live = append(live, joined)
			mu.Unlock()
		}
	}()
	load := &limitLoad{}
	load.run(t, 60, 16*time.Second, []string{"/plain/x", "/once/x"}, func(i int) *testGate {
		mu.Lock()
		defer mu.Unlock()
		return live[i%len(live)]
	})
	<-stopped
	checkLimit(t, replicas[0], 5, named.Add(toldTime), time.Now(), 0.5)
}

// TestLimitWithoutGossip guards against gates that each use the whole limit because they hear nothing of each other.
func TestLimitWithoutGossip(t *testing.T) {
	t.Parallel()
	var gates []*testGate
	replicas := newReplicas(t, newStore(t), 1, "a", "app", "") // No other has room.
	dead := freeAddrs(t, 3)
	for i := range 3 {
		// Each has a store of its own, which lists the others at addresses where nobody receives.
		store := newStore(t)
		store.Put("op/config", config(1, 3000))
		for n := range 3 {
			if n != i {
				store.Put(fmt.Sprintf("entries/gate-%d", n), fmt.Appendf(nil, `{"peer":%q,"zone":"z%d"}`, dead[n], n/2))
			}
		}
		set := newSettings(t, store, "")
		set.Name, set.Zone = fmt.Sprintf("gate-%d", i), fmt.Sprintf("z%d", i/2)
		gates = append(gates, startWithSettings(t, store, set, replicas...))
	}
	for _, g := range gates {
		g.waitReady(t)
	}
	replicas[0].SetLimit("6")
	named := time.Now()
	load := &limitLoad{}
	load.run(t, 60, 12*time.Second, []string{"/plain/x", "/once/x"}, func(i int) *testGate { return gates[i%len(gates)] })
	checkLimit(t, replicas[0], 6, named.Add(toldTime), time.Now(), 0.5)
}

// TestLimitWithoutStore guards against a limit that needs the store.
func TestLimitWithoutStore(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	replicas := newReplicas(t, store, 1, "a", "app", "") // No other has room.
	gates := gateCluster(t, store, 3)
	store.SetMode(simop.Hanging)
	replicas[0].SetLimit("5")
	named := time.Now()
	load := &limitLoad{}
	load.run(t, 60, 8*time.Second, []string{"/plain/x", "/once/x"}, func(i int) *testGate { return gates[i%len(gates)] })
	checkLimit(t, replicas[0], 5, named.Add(toldTime), time.Now(), 0.5)
}

// TestLimitFalls guards against gates that go on with the limit that an upstream named before.
func TestLimitFalls(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	replicas := newReplicas(t, store, 1, "a", "app", "") // No other has room.
	gates := gateCluster(t, store, 3)
	replicas[0].SetLimit("12")
	load := &limitLoad{}
	for _, limit := range []string{"12", "3", "9"} {
		replicas[0].SetLimit(limit)
		named := time.Now()
		load.run(t, 60, 7*time.Second, []string{"/plain/x", "/once/x"}, func(i int) *testGate { return gates[i%len(gates)] })
		rate, err := strconv.ParseFloat(limit, 64)
		if err != nil {
			t.Fatal(err)
		}
		checkLimit(t, replicas[0], rate, named.Add(toldTime), time.Now(), 0.5)
	}
}

// TestAllAtTheirLimit guards against limits that are not used under pressure, requests that run although they were refused, and
// callers that are told to come back all at once.
func TestAllAtTheirLimit(t *testing.T) {
	for _, even := range []bool{true, false} {
		t.Run(fmt.Sprintf("even %v", even), func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			replicas := newReplicas(t, store, 3, "a", "app", "")
			gates := gateCluster(t, store, 3)
			const limit = 6
			for _, r := range replicas {
				r.SetLimit(strconv.Itoa(limit))
			}
			named := time.Now()
			load := &limitLoad{}
			load.run(t, 60, 10*time.Second, []string{"/plain/x", "/once/x"}, func(i int) *testGate {
				if even {
					return gates[i%len(gates)]
				}
				return gates[0]
			})
			end, minUse := time.Now(), 0.5
			if even {
				minUse = 0.75
			}
			for _, r := range replicas {
				checkLimit(t, r, limit, named.Add(toldTime), end, minUse)
			}
			refusals := checkRefusals(t, load, replicas)
			if len(refusals) < 100 {
				t.Fatalf("%d requests were refused, want 100 or more of 60 a second where 18 have room", len(refusals))
			}
		})
	}
}

// TestRoomOfOthersComesFirst guards against requests that go to an upstream with a limit although others have room, and that stay away
// from it when they have none.
func TestRoomOfOthersComesFirst(t *testing.T) {
	for _, busy := range []bool{false, true} {
		t.Run(fmt.Sprintf("others busy %v", busy), func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			replicas := newReplicas(t, store, 2, "a", "app", "")
			if busy {
				replicas[1].SetHandler(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(2 * time.Second) // Its 64 slots are taken at 60 requests a second.
					replicas[1].ServeDefault(w, r)
				})
			}
			gates := gateCluster(t, store, 2)
			const limit = 8
			replicas[0].SetLimit(strconv.Itoa(limit))
			named := time.Now()
			load := &limitLoad{}
			load.run(t, 60, 10*time.Second, []string{"/plain/x", "/once/x"}, func(i int) *testGate { return gates[i%len(gates)] })
			end := time.Now()
			minUse := minTrickle
			if busy {
				minUse = 0.5
			}
			checkLimit(t, replicas[0], limit, named.Add(3*toldTime), end, minUse)
			if n := len(replicas[0].Arrivals()); !busy && n > 20 {
				t.Errorf("got %d requests in 10 s, want 20 at most while the other replica has room", n)
			}
		})
	}
}

// TestAllEnginesAtTheirLimit is TestAllAtTheirLimit for engines: a prompt that is processed has a place where its output is
// generated, unless that is gone.
func TestAllEnginesAtTheirLimit(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	const limit = 6
	prefill := newReplicas(t, store, 3, "p", "lm", "prefill")
	decode := newReplicas(t, store, 3, "d", "lm", "decode")
	gates := gateCluster(t, store, 3)
	for _, r := range append(prefill, decode...) {
		r.SetLimit(strconv.Itoa(limit))
	}
	named := time.Now()
	load := &limitLoad{}
	load.run(t, 60, 10*time.Second, []string{"/model/x", "/fixed/x"}, func(i int) *testGate { return gates[i%len(gates)] })
	end := time.Now()
	runs := 0
	for _, r := range decode {
		checkLimit(t, r, limit, named.Add(toldTime), end, 0)
		runs += len(r.Arrivals())
	}
	if least := int(0.5 * limit * 2 * end.Sub(named).Seconds()); runs < least {
		t.Errorf("the engines that generate output got %d requests, want %d at least: half of what two of them take", runs, least)
	}
	prompts, served := 0, 0
	for _, r := range prefill {
		checkLimit(t, r, limit, named.Add(toldTime), end, 0)
		prompts += len(r.Arrivals())
	}
	for _, r := range load.results {
		if r.status == http.StatusOK {
			served++
		}
	}
	if 10*(prompts-served) > prompts {
		t.Errorf("%d prompts were processed for %d answers, want a tenth in vain at most", prompts, served)
	}
	checkRefusals(t, load, decode)
}

// maxTogether is the largest share of the callers refused within a second that may be told to come back in the same quarter of
// a second.
const maxTogether = 0.5

// checkRefusals checks that refusals come at once or after a wait that could have led to an answer, have not run and state times
// that spread. It returns them.
func checkRefusals(t *testing.T, load *limitLoad, replicas []*simop.Replica) []limitResult {
	t.Helper()
	var refusals []limitResult
	for _, r := range load.results {
		if r.status != http.StatusServiceUnavailable {
			continue
		}
		refusals = append(refusals, r)
		for _, replica := range replicas {
			if replica.Runs(r.id) > 0 {
				t.Errorf("%s has run at %s and was refused", r.id, replica.ID)
			}
		}
		if r.took > time.Second || r.retryAfter <= 0 {
			t.Errorf("refused after %v with Retry-After %v, want a second at most and a time", r.took, r.retryAfter)
		}
	}
	type slot struct{ second, quarter int64 }
	bySecond, together := map[int64]int{}, map[slot]int{}
	for _, r := range refusals {
		second := r.at.Unix()
		back := r.at.Add(r.took + time.Duration(r.retryAfter*float64(time.Second)))
		bySecond[second]++
		together[slot{second, back.UnixMilli() / 250}]++
	}
	for s, n := range together {
		if total := bySecond[s.second]; total >= 10 && float64(n) > maxTogether*float64(total) {
			t.Errorf("%d of %d callers refused in one second come back within the same quarter of a second", n, total)
		}
	}
	return refusals
}

// TestLimitEnds guards against gates that hold back from an upstream which names a limit no longer, those included that sent it
// nothing.
func TestLimitEnds(t *testing.T) {
	t.Parallel()
	store := newStore(t)
	store.Put("op/config", config(1, 3000))
	replicas := newReplicas(t, store, 2, "a", "app", "")
	gates := gateCluster(t, store, 3)
	for _, limit := range []string{"2", "0"} {
		replicas[0].SetLimit(limit)
		load := &limitLoad{}
		first := func(int) *testGate { return gates[0] }
		load.run(t, 40, 5*time.Second, []string{"/plain/x"}, first)
		replicas[0].SetLimit("")
		// The second gate has sent nothing so far.
		load.run(t, 40, 5*time.Second, []string{"/plain/x"}, first)
		from := time.Now()
		load.run(t, 40, 2*time.Second, []string{"/plain/x"}, func(int) *testGate { return gates[1] })
		n := 0
		for _, at := range replicas[0].Arrivals() {
			if at.After(from) {
				n++
			}
		}
		if n < 20 {
			t.Errorf("after limit %s: the replica got %d of some 80 requests, want a quarter at least", limit, n)
		}
	}
}

// TestValuesThatAreNoLimit guards against values that can't be a limit changing what an upstream gets.
func TestValuesThatAreNoLimit(t *testing.T) {
	t.Parallel()
	for _, value := range []string{"many", "NaN", "-3", "Inf", "-Inf", " ", "5,7", "5 7", "0x10"} {
		t.Run(value, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			replicas := newReplicas(t, store, 2, "a", "app", "")
			var log logRecorder
			g := startWithLog(t, store, newSettings(t, store, ""), &log)
			g.waitReady(t)
			replicas[0].SetLimit(value)
			load := &limitLoad{}
			load.run(t, 40, 3*time.Second, []string{"/plain/x"}, func(int) *testGate { return g })
			if n, total := len(replicas[0].Arrivals()), len(load.results); n < total/4 {
				t.Errorf("the replica got %d of %d requests, want a quarter at least", n, total)
			}
			if n := log.countLines("limit not understood"); n != 1 {
				t.Errorf("%d log lines, want one", n)
			}
		})
	}
}
