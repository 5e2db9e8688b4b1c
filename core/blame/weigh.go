package blame

// Reason is why a crash is evidence against the parts of a prompt that was there, or isn't.
type Reason string

// The reasons.
const (
	NotAnswered Reason = "not answered"               // The engine may have crashed under it.
	Tried       Reason = "trial"                      // It was sent to find out whether it, or parts of it, crash engines.
	LongSince   Reason = "long since its first event" // As NotAnswered, but fewer crashes are due to such prompts.
	OtherTried  Reason = "a request was tried there"  // It isn't that request, to which the crash is due.
)

// Weigh tells whether a crash is evidence against the parts of a prompt. isTried is set if the prompt was sent to find out whether it,
// or parts of it, crash engines; hadTrial if a whole request was tried at the engine. Such a crash may be due to what was tried;
// whatever else it may be due to, it says nothing of the others.
func Weigh(s Suspect, isTried, hadTrial bool) (Reason, bool) {
	switch {
	case isTried:
		return Tried, true
	case hadTrial:
		return OtherTried, false
	case s.isLate():
		return LongSince, true
	}
	return NotAnswered, true
}
