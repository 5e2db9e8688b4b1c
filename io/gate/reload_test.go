package gate_test

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pimentoseam/core/setup"
	"pimentoseam/io/gate"
)

// TestReload changes the settings file of a running gate without a signal: a file that can't be used changes
// nothing, then the gate follows another store, and what it can't change while it runs stays.
func TestReload(t *testing.T) {
	store, next := newStore(t), newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	next.Put("servers/i-1", app.Registration("ready"))
	for range 10 { // The same store goes on elsewhere: its revisions are higher.
		next.Put("op/config", []byte(strings.ReplaceAll(string(config(5, 3000)), "/plain/", "/newer/")))
	}
	set := settings(t, store, "")
	file := filepath.Join(t.TempDir(), "gate.json")
	write := func(s *setup.Gate) {
		data, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(set)
	log := &counter{}
	s := startGate(t, store, set, gate.New(set, gate.WithLog(log), gate.WithFile(file)), app)
	s.ready(t)
	if err := os.WriteFile(file, []byte(`{"name":`), 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, 4*time.Second, "refused", func() bool { return log.lines("level=ERROR msg=reload") == 1 })
	if answer, _ := s.call(t, "GET", "/plain/x", "r1"); answer == nil || answer.StatusCode != 200 {
		t.Errorf("with a broken file: got %v", answer)
	}
	changed := *set
	changed.Store, changed.Listen = next.Addr(), netip.MustParseAddrPort("127.0.0.1:1")
	write(&changed)
	eventually(t, 6*time.Second, "at the other store", func() bool {
		answer, _ := s.call(t, "GET", "/newer/x", "r2")
		return answer != nil && answer.StatusCode == 200
	})
	if log.lines("now=[store] later=[listen]") != 1 {
		t.Error("the log does not tell what changed at once and what waits")
	}
}
