package plan_test

import (
	"reflect"
	"testing"

	"pimentoseam/core/plan"
)

// golden is a plan as released versions store it.
const golden = `{"epoch":1,"revision":2,"lead":"l","orders":[{"upstream":"u","addr":"127.0.0.1:1","role":"decode","version":"v1"}]}`

// TestGolden checks that plans stored by released versions can be read, and that new plans have the same encoding.
func TestGolden(t *testing.T) {
	want := &plan.Plan{
		Epoch: 1, Revision: 2, Leader: "l",
		Commands: []plan.Command{{Upstream: "u", Addr: "127.0.0.1:1", Role: "decode", Version: "v1"}},
	}
	got, err := plan.Parse([]byte(golden))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if encoded := string(want.Encode()); encoded != golden {
		t.Errorf("got encoding %s, want %s", encoded, golden)
	}
}
