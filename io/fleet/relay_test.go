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

// newRelay starts a relay to target and closes it at the end of the test.
func newRelay(t *testing.T, target netip.AddrPort) *simnet.Relay {
	t.Helper()
	relay, err := simnet.New(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return relay
}

// relayStore inserts a relay between an entry, which must not run yet, and the key-value service.
func (c *cluster) relayStore(entry string) *simnet.Relay {
	c.t.Helper()
	file := filepath.Join(c.dir, entry+".json")
	settings, err := setup.ReadEntry(file)
	if err != nil {
		c.t.Fatal(err)
	}
	relay := newRelay(c.t, settings.Store)
	settings.Store = relay.Addr()
	c.writeJSON(file, settings)
	return relay
}

// relayUpstream inserts a relay between an agent, which must not run yet, and its upstream.
func (c *cluster) relayUpstream(name string) *simnet.Relay {
	c.t.Helper()
	file := filepath.Join(c.dir, "agent-"+name+".json")
	settings, err := setup.ReadAgent(file)
	if err != nil {
		c.t.Fatal(err)
	}
	relay := newRelay(c.t, settings.Upstream)
	settings.Upstream = relay.Addr()
	c.writeJSON(file, settings)
	return relay
}

// relayAgents inserts a relay between the entries and each agent, in the order of the configuration. It must be called
// before the configuration is submitted.
func (c *cluster) relayAgents() []*simnet.Relay {
	var relays []*simnet.Relay
	c.editConfig(func(d *conf.Document) {
		for i := range d.Upstreams {
			relay := newRelay(c.t, d.Upstreams[i].Address)
			relays = append(relays, relay)
			d.Upstreams[i].Address = relay.Addr()
		}
	})
	return relays
}

// writeJSON replaces a file by the JSON encoding of v.
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
