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

// benchDir is where make bench wants its files; the tables are not made without it.
func benchDir(t *testing.T) string {
	t.Helper()
	dir := os.Getenv("BENCH")
	if dir == "" {
		t.Skip("run by make bench")
	}
	return dir
}

// usage is what the system counts of a process.
type usage struct {
	cpu time.Duration
	rss int // bytes
}

const clockTick = 10 * time.Millisecond

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

// TestTablePath compares callers through entry and agent with callers straight at the same engine, in one run.
func TestTablePath(t *testing.T) {
	dir := benchDir(t)
	c := newCluster(t, 1, 1, 0)
	c.commands["engine-clerks-1"] = append(c.commands["engine-clerks-1"], "--step", "1ms", "--slots", "64")
	c.startAll()
	tab := table.New("path", "one-token chat requests, direct and through entry and agent in turns, median of 5 rounds",
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
			d50, d99, t50, t99 := at(direct, 0.5), at(direct, 0.99), at(through, 0.5), at(through, 0.99)
			rows = append(rows, []float64{d50, d99, t50, t99, t50 - d50, t99 - d99, entryCPU, agentCPU})
		}
		cells := []string{strconv.Itoa(callers)}
		for i := range rows[0] {
			var column []float64
			for _, r := range rows {
				column = append(column, r[i])
			}
			slices.Sort(column)
			cells = append(cells, table.Float(column[len(column)/2], 0))
		}
		tab.Add(cells...)
	}
	tab.Print(os.Stdout)
	if err := tab.Save(dir, "", ""); err != nil {
		t.Fatal(err)
	}
}

func at(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// latencies sends requests from several callers at once and returns their times, sorted.
func (c *cluster) measureLatencies(name string, callers int) []time.Duration {
	c.t.Helper()
	const each = 400
	body := []byte(`{"model":"lm-clerks","messages":[{"role":"user","content":"x"}],"max_tokens":1}`)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var mu sync.Mutex
	var all []time.Duration
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range each {
				start := time.Now()
				r, _ := http.NewRequest(http.MethodPost, "http://"+c.addresses[name].String()+"/v1/chat/completions", bytes.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+fleet.CounterToken)
				answer, err := client.Do(r)
				if err != nil {
					c.t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
				if answer.StatusCode != http.StatusOK {
					c.t.Errorf("status %d", answer.StatusCode)
				}
				mu.Lock()
				all = append(all, time.Since(start))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(all)
	return all
}

// TestTableStreams measures an entry's memory against its open streams.
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
	tab := table.New("streams", "memory and processor against open streams of 10 tokens/s", "streams", "entry MB", "agent MB", "entry CPU %", "agent CPU %")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	open := 0
	for _, want := range []int{0, 200, 400, 800, 1600} {
		for ; open < want; open++ {
			go c.holdStream(ctx)
		}
		time.Sleep(3 * time.Second)
		entry, agent := c.processUsage("entry-1"), c.processUsage("agent-clerks-1")
		time.Sleep(5 * time.Second)
		entry2, agent2 := c.processUsage("entry-1"), c.processUsage("agent-clerks-1")
		share := func(a, b usage) string { return table.Float(float64(b.cpu-a.cpu)/float64(5*time.Second)*100, 1) }
		mb := func(u usage) string { return table.Float(float64(u.rss)/(1<<20), 1) }
		tab.Add(strconv.Itoa(want), mb(entry2), mb(agent2), share(entry, entry2), share(agent, agent2))
		tab.Point("entry", float64(want), float64(entry2.rss)/(1<<20))
	}
	tab.Print(os.Stdout)
	if err := tab.Save(dir, "streams", "MB"); err != nil {
		t.Fatal(err)
	}
}

// hold keeps one long stream open.
func (c *cluster) holdStream(ctx context.Context) {
	body := []byte(`{"model":"lm-clerks","messages":[{"role":"user","content":"x"}],"max_tokens":2000,"stream":true}`)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses["entry-1"].String()+"/v1/chat/completions", bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+fleet.ResidentToken)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, answer.Body)
}

// quietAgents are many agents in one process, which answer heartbeats only.
type idleAgents struct {
	engine *nbhttp.Engine
	links  atomic.Int64
	bytes  atomic.Int64
}

func (q *idleAgents) Beat() *frame.Beat {
	return &frame.Beat{Name: "quiet", Period: link.HeartbeatInterval(1), Slots: 8, LowPrioritySlots: 8, Role: "mixed", Version: "v1", Epoch: 1, Plan: 1}
}
func (q *idleAgents) Frame(_ *link.Conn, f frame.Frame) {
	if data, err := frame.Encode(f); err == nil {
		q.bytes.Add(int64(len(data)))
	}
}
func (q *idleAgents) Closed(*link.Conn, error) { q.links.Add(-1) }

// serve listens on n ports from base on.
func (q *idleAgents) serve(t *testing.T, base uint16, n int) {
	t.Helper()
	var addrs []string
	for i := range n {
		addrs = append(addrs, fmt.Sprintf("127.0.0.1:%d", int(base)+i))
	}
	q.engine = nbhttp.NewEngine(nbhttp.Config{Network: "tcp", Addrs: addrs, ServerExecutor: func(f func()) { go f() },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := link.Accept(q.engine, w, r, "demo-link-secret-0123456789", q); err == nil {
				q.links.Add(1)
			}
		})})
	if err := q.engine.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = q.engine.Shutdown(ctx)
	})
}

