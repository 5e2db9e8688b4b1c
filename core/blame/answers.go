package blame

import "time"

const (
	// answerTTL is how long at least an answer is remembered, unless maxAnswers others follow.
	answerTTL = 5 * time.Minute
	// maxAnswers limits each of two generations of answers to about 3 MB. Prompts of 4,000 parts each must not displace those
	// of other prompts at once.
	maxAnswers = 65536
)

// answerLog holds when prompts with each part were last answered. Once the newer of its two generations is full or old, it
// replaces the older one.
type answerLog struct {
	newer, older map[Part]time.Time
	began        time.Time // When the newer generation began.
}

func newAnswerLog() *answerLog {
	return &answerLog{newer: make(map[Part]time.Time), older: make(map[Part]time.Time), began: time.Now()}
}

// add records an answer and reports whether none was known for the part.
func (a *answerLog) add(p Part, at time.Time) bool {
	if len(a.newer) >= maxAnswers || time.Since(a.began) >= answerTTL {
		a.newer, a.older, a.began = make(map[Part]time.Time), a.newer, time.Now()
	}
	known, ok := a.last(p)
	if !ok || at.After(known) {
		a.newer[p] = at
	}
	return !ok
}

// last returns when a prompt with the part was last answered, and false if that isn't known.
func (a *answerLog) last(p Part) (time.Time, bool) {
	if at, ok := a.newer[p]; ok {
		return at, true
	}
	at, ok := a.older[p]
	return at, ok
}
