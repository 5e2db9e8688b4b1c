package tend_test

import (
	"context"
	"slices"
	"testing"
	"time"

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

func run(t *testing.T, store *simop.Store, engine *simop.Replica) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	a := tend.New(&setup.Tend{Name: "vm-1", Engine: engine.Addr(), Service: "lm", Store: store.Addr()})
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func order(engine *simop.Replica, role string) []byte {
	p := &plan.Plan{Epoch: 1, Orders: []plan.Order{
		{Upstream: "i-9", Addr: "127.0.0.1:1", Role: "decode"},
		{Upstream: engine.ID, Addr: engine.Addr().String(), Role: role},
	}}
	return p.Encode()
}

// TestFollow changes the plan: the engine gets an order for each change, with rising numbers, and none else.
func TestFollow(t *testing.T) {
	store, engine := simop.NewStore(), simop.NewReplica("i-1", "lm", "decode")
	t.Cleanup(store.Close)
	t.Cleanup(engine.Close)
	store.Put("plan/lm", order(engine, "decode"))
	store.Put("plan/lmx", order(engine, "prefill"))
	run(t, store, engine)
	time.Sleep(300 * time.Millisecond)
	if got := engine.Orders(); len(got) != 0 {
		t.Errorf("orders %v for the role that it has", got)
	}
	for i, role := range []string{"prefill", "decode", "prefill"} {
		store.Put("plan/lm", order(engine, role))
		eventually(t, 3*time.Second, role, func() bool { return engine.Stage() == role })
		if got := engine.Orders(); len(got) != i+1 || !slices.IsSorted(got) {
			t.Errorf("orders %v after %d changes", got, i+1)
		}
	}
	store.Put("plan/lm", []byte("no plan"))
	store.Remove("plan/lm")
	time.Sleep(300 * time.Millisecond)
	if got := engine.Orders(); len(got) != 3 {
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
	other := &plan.Plan{Orders: []plan.Order{{Upstream: "i-0", Addr: engine.Addr().String(), Role: "prefill"}}}
	store.Put("plan/lm", other.Encode())
	run(t, store, engine)
	time.Sleep(500 * time.Millisecond)
	if got := engine.Orders(); len(got) != 0 {
		t.Errorf("orders %v reached another start of the engine", got)
	}
}
