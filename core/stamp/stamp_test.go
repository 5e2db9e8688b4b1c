package stamp_test

import (
	"testing"

	"pgregory.net/rapid"

	"pimentoseam/core/stamp"
)

// TestJoin checks on random eras and revisions that stamps keep both, that they order by era first, and that without
// an era they equal the revision.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Int64Range(0, stamp.MaxEra-1).Draw(t, "era")
		a := rapid.Int64Range(1, 1<<40-1).Draw(t, "a")
		b := rapid.Int64Range(1, 1<<40-1).Draw(t, "b")
		s := stamp.Join(era, a)
		if stamp.Era(s) != era || stamp.Revision(s) != a {
			t.Fatalf("era %d revision %d: got %d and %d back", era, a, stamp.Era(s), stamp.Revision(s))
		}
		if later := stamp.Join(era+1, b); later <= s {
			t.Fatalf("stamp %d of a later era is not above %d", later, s)
		}
		if (a < b) != (s < stamp.Join(era, b)) {
			t.Fatalf("revisions %d and %d of one era are ordered otherwise", a, b)
		}
	})
	if stamp.Join(0, 7) != 7 || stamp.Join(9, 0) != 0 {
		t.Error("a stamp without an era differs from its revision, or that of no change is not 0")
	}
}
