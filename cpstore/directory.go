package cpstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Directory is an in-memory clementineport.Directory whose changes become visible after a lag.
type Directory struct {
	// Script contains the failures of calls to List.
	Script Script
	opts   Options

	mu sync.Mutex
	// history contains the visible list and all later ones, oldest first.
	history []listState
}

type listState struct {
	from time.Time
	vms  []clementineport.VM
}

var _ clementineport.Directory = (*Directory)(nil)

// NewDirectory returns an empty Directory.
func NewDirectory(opts ...Option) *Directory {
	return &Directory{opts: newOptions(opts), history: []listState{{}}}
}

// List implements clementineport.Directory.
func (d *Directory) List(ctx context.Context) ([]clementineport.VM, error) {
	return run(ctx, d.opts.Clock, d.Script.Next(OpList), func() ([]clementineport.VM, error) { return d.Lagged(), nil })
}

// Lagged returns the list as it was a lag ago. It ignores the script.
func (d *Directory) Lagged() []clementineport.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := d.opts.Clock.Now().Add(-d.opts.Lag)
	for len(d.history) > 1 && !d.history[1].from.After(limit) {
		d.history = d.history[1:]
	}
	return slices.Clone(d.history[0].vms)
}

// Set replaces the list.
func (d *Directory) Set(vms []clementineport.VM) {
	d.update(func([]clementineport.VM) []clementineport.VM { return slices.Clone(vms) })
}

// Put adds a VM or replaces the VM with the same id.
func (d *Directory) Put(vm clementineport.VM) {
	d.update(func(vms []clementineport.VM) []clementineport.VM {
		return append(withoutVM(vms, vm.ID), vm)
	})
}

// Remove removes a VM from the list.
func (d *Directory) Remove(id clementineport.VMID) {
	d.update(func(vms []clementineport.VM) []clementineport.VM { return withoutVM(vms, id) })
}

func (d *Directory) update(change func([]clementineport.VM) []clementineport.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	vms := change(d.history[len(d.history)-1].vms)
	d.history = append(d.history, listState{from: d.opts.Clock.Now(), vms: vms})
}

func withoutVM(vms []clementineport.VM, id clementineport.VMID) []clementineport.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm clementineport.VM) bool { return vm.ID == id })
}
