package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pimentoseam/core/conf"
	"pimentoseam/core/setup"
	"pimentoseam/core/span"
	"pimentoseam/io/vmlist"
)

// Tokens of the demonstration fleet's callers and operators.
const (
	AdminToken    = "demo-operators-token"
	CounterToken  = "demo-counter-token"
	CourierToken  = "demo-courier-token"
	ResidentToken = "demo-resident-token"
	secret        = "demo-link-secret-0123456789"
)

const (
	engineSlots  = 8
	serviceSlots = 16
)

var zones = []string{"bole", "piassa", "kality", "megenagna"}

// Layout is a fleet with its processes in starting order.
type Layout struct {
	dir      string
	port     uint16
	entries  int
	engines  int
	services int

	procs     []string
	addresses []string
	vms       []vmlist.VM
	doc       conf.Document
}

// Option changes a Layout.
type Option func(*Layout)

// WithSize sets how many entries, engines and plain services the fleet has.
func WithSize(entries, engines, services int) Option {
	return func(l *Layout) { l.entries, l.engines, l.services = entries, engines, services }
}

// New returns a Layout that writes to dir and uses ports from port on.
func New(dir string, port uint16, opts ...Option) *Layout {
	l := &Layout{dir: dir, port: port, entries: 2, engines: 4, services: 2}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Error reports a file of the fleet that could not be written.
type Error struct {
	Cause error
}

// Error names the cause.
func (e *Error) Error() string {
	return "fleet: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Write creates the files procs, addresses, vms.json, config.json and the settings; its error is a *Error.
func (l *Layout) Write() error {
	if err := os.MkdirAll(l.dir, 0o755); err != nil {
		return &Error{Cause: err}
	}
	kv, vms := l.next(), l.next()
	l.process("kv", kv, "standin kv --listen "+kv.String())
	l.process("vms", vms, "standin vms --listen "+vms.String()+" --file "+l.path("vms.json"))
	l.targets()
	l.callers()
	for i := range l.engines {
		if err := l.engine(i, kv); err != nil {
			return err
		}
	}
	for i := range l.services {
		if err := l.service(i, kv); err != nil {
			return err
		}
	}
	for i := range l.entries {
		if err := l.entry(i, kv, vms); err != nil {
			return err
		}
	}
	return l.finish()
}

func (l *Layout) finish() error {
	if err := l.json("vms.json", l.vms); err != nil {
		return err
	}
	if err := l.json("config.json", &l.doc); err != nil {
		return err
	}
	if err := l.text("procs", l.procs); err != nil {
		return err
	}
	return l.text("addresses", l.addresses)
}

func (l *Layout) next() netip.AddrPort {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), l.port)
	l.port++
	return addr
}

func (l *Layout) path(name string) string {
	return filepath.Join(l.dir, name)
}

func (l *Layout) process(name string, addr netip.AddrPort, command string) {
	l.procs = append(l.procs, name+" "+command)
	l.addresses = append(l.addresses, name+" "+addr.String())
}

func (l *Layout) targets() {
	l.doc.Targets = []conf.Target{
		{Name: "lm-clerks", Kind: conf.Model, Versions: []string{"v1", "v2"}, Version: "v1"},
		{Name: "redirect-app", Kind: conf.Service, NonRepeatable: []string{"POST"}},
	}
	l.doc.Upstreams = []conf.Upstream{}
	l.doc.Classes = []conf.Class{
		{Name: "counter", Priority: 0, FirstDeadline: span.Span(510 * time.Millisecond), TotalDeadline: span.Span(5 * time.Second)},
		{Name: "courier", Priority: 0, FirstDeadline: span.Span(510 * time.Millisecond), TotalDeadline: span.Span(3 * time.Second)},
		{Name: "resident", Priority: 2, FirstDeadline: span.Span(10 * time.Second), TotalDeadline: span.Span(time.Minute)},
	}
}

func (l *Layout) callers() {
	both := []string{"lm-clerks", "redirect-app"}
	l.doc.Callers = []conf.Caller{
		{Name: "counter", TokenHash: conf.HashToken(CounterToken), Class: "counter", Targets: both},
		{Name: "courier", TokenHash: conf.HashToken(CourierToken), Class: "courier", Targets: both},
		{Name: "resident", TokenHash: conf.HashToken(ResidentToken), Class: "resident", Targets: []string{"lm-clerks"}},
	}
}

func (l *Layout) engine(i int, kv netip.AddrPort) error {
	name := fmt.Sprintf("clerks-%d", i+1)
	upstream := l.next()
	command := "standin engine --name " + name + " --listen " + upstream.String()
	if i%2 == 1 {
		command += " --unfenced"
	}
	l.process("engine-"+name, upstream, command)
	return l.agent(name, "lm-clerks", conf.Model, engineSlots, upstream, kv, i)
}

func (l *Layout) service(i int, kv netip.AddrPort) error {
	name := fmt.Sprintf("redirect-%d", i+1)
	upstream := l.next()
	l.process("service-"+name, upstream, "standin service --name "+name+" --listen "+upstream.String())
	return l.agent(name, "redirect-app", conf.Service, serviceSlots, upstream, kv, i)
}

func (l *Layout) agent(name, target, kind string, slots int, upstream, kv netip.AddrPort, i int) error {
	listen := l.next()
	zone := zones[i%len(zones)]
	file := "agent-" + name + ".json"
	set := &setup.Agent{
		Name: name, Zone: zone, Listen: listen, Upstream: upstream, Kind: kind,
		Target: target, Slots: slots, Store: kv, Secret: secret,
	}
	if err := l.json(file, set); err != nil {
		return err
	}
	l.process("agent-"+name, listen, "pimentoseam agent --settings "+l.path(file))
	l.doc.Upstreams = append(l.doc.Upstreams, conf.Upstream{Name: name, Target: target, Zone: zone, Address: listen, Slots: slots})
	l.vms = append(l.vms, vmlist.VM{Name: name, Address: listen, Zone: zone, Role: "upstream", State: vmlist.Live})
	return nil
}

func (l *Layout) entry(i int, kv, vms netip.AddrPort) error {
	name := fmt.Sprintf("entry-%d", i+1)
	zone := zones[i%len(zones)]
	set := &setup.Entry{
		Name: name, Zone: zone, Listen: l.next(), Admin: l.next(), Store: kv, VMs: vms,
		Secret: secret, TokenHash: conf.HashToken(AdminToken),
	}
	file := name + ".json"
	if err := l.json(file, set); err != nil {
		return err
	}
	l.process(name, set.Listen, "pimentoseam entry --settings "+l.path(file))
	l.addresses = append(l.addresses, name+"-admin "+set.Admin.String())
	l.vms = append(l.vms, vmlist.VM{Name: name, Address: set.Admin, Zone: zone, Role: "entry", State: vmlist.Live})
	return nil
}

func (l *Layout) json(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return &Error{Cause: err}
	}
	return l.text(name, []string{string(data)})
}

func (l *Layout) text(name string, lines []string) error {
	data := strings.Join(lines, "\n") + "\n"
	if err := os.WriteFile(l.path(name), []byte(data), 0o644); err != nil {
		return &Error{Cause: err}
	}
	return nil
}
