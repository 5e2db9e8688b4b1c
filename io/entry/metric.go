package entry

import (
	"expvar"
)

// requests and attempts count requests taken and attempts sent to upstreams.
var (
	requestCount = expvar.NewInt("entry.requests")
	attemptCount = expvar.NewInt("entry.attempts")
)

// answers counts answers to callers by outcome.
var answerCounts = expvar.NewMap("entry.answers")
