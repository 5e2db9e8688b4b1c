package crash_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"pimentoseam/core/crash"
	"pimentoseam/core/digest"
)

// FuzzParse checks that any stored value and any report of another process can be read and used.
func FuzzParse(f *testing.F) {
	f.Add(crash.EncodeHolds([]crash.Hold{{Request: bad, Strikes: 2, Sure: 1}}, []digest.Sum{popular}))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := crash.New()
		if holds, lifted, err := crash.ParseHolds(data); err == nil {
			b.Merge(&crash.Report{Holds: holds})
			for _, d := range lifted {
				b.Lift(d)
			}
		}
		var r crash.Report
		if cbor.Unmarshal(data, &r) == nil {
			b.Merge(&r)
		}
		b.Check(bad, popular)
		if _, err := cbor.Marshal(b.Report()); err != nil {
			t.Error(err)
		}
	})
}
