package crash

import "time"

const (
	firstBackoff = 2 * time.Second  // An engine takes about that long to start again.
	maxBackoff   = 10 * time.Minute // After it, the engine may have been replaced by one that carries the order out.
)

// Backoff returns the time from the last of some orders under which an engine has ended until it gets another one: twice as long
// each time from the second one on.
func Backoff(crashes int) time.Duration {
	pause := firstBackoff
	for range crashes - 1 {
		pause = min(2*pause, maxBackoff)
	}
	return pause
}
