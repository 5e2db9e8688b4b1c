package tend_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pimentoseam/core/notice"
	"pimentoseam/core/plan"
	"pimentoseam/core/setup"
	"pimentoseam/core/stamp"
	"pimentoseam/io/simop"
	"pimentoseam/io/tend"
)

// eventually fails the test unless condition becomes true within a timeout; state names that condition.
func eventually(t *testing.T, timeout time.Duration, state string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not %s within %v", state, timeout)
}

// startAgent runs an agent until the test ends and returns the address at which it receives notices.
func startAgent(t *testing.T, store *simop.Store, engine *simop.Replica) netip.AddrPort {
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
	agent := tend.New(set, tend.WithNoticeTimeout(noticeTimeout))
	go func() { done <- agent.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return peer
}

// noticeTimeout is the time without a notice after which the agents in these tests read the plan from the store.
const noticeTimeout = 400 * time.Millisecond

// planFor returns an encoded plan with commands for the engine and for one at another address.
func planFor(engine *simop.Replica, role string) []byte {
	p := &plan.Plan{Epoch: 1, Commands: []plan.Command{
		{Upstream: "i-9", Addr: "127.0.0.1:1", Role: "decode"},
		{Upstream: engine.ID, Addr: engine.Addr().String(), Role: role},
	}}
	return p.Encode()
}

// sendDatagram sends data from a new UDP socket.
func sendDatagram(t *testing.T, to netip.AddrPort, data []byte) {
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

// noticeFor returns a notice with the engine's command.
func noticeFor(engine *simop.Replica, role string, revision int64) *notice.Notice {
	return &notice.Notice{Service: "lm", StoreRevision: revision, Upstream: engine.ID, Addr: engine.Addr().String(), Role: role}
}

// TestNotice sends notices to the agent while the store is unavailable: the engine gets one order for each change
// of its role, with the plan's revision as the token. It gets none for notices that are outdated, malformed or for
// another engine.
func TestNotice(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.SetMode(simop.Refusing)
	peer := startAgent(t, store, engine)
	time.Sleep(100 * time.Millisecond) // Until the agent listens.
	for i, role := range []string{"prefill", "decode", "prefill"} {
		sendDatagram(t, peer, noticeFor(engine, role, int64(10+i)).Encode())
		eventually(t, 3*time.Second, role, func() bool { return engine.Stage() == role })
		if got := engine.OrderTokens(); len(got) != i+1 || got[i] != int64(10+i) {
			t.Errorf("got orders with tokens %v after %d changes", got, i+1)
		}
	}
	other := noticeFor(engine, "decode", 20)
	other.Addr = "127.0.0.1:1"
	for _, data := range [][]byte{noticeFor(engine, "decode", 11).Encode(), other.Encode(), []byte("not a notice"), nil} {
		sendDatagram(t, peer, data)
	}
	time.Sleep(500 * time.Millisecond)
	if got := engine.OrderTokens(); len(got) != 3 {
		t.Errorf("got orders with tokens %v after notices without effect, want 3", got)
	}
	sendDatagram(t, peer, noticeFor(engine, "", 21).Encode())
	time.Sleep(300 * time.Millisecond)
	if got := engine.OrderTokens(); len(got) != 3 {
		t.Errorf("got orders with tokens %v after a plan without a command for the engine, want 3", got)
	}
}

// TestFollow changes the plan in the store while no notices arrive: the engine gets one order for each change, with
// increasing tokens, and none for an invalid or a deleted plan.
func TestFollow(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.Put("plan/lm", planFor(engine, "decode"))
	store.Put("plan/lmx", planFor(engine, "prefill"))
	startAgent(t, store, engine)
	time.Sleep(2 * noticeTimeout)
	if got := engine.OrderTokens(); len(got) != 0 {
		t.Errorf("got orders with tokens %v for the current role, want none", got)
	}
	for i, role := range []string{"prefill", "decode", "prefill"} {
		store.Put("plan/lm", planFor(engine, role))
		eventually(t, 3*time.Second, role, func() bool { return engine.Stage() == role })
		if got := engine.OrderTokens(); len(got) != i+1 || !slices.IsSorted(got) {
			t.Errorf("got orders with tokens %v after %d changes", got, i+1)
		}
	}
	store.Put("plan/lm", []byte("not a plan"))
	time.Sleep(2 * noticeTimeout)
	store.Remove("plan/lm")
	time.Sleep(2 * noticeTimeout)
	if got := engine.OrderTokens(); len(got) != 3 {
		t.Errorf("got orders with tokens %v after the plan was deleted, want 3", got)
	}
}

// TestRestart restarts the engine, which returns it to its initial role: the agent changes it to the plan's again.
func TestRestart(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.Put("plan/lm", planFor(engine, "prefill"))
	startAgent(t, store, engine)
	eventually(t, 3*time.Second, "prefill", func() bool { return engine.Stage() == "prefill" })
	engine.Restart("decode")
	eventually(t, 3*time.Second, "prefill again", func() bool { return engine.Stage() == "prefill" })
}

// TestOrderThatCrashesEngine guards against an agent that gives an engine the same order again each time the engine is back after
// it has ended under it.
func TestOrderThatCrashesEngine(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	engine.SetBorn(time.Now().UnixMilli())
	var orders atomic.Int64
	engine.SetOnOrder(func() {
		orders.Add(1)
		engine.Restart("decode")
		engine.SetBorn(time.Now().UnixMilli())
	})
	store.Put("plan/lm", planFor(engine, "prefill"))
	startAgent(t, store, engine)
	eventually(t, 5*time.Second, "ordered", func() bool { return orders.Load() > 0 })
	time.Sleep(16 * time.Second)
	if n := orders.Load(); n > 4 {
		t.Errorf("the engine got %d orders that end it in 16 seconds, want four at most", n)
	}
	engine.SetOnOrder(nil)
	store.Put("plan/lm", planFor(engine, "decode"))
	time.Sleep(2 * noticeTimeout)
	store.Put("plan/lm", planFor(engine, "prefill"))
	eventually(t, 40*time.Second, "ordered again", func() bool { return engine.Stage() == "prefill" })
}

// TestOtherInstance has a plan with a command for another instance at the engine's address: the engine, which got
// a new id when it restarted, accepts no order.
func TestOtherInstance(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	other := &plan.Plan{Commands: []plan.Command{{Upstream: "i-0", Addr: engine.Addr().String(), Role: "prefill"}}}
	store.Put("plan/lm", other.Encode())
	startAgent(t, store, engine)
	time.Sleep(500 * time.Millisecond)
	if got := engine.OrderTokens(); len(got) != 0 {
		t.Errorf("got orders with tokens %v for another instance, want none", got)
	}
}

// TestLeavingEngine checks that an engine that states that it leaves gets no order.
func TestLeavingEngine(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	engine.SetLeaving(true)
	peer := startAgent(t, store, engine)
	for range 15 {
		sendDatagram(t, peer, noticeFor(engine, "prefill", 2).Encode())
		time.Sleep(100 * time.Millisecond)
	}
	if orders := engine.OrderTokens(); len(orders) != 0 {
		t.Errorf("the leaving engine got orders with tokens %v, want none", orders)
	}
	engine.SetLeaving(false)
	engine.SetBorn(7)
	eventually(t, 4*time.Second, "ordered after its restart", func() bool {
		sendDatagram(t, peer, noticeFor(engine, "prefill", 2).Encode())
		return engine.Stage() == "prefill"
	})
}

// TestEngineRetryAfter checks that an engine that turns calls away with Retry-After gets no call for that time.
func TestEngineRetryAfter(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	engine.SetRetryAfter("3")
	peer := startAgent(t, store, engine)
	eventually(t, 2*time.Second, "turned away", func() bool {
		sendDatagram(t, peer, noticeFor(engine, "prefill", 2).Encode())
		return engine.TurnedAway() > 0
	})
	began := time.Now()
	for time.Since(began) < 2500*time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		sendDatagram(t, peer, noticeFor(engine, []string{"prefill", "decode"}[time.Now().Second()%2], time.Now().UnixNano()).Encode())
	}
	if n := engine.TurnedAway(); n != 1 {
		t.Errorf("the engine got %d calls in its pause, want only the one that it turned away", n)
	}
	engine.SetRetryAfter("")
	sendDatagram(t, peer, noticeFor(engine, "prefill", time.Now().UnixNano()).Encode())
	eventually(t, 5*time.Second, "ordered after its pause", func() bool { return engine.Stage() == "prefill" })
}

// TestTokensOverEras checks that the fencing tokens of orders rise when the store comes back from a copy and its
// revisions sink, that a notice of the leader before is then ignored, and that a plan which the copy has brought back is
// not followed until a leader of the present era has written it.
func TestTokensOverEras(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.SetEra(2)
	peer := startAgent(t, store, engine)
	follow := func(role string, st int64) {
		t.Helper()
		eventually(t, 5*time.Second, role, func() bool {
			sendDatagram(t, peer, noticeFor(engine, role, st).Encode())
			return engine.Stage() == role
		})
	}
	follow("prefill", stamp.Join(1, 50))
	follow("decode", stamp.Join(2, 7))
	for range 15 {
		sendDatagram(t, peer, noticeFor(engine, "prefill", stamp.Join(1, 60)).Encode())
		time.Sleep(100 * time.Millisecond)
	}
	if role := engine.Stage(); role != "decode" {
		t.Errorf("role %s by a notice of an earlier era, want decode", role)
	}
	for range 20 { // Revisions above that of the last notice.
		store.Put("plan/lm", planFor(engine, "prefill"))
	}
	time.Sleep(4 * noticeTimeout)
	if role := engine.Stage(); role != "decode" {
		t.Errorf("role %s by a plan of an earlier era, want decode", role)
	}
	p, err := plan.Parse(planFor(engine, "prefill"))
	if err != nil {
		t.Fatal(err)
	}
	p.Era = 2
	store.Put("plan/lm", p.Encode())
	eventually(t, 5*time.Second, "prefill", func() bool { return engine.Stage() == "prefill" })
	if tokens := engine.OrderTokens(); !slices.IsSorted(tokens) || len(tokens) != 3 {
		t.Errorf("tokens %v, want three that rise", tokens)
	}
}

// TestReportsWithinLimit guards against an agent that alone sends its engine more than the limit that it names, above all while
// the engine carries out an order.
func TestReportsWithinLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.7, 4} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			t.Parallel()
			store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
			t.Cleanup(store.Close)
			t.Cleanup(engine.Close)
			engine.SetLimit(fmt.Sprint(limit))
			engine.SetBusy(true)
			agent := startAgent(t, store, engine)
			const length = 9 * time.Second
			for range 9 {
				sendDatagram(t, agent, noticeFor(engine, "prefill", 7).Encode())
				time.Sleep(length / 9)
			}
			times := engine.Arrivals()
			// Callers need the rest of the limit: a tenth is for the agent, besides its first report.
			if most := 1 + int(max(0.1*limit, 0.1)*length.Seconds()) + 1; len(times) > most || len(times) == 0 {
				t.Errorf("the engine got %d reports in %v, want 1 to %d", len(times), length, most)
			}
		})
	}
}

