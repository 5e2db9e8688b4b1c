// Package logbuf writes log lines without blocking their writers and within a bounded volume.
package logbuf
