package blame

// maxChanges limits the changes that are kept until they are taken, of which the oldest are dropped first.
const maxChanges = 64

// Cause is why parts of prompts are held or why a hold has ended.
type Cause string

// The causes of changes.
const (
	ByCrashes  Cause = "crashes"           // Parts were held since they were at enough crashes and in no answer.
	ByPeer     Cause = "another entry"     // Parts were held since another entry holds them.
	ByAnswer   Cause = "answered"          // A hold ended since an engine has answered prompts with its parts.
	ByOthers   Cause = "crashes of others" // A hold ended since engines crashed without its parts.
	ByBlock    Cause = "blocked"           // A hold ended since its parts, or some of them, are blocked.
	ByNarrower Cause = "narrower"          // A hold ended since fewer of its parts are held.
	ByRoom     Cause = "too many"          // A hold ended to make room for another one.
)

// Change is the beginning or the end of a hold.
type Change struct {
	Parts   []Part
	IsHeld  bool // The hold has begun.
	Cause   Cause
	Crashes int // Crashes at which the parts were, if known; 0 if not.
	Trials  int // Trials of the hold so far.
}

// note keeps a change until it is taken.
func (l *Ledger) note(c Change) {
	if len(l.changes) >= maxChanges {
		l.changes = l.changes[1:]
	}
	l.changes = append(l.changes, c)
}

// noteEnd keeps the end of a hold that was in force.
func (l *Ledger) noteEnd(h *hold, cause Cause) {
	if h.isInForce() {
		l.note(Change{Parts: h.parts, Cause: cause, Trials: h.trials})
	}
}

// TakeChanges returns the holds that have begun and ended since the last call, for logs.
func (l *Ledger) TakeChanges() []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.changes
	l.changes = nil
	return taken
}

// Suspected returns at how many crashes the most suspect part of a prompt was since its last answer, as judged after the last crash;
// 0 if at few.
func (l *Ledger) Suspected(parts []Part) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.suspected) == 0 {
		return 0
	}
	most := 0
	for _, p := range parts {
		if crashes := l.suspected[p]; crashes > most {
			if at, ok := l.answers.last(p); !ok || !at.After(l.decided) {
				most = crashes
			}
		}
	}
	return most
}
