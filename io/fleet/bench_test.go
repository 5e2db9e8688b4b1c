package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"pimentoseam/core/conf"
	"pimentoseam/core/frame"
	"pimentoseam/io/fleet"
	"pimentoseam/io/link"
	"pimentoseam/io/simflt"
	"pimentoseam/io/table"
)

// benchDir returns the directory in which make bench collects the tables, and skips the test if it is not set.
func benchDir(t *testing.T) string {
	t.Helper()
	dir := os.Getenv("BENCH")
	if dir == "" {
		t.Skip("BENCH is not set; run make bench")
	}
	return dir
}

// usage is the resource usage of a process.
type usage struct {
	cpu time.Duration // User and system time since the start of the process.
	rss int           // Resident set size in bytes.
}

// clockTick is the unit of the CPU times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// processUsage reads the resource usage of a process from /proc/PID/stat.
func (c *cluster) processUsage(name string) usage {
	c.t.Helper()
	dir := fmt.Sprintf("/proc/%d/", c.running[name].Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		c.t.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')'):]))
	user, _ := strconv.Atoi(fields[12])
	system, _ := strconv.Atoi(fields[13])
	resident, _ := strconv.Atoi(fields[22])
	return usage{cpu: time.Duration(user+system) * clockTick, rss: resident * os.Getpagesize()}
}

// TestTablePath measures the latency that entry and agent add to requests, against requests sent directly to the
// same engine. Direct and forwarded rounds alternate.
func TestTablePath(t *testing.T) {
	dir := benchDir(t)
	c := newCluster(t, 1, 1, 0)
	c.commands["engine-clerks-1"] = append(c.commands["engine-clerks-1"], "--step", "1ms", "--slots", "64")
	c.startAll()
	results := table.New("path", "one-token chat requests, direct and through entry and agent in turns, median of 5 rounds",
		"callers", "direct p50 us", "direct p99 us", "through p50 us", "through p99 us", "added p50 us", "added p99 us", "entry CPU us", "agent CPU us")
	for _, callers := range []int{1, 4, 8} {
		var rows [][]float64
		for range 5 {
			direct := c.measureLatencies("engine-clerks-1", callers)
			entry, agent := c.processUsage("entry-1"), c.processUsage("agent-clerks-1")
			through := c.measureLatencies("entry-1", callers)
			n := float64(len(through))
			entryCPU := float64((c.processUsage("entry-1").cpu - entry.cpu).Microseconds()) / n
			agentCPU := float64((c.processUsage("agent-clerks-1").cpu - agent.cpu).Microseconds()) / n
			directP50, directP99, throughP50, throughP99 := quantileMicros(direct, 0.5), quantileMicros(direct, 0.99), quantileMicros(through, 0.5), quantileMicros(through, 0.99)
			rows = append(rows, []float64{directP50, directP99, throughP50, throughP99, throughP50 - directP50, throughP99 - directP99, entryCPU, agentCPU})
		}
		cells := []string{strconv.Itoa(callers)}
		for i := range rows[0] {
			var column []float64
			for _, row := range rows {
				column = append(column, row[i])
			}
			slices.Sort(column)
			cells = append(cells, table.Float(column[len(column)/2], 0))
		}
		results.Add(cells...)
	}
	results.Print(os.Stdout)
	if err := results.Save(dir, "", ""); err != nil {
		t.Fatal(err)
	}
}

