// Package cpchangelog keeps the latest changes of a VM's fleet view, so that other VMs can get just the changes that they
// are missing. It makes no calls and is not safe for concurrent use.
package cpchangelog

import (
	"slices"

	"github.com/clementineport/clementineport"
)

// History keeps the latest changes. Its zero value is not usable.
type History struct {
	options Options
	changes []change
}

// New returns a history without changes.
func New(opts ...Option) *History { return &History{options: NewOptions(opts...)} }

// change is an update that was applied to the state at the position from.
type change struct {
	from   clementineport.StorePosition
	update *clementineport.FleetUpdate
}

// Add adds an update that was applied to the state at the position from. A full update discards the history, since it
// doesn't say what has changed.
func (h *History) Add(from clementineport.StorePosition, update *clementineport.FleetUpdate) {
	if update.Whole {
		h.changes = h.changes[:0]
		return
	}
	h.changes = append(h.changes, change{from, update})
	if extra := len(h.changes) - h.options.MaxChanges; extra > 0 {
		h.changes = slices.Delete(h.changes, 0, extra)
	}
}

// Since returns the changes after a position merged into one, or false when they are no longer kept or when the store was
// restored since. It includes all of a change that spans the position; its entries have their state at the end of that
// change.
func (h *History) Since(after clementineport.StorePosition) (*clementineport.FleetUpdate, bool) {
	first := slices.IndexFunc(h.changes, func(c change) bool { return after.Before(c.update.AsOf) })
	if first < 0 || after.Before(h.changes[first].from) {
		return nil, false
	}
	merged := &clementineport.FleetUpdate{}
	for _, c := range h.changes[first:] {
		merge(merged, c.update)
	}
	return merged, true
}

// merge merges a later update into an update.
func merge(to, later *clementineport.FleetUpdate) {
	to.AsOf = later.AsOf
	if later.Routes != nil {
		to.Routes = later.Routes
	}
	to.Domains = append(to.Domains, later.Domains...)
	to.Targets, to.Gone = mergeEntries(to.Targets, to.Gone, later.Targets, later.Gone, targetID)
	to.VMs, to.GoneVMs = mergeEntries(to.VMs, to.GoneVMs, later.VMs, later.GoneVMs, vmID)
	to.Rollouts, to.GoneRollouts = mergeEntries(to.Rollouts, to.GoneRollouts, later.Rollouts, later.GoneRollouts, orderID)
	to.RolloutStates, to.GoneRolloutStates = mergeEntries(to.RolloutStates, to.GoneRolloutStates, later.RolloutStates, later.GoneRolloutStates, stateID)
}

func orderID(o *clementineport.RolloutOrder) clementineport.ServiceID { return o.Service }

func stateID(s *clementineport.RolloutStatus) clementineport.ServiceID { return s.Service }

func targetID(d *clementineport.TargetInstance) clementineport.TargetID { return d.ID }

func vmID(vm *clementineport.VM) clementineport.VMID { return vm.ID }

// mergeEntries merges later entries and removals into earlier ones; for each id the latest entry or removal counts.
func mergeEntries[E any, ID comparable](entries []E, gone []ID, later []E, laterGone []ID, id func(*E) ID) ([]E, []ID) {
	updated := make(map[ID]bool, len(later)+len(laterGone))
	for i := range later {
		updated[id(&later[i])] = true
	}
	for _, g := range laterGone {
		updated[g] = true
	}
	entries = slices.DeleteFunc(entries, func(e E) bool { return updated[id(&e)] })
	gone = slices.DeleteFunc(gone, func(g ID) bool { return updated[g] })
	return append(entries, later...), append(gone, laterGone...)
}
