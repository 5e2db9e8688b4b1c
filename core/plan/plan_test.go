package plan_test

import (
	"testing"

	"pimentoseam/core/plan"
)

func TestEpochs(t *testing.T) {
	first := (&plan.Plan{}).NextEpoch("a")
	second := first.WithCommand(plan.Command{Upstream: "u", Role: "mixed", Version: "v1"})
	third := second.WithCommand(plan.Command{Upstream: "u", Role: "decode", Version: "v1"})
	newEpoch := first.NextEpoch("b")
	if !second.Newer(first) || !third.Newer(second) || !newEpoch.Newer(third) || first.Newer(first) {
		t.Error("a plan is not newer than the previous one, or not newer than one of an older epoch")
	}
	if c, ok := third.Command("u"); !ok || c.Role != "decode" || len(third.Commands) != 1 {
		t.Errorf("got %+v, want one command, the newest", third.Commands)
	}
	if len(first.Commands) != 0 {
		t.Error("deriving a plan changed the original")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(nil))
	f.Add((&plan.Plan{}).NextEpoch("a").WithCommand(plan.Command{Upstream: "u"}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := plan.Parse(data)
		if err != nil {
			return
		}
		decoded, err := plan.Parse(p.Encode())
		if err != nil || decoded.Newer(p) || p.Newer(decoded) {
			t.Errorf("%+v changed to %+v, %v", p, decoded, err)
		}
	})
}
