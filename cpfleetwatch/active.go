package cpfleetwatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpactiveset"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cplogevent"
)

// mayHaveActiveSet reports whether this VM may use an active set. It must state its own capacity and load, so that all VMs
// choose the set from the same input.
func (w *Watcher) mayHaveActiveSet() bool {
	return w.options.Load != nil && w.options.Self.Capacity.Cores > 0
}

// checkActive measures the load of this VM and states it to others if they need it, and requests a new view if the active set or
// this VM's share has changed.
func (w *Watcher) checkActive(now time.Time) {
	if !w.mayHaveActiveSet() || now.Before(w.nextActive) {
		return
	}
	w.nextActive = now.Add(activePeriod)
	load := w.options.Load(now)
	view := w.view.Load()
	if view.Active != nil {
		w.stateLoad(now, load)
	}
	if _, changed := w.active.Update(now, w.activeInput(now, view)); changed || w.active.Share(now, view.Senders()) != view.ActiveShare {
		w.dirty = true
	}
	if view.ActiveShare.Set {
		w.closeIdle(view)
	}
}

// closeIdle closes the expired connections to targets. A VM outside the set has few callers, so its clients would keep them.
func (w *Watcher) closeIdle(view *cpfleetstate.View) {
	for _, s := range w.states {
		s.Client.Resize(w.connectionShare(view, s.State.Service))
	}
}

// stateLoad records the load of this VM for the other VMs if it has changed enough or its last statement is old, and announces
// it at once if it has risen steeply or refusals have begun.
func (w *Watcher) stateLoad(now time.Time, load clementineport.VMLoad) {
	load.VM, load.Age = w.options.Self.ID, 0
	state, atOnce := w.loads.ToState(now, &load)
	if !state {
		return
	}
	w.loads.Set(now, &load)
	if atOnce {
		w.membership.Announce()
	}
}

// loadNews returns what another VM is told about loads: what this VM learned recently, or all of it for a VM that has just
// started.
func (w *Watcher) loadNews(now time.Time, all bool) []clementineport.VMLoad {
	if all {
		return w.loads.Since(now, time.Time{})
	}
	return first(w.loads.Since(now, now.Add(-loadNewsTime)), maxLoadNews)
}

// activeInput returns what the active set of a view is chosen from.
func (w *Watcher) activeInput(now time.Time, view *cpfleetstate.View) *cpactiveset.Input {
	return &cpactiveset.Input{
		Members: view.Presumed, Lost: view.Lost, Demand: w.loads.Demand(now, view.Members),
		EqualShare: cpactiveset.EqualShare(w.catalog.Routes(), view.Senders()),
	}
}

// chooseActive sets the active set of a view and this VM's share. It logs if the size of the set has changed, or if this VM has
// come into it or left it.
func (w *Watcher) chooseActive(now time.Time, view *cpfleetstate.View) {
	if !w.mayHaveActiveSet() {
		return
	}
	dead := w.deadVMs()
	w.loads.Forget(now, func(vm clementineport.VMID) bool { return dead[vm] })
	view.Active, _ = w.active.Update(now, w.activeInput(now, view))
	view.ActiveShare = w.active.Share(now, view.Senders())
	last, self := w.loggedActive, w.options.Self.ID
	if view.Active.Size() == last.Size() && view.Active.Has(self) == last.Has(self) {
		return
	}
	w.loggedActive = view.Active
	w.options.Log.Info(string(cplogevent.ActiveSetChanged), zap.Int("VMs", view.Active.Size()), zap.Int("Before", last.Size()),
		zap.Bool("Member", view.Active.Has(self)), zap.Int("Of", view.Senders()))
}
