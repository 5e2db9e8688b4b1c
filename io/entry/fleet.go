package entry

import (
	"context"
	"time"

	"pimentoseam/io/proc"
	"pimentoseam/io/vmlist"
)

const (
	fleetInterval = time.Second
	maxListDelay  = 8 * time.Second // by which an entry may learn late of a VM's state
)

// fleet is one reading of the VM list, never changed once published.
type fleet struct {
	vms map[string]vmlist.VM
}

// state returns what the platform says of a VM; a VM that it never listed counts as live.
func (f *fleet) state(name string) vmlist.State {
	vm, ok := f.vms[name]
	if !ok {
		return vmlist.Live
	}
	return vm.State
}

// since returns when the VM took its state.
func (f *fleet) since(name string) time.Time {
	return f.vms[name].Since
}

// entries lists the names of the entries that stay.
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
			e.lastVMList.Store(time.Now().UnixNano())
		}
		if changed {
			e.setFleet(list)
		}
		proc.Sleep(ctx, proc.Jitter(fleetInterval))
	}
}

// listFresh reports whether the VM list was read within the time that it may be late.
func (e *Entry) isListFresh() bool {
	return time.Since(time.Unix(0, e.lastVMList.Load())) < maxListDelay
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
}
