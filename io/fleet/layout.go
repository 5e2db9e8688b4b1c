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

// Bearer tokens of the fleet's operators and callers, whose hashes are in the written files, and the secret of the
// links between entries and agents.
const (
	AdminToken    = "demo-operators-token"
	CounterToken  = "demo-counter-token"
	CourierToken  = "demo-courier-token"
	ResidentToken = "demo-resident-token"
	linkSecret    = "demo-link-secret-0123456789"
)

// Maximum number of concurrent requests of each upstream.
const (
	engineSlots  = 8
	serviceSlots = 16
)

// zones are the availability zones over which the upstreams and the entries are spread in turn.
var zones = []string{"bole", "piassa", "kality", "megenagna"}

// Layout describes the processes of a fleet and the files that configure them.
type Layout struct {
	dir         string
	port        uint16 // The next port that nextAddr assigns.
	numEntries  int
	numEngines  int
	numServices int

	processes []string // Lines of the form "name command", in starting order.
	addresses []string // Lines of the form "name address".
	vms       []vmlist.VM
	config    conf.Document
}

// Option configures a Layout.
type Option func(*Layout)

// WithSize sets the number of entries, engines and plain services; the default is 2, 4 and 2.
func WithSize(entries, engines, services int) Option {
	return func(l *Layout) { l.numEntries, l.numEngines, l.numServices = entries, engines, services }
}

// New returns a Layout that writes its files to dir and assigns loopback ports from port upwards.
func New(dir string, port uint16, opts ...Option) *Layout {
	l := &Layout{dir: dir, port: port, numEntries: 2, numEngines: 4, numServices: 2}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Error is the failure to write a file of the fleet.
type Error struct {
	Cause error
}

// Error returns the text of the cause after "fleet: ".
func (e *Error) Error() string {
	return "fleet: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Write creates the files procs, addresses, vms.json and config.json and one settings file for each agent and
// entry; its error is an *Error.
func (l *Layout) Write() error {
	if err := os.MkdirAll(l.dir, 0o755); err != nil {
		return &Error{Cause: err}
	}
	kvAddr, vmsAddr := l.nextAddr(), l.nextAddr()
	l.addProcess("kv", kvAddr, "standin kv --listen "+kvAddr.String())
	l.addProcess("vms", vmsAddr, "standin vms --listen "+vmsAddr.String()+" --file "+l.path("vms.json"))
	l.addTargets()
	l.addCallers()
	for i := range l.numEngines {
		if err := l.addEngine(i, kvAddr); err != nil {
			return err
		}
	}
	for i := range l.numServices {
		if err := l.addService(i, kvAddr); err != nil {
			return err
		}
	}
	for i := range l.numEntries {
		if err := l.addEntry(i, kvAddr, vmsAddr); err != nil {
			return err
		}
	}
	return l.writeFiles()
}

// writeFiles writes the files that list the whole fleet.
func (l *Layout) writeFiles() error {
	if err := l.writeJSON("vms.json", l.vms); err != nil {
		return err
	}
	if err := l.writeJSON("config.json", &l.config); err != nil {
		return err
	}
	if err := l.writeLines("procs", l.processes); err != nil {
		return err
	}
	return l.writeLines("addresses", l.addresses)
}

// nextAddr returns a loopback address with the next port that is not assigned yet.
func (l *Layout) nextAddr() netip.AddrPort {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), l.port)
	l.port++
	return addr
}

func (l *Layout) path(name string) string {
	return filepath.Join(l.dir, name)
}

// addProcess appends a process and the address at which it listens.
func (l *Layout) addProcess(name string, addr netip.AddrPort, command string) {
	l.processes = append(l.processes, name+" "+command)
	l.addresses = append(l.addresses, name+" "+addr.String())
}

// addTargets sets the targets and the classes of the configuration.
func (l *Layout) addTargets() {
	l.config.Targets = []conf.Target{
		{Name: "lm-clerks", Kind: conf.Model, Versions: []string{"v1", "v2"}, Version: "v1"},
		{Name: "redirect-app", Kind: conf.Service, NonRepeatable: []string{"POST"}},
	}
	l.config.Upstreams = []conf.Upstream{}
	l.config.Classes = []conf.Class{
		{Name: "counter", Priority: 0, FirstDeadline: span.Span(510 * time.Millisecond), TotalDeadline: span.Span(5 * time.Second)},
		{Name: "courier", Priority: 0, FirstDeadline: span.Span(510 * time.Millisecond), TotalDeadline: span.Span(3 * time.Second)},
		{Name: "resident", Priority: 2, FirstDeadline: span.Span(10 * time.Second), TotalDeadline: span.Span(time.Minute)},
	}
}

