package entry

import (
	"context"
	"time"

	"pimentoseam/io/proc"
	"pimentoseam/io/vmlist"
)

const (
	fleetInterval = time.Second     // How often the VM list is read.
	maxListDelay  = 8 * time.Second // Maximum delay until an entry learns of a change of a VM's state.
)

// fleet is a snapshot of the platform's VM list. It is immutable once published.
type fleet struct {
	vms map[string]vmlist.VM // By VM name.
}

// state returns the state of a VM in the list; a VM that isn't listed counts as live.
func (f *fleet) state(name string) vmlist.State {
	vm, ok := f.vms[name]
	if !ok {
		return vmlist.Live
	}
	return vm.State
}

// since returns when the VM entered its current state.
func (f *fleet) since(name string) time.Time {
	return f.vms[name].Since
}

// liveEntries returns the names of the entries whose VM is live.
func (f *fleet) liveEntries() []string {
	var names []string
	for _, vm := range f.vms {
		if vm.Role == "entry" && vm.State == vmlist.Live {
			names = append(names, vm.Name)
		}
	}
	return names
}

func (e *Entry) watchFleet(ctx context.Context) {
	for ctx.Err() == nil {
		list, changed, err := e.vms.List(ctx)
		if err == nil {
			e.lastListAt.Store(time.Now().UnixNano())
		} else if ctx.Err() == nil {
			e.log.Warn("VM list not read", "err", err)
		}
		if changed {
			e.setFleet(list)
		}
		proc.Sleep(ctx, proc.Jitter(fleetInterval))
	}
}

// isListFresh reports whether the VM list was read within the last maxListDelay.
func (e *Entry) isListFresh() bool {
	return time.Since(time.Unix(0, e.lastListAt.Load())) < maxListDelay
}

func (e *Entry) setFleet(list []vmlist.VM) {
	old := e.fleet.Load()
	next := &fleet{vms: make(map[string]vmlist.VM, len(list))}
	for _, vm := range list {
		next.vms[vm.Name] = vm
		if old.vms != nil && old.state(vm.Name) != vm.State {
			e.events.Add("vm", "", vm.Name, string(vm.State))
		}
	}
	e.fleet.Store(next)
	e.blame.SetEntries(len(next.liveEntries()))
}
