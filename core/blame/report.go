package blame

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoseam/core/call"
	"pimentoseam/core/leave"
)

// Part identifies a part of a prompt by the hash of its id.
type Part uint64

// maxParts is the number of parts of a prompt that count. A header of 16,384 bytes has 5,461 parts at most; prompts of the own
// interface may have more.
const maxParts = 8192

// Parts returns the parts of a prompt in their order, up to maxParts of them: the first ones, and the last one, which tells prompts
// with the same others apart.
func Parts(parts []call.Part) []Part {
	list := make([]Part, min(len(parts), maxParts))
	for i := range list {
		list[i] = Part(xxhash.Sum64String(parts[i].ID))
	}
	if len(parts) > maxParts {
		list[maxParts-1] = Part(xxhash.Sum64String(parts[len(parts)-1].ID))
	}
	return list
}

// Suspect is a request that was at an engine when that crashed.
type Suspect struct {
	_     struct{} `cbor:",toarray"`
	Begun bool     // The engine had begun to respond and sent no event yet.
	Parts []Part   // The parts of its prompt.
	// After is the time since its first event, if that had come longer than Onset before the crash; otherwise 0.
	After time.Duration `cbor:"-"`
}

// isLate reports whether the first event had come long before the crash.
func (s Suspect) isLate() bool {
	return s.After > 0
}

// LateSuspect is a Suspect whose first event had come longer than Onset before the crash.
type LateSuspect struct {
	_     struct{} `cbor:",toarray"`
	After uint32   // Milliseconds from the first event to the crash.
	Parts []Part
}

// LateCrash has the late suspects of a crash, which older processes don't know.
type LateCrash struct {
	_        struct{}  `cbor:",toarray"`
	Run      leave.Run // The run that ended.
	Age      uint32    // Milliseconds since the crash.
	Suspects []LateSuspect
}

// Crash is the unplanned end of one run of an engine.
type Crash struct {
	_        struct{}  `cbor:",toarray"`
	Run      leave.Run // The run that ended.
	Age      uint32    // Milliseconds since the crash.
	Suspects []Suspect // The requests that may have caused it, the most suspect ones first.
}

// Answer states when an engine last answered a prompt with a part completely.
type Answer struct {
	_    struct{} `cbor:",toarray"`
	Part Part
	Age  uint32 // Milliseconds since the end of the answer.
}

// Block is a set of parts; a prompt that has all of them goes to no engine.
type Block struct {
	_     struct{} `cbor:",toarray"`
	Parts []Part   // In ascending order.
	Age   uint32   // Milliseconds since the parts were blocked.
}

// Trial is the run of one prompt with held parts.
type Trial struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Parts []Part // The held parts.
	Age   uint32 // Milliseconds since its start.
	Void  bool   // It did not run.
}

// Report is what an entry tells the others.
type Report struct {
	Crashes []Crash     `cbor:"1,keyasint,omitempty"` // Recent crashes, the newest first.
	Answers []Answer    `cbor:"2,keyasint,omitempty"` // Answers to prompts with parts that are suspect or blocked.
	Blocks  []Block     `cbor:"3,keyasint,omitempty"` // All blocks in force.
	Holds   []Block     `cbor:"4,keyasint,omitempty"` // Sets of parts of which one prompt at a time may go to an engine.
	Trials  []Trial     `cbor:"5,keyasint,omitempty"` // Recent runs of such prompts.
	Late    []LateCrash `cbor:"6,keyasint,omitempty"` // Crashes with late suspects.

	Unsure     []Crash     `cbor:"7,keyasint,omitempty"` // Possible crashes: engines closed connections and were not seen to have ended.
	UnsureLate []LateCrash `cbor:"8,keyasint,omitempty"` // Those with late suspects.
	LateTrials []uint64    `cbor:"9,keyasint,omitempty"` // Ids of those Trials that count as late; see maxLateTrials.
}

// IsEmpty reports whether r states nothing.
func (r *Report) IsEmpty() bool {
	return r == nil || len(r.Crashes)+len(r.Answers)+len(r.Blocks)+len(r.Holds)+len(r.Trials)+len(r.Late)+len(r.Unsure)+len(r.UnsureLate) == 0
}

// add adds a crash, with its late suspects apart. It has no entry without suspects, which older processes would take for news each time.
func (r *Report) add(c Crash, isSure bool) {
	known, late := Crash{Run: c.Run, Age: c.Age}, LateCrash{Run: c.Run, Age: c.Age}
	for _, s := range c.Suspects {
		if s.isLate() {
			late.Suspects = append(late.Suspects, LateSuspect{After: uint32(s.After.Milliseconds()), Parts: s.Parts})
		} else {
			known.Suspects = append(known.Suspects, s)
		}
	}
	crashes, lateCrashes := &r.Crashes, &r.Late
	if !isSure {
		crashes, lateCrashes = &r.Unsure, &r.UnsureLate
	}
	if len(known.Suspects) > 0 {
		*crashes = append(*crashes, known)
	}
	if len(late.Suspects) > 0 {
		*lateCrashes = append(*lateCrashes, late)
	}
}

// crash returns the crash with its late suspects.
func (c LateCrash) crash() Crash {
	known := Crash{Run: c.Run, Age: c.Age}
	for _, s := range c.Suspects {
		known.Suspects = append(known.Suspects, Suspect{Parts: s.Parts, After: max(1, time.Duration(s.After)*time.Millisecond)})
	}
	return known
}

// ageOf returns the milliseconds since a time.
func ageOf(at time.Time) uint32 {
	return uint32(max(0, time.Since(at)).Milliseconds())
}

// timeOf returns the time that was age milliseconds ago.
func timeOf(age uint32) time.Time {
	return time.Now().Add(-time.Duration(age) * time.Millisecond)
}

// String returns the hash in hexadecimal.
func (p Part) String() string {
	return strconv.FormatUint(uint64(p), 16)
}
