package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"pimentoseam/io/socket"
)

// crashWindow is the time in which calls break off in one crash. An engine takes longer to start again.
const crashWindow = time.Second

// exitTime is the time that a process which ends may take between the ends of its connections and of its listener.
const exitTime = 20 * time.Millisecond

// goneTimeout limits the wait for the state of an upstream that has broken off a call. One that is busy answers later and is alive.
const goneTimeout = 150 * time.Millisecond

// isGone reports whether connections to the upstream end without an answer. One that breaks off single calls answers others.
func (a *Agent) isGone() bool {
	ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
	defer cancel()
	_, err := a.client.State(ctx)
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED)
}

// breakage is when the upstream crashed under a call, or broke it off and doesn't answer others; both zero for neither.
type breakage struct {
	crashedAt time.Time
	brokenAt  time.Time
}

// isDown reports whether the upstream refuses connections.
func (a *Agent) isDown() bool {
	if socket.IsRefused(a.settings.Upstream) {
		return true
	}
	time.Sleep(exitTime)
	return socket.IsRefused(a.settings.Upstream)
}

// lastCrash returns when the upstream crashed if it refuses connections now, and zero otherwise. Calls that break off within
// crashWindow get the same time.
func (a *Agent) lastCrash() time.Time {
	if !a.isDown() {
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

// isCut reports whether an answer that has ended may lack its rest: nothing but the end of its connection ended it, and the upstream
// doesn't listen any more. Connections of a process that is killed end like those of one that has finished.
func (a *Agent) isCut(answer *http.Response) bool {
	endsWithConnection := answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && !answer.Uncompressed
	return endsWithConnection && a.isDown()
}