// quantileMicros returns the quantile q of sorted in microseconds.
func quantileMicros(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// measureLatencies sends 400 requests from each of several concurrent callers and returns the sorted latencies.
func (c *cluster) measureLatencies(name string, callers int) []time.Duration {
	c.t.Helper()
	const requestsPerCaller = 400
	body := []byte(`{"model":"lm-clerks","messages":[{"role":"user","content":"x"}],"max_tokens":1}`)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range requestsPerCaller {
				start := time.Now()
				req, _ := http.NewRequest(http.MethodPost, "http://"+c.addresses[name].String()+"/v1/chat/completions", bytes.NewReader(body))
				req.Header.Set("Authorization", "Bearer "+fleet.CounterToken)
				resp, err := client.Do(req)
				if err != nil {
					c.t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					c.t.Errorf("got status %d, want 200", resp.StatusCode)
				}
				mu.Lock()
				latencies = append(latencies, time.Since(start))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies
}

// TestTableStreams measures memory and CPU usage of an entry and an agent by the number of open streams.
func TestTableStreams(t *testing.T) {
	dir := benchDir(t)
	c := newCluster(t, 1, 1, 0)
	c.editConfig(func(d *conf.Document) { d.Upstreams[0].Slots = 4096 })
	c.commands["engine-clerks-1"] = append(c.commands["engine-clerks-1"], "--step", "100ms", "--slots", "4096")
	file := filepath.Join(c.dir, "agent-clerks-1.json")
	data, _ := os.ReadFile(file)
	if err := os.WriteFile(file, bytes.Replace(data, []byte(`"slots": 8`), []byte(`"slots": 4000`), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	c.startAll()
	results := table.New("streams", "memory and processor against open streams of 10 tokens/s", "streams", "entry MB", "agent MB", "entry CPU %", "agent CPU %")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	opened := 0
	for _, streams := range []int{0, 200, 400, 800, 1600} {
		for ; opened < streams; opened++ {
			go c.holdStream(ctx)
		}
		time.Sleep(3 * time.Second)
		entryBefore, agentBefore := c.processUsage("entry-1"), c.processUsage("agent-clerks-1")
		time.Sleep(5 * time.Second)
		entryAfter, agentAfter := c.processUsage("entry-1"), c.processUsage("agent-clerks-1")
		percent := func(a, b usage) string { return table.Float(float64(b.cpu-a.cpu)/float64(5*time.Second)*100, 1) }
		megabytes := func(u usage) string { return table.Float(float64(u.rss)/(1<<20), 1) }
		results.Add(strconv.Itoa(streams), megabytes(entryAfter), megabytes(agentAfter), percent(entryBefore, entryAfter), percent(agentBefore, agentAfter))
		results.Point("entry", float64(streams), float64(entryAfter.rss)/(1<<20))
	}
	results.Print(os.Stdout)
	if err := results.Save(dir, "streams", "MB"); err != nil {
		t.Fatal(err)
	}
}

// holdStream opens a stream of 2000 tokens and reads it until it ends or ctx is cancelled.
func (c *cluster) holdStream(ctx context.Context) {
	body := []byte(`{"model":"lm-clerks","messages":[{"role":"user","content":"x"}],"max_tokens":2000,"stream":true}`)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses["entry-1"].String()+"/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+fleet.ResidentToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// idleAgents simulates many agents in one process, which send heartbeats and ignore all other frames.
type idleAgents struct {
	engine *nbhttp.Engine
	links  atomic.Int64 // Open links.
	bytes  atomic.Int64 // Encoded size of all received frames.
}

// Beat returns the heartbeat of each agent.
func (a *idleAgents) Beat() *frame.Beat {
	return &frame.Beat{Name: "quiet", Period: link.HeartbeatInterval(1), Slots: 8, LowPrioritySlots: 8, Role: "mixed", Version: "v1", Epoch: 1, Plan: 1}
}

// Frame counts the size of a received frame.
func (a *idleAgents) Frame(_ *link.Conn, f frame.Frame) {
	if data, err := frame.Encode(f); err == nil {
		a.bytes.Add(int64(len(data)))
	}
}

// Closed counts a closed link.
func (a *idleAgents) Closed(*link.Conn, error) { a.links.Add(-1) }

// serve accepts links on n consecutive loopback ports from base on.
func (a *idleAgents) serve(t *testing.T, base uint16, n int) {
	t.Helper()
	var addrs []string
	for i := range n {
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", int(base)+i))
	}
	a.engine = nbhttp.NewEngine(nbhttp.Config{Network: "tcp", Addrs: addrs, ServerExecutor: func(f func()) { go f() },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := link.Accept(a.engine, w, r, "demo-link-secret-0123456789", a); err == nil {
				a.links.Add(1)
			}
		})})
	if err := a.engine.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = a.engine.Shutdown(ctx)
	})
}

// TestTableEntry measures the resource usage of an idle entry by the number of its links and by the number of
// organisations in its configuration.
func TestTableEntry(t *testing.T) {
	dir := benchDir(t)
	results := table.New("entry", "an idle entry against links and organisations", "links", "organisations", "config KB", "MB", "CPU %", "bytes/s sent", "store calls/s")
	for _, size := range []struct{ links, callers int }{{0, 0}, {50, 0}, {100, 0}, {200, 0}, {400, 0}, {0, 500}, {0, 1500}, {0, 3000}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(t, 1, 0, 0)
			agents := &idleAgents{}
			if size.links > 0 {
				base := allocatePorts(t, size.links)
				agents.serve(t, base, size.links)
				c.editConfig(func(d *conf.Document) {
					for i := range size.links {
						addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), base+uint16(i))
						d.Upstreams = append(d.Upstreams, conf.Upstream{Name: fmt.Sprint("u", i), Target: "redirect-app", Zone: "bole", Address: addr, Slots: 8})
					}
				})
			}
			c.editConfig(func(d *conf.Document) {
				for i := range size.callers {
					d.Callers = append(d.Callers, conf.Caller{Name: fmt.Sprint("org", i), TokenHash: conf.HashToken(fmt.Sprint(i)), Class: "counter", Targets: []string{"lm-clerks"}})
				}
			})
			c.startAll()
			c.eventually(startTimeout, "links", func() bool { return int(agents.links.Load()) == size.links })
			time.Sleep(3 * time.Second)
			var callsBefore, callsAfter struct{ Reads, Writes int64 }
			c.getJSON("kv", "/counts", &callsBefore)
			usageBefore, bytesBefore := c.processUsage("entry-1"), agents.bytes.Load()
			time.Sleep(10 * time.Second)
			usageAfter := c.processUsage("entry-1")
			c.getJSON("kv", "/counts", &callsAfter)
			calls := float64(callsAfter.Reads+callsAfter.Writes-callsBefore.Reads-callsBefore.Writes) / 10
			results.Add(strconv.Itoa(size.links), strconv.Itoa(size.callers), strconv.Itoa(len(c.config)>>10), table.Float(float64(usageAfter.rss)/(1<<20), 1),
				table.Float(float64(usageAfter.cpu-usageBefore.cpu)/float64(10*time.Second)*100, 2), table.Float(float64(agents.bytes.Load()-bytesBefore)/10, 0), table.Float(calls, 1))
		})
	}
	results.Print(os.Stdout)
	if err := results.Save(dir, "", ""); err != nil {
		t.Fatal(err)
	}
}

