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
	// Histograms cover latencies from 0.1 ms to two minutes with two significant digits.
	minLatency        = 100 * time.Microsecond
	maxLatency        = 2 * time.Minute
	significantDigits = 2
	// maxNames limits the counters and, separately, the histograms of a Meter. Names are never removed, although
	// the routes that they contain come and go.
	maxNames = 200
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

// Count adds one to the named counter. New names beyond maxNames are ignored.
func (m *Meter) Count(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.counts[name]; ok || len(m.counts) < maxNames {
		m.counts[name]++
	}
}

// Latency records a duration in the named histogram. New names beyond maxNames are ignored.
func (m *Meter) Latency(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latencies[name]
	if h == nil {
		if len(m.latencies) >= maxNames {
			return
		}
		h = hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)
		m.latencies[name] = h
	}
	// The value is within the histogram's range, so RecordValue can't fail.
	_ = h.RecordValue(min(max(d, minLatency), maxLatency).Microseconds())
}

// Gauge registers f, which returns the gauge's value each time the metrics are served.
func (m *Meter) Gauge(name string, f func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = f
}

// latencySummary is the JSON form of a histogram, with latencies in milliseconds.
type latencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// snapshot is the JSON form of a Meter.
type snapshot struct {
	Counts    map[string]int64          `json:"counts"`
	Latencies map[string]latencySummary `json:"latencies"`
	Gauges    map[string]float64        `json:"gauges"`
}

// snapshot copies the metrics. It calls the gauges without the lock, so that they may use the Meter.
func (m *Meter) snapshot() snapshot {
	m.mu.Lock()
	s := snapshot{Counts: make(map[string]int64), Latencies: make(map[string]latencySummary), Gauges: make(map[string]float64)}
	for name, n := range m.counts {
		s.Counts[name] = n
	}
	const microsPerMilli = 1000.0
	for name, h := range m.latencies {
		s.Latencies[name] = latencySummary{
			Count: h.TotalCount(), P50: float64(h.ValueAtQuantile(50)) / microsPerMilli, P95: float64(h.ValueAtQuantile(95)) / microsPerMilli,
			P99: float64(h.ValueAtQuantile(99)) / microsPerMilli, Max: float64(h.Max()) / microsPerMilli,
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
		vars := map[string]json.RawMessage{}
		expvar.Do(func(kv expvar.KeyValue) { vars[kv.Key] = json.RawMessage(kv.Value.String()) })
		data, err := json.Marshal(m.snapshot())
		if err == nil {
			vars["meter"] = data
			data, err = json.MarshalIndent(vars, "", " ")
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data) // The client has disconnected if this fails.
	})
	return mux
}
