package simai

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"pimentoseam/io/simflt"
)

// Phase is the progress of an engine's last command.
type Phase string

// The phases of an engine.
const (
	Ready    Phase = "ready"
	Changing Phase = "changing"
	Broken   Phase = "broken" // Crashed while it executed a command; it recovers after crashDuration.
)

const crashDuration = time.Second

// State is the state that the engine reports.
type State struct {
	Phase    Phase  `json:"phase"`
	Role     string `json:"role"`
	Version  string `json:"version"`
	Epoch    int64  `json:"epoch"`
	Revision int64  `json:"revision"`
	Running  int64  `json:"running"`
}

// Command assigns a role and a version to the engine; its epoch and revision are the fencing token.
type Command struct {
	Epoch    int64  `json:"epoch"`
	Revision int64  `json:"revision"`
	Role     string `json:"role"`
	Version  string `json:"version"`
	Holder   string `json:"holder"`
}

// History lists the accepted commands and their violations of the protocol.
type History struct {
	Commands            []Command `json:"orders"`
	Violations          []string  `json:"wrong"`
	InterruptedRequests int64     `json:"cut"`
}

func (c Command) isOlder(other Command) bool {
	if c.Epoch != other.Epoch {
		return c.Epoch < other.Epoch
	}
	return c.Revision < other.Revision
}

func (e *Engine) serveCommand(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.accept(c) {
		http.Error(w, "stale fencing token", http.StatusConflict)
		return
	}
	if _, ok := e.faults.Trigger(simflt.Crash, r); ok {
		e.crash(c)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(e.settings.ChangeTime)
	e.complete(c)
}

// accept records a command and starts its execution; it returns false if the fencing token is stale and the engine
// rejects such commands.
func (e *Engine) accept(c Command) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.commands); n > 0 && c.isOlder(e.commands[n-1]) {
		if e.settings.RejectsStale {
			return false
		}
		e.violations = append(e.violations, fmt.Sprintf("older command %+v after %+v", c, e.commands[n-1]))
	}
	if e.activeCommands > 0 {
		e.violations = append(e.violations, fmt.Sprintf("command %+v while another was in progress", c))
	}
	if running := e.running.Load(); running > 0 {
		e.violations = append(e.violations, fmt.Sprintf("command %+v arrived while %d requests were running", c, running))
	}
	e.commands = append(e.commands, c)
	e.activeCommands++
	e.state.Phase = Changing
	return true
}

// complete ends the execution of a command.
func (e *Engine) complete(c Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeCommands--
	e.state = State{Phase: Ready, Role: c.Role, Version: c.Version, Epoch: c.Epoch, Revision: c.Revision}
}

// crash aborts the execution of a command; the engine recovers with its state from before.
func (e *Engine) crash(Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Phase = Broken
	time.AfterFunc(crashDuration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.activeCommands--
		e.state.Phase = Ready
	})
}

func (e *Engine) phase() Phase {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Phase
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.state
	e.mu.Unlock()
	state.Running = e.running.Load()
	_ = json.NewEncoder(w).Encode(&state)
}

func (e *Engine) serveHistory(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(&History{Commands: e.commands, Violations: e.violations})
}
