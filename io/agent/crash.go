package agent

import (
	"context"
	"time"
)

const (
	// crashCheckTimeout limits the try whether the upstream, on the same VM, refuses connections.
	crashCheckTimeout = 250 * time.Millisecond
	// crashWindow is the time in which calls break off in one crash. An engine takes longer to start again.
	crashWindow = time.Second
)

// lastCrash returns when the upstream crashed if it refuses connections now, and zero otherwise. Calls that break off within
// crashWindow get the same time.
func (a *Agent) lastCrash(ctx context.Context) time.Time {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if !a.client.IsRefused(ctx) {
		return time.Time{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Since(a.crashedAt) >= crashWindow {
		a.crashedAt = time.Now().Round(time.Millisecond)
		a.log.Warn("upstream crashed", "upstream", a.settings.Upstream)
		a.events.Add("crashed", "", a.settings.Name, "")
	}
	return a.crashedAt
}
