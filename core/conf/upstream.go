package conf

import (
	"fmt"
	"net/netip"
)

// Upstream is a model engine or an instance of a plain service, reached through the agent at Address.
type Upstream struct {
	Name    string         `json:"name"`
	Target  string         `json:"target"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	Slots   int            `json:"slots"`
	Role    string         `json:"role,omitempty"`
	Drain   bool           `json:"drain,omitempty"`
}

func (c *checker) checkUpstreams(d *Document) {
	c.names = map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, u := range d.Upstreams {
		path := fmt.Sprintf("/upstreams/%d", i)
		c.checkUniqueName(path, u.Name)
		if addresses[u.Address] {
			c.addFault(path+"/address", "is used twice")
		}
		addresses[u.Address] = true
		t := d.Target(u.Target)
		if t == nil {
			c.addFault(path+"/target", "there is no target %q", u.Target)
			continue
		}
		if t.Kind == Service && u.Role != "" {
			c.addFault(path+"/role", "a plain service has no role")
		}
	}
}
