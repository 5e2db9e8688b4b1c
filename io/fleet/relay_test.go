package fleet_test

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"pimentoseam/core/conf"
	"pimentoseam/core/setup"
	"pimentoseam/io/simnet"
)

func newRelay(t *testing.T, target netip.AddrPort) *simnet.Relay {
	t.Helper()
	r, err := simnet.New(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// relayStore puts a relay between an entry and the key-value service.
func (c *cluster) relayStore(entry string) *simnet.Relay {
	c.t.Helper()
	file := filepath.Join(c.dir, entry+".json")
	set, err := setup.ReadEntry(file)
	if err != nil {
		c.t.Fatal(err)
	}
	r := newRelay(c.t, set.Store)
	set.Store = r.Addr()
	c.writeJSON(file, set)
	return r
}

// relayUpstream puts a relay between an agent and its upstream.
func (c *cluster) relayUpstream(name string) *simnet.Relay {
	c.t.Helper()
	file := filepath.Join(c.dir, "agent-"+name+".json")
	set, err := setup.ReadAgent(file)
	if err != nil {
		c.t.Fatal(err)
	}
	r := newRelay(c.t, set.Upstream)
	set.Upstream = r.Addr()
	c.writeJSON(file, set)
	return r
}

// relayAgents puts a relay before each agent.
func (c *cluster) relayAgents() []*simnet.Relay {
	var relays []*simnet.Relay
	c.editConfig(func(d *conf.Document) {
		for i := range d.Upstreams {
			r := newRelay(c.t, d.Upstreams[i].Address)
			relays = append(relays, r)
			d.Upstreams[i].Address = r.Addr()
		}
	})
	return relays
}

func (c *cluster) writeJSON(file string, v any) {
	c.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		c.t.Fatal(err)
	}
}
