package simai

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"pimentoseam/io/simflt"
)

// Phase is what an engine is doing about its orders.
type Phase string

// The phases of an engine.
const (
	Ready    Phase = "ready"
	Changing Phase = "changing"
	Broken   Phase = "broken" // Crashed inside a change; settles by itself after a while.
)

const crashTime = time.Second

// State is what the engine reports of itself.
type State struct {
	Phase    Phase  `json:"phase"`
	Role     string `json:"role"`
	Version  string `json:"version"`
	Epoch    int64  `json:"epoch"`
	Revision int64  `json:"revision"`
	Running  int64  `json:"running"`
}

// Order asks the engine for a role and a version under a fencing number.
type Order struct {
	Epoch    int64  `json:"epoch"`
	Revision int64  `json:"revision"`
	Role     string `json:"role"`
	Version  string `json:"version"`
	Holder   string `json:"holder"`
}

// History lists the orders taken and what was wrong with them.
type History struct {
	Orders []Order  `json:"orders"`
	Wrong  []string `json:"wrong"`
	Cut    int64    `json:"cut"`
}

func (o Order) older(p Order) bool {
	if o.Epoch != p.Epoch {
		return o.Epoch < p.Epoch
	}
	return o.Revision < p.Revision
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.take(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if _, ok := e.faults.Trigger(simflt.Crash, r); ok {
		e.crash(o)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(e.set.Change)
	e.settle(o)
}

// take records an order and begins the change.
func (e *Engine) take(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.orders); n > 0 && o.older(e.orders[n-1]) {
		if e.set.Fenced {
			return false
		}
		e.wrong = append(e.wrong, fmt.Sprintf("older order %+v after %+v", o, e.orders[n-1]))
	}
	if e.flying > 0 {
		e.wrong = append(e.wrong, fmt.Sprintf("order %+v while another was in progress", o))
	}
	if running := e.running.Load(); running > 0 {
		e.wrong = append(e.wrong, fmt.Sprintf("order %+v cut %d requests", o, running))
	}
	e.orders = append(e.orders, o)
	e.flying++
	e.state.Phase = Changing
	return true
}

func (e *Engine) settle(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.flying--
	e.state = State{Phase: Ready, Role: o.Role, Version: o.Version, Epoch: o.Epoch, Revision: o.Revision}
}

// crash leaves the change half done; the engine comes back with its old state.
func (e *Engine) crash(Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Phase = Broken
	time.AfterFunc(crashTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.flying--
		e.state.Phase = Ready
	})
}

func (e *Engine) phase() Phase {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Phase
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	state.Running = e.running.Load()
	_ = json.NewEncoder(w).Encode(&state)
}

func (e *Engine) history(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(&History{Orders: e.orders, Wrong: e.wrong})
}
