package gate

import (
	"context"
	"io"
	"time"

	"pimentoseam/core/alive"
	"pimentoseam/core/member"
	"pimentoseam/core/stream"
	"pimentoseam/io/client"
	"pimentoseam/io/proc"
)

// unprovenEnd reports that a body ended with its connection, but that its upstream may have been killed.
type unprovenEnd struct {
	verdict alive.Verdict
}

// Error returns a text with what is known of the upstream.
func (e *unprovenEnd) Error() string {
	return "connection ended, upstream " + string(e.verdict)
}

// listedRun is a run of an upstream as the list describes it.
type listedRun struct {
	gate *Gate
	info *member.Upstream
}

var _ alive.Run = listedRun{}

// ID returns the id of the upstream.
func (r listedRun) ID() string {
	return r.info.ID
}

// IsLeaving reports whether the run has stated that it leaves, in an answer, in the list or to another entry, or is no longer listed.
func (r listedRun) IsLeaving() bool {
	r.gate.mu.Lock()
	defer r.gate.mu.Unlock()
	return r.gate.leaving.Has(runOf(r.info)) || r.gate.memberSet.HasLeft(r.info)
}

// IsCurrent reports whether the list has no other run under the id.
func (r listedRun) IsCurrent() bool {
	r.gate.mu.Lock()
	defer r.gate.mu.Unlock()
	listed, ok := r.gate.memberSet.Get(r.info.ID)
	return !ok || listed.SameRun(r.info)
}

// Check sends a health check.
func (r listedRun) Check(ctx context.Context) (alive.Answer, error) {
	r.gate.meter.Count("health checks")
	return r.gate.checker.Check(ctx, r.info.Addr, r.gate.healthPath(r.info.Service))
}

// healthPath returns the path of a service's health checks, empty if none is configured.
func (g *Gate) healthPath(service string) string {
	c := g.config.Load()
	if c == nil || c.table.Services[service] == nil {
		return ""
	}
	return c.table.Services[service].HealthPath
}

// openInterval is the interval at which the connection of a response is found open. It is well below the 0.5 s after the end for which
// the check on a new connection counts (package alive), since the end may come long after the last bytes.
const openInterval = 200 * time.Millisecond

// prepareEnd makes ready for the check at the end of a response that ends with its connection, and notes until then that this
// is open.
func (x *exchange) prepareEnd(ctx context.Context, u *upstream, resp *client.Response) {
	if resp.Framing() != client.Connection {
		return
	}
	addr, hasCheck := u.info.Load().Addr, x.gate.healthPath(x.service) != ""
	go func() {
		if hasCheck {
			x.gate.checker.Prepare(addr)
		}
		for resp.NoteOpen() && ctx.Err() == nil {
			proc.Sleep(ctx, openInterval)
		}
	}()
}

// checkEnd returns an error if a body that has ended with its connection may not be complete.
func (x *exchange) checkEnd(ctx context.Context, u *upstream, resp *client.Response) error {
	if resp.Framing() != client.Connection {
		return nil
	}
	end := alive.End{Received: resp.Received(), NotBefore: resp.OpenUntil(), Noticed: time.Now()}
	verdict := u.liveness.Decide(ctx, end)
	x.gate.meter.Count("ends " + string(verdict))
	x.gate.meter.Latency("end check", time.Since(end.Noticed))
	if verdict.IsComplete() {
		return nil
	}
	return &unprovenEnd{verdict: verdict}
}

// copyRest passes on the rest of a body; its error is that of the upstream or of the caller's connection.
func (x *exchange) copyRest(ctx context.Context, u *upstream, resp *client.Response) error {
	_, err := io.Copy(x.w, resp)
	isIncomplete := resp.Failed()
	if err == nil {
		err = x.checkEnd(ctx, u, resp)
		isIncomplete = err != nil
	}
	if isIncomplete && ctx.Err() == nil {
		x.accuse(u, u.info.Load(), true, 0)
		x.health.Failure()
	}
	return err
}

// checkStreamEnd returns io.EOF if a stream whose body has ended is complete, otherwise another error. An upstream that fails may end its body
// properly. The end of its connection without any event shows nothing, unless the caller asks for the rest of a stream and the
// upstream names itself in a health check afterwards.
func (x *exchange) checkStreamEnd(ctx context.Context, u *upstream, resp *client.Response, events *stream.Splitter) error {
	isRest := x.lastEventID != "" && x.gate.healthPath(x.service) != ""
	if resp.Framing() == client.Connection && events.Count() == 0 && !isRest {
		return io.ErrUnexpectedEOF
	}
	if err := events.End(); err != nil {
		return err
	}
	if err := x.checkEnd(ctx, u, resp); err != nil {
		return err
	}
	return io.EOF
}
