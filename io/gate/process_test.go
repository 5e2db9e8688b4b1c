package gate_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// process is a gate or an agent that runs as a process of its own and can be killed, suspended and restarted.
type process struct {
	args   []string
	log    *os.File
	mu     sync.Mutex
	cmd    *exec.Cmd
	starts atomic.Int64 // Number of starts, which identifies the running instance.
}

// start starts the process.
func (p *process) start(t *testing.T) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.starts.Add(1)
	if err := p.cmd.Start(); err != nil {
		t.Error(err)
	}
}

// hasExited reports whether the process has exited; the lock must be held.
func (p *process) hasExited() bool {
	var info unix.Siginfo
	err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, &info, unix.WEXITED|unix.WNOHANG|unix.WNOWAIT, nil)
	return err != nil || info.Signo != 0
}

// lastLog returns the end of the process's log.
func (p *process) lastLog() string {
	const size = 2 << 10
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-size):])
}

// end sends a terminating signal and waits until the process has exited.
func (p *process) end(t *testing.T, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasExited() {
		t.Errorf("%s ended by itself: %s", strings.Join(p.args, " "), p.lastLog())
	}
	_ = p.cmd.Process.Signal(s) // Fails only if the process has exited already.
	if s == syscall.SIGTERM {
		stopping := p.cmd.Process
		defer time.AfterFunc(signalPause, func() {
			_, _ = stopping.Signal(syscall.SIGHUP), stopping.Signal(s) // They change nothing.
		}).Stop()
	}
	_ = p.cmd.Wait() // A killed process always returns an error.
}

// signal sends a signal.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // Fails as above.
}

// buildBinary builds the program with the race detector and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pimentoseam")
	if out, err := exec.Command("go", "build", "-race", "-o", binary, "pimentoseam").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// launchProcess starts a command of the binary with settings until the test ends; its log is kept in a directory.
func launchProcess(t *testing.T, binary, logs, command, name string, settings any) *process {
	t.Helper()
	file := filepath.Join(t.TempDir(), name+".json")
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{args: []string{binary, command, "--settings", file}, log: log}
	p.start(t)
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.end(t, syscall.SIGKILL)
		_ = log.Close() // Nothing reads the file but people, after the test.
	})
	return p
}
