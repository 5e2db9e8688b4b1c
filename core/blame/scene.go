package blame

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// spot is one suspect of one crash.
type spot struct {
	crash   int // Index in scene.crashes.
	suspect int // Index in the suspects of the crash.
}

// scene is what is known of all crashes, in the form in which parts are judged.
type scene struct {
	crashes   []*crash // In ascending order of time.
	explained [][]*block
	held      [][]*hold       // Of parts that were never answered and which a suspect of each crash has.
	spots     map[Part][]spot // Where each part with enough crashes since its last answer was, in ascending order.
	order     []Part          // These parts, the last ones of the latest prompts first, so that all entries judge them in the same order.
}

// scene returns the crashes, or only those that are sure, and the parts that were at minSuspected or more of them since their last
// answer.
func (l *Ledger) scene(onlySure bool) *scene {
	s := &scene{spots: make(map[Part][]spot)}
	s.crashes = slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return onlySure && c.isUnsure })
	counts := make(map[Part]count)
	for i, c := range s.crashes {
		s.explained = append(s.explained, l.explaining(c))
		s.held = append(s.held, l.holdsAt(c))
		for _, suspect := range c.suspects {
			for _, p := range suspect.Parts {
				counts[p] = counts[p].add(i, suspect.Begun)
			}
		}
	}
	for i, c := range s.crashes {
		for j, suspect := range c.suspects {
			for _, p := range suspect.Parts {
				if !l.mayJudge(p, counts[p]) {
					continue
				}
				at := spot{crash: i, suspect: j}
				if list := s.spots[p]; len(list) == 0 || list[len(list)-1] != at {
					s.spots[p] = append(list, at)
				}
			}
		}
	}
	seen := make(map[Part]bool)
	for _, c := range slices.Backward(s.crashes) {
		for _, suspect := range c.suspects {
			for _, p := range slices.Backward(suspect.Parts) {
				if s.spots[p] != nil && !seen[p] {
					seen[p] = true
					s.order = append(s.order, p)
				}
			}
		}
	}
	return s
}

// count is the number of crashes that a part was at, and of those at which a request with it had been begun.
type count struct {
	n, last          int // The index of the last one follows each number.
	begun, lastBegun int
}

// add counts a suspect of the crash with an index; suspects that were begun come first.
func (c count) add(crash int, isBegun bool) count {
	if c.n == 0 || c.last != crash {
		c.n, c.last = c.n+1, crash
	}
	if isBegun && (c.begun == 0 || c.lastBegun != crash) {
		c.begun, c.lastBegun = c.begun+1, crash
	}
	return c
}

// mayJudge reports whether a part was at so many crashes that it may be held. Most parts of many crashes were not, and evidence
// against each of them would take an entry's processor.
func (l *Ledger) mayJudge(p Part, c count) bool {
	if c.n >= minHold {
		return true
	}
	if c.begun < minHoldBegun {
		return false
	}
	_, wasAnswered := l.answers.last(p)
	return !wasAnswered
}

// signature returns a hash that is the same for parts that were at the same suspects and were answered last at the same time.
func (l *Ledger) signature(s *scene, p Part) uint64 {
	d := xxhash.New()
	var buffer [8]byte
	for _, at := range s.spots[p] {
		binary.LittleEndian.PutUint32(buffer[:4], uint32(at.crash))
		binary.LittleEndian.PutUint32(buffer[4:], uint32(at.suspect))
		_, _ = d.Write(buffer[:]) // Never fails.
	}
	if at, ok := l.answers.last(p); ok {
		binary.LittleEndian.PutUint64(buffer[:], uint64(at.UnixNano()))
		_, _ = d.Write(buffer[:])
	}
	return d.Sum64()
}

// explaining returns the blocks that explain a crash: a request with all of their parts was at the engine.
func (l *Ledger) explaining(c *crash) []*block {
	var list []*block
	for _, b := range l.blocks {
		if c.has(b.parts) {
			list = append(list, b)
		}
	}
	return list
}

// holdsAt returns the holds in force of parts that were never answered, all of which a suspect of the crash has.
func (l *Ledger) holdsAt(c *crash) []*hold {
	var list []*hold
	for _, h := range l.holds {
		if h.isInForce() && l.isNew(h.parts) && c.has(h.parts) {
			list = append(list, h)
		}
	}
	return list
}

// isDueToHeld reports whether a crash is due to held parts that were never answered rather than to a part that was.
func (s *scene) isDueToHeld(crash int, p Part) bool {
	return slices.ContainsFunc(s.held[crash], func(h *hold) bool { return !slices.Contains(h.parts, p) })
}

// isExplained reports whether a block without the part explains a crash.
func (s *scene) isExplained(crash int, p Part) bool {
	return slices.ContainsFunc(s.explained[crash], func(b *block) bool { return !slices.Contains(b.parts, p) })
}

// hasAll reports whether a part was at all of the given suspects.
func (s *scene) hasAll(p Part, spots []spot) bool {
	rest := s.spots[p]
	for _, at := range spots {
		for len(rest) > 0 && rest[0] != at {
			rest = rest[1:]
		}
		if len(rest) == 0 {
			return false
		}
	}
	return true
}