// TestOddPlans guards against an agent that ends, or no longer follows the plan, because of values that are no plan, among them
// ones that are nested deeply, have a number too large or a port out of range.
func TestOddPlans(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	peer := startAgent(t, store, engine)
	nested := strings.Repeat(`{"a":[`, 60_000) + strings.Repeat(`]}`, 60_000)
	odd := []string{
		nested, `{"orders":` + nested + `}`, `{"epoch":1e400}`, `{"epoch":1e30}`, `{"era":99999999999999999999}`, `{"orders":[{"addr":"127.0.0.1:70000","role":"prefill"}]}`,
		`{"orders":[null,{"addr":7}]}`, "null", "[]", "\xff\xfe", `{"orders":[{"addr":"` + engine.Addr().String() + `","role":"both","upstream":"i-1"}]}`,
	}
	for _, value := range odd {
		store.Put("plan/lm", []byte(value))
		sendDatagram(t, peer, []byte(value)[:min(len(value), 1400)])
		time.Sleep(noticeTimeout)
	}
	store.Put("plan/lm", planFor(engine, "prefill"))
	eventually(t, 5*time.Second, "prefill by the plan", func() bool { return engine.Stage() == "prefill" })
	sendDatagram(t, peer, noticeFor(engine, "both", 1<<39).Encode())
	time.Sleep(noticeTimeout)
	if stage := engine.Stage(); stage != "prefill" {
		t.Errorf("the engine was ordered to be %q", stage)
	}
	sendDatagram(t, peer, noticeFor(engine, "decode", 1<<40).Encode())
	eventually(t, 5*time.Second, "decode by a notice", func() bool { return engine.Stage() == "decode" })
}
