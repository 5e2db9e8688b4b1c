package proc_test

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"pimentoseam/core/setup"
	"pimentoseam/io/proc"
)

// TestSettingsChangedEarly changes the file after the watch was created and before it runs, as a change during the
// start of a process does. The change must still be applied.
func TestSettingsChangedEarly(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gate.json")
	if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	watch := proc.WatchSettings(file)
	if err := os.WriteFile(file, []byte("{ }"), 0o600); err != nil {
		t.Fatal(err)
	}
	waitApplied(t, watch, 4*time.Second)
}

// TestHangupEarly sends SIGHUP before the watch runs. It must not end the process, and the file is read again.
func TestHangupEarly(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gate.json")
	if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	watch := proc.WatchSettings(file)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitApplied(t, watch, 4*time.Second)
}

// waitApplied runs the watch until it has called apply once.
func waitApplied(t *testing.T, watch *proc.SettingsFile, limit time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	applied := make(chan struct{}, 1)
	go watch.Run(ctx, slog.New(slog.DiscardHandler), func() (*setup.Change, error) {
		applied <- struct{}{}
		return &setup.Change{}, nil
	})
	select {
	case <-applied:
	case <-ctx.Done():
		t.Errorf("not applied within %v", limit)
	}
}
