package setup_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"pimentoseam/core/setup"
)

// FuzzRead reads arbitrary bytes as settings; accepted settings must have a name and valid addresses.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"name": "e", "zone": "bole", "listen": "127.0.0.1:1", "admin": "127.0.0.1:2", "store": "127.0.0.1:3", "vms": "127.0.0.1:4", "secret": "0123456789abcdef", "token": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}`))
	f.Add([]byte(`{"name": "a", "zone": "bole", "listen": "[::1]:1", "upstream": "127.0.0.1:2", "kind": "model", "target": "lm", "slots": 8, "store": "127.0.0.1:3", "secret": "0123456789abcdef"}`))
	f.Add([]byte(`{"name": "e", "listen": "300.0.0.1:99999"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if e, err := setup.ReadEntry(file); err == nil {
			if e.Name == "" || !e.Listen.IsValid() || !e.Admin.IsValid() || !e.Store.IsValid() || !e.VMs.IsValid() {
				t.Errorf("accepted %+v", e)
			}
		} else if bad := new(setup.Invalid); !errors.As(err, &bad) || len(bad.Faults) == 0 {
			t.Errorf("got %v, want a *setup.Invalid that lists the faults", err)
		}
		if a, err := setup.ReadAgent(file); err == nil {
			if a.Name == "" || a.Slots < 1 || !a.Listen.IsValid() || !a.Upstream.IsValid() || !a.Store.IsValid() {
				t.Errorf("accepted %+v", a)
			}
		} else if bad := new(setup.Invalid); !errors.As(err, &bad) || len(bad.Faults) == 0 {
			t.Errorf("got %v, want a *setup.Invalid that lists the faults", err)
		}
	})
}
