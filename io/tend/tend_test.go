package tend_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pimentoseam/core/notice"
	"pimentoseam/core/plan"
	"pimentoseam/core/setup"
	"pimentoseam/io/simop"
	"pimentoseam/io/tend"
)

func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not %s within %v", what, within)
}

// run runs an agent until the test ends and returns where it takes notices.
func run(t *testing.T, store *simop.Store, engine *simop.Replica) netip.AddrPort {
	t.Helper()
	probe, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	peer := netip.MustParseAddrPort(probe.LocalAddr().String())
	if err := probe.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	set := &setup.Tend{Name: "vm-1", Engine: engine.Addr(), Service: "lm", Store: store.Addr(), Peer: peer}
	a := tend.New(set, tend.WithSilence(silence))
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return peer
}

// silence is the time after which the agents of these tests ask the store.
const silence = 400 * time.Millisecond

func order(engine *simop.Replica, role string) []byte {
	p := &plan.Plan{Epoch: 1, Commands: []plan.Command{
		{Upstream: "i-9", Addr: "127.0.0.1:1", Role: "decode"},
		{Upstream: engine.ID, Addr: engine.Addr().String(), Role: role},
	}}
	return p.Encode()
}

func send(t *testing.T, to netip.AddrPort, data []byte) {
	t.Helper()
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
}

func told(engine *simop.Replica, role string, revision int64) *notice.Notice {
	return &notice.Notice{Service: "lm", Revision: revision, Upstream: engine.ID, Addr: engine.Addr().String(), Role: role}
}

// TestNotice has a lead tell the agent: the engine gets an order for each change, with rising numbers, and none
// for what is old, broken or for others. The store is not asked.
func TestNotice(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.SetMode(simop.Refusing)
	peer := run(t, store, engine)
	time.Sleep(100 * time.Millisecond) // Until it listens.
	for i, role := range []string{"prefill", "decode", "prefill"} {
		send(t, peer, told(engine, role, int64(10+i)).Encode())
		eventually(t, 3*time.Second, role, func() bool { return engine.Stage() == role })
		if got := engine.OrderTokens(); len(got) != i+1 || got[i] != int64(10+i) {
			t.Errorf("orders %v after %d changes", got, i+1)
		}
	}
	other := told(engine, "decode", 20)
	other.Addr = "127.0.0.1:1"
	for _, data := range [][]byte{told(engine, "decode", 11).Encode(), other.Encode(), []byte("no notice"), nil} {
		send(t, peer, data)
	}
	time.Sleep(500 * time.Millisecond)
	if got := engine.OrderTokens(); len(got) != 3 {
		t.Errorf("orders %v after notices that say nothing", got)
	}
	send(t, peer, told(engine, "", 21).Encode())
	time.Sleep(300 * time.Millisecond)
	if got := engine.OrderTokens(); len(got) != 3 {
		t.Errorf("orders %v after a plan that leaves the engine as it is", got)
	}
}

// TestFollow changes the plan in the store while no lead is heard: the engine gets an order for each change,
// with rising numbers, and none else.
func TestFollow(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.Put("plan/lm", order(engine, "decode"))
	store.Put("plan/lmx", order(engine, "prefill"))
	run(t, store, engine)
	time.Sleep(2 * silence)
	if got := engine.OrderTokens(); len(got) != 0 {
		t.Errorf("orders %v for the role that it has", got)
	}
	for i, role := range []string{"prefill", "decode", "prefill"} {
		store.Put("plan/lm", order(engine, role))
		eventually(t, 3*time.Second, role, func() bool { return engine.Stage() == role })
		if got := engine.OrderTokens(); len(got) != i+1 || !slices.IsSorted(got) {
			t.Errorf("orders %v after %d changes", got, i+1)
		}
	}
	store.Put("plan/lm", []byte("no plan"))
	time.Sleep(2 * silence)
	store.Remove("plan/lm")
	time.Sleep(2 * silence)
	if got := engine.OrderTokens(); len(got) != 3 {
		t.Errorf("orders %v after the plan was lost", got)
	}
}

// TestRestart has the engine start again with its first role: it is brought back to the plan's.
func TestRestart(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.Put("plan/lm", order(engine, "prefill"))
	run(t, store, engine)
	eventually(t, 3*time.Second, "prefill", func() bool { return engine.Stage() == "prefill" })
	engine.Restart("decode")
	eventually(t, 3*time.Second, "prefill again", func() bool { return engine.Stage() == "prefill" })
}

// TestOtherInstance has another replica answer at the engine's address: it gets no order.
func TestOtherInstance(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	other := &plan.Plan{Commands: []plan.Command{{Upstream: "i-0", Addr: engine.Addr().String(), Role: "prefill"}}}
	store.Put("plan/lm", other.Encode())
	run(t, store, engine)
	time.Sleep(500 * time.Millisecond)
	if got := engine.OrderTokens(); len(got) != 0 {
		t.Errorf("orders %v reached another start of the engine", got)
	}
}
