package entry

import (
	"context"
	"net/http"
	"time"

	"pimentoseam/core/fault"
	"pimentoseam/core/grace"
)

// stop waits until the load balancer sends no new connections, then finishes the requests in progress.
func (e *Entry) stop() {
	period := grace.New(time.Now(), e.settings.GracePeriod.Duration(), healthCheckDelay)
	e.period.Store(period)
	time.AfterFunc(time.Until(period.AnswerBy()), func() { close(e.ending) })
	e.events.Add("stopping", "", e.settings.Name, "")
	e.election.resign()
	time.Sleep(time.Until(period.LateAt()))
	ctx, cancel := context.WithDeadline(context.Background(), period.End())
	defer cancel()
	e.public.Stop(ctx)
	e.admin.Stop(ctx)
	e.log.Info("stopped")
}

// isStopping reports whether the process has got the signal to stop.
func (e *Entry) isStopping() bool {
	return e.period.Load() != nil
}

// mayBegin reports whether the request may be sent to an upstream as far as a stop of the process is concerned. One that may have
// run goes on as long as the process does.
func (q *request) mayBegin() bool {
	isFirst := q.attemptNum == 0 || (!q.run.NonRepeatable && !q.mayHaveRun)
	return !isFirst || q.entry.period.Load().MayPass(time.Now(), q.deadline)
}

// stopFault returns the error of a request that can't be served before the process ends. An earlier request with the same key may
// have run.
func (q *request) stopFault() *fault.Error {
	fail := fault.Retry("the entry is stopping", attemptRetryAfter)
	if q.run.NonRepeatable {
		fail.Kind, fail.Status = fault.Unknown, http.StatusServiceUnavailable
	}
	return fail
}

// refuseStopped refuses a request that comes after all others have ended.
func (e *Entry) refuseStopped(w http.ResponseWriter, r *http.Request) {
	e.refuse(w, unknownIfKeyed(r, fault.Retry("the entry is stopping", attemptRetryAfter)), newID())
}
