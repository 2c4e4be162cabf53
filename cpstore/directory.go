package cpstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Directory is the platform's list of VMs in memory; it lags.
type Directory struct {
	// Script decides which calls fail.
	Script Script
	opts   Options

	mu sync.Mutex
	// history are the lists since the one that is shown now, oldest first.
	history []listState
}

type listState struct {
	since time.Time
	vms   []clementineport.VM
}

var _ clementineport.Directory = (*Directory)(nil)

// NewDirectory returns an empty list.
func NewDirectory(opts ...Option) *Directory {
	return &Directory{opts: newOptions(opts), history: []listState{{}}}
}

// List implements clementineport.Directory.
func (d *Directory) List(ctx context.Context) ([]clementineport.VM, error) {
	return run(ctx, d.opts.Clock, d.Script.Next(OpList), func() ([]clementineport.VM, error) { return d.Lagged(), nil })
}

// Lagged returns the list as it was before the lag.
func (d *Directory) Lagged() []clementineport.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := d.opts.Clock.Now().Add(-d.opts.Lag)
	for len(d.history) > 1 && !d.history[1].since.After(limit) {
		d.history = d.history[1:]
	}
	return slices.Clone(d.history[0].vms)
}

// Set replaces the list.
func (d *Directory) Set(vms []clementineport.VM) {
	d.update(func([]clementineport.VM) []clementineport.VM { return slices.Clone(vms) })
}

// Put adds a VM or replaces the one with its id.
func (d *Directory) Put(vm clementineport.VM) {
	d.update(func(vms []clementineport.VM) []clementineport.VM {
		return append(without(vms, vm.ID), vm)
	})
}

// Remove takes a VM off the list.
func (d *Directory) Remove(id clementineport.VMID) {
	d.update(func(vms []clementineport.VM) []clementineport.VM { return without(vms, id) })
}

func (d *Directory) update(change func([]clementineport.VM) []clementineport.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	vms := change(d.history[len(d.history)-1].vms)
	d.history = append(d.history, listState{since: d.opts.Clock.Now(), vms: vms})
}

func without(vms []clementineport.VM, id clementineport.VMID) []clementineport.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm clementineport.VM) bool { return vm.ID == id })
}
