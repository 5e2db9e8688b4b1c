package setup

import (
	_ "embed"
	"net/netip"

	"pimentoseam/core/span"
)

// Gate holds the settings of an entry on the operations platform.
type Gate struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Listen netip.AddrPort `json:"listen"` // for callers
	Ready  netip.AddrPort `json:"ready"`  // for the balancer's readiness calls
	Share  netip.AddrPort `json:"share"`  // TCP, where other entries ask for the configuration
	Peer   netip.AddrPort `json:"peer"`   // UDP, for other entries' load
	Debug  netip.AddrPort `json:"debug"`  // for metrics
	Store  netip.AddrPort `json:"store"`
	Seeds  string         `json:"seeds"` // share addresses of some entries, joined by commas; may be stale
	First  bool           `json:"first"` // the whole system starts for the first time
	Bounds
}

// Bounds holds what the platform demands of the system's timing.
type Bounds struct {
	Grace  span.Span `json:"grace"`  // from SIGTERM to SIGKILL
	Drain  span.Span `json:"drain"`  // until a leaving upstream gets no new work
	Apply  span.Span `json:"apply"`  // until a configuration is in force
	Lease  span.Span `json:"lease"`  // within which an engine must not get orders of two holders
	Ratio  float64   `json:"ratio"`  // repeated sends to a service for each first one
	Slack  float64   `json:"slack"`  // repeated sends to a service in a window beside the ratio
	Window span.Span `json:"window"` // span that ratio and slack hold for
}

func (*Gate) settings() {}

//go:embed gate.json
var gateSchema []byte

// ReadGate returns the settings in a file; its error is a *Invalid that lists every fault.
func ReadGate(path string) (*Gate, error) {
	g := Gate{Bounds: defaultBounds}
	if err := read(path, gateSchema, &g); err != nil {
		return nil, err
	}
	return &g, nil
}
