package cpfleetwatch

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpcatalog"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cproute"
)

// publish makes a new view from the state of the loop.
func (f *Watcher) publish(now time.Time) {
	f.dirty = false
	f.published = f.member.Version()
	f.divided = f.vms.Seen(now, f.counted())
	view := &cpfleetstate.View{
		Services: map[clementineport.ServiceID][]cpfleetstate.Target{},
		Members:  f.member.Members(),
		VMs:      f.divided,
	}
	_, view.Listed = f.catalog.VMs()[f.options.Self.ID]
	f.route(view)
	f.dropTargets()
	for id, t := range f.catalog.Targets() {
		if t.Draining || f.catalog.Out(t.Domain) {
			continue
		}
		f.addTarget(view, id, t)
	}
	f.view.Store(view)
}

// route adds the router, and keeps the old one while the routes are the same.
func (f *Watcher) route(view *cpfleetstate.View) {
	routes := f.catalog.Routes()
	if routes == nil {
		return
	}
	var old *cproute.Router
	if last := f.view.Load(); last != nil {
		old = last.Router
	}
	if old != nil && old.Table() == routes {
		view.Router = old
		return
	}
	view.Router = cproute.New(routes, old)
	f.options.OnRoutes(routes)
}

// counted returns the number of VMs that may use targets now.
func (f *Watcher) counted() (n int) {
	for _, m := range f.member.Members() {
		if m.State != clementineport.MemberDead {
			n++
		}
	}
	return n
}

// dropTargets closes the connections to targets that are gone or have started anew.
func (f *Watcher) dropTargets() {
	for id, s := range f.states {
		if t := f.catalog.Targets()[id]; t == nil || t.Born != s.State.Born || t.Address != s.State.Address {
			s.Port.Close()
			delete(f.states, id)
		}
	}
}

// addTarget adds a target to its service.
func (f *Watcher) addTarget(view *cpfleetstate.View, id clementineport.TargetID, t *cpcatalog.Target) {
	share := cpquota.Connections(f.connections(t.Service), f.divided)
	s := f.states[id]
	if s == nil {
		s = &cpfleetstate.Target{State: cpbalancer.NewTarget(t.TargetInstance), Port: f.options.NewPort(t.TargetInstance, share)}
		f.states[id] = s
	}
	s.Port.Resize(share)
	s.WarmAt = t.WarmAt()
	s.Near = t.Domain == f.options.Self.Domain
	s.Limit = min(share, cpquota.InFlight(t.Slots, f.divided))
	s.Owned = f.owns(view, id)
	view.Services[t.Service] = append(view.Services[t.Service], *s)
}

// connections returns the limit of a target of a service for all VMs together.
func (f *Watcher) connections(service clementineport.ServiceID) int {
	if routes := f.catalog.Routes(); routes != nil {
		if s, ok := routes.Services[service]; ok {
			return s.Connections
		}
	}
	return 1
}

// owns reports whether this VM is the one that asks a target while it is cold.
func (f *Watcher) owns(view *cpfleetstate.View, id clementineport.TargetID) bool {
	ranked := cpowner.Rank(string(id), view.Members, 1, func(m *clementineport.Member) bool {
		return m.State == clementineport.MemberAlive
	})
	return len(ranked) == 1 && view.Members[ranked[0]].ID == f.options.Self.ID
}
