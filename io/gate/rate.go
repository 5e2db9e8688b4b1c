package gate

import (
	"sync"
	"time"
)

// minRateWindow is the shortest time over which a rate is measured.
const minRateWindow = 400 * time.Millisecond

// rateMeter measures the rate at which a counter increases.
type rateMeter struct {
	mu         sync.Mutex
	startCount uint64    // Value of the counter at the start of the current window.
	start      time.Time // Start of the current window; zero before the first call.
	lastRate   uint64    // Rate in the previous window, per second.
}

// rate returns the recent increase per second of the counter, whose present value is count.
func (m *rateMeter) rate(count uint64) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.start.IsZero() {
		m.start, m.startCount = now, count
		return 0
	}
	if span := now.Sub(m.start); span >= minRateWindow {
		m.lastRate = uint64(float64(count-m.startCount) / span.Seconds())
		m.start, m.startCount = now, count
	}
	return m.lastRate
}

// prefillDemand returns the prefill work that the callers of all entries request, summed over all services, in
// engine-seconds per second: the number of engines that it would keep busy.
func (g *Gate) prefillDemand() float64 {
	sum := g.prefillRate.rate(g.prefillWork.Load())
	for _, p := range g.gossip.LivePeers() {
		sum += p.Beat.PrefillWork
	}
	return float64(sum) / 1000 // From milliseconds per second.
}
