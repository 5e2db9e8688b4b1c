package setup

import (
	_ "embed"
	"net/netip"
)

// Tend holds the settings of the agent that passes commands to a model engine on the operations platform.
type Tend struct {
	Name    string         `json:"name"`    // The name of the VM, which holds the engine's lease.
	Engine  netip.AddrPort `json:"engine"`  // The address of the engine on the same VM.
	Service string         `json:"service"` // The service that the engine belongs to.
	Store   netip.AddrPort `json:"store"`
	Peer    netip.AddrPort `json:"peer"`   // The UDP address for notices from the leader; without it the agent only polls the store.
	Debug   netip.AddrPort `json:"debug"`  // The address that serves metrics.
	Memory  int64          `json:"memory"` // The memory of the VM in MiB, which the platform enforces; 0 for no bound.
	Files   int64          `json:"files"`  // The file descriptors that the process may have open; 0 for no bound.
}

func (*Tend) settings() {}

//go:embed tend.json
var tendSchema []byte

// ReadTend reads and validates a settings file; its error is a *Invalid that lists every fault.
func ReadTend(path string) (*Tend, error) {
	var t Tend
	if err := read(path, tendSchema, &t); err != nil {
		return nil, err
	}
	return &t, nil
}
