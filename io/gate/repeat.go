package gate

import (
	"log/slog"
	"net/http"
	"time"

	"pimentoseam/core/budget"
	"pimentoseam/core/call"
	"pimentoseam/core/repeat"
)

// allowCall reports whether the request may be sent to an upstream. A repeat takes from the retry budget; the grant is returned
// unless the call arrives as one.
func (x *exchange) allowCall(phase repeat.Phase) bool {
	if !x.account.MayRepeat(phase) {
		return true
	}
	if x.grant == nil {
		x.grant = x.budget.TakeRetry()
	}
	if x.grant == nil {
		x.logNotGranted(phase, x.cause)
	}
	return x.grant != nil
}

// repeatLog returns a log for a repeat of the request, with the state of the budget. It may be called beside an attempt.
func (x *exchange) repeatLog(phase repeat.Phase, cause repeat.Cause, grant *budget.Grant) *slog.Logger {
	usage := x.budget.Usage()
	return x.gate.log.With("id", x.call.ID, "service", x.service, "phase", phase, "cause", cause, "part", grant.Part(), "used", usage.Retries,
		"earned", usage.Earned, "reserve", usage.Reserve, "closed", usage.IsClosed, "requests", usage.Requests, "entries", usage.Entries, "uptime", time.Since(x.gate.started))
}

// logNotGranted records that the budget doesn't allow a repeat.
func (x *exchange) logNotGranted(phase repeat.Phase, cause repeat.Cause) {
	x.gate.meter.Count("repeats not granted")
	x.gate.meter.Count("repeats not granted " + x.service)
	x.repeatLog(phase, cause, nil).Info("repeat not granted")
}

// returnGrant returns the grant of a repeat that was not made.
func (x *exchange) returnGrant() {
	x.grant.Return()
	x.grant = nil
}

// recordArrival records that a call has reached an upstream. A repeat is counted and logged with the state of the budget, so that
// the lines of all entries add up to the arrivals that the budget allows for together.
func (x *exchange) recordArrival(dispatch *call.Dispatch, accepted bool) {
	phase := repeat.Run
	if dispatch.PrefillOnly {
		phase = repeat.Read
	}
	if !x.account.Arrive(phase, accepted) {
		return
	}
	x.gate.meter.Count("repeats")
	x.gate.meter.Count("repeats " + x.service)
	x.repeatLog(phase, x.cause, x.grant).Info("repeat", "upstream", dispatch.Instance, "granted", x.grant != nil)
	x.grant = nil
}

// isAccepted reports whether a response shows that an engine has read a prompt.
func isAccepted(status int, reply call.Reply) bool {
	return !reply.NotRun && status == http.StatusOK
}