// addCallers sets the callers of the configuration; resident may use the model only.
func (l *Layout) addCallers() {
	targets := []string{"lm-clerks", "redirect-app"}
	l.config.Callers = []conf.Caller{
		{Name: "counter", TokenHash: conf.HashToken(CounterToken), Class: "counter", Targets: targets},
		{Name: "courier", TokenHash: conf.HashToken(CourierToken), Class: "courier", Targets: targets},
		{Name: "resident", TokenHash: conf.HashToken(ResidentToken), Class: "resident", Targets: []string{"lm-clerks"}},
	}
}

// addEngine adds an engine and its agent; every second engine ignores fencing tokens.
func (l *Layout) addEngine(i int, kvAddr netip.AddrPort) error {
	name := fmt.Sprintf("clerks-%d", i+1)
	upstream := l.nextAddr()
	command := "standin engine --name " + name + " --listen " + upstream.String()
	if i%2 == 1 {
		command += " --unfenced"
	}
	l.addProcess("engine-"+name, upstream, command)
	return l.addAgent(name, "lm-clerks", conf.Model, engineSlots, upstream, kvAddr, i)
}

// addService adds a plain service and its agent.
func (l *Layout) addService(i int, kvAddr netip.AddrPort) error {
	name := fmt.Sprintf("redirect-%d", i+1)
	upstream := l.nextAddr()
	l.addProcess("service-"+name, upstream, "standin service --name "+name+" --listen "+upstream.String())
	return l.addAgent(name, "redirect-app", conf.Service, serviceSlots, upstream, kvAddr, i)
}

// addAgent adds the agent of an upstream, with its settings, its VM and its part of the configuration.
func (l *Layout) addAgent(name, target, kind string, slots int, upstream, kvAddr netip.AddrPort, i int) error {
	listen := l.nextAddr()
	zone := zones[i%len(zones)]
	file := "agent-" + name + ".json"
	settings := &setup.Agent{
		Name: name, Zone: zone, Listen: listen, Upstream: upstream, Kind: kind,
		Target: target, Slots: slots, Store: kvAddr, Secret: linkSecret,
	}
	if err := l.writeJSON(file, settings); err != nil {
		return err
	}
	l.addProcess("agent-"+name, listen, "pimentoseam agent --settings "+l.path(file))
	l.config.Upstreams = append(l.config.Upstreams, conf.Upstream{Name: name, Target: target, Zone: zone, Address: listen, Slots: slots})
	l.vms = append(l.vms, vmlist.VM{Name: name, Address: listen, Zone: zone, Role: "upstream", State: vmlist.Live})
	return nil
}

// addEntry adds an entry with its settings and its VM.
func (l *Layout) addEntry(i int, kvAddr, vmsAddr netip.AddrPort) error {
	name := fmt.Sprintf("entry-%d", i+1)
	zone := zones[i%len(zones)]
	settings := &setup.Entry{
		Name: name, Zone: zone, Listen: l.nextAddr(), Admin: l.nextAddr(), Store: kvAddr, VMs: vmsAddr,
		Secret: linkSecret, TokenHash: conf.HashToken(AdminToken),
	}
	file := name + ".json"
	if err := l.writeJSON(file, settings); err != nil {
		return err
	}
	l.addProcess(name, settings.Listen, "pimentoseam entry --settings "+l.path(file))
	l.addresses = append(l.addresses, name+"-admin "+settings.Admin.String())
	l.vms = append(l.vms, vmlist.VM{Name: name, Address: settings.Admin, Zone: zone, Role: "entry", State: vmlist.Live})
	return nil
}

// writeJSON writes a file of the fleet with the indented JSON encoding of v.
func (l *Layout) writeJSON(name string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return &Error{Cause: err}
	}
	return l.writeLines(name, []string{string(data)})
}

// writeLines writes a file of the fleet, each line ended by a newline.
func (l *Layout) writeLines(name string, lines []string) error {
	data := strings.Join(lines, "\n") + "\n"
	if err := os.WriteFile(l.path(name), []byte(data), 0o644); err != nil {
		return &Error{Cause: err}
	}
	return nil
}
