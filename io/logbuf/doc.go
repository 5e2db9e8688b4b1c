// Package logbuf is a slog.Handler that never blocks its callers and limits the rate of log lines.
package logbuf
