package parts_test

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/parts"
)

// golden is the head of a configuration as released versions store it.
const golden = `{"revision":1,"recent":[{"id":"s","revision":1}],"parts":[{"name":"base","key":"s-base-1","hash":"1"}],"stale":["old"],` +
	`"former":[{"target":"app","until":"1970-01-01T00:00:01.000000002Z","lost":[{"name":"u","target":"app","zone":"z","address":"127.0.0.1:1","slots":2,"role":"mixed","drain":true}],"gained":["v"],"forgotten":true}]}`

// TestGolden checks that heads stored by released versions can be read, and that new heads have the same encoding.
func TestGolden(t *testing.T) {
	want := &parts.Head{
		Revision: 1, Recent: []parts.Submission{{ID: "s", Revision: 1}},
		Parts: []parts.Part{{Name: "base", Key: "s-base-1", Hash: "1"}}, Stale: []string{"old"},
		Changes: []parts.Change{{
			Target: "app", Until: time.Unix(1, 2).UTC(), Added: []string{"v"}, Unknown: true,
			Removed: []conf.Upstream{{
				Name: "u", Target: "app", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 2, Role: "mixed", Drain: true,
			}},
		}},
	}
	got, err := parts.Parse([]byte(golden))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if encoded := string(want.Encode()); encoded != golden {
		t.Errorf("got encoding %s, want %s", encoded, golden)
	}
}
