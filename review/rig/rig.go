//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"pimentoseam/io/simop"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// bounds are the bounds of a small deployment, as the settings of a process state them.
var bounds = map[string]any{
	"graceS": 8, "drainMs": 2000, "configApplyMs": 2000, "leaseMs": 3000,
	"retryBudgetRatio": 0.2, "budgetSlack": 58, "budgetWindowS": 10,
}

// Rig holds the record of a case and the processes that it has started.
type Rig struct {
	Store *simop.Store
	root  string // Of the repository.
	dir   string // Temporary folder for settings and logs.
	began time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*Proc
}

// Proc is a process of the project.
type Proc struct {
	Name   string
	Listen netip.AddrPort // For callers; invalid for an agent.
	Ready  netip.AddrPort
	IP     netip.Addr
	cmd    *exec.Cmd
	done   chan struct{}
	role   string
}

// New starts a store and opens record.txt in the folder of the case.
func New(folder string) (*Rig, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	root := filepath.Dir(filepath.Dir(folder))
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &Rig{Store: simop.NewStore(), root: root, dir: dir, began: time.Now(), record: record}, nil
}

// Trouble reports whether the case shall make its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Note writes a line with the time since the start to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes that the rig started.
func (r *Rig) Close() {
	for _, p := range r.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	r.Store.Close()
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}

// Reset ends all processes and starts with an empty store.
func (r *Rig) Reset() {
	for _, p := range r.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	r.procs = nil
	r.Store.Close()
	r.Store = simop.NewStore()
}

// NewHost returns a loopback address that nothing else uses.
func NewHost() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.N(250)), byte(rand.N(250)), byte(1 + rand.N(250))})
}

// freePort returns an unused port at a host.
func freePort(host netip.Addr) (uint16, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String()).Port(), nil
}

// StartGate starts a gate with settings filled in from the template of the deploy file.
func (r *Rig) StartGate(name, zone string, seeds []string) (*Proc, error) {
	host := NewHost()
	var ports [3]uint16
	for i := range ports {
		var err error
		if ports[i], err = freePort(host); err != nil {
			return nil, err
		}
	}
	addr := func(i int) string { return netip.AddrPortFrom(host, ports[i]).String() }
	if len(seeds) == 0 {
		seeds = []string{addr(2)}
	}
	fields := map[string]any{
		"node": name, "zone": zone, "ip": host.String(), "portRange": []any{7380, 7395},
		"listen":    map[string]any{"front": addr(0), "ready": addr(1), "control": addr(2)},
		"bounds":    bounds,
		"bootstrap": true, "seedNodes": toAny(seeds),
		"provider": map[string]any{"address": r.Store.Addr().String()},
	}
	p := &Proc{Name: name, IP: host, Listen: netip.MustParseAddrPort(addr(0)), Ready: netip.MustParseAddrPort(addr(1))}
	return p, r.start(p, "gate", "deploy/gate.json", fields)
}

// Seed returns the address at which other gates find this one.
func (r *Rig) Seed(p *Proc) string { return netip.AddrPortFrom(p.IP, 7380).String() }

func toAny(list []string) []any {
	var out []any
	for _, s := range list {
		out = append(out, s)
	}
	return out
}

func (r *Rig) start(p *Proc, role, template string, fields map[string]any) error {
	text, err := os.ReadFile(filepath.Join(r.root, template))
	if err != nil {
		return err
	}
	settings, err := fill(string(text), fields)
	if err != nil {
		return err
	}
	if !json.Valid([]byte(settings)) {
		return fmt.Errorf("settings of %s are not valid: %s", p.Name, settings)
	}
	file := filepath.Join(r.dir, p.Name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	p.role = role
	if err := r.launch(p); err != nil {
		return err
	}
	r.procs = append(r.procs, p)
	return nil
}

// launch starts the process with its settings file, as the deploy file says.
func (r *Rig) launch(p *Proc) error {
	log, err := os.OpenFile(filepath.Join(r.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd, done := exec.Command(filepath.Join(r.root, "target", "pimentoseam"), p.role), make(chan struct{})
	cmd.Env = []string{"PIMENTOSEAM_SETTINGS=" + filepath.Join(r.dir, p.Name+".json"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		r.Note("process %s has ended: %v", p.Name, err)
		close(done)
	}()
	return nil
}

// restart starts a process again that has ended.
func (r *Rig) restart(p *Proc) error {
	r.Note("%s is started again", p.Name)
	return r.launch(p)
}

// IsReady reports whether the readiness probe of a gate passes.
func (p *Proc) IsReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + p.Ready.String() + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until a gate is ready.
func (r *Rig) WaitReady(p *Proc) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.IsReady() {
			r.Note("%s is ready at %s", p.Name, p.Listen)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", p.Name)
}

// Main runs a case in the folder that the first argument names and exits with its code.
func Main(run func(r *Rig) (int, error)) {
	if len(os.Args) < 2 {
		fmt.Println("usage: case FOLDER")
		os.Exit(NotRun)
	}
	r, err := New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	code, err := run(r)
	if err != nil {
		r.Note("case not run: %v", err)
		fmt.Println(err)
		code = NotRun
	}
	result := map[int]string{Held: "the rule held", Broken: "the rule was broken", NotRun: "not run"}[code]
	r.Note("result: %s", result)
	fmt.Println(strings.TrimSpace(result))
	r.Close()
	os.Exit(code)
}

// Pid returns the id of the process.
func (p *Proc) Pid() int { return p.cmd.Process.Pid }
