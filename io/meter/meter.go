package meter

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies from 0.1 ms to two minutes are kept with two significant digits.
	leastLatency = 100 * time.Microsecond
	mostLatency  = 2 * time.Minute
	digits       = 2
	// mostNames bounds the kinds that a meter tells apart, as routes come and go.
	mostNames = 200
)

// Meter holds the counters, gauges and latency histograms of a process.
type Meter struct {
	mu        sync.Mutex
	counts    map[string]int64
	latencies map[string]*hdrhistogram.Histogram
	gauges    map[string]func() float64
}

// New returns an empty Meter.
func New() *Meter {
	return &Meter{
		counts: make(map[string]int64), latencies: make(map[string]*hdrhistogram.Histogram),
		gauges: make(map[string]func() float64),
	}
}

// Count adds one to a counter.
func (m *Meter) Count(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.counts[name]; ok || len(m.counts) < mostNames {
		m.counts[name]++
	}
}

// Latency records how long something of a kind took.
func (m *Meter) Latency(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latencies[name]
	if h == nil {
		if len(m.latencies) >= mostNames {
			return
		}
		h = hdrhistogram.New(leastLatency.Microseconds(), mostLatency.Microseconds(), digits)
		m.latencies[name] = h
	}
	// The bounds hold, so that recording can't fail.
	_ = h.RecordValue(min(max(d, leastLatency), mostLatency).Microseconds())
}

// Gauge has f tell a value whenever the metrics are asked for.
func (m *Meter) Gauge(name string, f func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = f
}

// latency is a histogram as it is served, in milliseconds.
type latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// snapshot is what the metrics address serves beside the variables of expvar.
type snapshot struct {
	Counts    map[string]int64   `json:"counts"`
	Latencies map[string]latency `json:"latencies"`
	Gauges    map[string]float64 `json:"gauges"`
}

func (m *Meter) snapshot() snapshot {
	m.mu.Lock()
	s := snapshot{Counts: make(map[string]int64), Latencies: make(map[string]latency), Gauges: make(map[string]float64)}
	for name, n := range m.counts {
		s.Counts[name] = n
	}
	const ms = 1000.0
	for name, h := range m.latencies {
		s.Latencies[name] = latency{
			Count: h.TotalCount(), P50: float64(h.ValueAtQuantile(50)) / ms, P95: float64(h.ValueAtQuantile(95)) / ms,
			P99: float64(h.ValueAtQuantile(99)) / ms, Max: float64(h.Max()) / ms,
		}
	}
	gauges := make(map[string]func() float64, len(m.gauges))
	for name, f := range m.gauges {
		gauges[name] = f
	}
	m.mu.Unlock()
	for name, f := range gauges {
		s.Gauges[name] = f()
	}
	return s
}

// Handler serves GET /debug/vars, one JSON object with the variables of expvar and, under "meter", this Meter.
func (m *Meter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		all := map[string]json.RawMessage{}
		expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
		own, err := json.Marshal(m.snapshot())
		if err == nil {
			all["meter"] = own
			own, err = json.MarshalIndent(all, "", " ")
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(own) // Who asked has gone.
	})
	return mux
}
