package crash_test

import (
	"slices"
	"testing"

	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
)

// TestSuspectsBesideHeldParts guards against requests that are tried, or held, since prompts with parts that are known to crash
// engines did so beside them.
func TestSuspectsBesideHeldParts(t *testing.T) {
	first, second := digest.Sum{1}, digest.Sum{2}
	beside := crash.Attempt{Digests: []digest.Sum{first}, Tried: &first}
	for name, test := range map[string]struct {
		held  bool
		want  []digest.Sum
		tried bool
	}{
		"beside held parts": {held: true, want: []digest.Sum{second}},
		"beside others":     {want: []digest.Sum{first, second}, tried: true},
	} {
		t.Run(name, func(t *testing.T) {
			got, tried := crash.Suspects([]crash.Attempt{beside, {Digests: []digest.Sum{second}, HasHeldParts: test.held}})
			if !slices.Equal(got, test.want) || (tried != nil) != test.tried {
				t.Errorf("suspects are %v, tried %v; want %v, %v", got, tried, test.want, test.tried)
			}
		})
	}
}
