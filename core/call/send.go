package call

import (
	"net/netip"
	"time"
)

// Send is what an entry tells an upstream beside the caller's own request.
type Send struct {
	Instance string         // The only upstream that may run it.
	Left     time.Duration  // Time until the answer is of no use.
	Priority int            // 0 is the most urgent; below 0 says nothing.
	Prefill  bool           // Only process the prompt and keep its KV cache.
	Source   Handle         // KV cache to go on from, if valid.
	Fetch    netip.AddrPort // Engine whose cached parts of the prompt are fetched first, if valid.
	Last     string         // Id of the stream event to go on after; empty for none.
}

// Handle names a KV cache that an engine keeps for one request.
type Handle struct {
	Addr netip.AddrPort
	ID   string
}

// IsValid reports whether h names a KV cache.
func (h Handle) IsValid() bool {
	return h.ID != ""
}

// Load is what an upstream says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Reply is what an upstream's answer says beside its status and body.
type Reply struct {
	ID     string // Id of the request that it answers; empty if it does not say.
	NotRun bool   // The upstream did not run the request and will not.
	Sealed bool   // Carries the proof that the upstream made it.
	From   string // Name of the upstream that answers; empty if it does not say.
	Load   *Load  // Nil if it does not say.
}
