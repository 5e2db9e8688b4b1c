package entry

import (
	"expvar"
)

// requestCount counts the requests of known callers to known targets, also those that the entry then refuses;
// attemptCount counts the attempts sent to upstreams.
var (
	requestCount = expvar.NewInt("entry.requests")
	attemptCount = expvar.NewInt("entry.attempts")
)

// answerCounts counts answers to callers by outcome.
var answerCounts = expvar.NewMap("entry.answers")
