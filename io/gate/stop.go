package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"pimentoseam/core/grace"
	"pimentoseam/io/front"
	"pimentoseam/io/proc"
)

// balancerDelay is how long the load balancer takes to stop sending new connections: two readiness probes, one per second, and
// the connections in transit.
const balancerDelay = 2500 * time.Millisecond

// stopState is what requests see of a planned stop.
type stopState struct {
	period    atomic.Pointer[grace.Period] // Nil until the signal.
	late      context.Context              // Ends at the period's LateAt.
	ending    context.Context              // Ends at its AnswerBy.
	setLate   context.CancelFunc
	setEnding context.CancelFunc
}

func (s *stopState) init() {
	s.late, s.setLate = context.WithCancel(context.Background())
	s.ending, s.setEnding = context.WithCancel(context.Background())
}

// isStopping reports whether the process has got the signal to stop.
func (s *stopState) isStopping() bool {
	return s.period.Load() != nil
}

// shutdown waits until the load balancer sends no new connections, then closes the listener and finishes the requests in progress.
func (g *Gate) shutdown(server *front.Server) {
	began, length := time.Now(), g.settings().GracePeriod.Duration()
	period := grace.New(began, length, balancerDelay)
	g.stop.period.Store(period)
	g.log.Info("stopping", "grace", length)
	time.AfterFunc(time.Until(period.AnswerBy()), g.stop.setEnding)
	server.DisableKeepAlives()
	go g.duties.handOver() // The process may be killed before the requests in progress are finished.
	proc.Sleep(context.Background(), time.Until(period.LateAt()))
	g.stop.setLate()
	ctx, cancel := context.WithDeadline(context.Background(), period.End())
	defer cancel()
	err := server.Shutdown(ctx)
	g.duties.handOver()
	g.log.Info("stopped", "after", time.Since(began), "err", err)
}

// mayBegin reports whether the request may be sent to an upstream as far as a stop of the process is concerned. One that may have
// run or whose response has begun can't be refused any more, so it goes on as long as the process does.
func (x *exchange) mayBegin() bool {
	return x.possibleRuns > 0 || x.headSent || x.gate.stop.period.Load().MayPass(time.Now(), x.deadline)
}

// withStop returns a context that ends with ctx, at the request's deadline or when requests in progress are answered because the
// process ends.
func (x *exchange) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	unregister := context.AfterFunc(x.gate.stop.ending, cancel)
	return ctx, func() {
		unregister()
		cancel()
	}
}

// untilLate returns a context for a wait before the request is sent. It ends with ctx or once the request can't be sent any more
// because of a stop.
func (x *exchange) untilLate(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	isBegun := x.possibleRuns > 0 || x.headSent // The request doesn't change while it waits.
	unregister := context.AfterFunc(x.gate.stop.late, func() {
		if !isBegun && !x.gate.stop.period.Load().MayPass(time.Now(), x.deadline) {
			cancel()
		}
	})
	return ctx, func() {
		unregister()
		cancel()
	}
}

// refuseStopping refuses a request that can't be served before the process ends. Another entry can serve it at once.
func (x *exchange) refuseStopping() {
	retryAfter := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	x.count("refused")
	x.gate.meter.Count("stop refusals")
	x.gate.log.Info("refused", "id", x.call.ID, "route", x.route.Name, "why", "stopping", "left", time.Until(x.deadline), "after", retryAfter)
	setRetryAfter(x.w, retryAfter)
	x.w.Header().Set("Connection", "close")
	x.w.WriteHeader(http.StatusServiceUnavailable)
}
