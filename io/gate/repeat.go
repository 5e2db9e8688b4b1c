package gate

import (
	"net/http"
	"time"

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
	return x.grant != nil
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
	usage := x.budget.Usage()
	x.gate.log.Info("repeat", "id", x.call.ID, "service", x.service, "upstream", dispatch.Instance, "phase", phase, "cause", x.cause, "granted", x.grant != nil,
		"used", usage.Retries, "earned", usage.Earned, "reserve", usage.Reserve, "requests", usage.Requests, "entries", usage.Entries, "uptime", time.Since(x.gate.started))
	x.grant = nil
}

// isAccepted reports whether a response shows that an engine has read a prompt.
func isAccepted(status int, reply call.Reply) bool {
	return !reply.NotRun && status == http.StatusOK
}
