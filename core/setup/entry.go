package setup

import (
	_ "embed"
	"net/netip"
	"time"

	"pimentoseam/core/span"
)

// defaultEntryGrace is the time from SIGTERM to SIGKILL of an entry whose settings don't state it.
const defaultEntryGrace = time.Minute

// Entry holds the settings of an entry process.
type Entry struct {
	Name      string         `json:"name"`
	Zone      string         `json:"zone"`
	Listen    netip.AddrPort `json:"listen"`
	Admin     netip.AddrPort `json:"admin"`
	Store     netip.AddrPort `json:"store"`
	VMs       netip.AddrPort `json:"vms"`
	Secret    string         `json:"secret"` // The secret shared with the agents.
	TokenHash string         `json:"token"`  // The SHA-256 of the operators' token in hexadecimal.
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod span.Span `json:"grace,omitempty"`
}

//go:embed entry.json
var entrySchema []byte

// ReadEntry reads and validates a settings file; its error is a *Invalid that lists every fault.
func ReadEntry(path string) (*Entry, error) {
	e := Entry{GracePeriod: span.Span(defaultEntryGrace)}
	if err := read(path, entrySchema, &e); err != nil {
		return nil, err
	}
	return &e, nil
}