// idleEntry simulates one of many entries that are linked to an agent and send heartbeats only.
type idleEntry struct {
	bytes  *atomic.Int64 // Encoded size of all received frames.
	period time.Duration // Between two heartbeats.
}

// Beat returns the heartbeat of the entry.
func (e idleEntry) Beat() *frame.Beat { return &frame.Beat{Name: "quiet", Period: e.period, Config: 1} }

// Closed ignores the end of the link.
func (e idleEntry) Closed(*link.Conn, error) {}

// Frame counts the size of a received frame.
func (e idleEntry) Frame(_ *link.Conn, f frame.Frame) {
	if data, err := frame.Encode(f); err == nil {
		e.bytes.Add(int64(len(data)))
	}
}

// TestTableAgent measures the resource usage of an idle agent by the number of entries that are linked to it.
func TestTableAgent(t *testing.T) {
	dir := benchDir(t)
	results := table.New("agent", "an idle agent against links", "links", "MB", "CPU %", "bytes/s sent")
	for _, links := range []int{0, 50, 100, 200, 400} {
		t.Run(strconv.Itoa(links), func(t *testing.T) {
			c := newCluster(t, 0, 1, 0)
			for _, name := range c.startOrder {
				c.start(name)
			}
			engine := nbhttp.NewEngine(nbhttp.Config{})
			if err := engine.Start(); err != nil {
				t.Fatal(err)
			}
			defer engine.Stop()
			time.Sleep(time.Second)
			var received atomic.Int64
			for range links {
				entry := idleEntry{bytes: &received, period: link.HeartbeatInterval(16)}
				if _, err := link.Dial(context.Background(), engine, c.addresses["agent-clerks-1"], "demo-link-secret-0123456789", entry); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(3 * time.Second)
			usageBefore, bytesBefore := c.processUsage("agent-clerks-1"), received.Load()
			time.Sleep(10 * time.Second)
			usageAfter := c.processUsage("agent-clerks-1")
			results.Add(strconv.Itoa(links), table.Float(float64(usageAfter.rss)/(1<<20), 1),
				table.Float(float64(usageAfter.cpu-usageBefore.cpu)/float64(10*time.Second)*100, 2), table.Float(float64(received.Load()-bytesBefore)/10, 0))
		})
	}
	results.Print(os.Stdout)
	if err := results.Save(dir, "", ""); err != nil {
		t.Fatal(err)
	}
}

// TestTableStore counts the calls to the key-value service by the number of entries and agents, while they are idle
// and for 10 s after an outage.
func TestTableStore(t *testing.T) {
	dir := benchDir(t)
	results := table.New("store", "calls to the key-value service", "entries", "agents", "reads/s", "writes/s", "most calls/s after an outage")
	for _, size := range []struct{ entries, agents int }{{1, 4}, {2, 4}, {4, 4}, {8, 4}, {2, 16}, {2, 32}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := startCluster(t, size.entries, size.agents, 0)
			time.Sleep(time.Duration(size.agents+5) * time.Second)
			countCalls := func() (reads, writes int64) {
				var counts struct{ Reads, Writes int64 }
				c.getJSON("kv", "/counts", &counts)
				return counts.Reads, counts.Writes
			}
			readsBefore, writesBefore := countCalls()
			time.Sleep(15 * time.Second)
			readsAfter, writesAfter := countCalls()
			c.setFault("kv", simflt.Fault{Name: simflt.Freeze, On: true})
			time.Sleep(10 * time.Second)
			c.setFault("kv", simflt.Fault{Name: simflt.Freeze, On: false})
			maxRate := int64(0)
			lastReads, lastWrites := countCalls()
			for range 50 {
				time.Sleep(200 * time.Millisecond)
				reads, writes := countCalls()
				maxRate = max(maxRate, 5*(reads+writes-lastReads-lastWrites))
				lastReads, lastWrites = reads, writes
			}
			results.Add(strconv.Itoa(size.entries), strconv.Itoa(size.agents), table.Float(float64(readsAfter-readsBefore)/15, 2), table.Float(float64(writesAfter-writesBefore)/15, 2), strconv.FormatInt(maxRate, 10))
		})
	}
	results.Print(os.Stdout)
	if err := results.Save(dir, "", ""); err != nil {
		t.Fatal(err)
	}
}
