package proc

import (
	"log/slog"
	"runtime/debug"
)

// Guard handles one input from outside and turns a panic into a log line. Without it, an input that the process can't bear would
// end it, and be read again by the process that follows.
func Guard(log *slog.Logger, input string, handle func()) {
	defer func() {
		if p := recover(); p != nil {
			log.Error("input not handled", "input", input, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	handle()
}
