package cpfleetwatch

import (
	"maps"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpcatalog"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cproute"
)

// publish builds a view from the state of the loop and publishes it.
func (w *Watcher) publish(now time.Time) {
	w.dirty = false
	w.publishedVersion = w.membership.Version()
	w.vmCount = w.vms.Observe(now, w.activeVMs())
	w.forgetReach()
	view := &cpfleetstate.View{
		Services: map[clementineport.ServiceID][]cpfleetstate.Target{},
		Members:  w.membership.Members(),
		Presumed: w.membership.Presumed(),
		Self:     w.options.Self.ID,
		VMs:      w.vmCount,

		Registered: len(w.catalog.VMs()),
		Suspects:   w.crashes.Suspects(),
		Lost:       w.reach.Lost(),
	}
	w.chooseActive(now, view)
	view.Sending = sendingVMs(view)
	view.AsOf, view.Listed = w.catalog.AsOf(), w.catalog.Listed(w.options.Self.ID)
	if last := w.view.Load(); last != nil && last.Listed && !view.Listed {
		w.registration.Lost()
	}
	w.setRouter(view)
	w.dropTargets(now)
	w.setRollouts(now, view)
	for id, t := range w.catalog.Targets() {
		if w.catalog.Leaving(t) {
			view.Leaving++
		}
		if t.Draining || w.catalog.Leaving(t) || w.catalog.Out(t.Domain) || !w.mayUse(view, t) {
			continue
		}
		w.addTarget(view, id, t)
	}
	w.view.Store(view)
}

// setRouter sets the router of the view. It reuses the previous router while the routes are unchanged.
func (w *Watcher) setRouter(view *cpfleetstate.View) {
	routes := w.catalog.Routes()
	if routes == nil {
		return
	}
	var old *cproute.Router
	if last := w.view.Load(); last != nil {
		old = last.Router
	}
	if old != nil && old.Table() == routes {
		view.Router = old
		return
	}
	view.Router = cproute.New(routes, old)
	w.options.OnRoutes(routes)
}

// activeVMs returns the number of VMs that may send requests to targets: all that are not dead.
func (w *Watcher) activeVMs() (n int) {
	for _, m := range w.membership.Presumed() {
		if m.State != clementineport.MemberDead {
			n++
		}
	}
	return n
}

// sendingVMs returns the number of VMs that send requests to targets: those of the active set if there is one. If none reaches
// any target, all may still have open connections.
func sendingVMs(view *cpfleetstate.View) int {
	if view.Active.Size() > 0 {
		return view.Active.Size()
	}
	lost := 0
	for i := range view.Members {
		if m := &view.Members[i]; m.State != clementineport.MemberDead && view.Lost[m.ID] {
			lost++
		}
	}
	if lost >= view.VMs {
		return view.VMs
	}
	return view.VMs - lost
}

// dropTargets closes the connections to targets that are gone or have restarted. It keeps the notice of a target that
// accepts no requests, which may register again in the same run.
func (w *Watcher) dropTargets(now time.Time) {
	for id, s := range w.states {
		if t := w.catalog.Targets()[id]; t == nil || t.Born != s.State.Born || t.Address != s.State.Address {
			s.Client.Close()
			delete(w.states, id)
			if n := s.Client.Notice(); n.Closed(now) {
				w.notices[s.State.Run()] = n
			}
		}
	}
	maps.DeleteFunc(w.notices, func(_ clementineport.TargetRun, n clementineport.TargetNotice) bool {
		return !now.Before(n.ClosedUntil) // that the target is leaving is in the catalog
	})
}

// addTarget adds a target to its service in the view, with this VM's share of its connections and slots.
func (w *Watcher) addTarget(view *cpfleetstate.View, id clementineport.TargetID, t *cpcatalog.Target) {
	share := w.connectionShare(view, t.Service)
	s := w.states[id]
	if s == nil {
		s = &cpfleetstate.Target{
			State:  cpbalancer.NewTarget(t.TargetInstance),
			Client: w.options.NewTargetClient(t.TargetInstance, share, w.notices[t.Run()]),
		}
		w.states[id] = s
	}
	s.Client.Resize(share)
	s.WarmAt = t.WarmAt()
	s.Limit, s.Limited = w.catalog.Limit(t)
	s.Client.SetLimit(s.Limited, s.Limit)
	s.SameDomain = t.Domain == w.options.Self.Domain
	s.InFlightLimit = min(share, cpquota.InFlightLimit(t.Slots, view.Sending))
	s.Owned, s.OwnedFrom = w.ownsTarget(view, id), w.ownsFrom
	view.Services[t.Service] = append(view.Services[t.Service], *s)
}

// connectionShare returns this VM's share of the connection limit of each target of a service.
func (w *Watcher) connectionShare(view *cpfleetstate.View, service clementineport.ServiceID) int {
	if !view.ActiveShare.Set {
		return cpquota.ConnectionLimit(w.connectionLimit(service), w.vmCount)
	}
	return view.ActiveShare.Connections(w.connectionLimit(service))
}

// connectionLimit returns the connection limit of each target of a service, for all VMs together.
func (w *Watcher) connectionLimit(service clementineport.ServiceID) int {
	if routes := w.catalog.Routes(); routes != nil {
		if s, ok := routes.Services[service]; ok {
			return s.Connections
		}
	}
	return 1
}

// ownsTarget reports whether this VM is the one that sends requests to a target while it is cold: the first of those that reach
// targets and, if there is an active set, are in it for any load. A VM that has just started and that the store does not list yet
// owns none, since those that have started with it may not be listed either.
func (w *Watcher) ownsTarget(view *cpfleetstate.View, id clementineport.TargetID) bool {
	if w.membership.Presuming() && !view.Listed {
		return false
	}
	ranked := cpowner.Rank(string(id), view.Presumed, 1, func(m *clementineport.Member) bool {
		return m.State == clementineport.MemberAlive && !view.Lost[m.ID] && (view.Active == nil || view.Active.Owns(m.ID))
	})
	return len(ranked) == 1 && view.Presumed[ranked[0]].ID == w.options.Self.ID
}
