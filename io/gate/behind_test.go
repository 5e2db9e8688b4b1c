package gate_test

import (
	"fmt"
	"testing"
	"time"

	"pimentoseam/io/simop"
)

// TestNewerListOfPeer guards against an entry that relies on its peers and learns of their newer list only after seconds, because
// their beats, which don't state the era, take the place of their alerts.
func TestNewerListOfPeer(t *testing.T) {
	t.Parallel()
	store, failing := newStore(t), newStore(t)
	store.SetEra(4)
	store.Put("op/config", config(1, 3000))
	replicas := []*simop.Replica{newReplica(t, "i-1", "app", ""), newReplica(t, "i-2", "app", "")}
	g := startGate(t, store, "", replicas[0])
	g.waitReady(t)
	failing.SetMode(simop.Refusing)
	h := startPeer(t, failing, g)
	h.waitReady(t)
	for i := range 12 {
		added := newReplica(t, fmt.Sprintf("i-%d", 10+i), "app", "")
		store.Put("op/config", config(2+i, 3000)) // Newer, too.
		store.Put("servers/"+added.ID, added.Registration("ready"))
		if i > 0 {
			store.Remove(fmt.Sprintf("servers/i-%d", 9+i)) // So that few others take its requests.
		}
		eventually(t, 1600*time.Millisecond, h.set.Name+" using replica "+added.ID, func() bool { return served(t, h, "/plain/x") == added.ID })
	}
}
