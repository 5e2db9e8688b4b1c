package entry

import (
	"expvar"
)

// requestCount counts accepted requests, attemptCount the attempts sent to upstreams.
var (
	requestCount = expvar.NewInt("entry.requests")
	attemptCount = expvar.NewInt("entry.attempts")
)

// answerCounts counts answers to callers by outcome.
var answerCounts = expvar.NewMap("entry.answers")
