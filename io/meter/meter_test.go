package meter_test

import (
	"encoding/json"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"pimentoseam/io/meter"
)

// TestHandler checks the served values, the clamping of an extreme latency and the limit of counter names.
func TestHandler(t *testing.T) {
	m := meter.New()
	for i := range 100 {
		m.Count("answered")
		m.Latency("first", time.Duration(i+1)*time.Millisecond)
	}
	m.Latency("first", time.Hour)
	m.Gauge("age", func() float64 { return 1.5 })
	for i := range 1000 {
		m.Count("route " + strconv.Itoa(i))
	}
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/debug/vars", nil))
	var got struct {
		Meter struct {
			Counts    map[string]int64
			Latencies map[string]struct{ Count, P50, Max float64 }
			Gauges    map[string]float64
		}
	}
	if err := json.Unmarshal(response.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	if got.Meter.Counts["answered"] != 100 || got.Meter.Gauges["age"] != 1.5 || len(got.Meter.Counts) > 200 {
		t.Errorf("got %d answered, age %v, %d counters", got.Meter.Counts["answered"], got.Meter.Gauges["age"], len(got.Meter.Counts))
	}
	if l := got.Meter.Latencies["first"]; l.Count != 101 || l.P50 < 49 || l.P50 > 53 {
		t.Errorf("got %+v, want 101 with a median near 51 ms", l)
	}
}