// TestTableEntry measures an idle entry against its links and against the organisations in its configuration.
func TestTableEntry(t *testing.T) {
	dir := benchDir(t)
	tab := table.New("entry", "an idle entry against links and organisations", "links", "organisations", "config KB", "MB", "CPU %", "bytes/s sent", "store calls/s")
	for _, p := range []struct{ links, callers int }{{0, 0}, {50, 0}, {100, 0}, {200, 0}, {400, 0}, {0, 500}, {0, 1500}, {0, 3000}} {
		t.Run(fmt.Sprint(p), func(t *testing.T) {
			c := newCluster(t, 1, 0, 0)
			q := &idleAgents{}
			if p.links > 0 {
				base := allocatePorts(t, p.links)
				q.serve(t, base, p.links)
				c.editConfig(func(d *conf.Document) {
					for i := range p.links {
						addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), base+uint16(i))
						d.Upstreams = append(d.Upstreams, conf.Upstream{Name: fmt.Sprint("u", i), Target: "redirect-app", Zone: "bole", Address: addr, Slots: 8})
					}
				})
			}
			c.editConfig(func(d *conf.Document) {
				for i := range p.callers {
					d.Callers = append(d.Callers, conf.Caller{Name: fmt.Sprint("org", i), TokenHash: conf.HashToken(fmt.Sprint(i)), Class: "counter", Targets: []string{"lm-clerks"}})
				}
			})
			c.startAll()
			c.eventually(startTimeout, "links", func() bool { return int(q.links.Load()) == p.links })
			time.Sleep(3 * time.Second)
			var before, after struct{ Reads, Writes int64 }
			c.getJSON("kv", "/counts", &before)
			start, sent := c.processUsage("entry-1"), q.bytes.Load()
			time.Sleep(10 * time.Second)
			ended := c.processUsage("entry-1")
			c.getJSON("kv", "/counts", &after)
			calls := float64(after.Reads+after.Writes-before.Reads-before.Writes) / 10
			tab.Add(strconv.Itoa(p.links), strconv.Itoa(p.callers), strconv.Itoa(len(c.config)>>10), table.Float(float64(ended.rss)/(1<<20), 1),
				table.Float(float64(ended.cpu-start.cpu)/float64(10*time.Second)*100, 2), table.Float(float64(q.bytes.Load()-sent)/10, 0), table.Float(calls, 1))
		})
	}
	tab.Print(os.Stdout)
	if err := tab.Save(dir, "", ""); err != nil {
		t.Fatal(err)
	}
}

// quietEntry is one of many entries linked to an agent.
type idleEntry struct {
	bytes *atomic.Int64
	every time.Duration
}

func (q idleEntry) Beat() *frame.Beat        { return &frame.Beat{Name: "quiet", Period: q.every, Config: 1} }
func (q idleEntry) Closed(*link.Conn, error) {}
func (q idleEntry) Frame(_ *link.Conn, f frame.Frame) {
	if data, err := frame.Encode(f); err == nil {
		q.bytes.Add(int64(len(data)))
	}
}

// TestTableAgent measures an idle agent against the entries linked to it.
func TestTableAgent(t *testing.T) {
	dir := benchDir(t)
	tab := table.New("agent", "an idle agent against links", "links", "MB", "CPU %", "bytes/s sent")
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
			var sent atomic.Int64
			for range links {
				h := idleEntry{bytes: &sent, every: link.HeartbeatInterval(16)}
				if _, err := link.Dial(context.Background(), engine, c.addresses["agent-clerks-1"], "demo-link-secret-0123456789", h); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(3 * time.Second)
			start, before := c.processUsage("agent-clerks-1"), sent.Load()
			time.Sleep(10 * time.Second)
			ended := c.processUsage("agent-clerks-1")
			tab.Add(strconv.Itoa(links), table.Float(float64(ended.rss)/(1<<20), 1),
				table.Float(float64(ended.cpu-start.cpu)/float64(10*time.Second)*100, 2), table.Float(float64(sent.Load()-before)/10, 0))
		})
	}
	tab.Print(os.Stdout)
	if err := tab.Save(dir, "", ""); err != nil {
		t.Fatal(err)
	}
}

// TestTableStore counts calls to the key-value service against entries and agents, idle and as it returns from an outage.
func TestTableStore(t *testing.T) {
	dir := benchDir(t)
	tab := table.New("store", "calls to the key-value service", "entries", "agents", "reads/s", "writes/s", "most calls/s after an outage")
	for _, p := range []struct{ entries, agents int }{{1, 4}, {2, 4}, {4, 4}, {8, 4}, {2, 16}, {2, 32}} {
		t.Run(fmt.Sprint(p), func(t *testing.T) {
			c := startCluster(t, p.entries, p.agents, 0)
			time.Sleep(time.Duration(p.agents+5) * time.Second)
			counts := func() (reads, writes int64) {
				var n struct{ Reads, Writes int64 }
				c.getJSON("kv", "/counts", &n)
				return n.Reads, n.Writes
			}
			r1, w1 := counts()
			time.Sleep(15 * time.Second)
			r2, w2 := counts()
			c.setFault("kv", simflt.Fault{Name: simflt.Freeze, On: true})
			time.Sleep(10 * time.Second)
			c.setFault("kv", simflt.Fault{Name: simflt.Freeze, On: false})
			most := int64(0)
			r3, w3 := counts()
			for range 50 {
				time.Sleep(200 * time.Millisecond)
				r4, w4 := counts()
				most = max(most, 5*(r4+w4-r3-w3))
				r3, w3 = r4, w4
			}
			tab.Add(strconv.Itoa(p.entries), strconv.Itoa(p.agents), table.Float(float64(r2-r1)/15, 2), table.Float(float64(w2-w1)/15, 2), strconv.FormatInt(most, 10))
		})
	}
	tab.Print(os.Stdout)
	if err := tab.Save(dir, "", ""); err != nil {
		t.Fatal(err)
	}
}
