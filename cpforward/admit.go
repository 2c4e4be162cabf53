package cpforward

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpplan"
)

// pools holds one admitter for each set of services, so that requests for the same targets share a queue.
type pools struct {
	options []cpadmit.Option
	// onOverload is called when requests for some services begin or cease to be refused, with the lock of their admitter held.
	onOverload func(services []clementineport.ServiceID, overloaded bool)

	all map[string]*cpadmit.Admitter
	// classes maps each priority of the current routes and workspaces to its class.
	classes map[int]clementineport.Class
	// ranks maps each priority of the current routes to its place in the order of urgency.
	ranks map[int]int
	// workspaces holds the current workspaces, or none if requests need no keys.
	workspaces map[clementineport.WorkspaceID]*clementineport.Workspace
}

func newPools(options []cpadmit.Option, onOverload func([]clementineport.ServiceID, bool)) *pools {
	return &pools{options: options, onOverload: onOverload, all: map[string]*cpadmit.Admitter{}}
}

// poolName returns the key of the pool for a set of services.
func poolName(shards []clementineport.ServiceID) string {
	names := make([]string, len(shards))
	for i, s := range shards {
		names[i] = string(s)
	}
	return strings.Join(names, " ")
}

// get returns the admitter of a set of services.
func (p *pools) get(shards []clementineport.ServiceID) *cpadmit.Admitter {
	name := poolName(shards)
	a := p.all[name]
	if a == nil {
		report := cpadmit.WithOnOverload(func(overloaded bool) { p.onOverload(shards, overloaded) })
		a = cpadmit.New(append(slices.Clone(p.options), report)...)
		a.SetFair(p.fair())
		p.all[name] = a
	}
	return a
}

// class returns the class of a priority, or the standard class if no route has that priority.
func (p *pools) class(priority int) clementineport.Class {
	if c, ok := p.classes[priority]; ok {
		return c
	}
	return clementineport.ClassStandard
}

// fair reports whether admission is shared among workspaces.
func (p *pools) fair() bool { return len(p.workspaces) > 0 }

// setRoutes assigns classes to the priorities of the routes and workspaces, the most urgent one first, and removes the pools
// that no route uses.
func (p *pools) setRoutes(table *clementineport.RouteTable) {
	var priorities []int
	used := map[string]bool{}
	for i := range table.Routes {
		r := &table.Routes[i]
		priorities = append(priorities, r.Priority)
		used[poolName(r.Shards)] = true
		for _, s := range r.Services {
			used[string(s.Service)] = true
		}
	}
	p.ranks = rank(priorities)
	p.workspaces = make(map[clementineport.WorkspaceID]*clementineport.Workspace, len(table.Workspaces))
	for i := range table.Workspaces {
		w := &table.Workspaces[i]
		p.workspaces[w.Name] = w
		if w.HasPriority {
			priorities = append(priorities, w.Priority)
		}
	}
	p.classes = map[int]clementineport.Class{}
	for priority, place := range rank(priorities) {
		p.classes[priority] = clementineport.Class(min(place, int(clementineport.NumClasses)-1))
	}
	for name, a := range p.all {
		if !used[name] {
			delete(p.all, name)
			continue
		}
		a.SetFair(p.fair())
	}
}

// rank returns the place of each priority in ascending order, from 0. Equal priorities have the same place.
func rank(priorities []int) map[int]int {
	places := make(map[int]int, len(priorities))
	for place, priority := range slices.Compact(slices.Sorted(slices.Values(priorities))) {
		places[priority] = place
	}
	return places
}

// arrival returns the arrival of a request for admission, without its deadline. The priority of the workspace takes precedence
// over that of the route. With workspaces, a retry gets no better class: callers that retry at once would get ahead of others.
func (p *pools) arrival(r *run, shards int, s cpplan.RouteStats) cpadmit.Arrival {
	a := cpadmit.Arrival{Service: clementineport.ServiceID(r.route.Name)}
	if !p.fair() {
		a.Class = cpplan.Class(r.route, p.class(r.route.Priority), r.request, s)
		return a
	}
	a.Class = p.class(r.route.Priority)
	if w := p.workspaces[r.request.Workspace]; w != nil && w.HasPriority {
		a.Class = p.class(w.Priority)
	}
	a.Class = max(a.Class, cpplan.Class(r.route, a.Class, r.request, s))
	a.Workspace, a.Rank = r.request.Workspace, p.ranks[r.route.Priority]
	work := s.TypicalLatency
	if work == 0 {
		work = assumedWork
	}
	a.Cost = float64(shards) * work.Seconds()
	return a
}

// assumedWork is the assumed latency of a call while none of its route is known. It is that of a short call, since a route
// whose latency is not known has few requests.
const assumedWork = 20 * time.Millisecond

// admit waits until the request may start. It returns a function to call when the request ends, or the refusal.
func (f *Forwarder) admit(ctx context.Context, r *run, shards []clementineport.ServiceID) (func(*clementineport.Answer), *clementineport.Error) {
	snapshot := r.stats.snapshot()
	f.mu.Lock()
	admitter, arrival := f.pools.get(shards), f.pools.arrival(r, len(shards), snapshot)
	f.mu.Unlock()
	arrival.Deadline = f.options.Planner.SoftDeadline(r.route, r.request, snapshot)
	done, err := admitter.AdmitArrival(ctx, arrival)
	if e, ok := errors.AsType[*clementineport.Error](err); ok {
		return nil, e
	}
	return done, nil
}

// Admission returns the counts of all pools together. The refusals of pools that have been removed are lost.
func (f *Forwarder) Admission() (total cpadmit.Stats) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.pools.all {
		s := a.Stats()
		total.InProgress += s.InProgress
		total.Workspaces += s.Workspaces
		for c := range s.Waiting {
			total.Waiting[c] += s.Waiting[c]
		}
		for reason := range s.Refusals {
			total.Refusals[reason] += s.Refusals[reason]
		}
	}
	return total
}
