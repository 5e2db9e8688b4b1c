//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"pimentoseam/io/simop"
)

const (
	program = "target/pimentoseam" // As the deploy file builds it.
	// readyTimeout limits the time until a process accepts work.
	readyTimeout = 15 * time.Second
	// heartbeat is the interval of the registrations of a replica.
	heartbeat = 1200 * time.Millisecond
)

// rig is the stand-in of the platform for one case: its store, the processes and the record.
type rig struct {
	trouble bool
	began   time.Time
	temp    string
	store   *simop.Store

	mu     sync.Mutex
	record *os.File
	procs  []*proc
}

// proc is a process that the rig has started.
type proc struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // Closed when it has ended.
}

func newRig(dir string) (*rig, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), temp: temp, store: simop.NewStore(), record: record}
	r.note("trouble %v", r.trouble)
	return r, nil
}

// note writes a line with the time since the start to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes their files.
func (r *rig) close() {
	r.mu.Lock()
	procs := r.procs
	r.procs = nil
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	r.store.Close()
	_ = os.RemoveAll(r.temp)
	_ = r.record.Close()
}

// start starts a process, whose output goes to a file or, if it isn't nil, to out.
func (r *rig) start(name string, env []string, out io.Writer, args ...string) (*proc, error) {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append(os.Environ(), env...)
	if out == nil {
		file, err := os.OpenFile(filepath.Join(r.temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		out = file
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proc{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.note("%s started", name)
	return p, nil
}

// kill ends a process at once and waits for its end.
func (p *proc) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// freeAddrs returns unused addresses on a loopback host.
func freeAddrs(n int) ([]netip.AddrPort, error) {
	host := netip.AddrFrom4([4]byte{127, byte(1 + rand.N(250)), byte(rand.N(250)), byte(1 + rand.N(250))})
	var list []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, netip.MustParseAddrPort(l.Addr().String()))
	}
	return list, nil
}

// gate is a running entry.
type gate struct {
	*proc
	file   string
	listen netip.AddrPort
	ready  netip.AddrPort
	peer   netip.AddrPort
}

// startGate starts an entry and waits until it is ready.
func (r *rig) startGate(name string, memoryMb int) (*gate, error) {
	g, err := r.prepareGate(name, memoryMb)
	if err != nil {
		return nil, err
	}
	return g, r.run(g, name)
}

// prepareGate writes the settings of an entry, with the figures of the sheet of apra-redirect.
func (r *rig) prepareGate(name string, memoryMb int) (*gate, error) {
	a, err := freeAddrs(5)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"name": name, "zone": "bole-hall", "listen": a[0], "ready": a[1], "share": a[2], "peer": a[3], "debug": a[4],
		"grace": "8s", "drain": "2000ms", "apply": "2000ms", "lease": "3000ms", "ratio": 0.2, "slack": 58, "window": "10s",
		"fenced": true, "thaw": "300ms", "memory": memoryMb, "files": 4100, "first": true, "seeds": a[2].String(), "store": r.store.Addr(),
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	g := &gate{file: filepath.Join(r.temp, name+".json"), listen: a[0], ready: a[1], peer: a[3]}
	return g, os.WriteFile(g.file, data, 0o600)
}

// run starts the process of an entry and waits until it is ready.
func (r *rig) run(g *gate, name string) (err error) {
	if g.proc, err = r.start(name, []string{"PIMENTOSEAM_SETTINGS=" + g.file}, nil, program, "gate"); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready.String() + "/api/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.note("%s ready", name)
			return nil
		}
	}
	return errors.New(name + " is not ready")
}

// member is a replica in the list.
type member struct {
	ID, Service, Stage string
	Addr               netip.AddrPort
	Slots              int

	mu      sync.Mutex
	state   string
	count   int
	removed bool
}

// register lists a replica with a state, and again with each heartbeat until it is removed.
func (r *rig) register(m *member) {
	m.setState(r, "ready")
	go func() {
		for {
			time.Sleep(heartbeat)
			m.mu.Lock()
			removed, state := m.removed, m.state
			m.mu.Unlock()
			if removed {
				return
			}
			m.setState(r, state)
		}
	}()
}

// setState registers the replica with a state.
func (m *member) setState(r *rig, state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.removed {
		return
	}
	m.state = state
	m.count++
	r.store.Put("servers/"+m.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"bole-hall","version":"v1","slots":%d,"state":%q,"stage":%q,"coldRemainingMs":0,"sequence":%d}`,
		m.Service, m.Addr, m.Slots, state, m.Stage, m.count))
}

// silence ends the heartbeats of a replica that is gone. The platform removes its entry after three intervals.
func (m *member) silence(r *rig) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removed = true
	time.AfterFunc(3*heartbeat, func() { r.store.Remove("servers/" + m.ID) })
}
