package subset

import (
	"math/rand/v2"
)

// Picker divides names into subsets of a fixed size.
type Picker struct {
	size int
}

// New returns a Picker of subsets of the given size.
func New(size int) *Picker {
	return &Picker{size: size}
}

// Of returns the subset of the client with the given index, counted from 0 over all clients.
// Consecutive clients whose subsets cover all names once form a round and share one shuffle, so that
// each name is in equally many subsets, except for the last, incomplete round.
func (p *Picker) Of(index int, names []string) []string {
	if p.size >= len(names) {
		return names
	}
	perRound := len(names) / p.size
	round, position := index/perRound, index%perRound
	shuffled := append([]string(nil), names...)
	random := rand.New(rand.NewPCG(uint64(round), uint64(len(names))))
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	start := position * p.size
	return shuffled[start : start+p.size]
}
