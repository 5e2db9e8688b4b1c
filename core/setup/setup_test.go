package setup_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pimentoseam/core/setup"
)

func TestReadEntry(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(file, []byte(`{"name": "e", "zone": "bole", "listen": "here", "colour": "red"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := setup.ReadEntry(file)
	var bad *setup.Invalid
	if !errors.As(err, &bad) {
		t.Fatalf("got %v, want *setup.Invalid", err)
	}
	if len(bad.Faults) != 3 {
		t.Errorf("got faults %q, want three: the missing fields, the unknown field and the address", bad.Faults)
	}
	if _, err := setup.ReadAgent(filepath.Join(t.TempDir(), "none")); !errors.As(err, &bad) {
		t.Errorf("missing file: got %v, want *setup.Invalid", err)
	}
}

// TestReadGate reads settings as the platform's template renders them without most bounds.
func TestReadGate(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gate.json")
	text := `{"name": "front-bole-hall-1", "zone": "bole-hall", "listen": "10.1.0.38:8149", "ready": "10.1.0.38:8141", "share": "10.1.0.38:8144",
		"peer": "10.1.0.38:7380", "debug": "10.1.0.38:9180", "drain": "1500.5ms", "revoke": "700ms", "strict": true, "store": "10.200.1.7:8142"}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	g, err := setup.ReadGate(file)
	if err != nil {
		t.Fatal(err)
	}
	if g.DrainTime.Duration() != 1500500*time.Microsecond || g.GracePeriod.Duration() <= 0 || g.RetryWindow.Duration() <= 0 || g.RetrySlack <= 0 {
		t.Errorf("got %+v, want the stated drain time and defaults for the rest", g.Bounds)
	}
	if g.RevokeTime.Duration() != 700*time.Millisecond || !g.StrictRevoke {
		t.Errorf("got %+v, want the stated time of a strict revocation", g.Bounds)
	}
	if g.HasDuty(setup.UsageReport) || g.Fenced {
		t.Errorf("got duties %q without a cloud address, want none", g.Duties)
	}
	duties := strings.TrimSuffix(text, "}") + `, "cloud": "10.200.1.9:8150", "duties": "usage_report,other", "dutyrate": 50, "report": "5s", "late": "10s", "fenced": true, "thaw": "300ms"}`
	if err := os.WriteFile(file, []byte(duties), 0o600); err != nil {
		t.Fatal(err)
	}
	if g, err = setup.ReadGate(file); err != nil || !g.HasDuty(setup.UsageReport) || g.HasDuty(setup.Autoscale) || !g.Fenced || g.DutyRate != 50 {
		t.Errorf("got %+v, %v, want the duty usage_report with fencing", g, err)
	}
	if err := os.WriteFile(file, []byte(`{"name": "", "grace": "soon", "slack": -1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var bad *setup.Invalid
	if _, err := setup.ReadGate(file); !errors.As(err, &bad) || len(bad.Faults) < 4 {
		t.Errorf("got %v, want all faults", err)
	}
	if _, err := setup.ReadTend(file); !errors.As(err, &bad) {
		t.Errorf("tend: got %v, want *setup.Invalid", err)
	}
}

// TestMemory guards against settings that a process doesn't take from its file, or takes over while it runs although it applies them
// at its start.
func TestMemory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tend.json")
	text := `{"name": "side-1", "engine": "10.1.0.38:8149", "service": "lm", "store": "10.200.1.7:8142", "debug": "10.1.0.38:9181", "memory": 216, "files": 4096}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	next, err := setup.ReadTend(file)
	if err != nil {
		t.Fatal(err)
	}
	if next.Memory != 216 || next.Files != 4096 {
		t.Errorf("got %+v", next)
	}
	old := *next
	old.Memory = 0
	if c := next.KeepFixed(&old); next.Memory != 0 || len(c.Deferred) != 1 || c.Deferred[0] != "memory" {
		t.Errorf("got %d MB and %+v", next.Memory, c)
	}
	gate := &setup.Gate{Memory: 144, Files: 3075}
	if c := gate.KeepFixed(&setup.Gate{}); gate.Memory != 0 || gate.Files != 0 || len(c.Deferred) != 2 {
		t.Errorf("got %+v and %+v", gate, c)
	}
}

// TestEntryAgain guards against settings of an entry that can't be read once they are written again with their defaults.
func TestEntryAgain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	text := `{"name":"e","zone":"z","listen":"127.0.0.1:1","admin":"127.0.0.1:2","store":"127.0.0.1:3","vms":"127.0.0.1:4","secret":"0123456789abcdef","token":"` + strings.Repeat("0", 64) + `"}`
	for range 2 {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		e, err := setup.ReadEntry(file)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		text = string(data)
	}
}
