package repeat

// Cause is why a request is sent again: what ended its call before.
type Cause string

// The causes of a repeat.
const (
	Rejected   Cause = "rejected"    // The upstream did not run the request.
	NoResponse Cause = "no response" // The connection ended without a response.
	Incomplete Cause = "incomplete"  // The response ended early.
	Unusable   Cause = "unusable"    // The response was an error or must not be passed on.
	Stalled    Cause = "stalled"     // The upstream was silent for too long.
	Prompt     Cause = "prompt"      // The prompt was read by another engine; only a second call for a prompt is a repeat.
)

// Phase is what a call asks of an upstream.
type Phase string

// The phases of a call.
const (
	Run  Phase = "run"  // The request itself, or the rest of a stream.
	Read Phase = "read" // Reading the prompt only.
)

// Account counts the calls of one request that reached upstreams. The first one is no repeat, and neither is the first
// that an upstream accepts for reading the prompt; each later one for the prompt is.
type Account struct {
	arrivals int  // Calls other than the accepted ones for the prompt.
	wasRead  bool // A call for the prompt has been accepted.
}

// Arrive records that a call has reached an upstream, and reports whether it is a repeat. accepted tells whether the upstream
// has answered a call for the prompt as asked; a call without an answer counts as not accepted.
func (a *Account) Arrive(phase Phase, accepted bool) bool {
	switch {
	case phase == Read && a.wasRead:
		return true
	case phase == Read && accepted:
		a.wasRead = true
		return false
	}
	a.arrivals++
	return a.arrivals > 1
}

// MayRepeat reports whether the next call is a repeat, as far as that doesn't depend on its answer.
func (a *Account) MayRepeat(phase Phase) bool {
	return a.arrivals > 0 || phase == Read && a.wasRead
}

// IsEmpty reports whether no call has reached an upstream.
func (a *Account) IsEmpty() bool {
	return a.arrivals == 0 && !a.wasRead
}
