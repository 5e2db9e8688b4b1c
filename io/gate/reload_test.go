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
	"pimentoseam/io/proc"
)

// TestReload changes the settings file of a running gate without a signal. An invalid file has no effect. A valid one
// with another store takes effect, while a setting that requires a restart stays as it is.
func TestReload(t *testing.T) {
	store, next := newStore(t), newStore(t)
	store.Put("op/config", config(1, 3000))
	app := newReplica(t, "i-1", "app", "")
	next.Put("servers/i-1", app.Registration("ready"))
	for range 10 { // The second store stands for the first at a new address, so its revisions must be higher.
		next.Put("op/config", []byte(strings.ReplaceAll(string(config(5, 3000)), "/plain/", "/newer/")))
	}
	set := newSettings(t, store, "")
	file := filepath.Join(t.TempDir(), "gate.json")
	write := func(settings *setup.Gate) {
		data, err := json.Marshal(settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(set)
	log := &logRecorder{}
	g := runGate(t, store, set, gate.New(set, gate.WithLog(log), gate.WithFile(proc.WatchSettings(file))), app)
	g.waitReady(t)
	if err := os.WriteFile(file, []byte(`{"name":`), 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, 4*time.Second, "rejected", func() bool { return log.countLines("level=ERROR msg=reload") == 1 })
	if resp, _ := g.call(t, "GET", "/plain/x", "r1"); resp == nil || resp.StatusCode != 200 {
		t.Errorf("with an invalid file: got %v, want 200", resp)
	}
	changed := *set
	changed.Store, changed.Listen = next.Addr(), netip.MustParseAddrPort("127.0.0.1:1")
	write(&changed)
	eventually(t, 6*time.Second, "at the other store", func() bool {
		resp, _ := g.call(t, "GET", "/newer/x", "r2")
		return resp != nil && resp.StatusCode == 200
	})
	if log.countLines("now=[store] later=[listen]") != 1 {
		t.Error("no log line names store as applied and listen as deferred")
	}
}
