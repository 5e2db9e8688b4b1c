//go:build review

package rig

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Replica is a stand-in of a replica that runs as a process of its own.
type Replica struct {
	ID      string
	Service string
	Stage   string
	Addr    netip.AddrPort

	rig  *Rig
	cmd  *exec.Cmd
	done chan struct{}
	born int64
}

// StartReplica starts the program replica and registers it in the store.
func (r *Rig) StartReplica(id, service, stage string, pieces int, gap time.Duration) (*Replica, error) {
	host := NewHost()
	port, err := freePort(host)
	if err != nil {
		return nil, err
	}
	p := &Replica{ID: id, Service: service, Stage: stage, Addr: netip.AddrPortFrom(host, port), rig: r, done: make(chan struct{}), born: time.Now().UnixMilli()}
	out, err := os.OpenFile(filepath.Join(r.dir, id+".log"), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(r.root, "target", "review", "replica"), p.Addr.String(), id, fmt.Sprint(pieces), gap.String())
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait() // A killed process returns an error.
		close(p.done)
	}()
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.Addr.String()); err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(end) {
			p.Kill()
			return nil, fmt.Errorf("%s doesn't listen", id)
		}
	}
	stage = ""
	if p.Stage != "" {
		stage = fmt.Sprintf(`"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],`, p.Stage)
	}
	r.Store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z-a","version":"v1","slots":64,"state":"ready",%s"coldRemainingMs":0,"sequence":1,"born":%d}`,
		service, p.Addr, stage, p.born))
	return p, nil
}

// Kill kills the replica's process, as a crash does.
func (p *Replica) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // Fails only if it has ended.
	<-p.done
}

// Output returns what the replica has written so far.
func (p *Replica) Output() string {
	data, err := os.ReadFile(filepath.Join(p.rig.dir, p.ID+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data)
}
