package proc

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"pimentoseam/core/setup"
)

// reloadInterval is the time between checks of the settings file for a change.
const reloadInterval = time.Second

// SettingsFile watches a settings file for changes.
type SettingsFile struct {
	path    string // Empty for none.
	version string // The version that was applied last.
	hangup  chan os.Signal
}

// WatchSettings returns a SettingsFile that reports changes after this call, so it must precede the first read of
// the file. From this call on, SIGHUP no longer ends the process.
func WatchSettings(path string) *SettingsFile {
	f := &SettingsFile{path: path, version: fileVersion(path), hangup: make(chan os.Signal, 1)}
	signal.Notify(f.hangup, syscall.SIGHUP)
	return f
}

// Path returns the path of the file, empty for none.
func (f *SettingsFile) Path() string {
	return f.path
}

// Run calls apply on each SIGHUP and after each change of the file, until ctx ends, and logs the result. If apply
// fails, the settings stay as they are. Without a file, SIGHUP is only logged.
func (f *SettingsFile) Run(ctx context.Context, log *slog.Logger, apply func() (*setup.Change, error)) {
	defer signal.Stop(f.hangup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		why := "signal"
		select {
		case <-ctx.Done():
			return
		case <-f.hangup:
		case <-ticker.C:
			if fileVersion(f.path) == f.version {
				continue
			}
			why = "file"
		}
		f.version = fileVersion(f.path)
		if f.path == "" {
			log.Info("reload", "why", why, "file", f.path)
			continue
		}
		change, err := apply()
		if err != nil {
			log.Error("reload", "why", why, "file", f.path, "err", err)
			continue
		}
		log.Info("reload", "why", why, "file", f.path, "now", change.Applied, "later", change.Deferred)
	}
}

// fileVersion returns a string that changes when the file is modified or can't be read.
func fileVersion(file string) string {
	if file == "" {
		return ""
	}
	info, err := os.Stat(file)
	if err != nil {
		return err.Error() // This counts as a change, so that apply reports the error.
	}
	return info.ModTime().String() + strconv.FormatInt(info.Size(), 10)
}
