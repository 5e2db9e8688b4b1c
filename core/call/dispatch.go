package call

import (
	"net/netip"
	"time"
)

// Dispatch holds the headers that an entry adds to a caller's request for one upstream.
type Dispatch struct {
	Instance    string         // The only upstream that may run the request.
	Remaining   time.Duration  // Time until the deadline of the answer.
	Priority    int            // 0 is the most urgent; a negative priority is not sent.
	PrefillOnly bool           // Process the prompt and keep its KV cache without generating output.
	KVSource    Handle         // KV cache of the processed prompt to decode from, if valid.
	FetchFrom   netip.AddrPort // Engine to fetch the cached parts of the prompt from first, if valid.
	LastEventID string         // Stream event to resume after; empty for none.
	// Organisation is the name of the organisation that the request belongs to; empty for none.
	Organisation string
}

// Handle identifies a KV cache that an engine keeps for one request.
type Handle struct {
	Addr netip.AddrPort
	ID   string
}

// IsValid reports whether h identifies a KV cache.
func (h Handle) IsValid() bool {
	return h.ID != ""
}

// Load is the load that an upstream reports in a reply.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Percent int // How long work takes on the upstream's VM at the moment; 100 is usual, 0 if it isn't stated.
}

// Reply holds what the status and headers of an upstream's answer state about it.
type Reply struct {
	ID       string // Attempt id of the request that the upstream answers; empty if not given.
	NotRun   bool   // The upstream did not run the request and will not.
	HasSeal  bool   // Has the header that only the upstream sets.
	Encoded  bool   // States a content encoding, which no request asks for: its body isn't the upstream's own.
	Instance string // Name of the upstream that answers; empty if not given.
	Load     *Load  // Nil if not given or not readable.
	Leaving  bool   // The upstream states that it leaves.
	// Pause is how long the upstream wants nothing from the VM that it answers; 0 if it doesn't ask for a pause.
	Pause time.Duration
	Limit Limit
}

// Limit is what a reply states about the requests that the upstream takes from all entries together.
type Limit struct {
	State     LimitState
	PerSecond float64 // If the state is Named.
	Text      string  // As it was given, if the state is Unreadable.
}

// LimitState tells whether a reply names a limit.
type LimitState string

// The states of a limit.
const (
	Unnamed    LimitState = ""
	Named      LimitState = "named"
	Unreadable LimitState = "unreadable" // A value that can't be a limit.
)
