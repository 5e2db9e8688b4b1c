package setup

import (
	_ "embed"
	"net/netip"
)

// Tend holds the settings of the agent that gives a model engine its orders on the operations platform.
type Tend struct {
	Name    string         `json:"name"`    // of the VM, the holder of its orders
	Engine  netip.AddrPort `json:"engine"`  // the engine on the same VM
	Service string         `json:"service"` // that the engine belongs to
	Store   netip.AddrPort `json:"store"`
	Peer    netip.AddrPort `json:"peer"`  // UDP, for notices of the lead; without it only the store is asked
	Debug   netip.AddrPort `json:"debug"` // for metrics
}

func (*Tend) settings() {}

//go:embed tend.json
var tendSchema []byte

// ReadTend returns the settings in a file; its error is a *Invalid that lists every fault.
func ReadTend(path string) (*Tend, error) {
	var t Tend
	if err := read(path, tendSchema, &t); err != nil {
		return nil, err
	}
	return &t, nil
}
