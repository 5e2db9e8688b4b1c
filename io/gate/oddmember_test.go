package gate_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// oddMembers returns values that name no replica.
func oddMembers() []string {
	nested := strings.Repeat(`{"a":[`, 60_000) + strings.Repeat(`]}`, 60_000)
	list := []string{"", "null", "7", "\xff\xfe\x00", nested, `{"service":` + nested + `}`, `{"service":"` + strings.Repeat("x", 600_000) + `"}`}
	fields := map[string]string{"service": `"app"`, "address": `"127.0.0.1:9"`, "zone": `"z"`, "slots": "64", "state": `"ready"`, "stage": `""`, "sequence": "1", "born": "1", "coldRemainingMs": "0"}
	for field, values := range map[string][]string{
		"address": {`"127.0.0.1:70000"`, `"127.0.0.1:-1"`, `"127.0.0.1"`, `""`, `":1"`, `"[::1"`, "null"},
		"service": {"null", `""`, "{}"}, "state": {"null", `"asleep"`, "1"}, "stage": {`"both"`, "[]"},
		"slots": {"1e400", `"many"`}, "born": {"1e400", "true"}, "sequence": {"-1e999", "[]"}, "coldRemainingMs": {"1e400", "{}"},
	} {
		for _, value := range values {
			var pairs []string
			for name, usual := range fields {
				if name == field {
					usual = value
				}
				pairs = append(pairs, fmt.Sprintf("%q:%s", name, usual))
			}
			list = append(list, "{"+strings.Join(pairs, ",")+"}")
		}
	}
	return list
}

// TestOddMembers guards against a gate that ends, or no longer follows the list, because of entries that name no replica. All are
// there at once, before the start and after it, also in place of sound ones and under other keys that gates read.
func TestOddMembers(t *testing.T) {
	for _, isLater := range []bool{false, true} {
		t.Run(fmt.Sprintf("after the start %v", isLater), func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			store.Put("op/config", config(1, 3000))
			first, second := newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")
			replaced := newReplica(t, "i-3", "app", "")
			store.Put("servers/i-3", replaced.Registration("ready"))
			putOdd := func() {
				for i, value := range oddMembers() {
					for _, prefix := range []string{"servers/", "entries/", "plan/"} {
						store.Put(fmt.Sprintf("%sodd-%d", prefix, i), []byte(value))
					}
					store.Put("servers/i-3", []byte(value))
				}
				store.Put("servers/", []byte("{}"))
				store.Put("servers/"+strings.Repeat("k", 180), []byte("{}"))
			}
			if !isLater {
				putOdd()
			}
			g := startGate(t, store, "", first)
			g.waitReady(t)
			if isLater {
				putOdd()
			}
			isServedBy := func(id string) func() bool {
				return func() bool {
					resp, body := g.call(t, "GET", "/plain/x", "odd")
					return resp != nil && resp.StatusCode == http.StatusOK && strings.HasSuffix(body, id)
				}
			}
			eventually(t, 5*time.Second, "served by the first replica", isServedBy("i-1"))
			store.Put("servers/i-2", second.Registration("ready"))
			store.Remove("servers/i-1")
			eventually(t, 8*time.Second, "served by the replica that came later", isServedBy("i-2"))
			time.Sleep(2 * time.Second) // Until the replica that is gone and the replaced one have expired.
			for range 20 {
				if !isServedBy("i-2")() {
					t.Fatal("not served by the only replica in the list")
				}
			}
		})
	}
}
