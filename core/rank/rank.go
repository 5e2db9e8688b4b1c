package rank

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Order returns names sorted by their rendezvous weight for key, the highest first.
func Order(key string, names []string) []string {
	ordered := append([]string(nil), names...)
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = Weight(key, name)
	}
	sort.Slice(ordered, func(i, j int) bool {
		a, b := weights[ordered[i]], weights[ordered[j]]
		if a != b {
			return a > b
		}
		return ordered[i] < ordered[j]
	})
	return ordered
}

// Weight returns the rendezvous weight of name for key.
func Weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
