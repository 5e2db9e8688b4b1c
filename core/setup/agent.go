package setup

import (
	_ "embed"
	"net/netip"
)

// Agent holds the settings of an agent process.
type Agent struct {
	Name     string         `json:"name"` // The name of the upstream.
	Zone     string         `json:"zone"`
	Listen   netip.AddrPort `json:"listen"`
	Upstream netip.AddrPort `json:"upstream"` // The address of the engine or service behind the agent.
	Kind     string         `json:"kind"`     // "model" or "service".
	Target   string         `json:"target"`   // The name of the target that the upstream serves.
	Slots    int            `json:"slots"`    // The number of requests that run at the same time.
	Store    netip.AddrPort `json:"store"`
	Secret   string         `json:"secret"` // The secret shared with the entries.
}

//go:embed agent.json
var agentSchema []byte

// ReadAgent reads and validates a settings file; its error is a *Invalid that lists every fault.
func ReadAgent(path string) (*Agent, error) {
	var a Agent
	if err := read(path, agentSchema, &a); err != nil {
		return nil, err
	}
	return &a, nil
}
