package cpforward

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpplan"
)

// pools holds one admitter for each set of services, so that requests for the same targets share a queue.
type pools struct {
	options []cpadmit.Option
	all     map[string]*cpadmit.Admitter
	// classes maps each priority of the current routes to its class.
	classes map[int]clementineport.Class
}

func newPools(options []cpadmit.Option) *pools {
	return &pools{options: options, all: map[string]*cpadmit.Admitter{}}
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
		a = cpadmit.New(p.options...)
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

// setRoutes assigns classes to the priorities of the routes, the most urgent one first, and removes the pools that no
// route uses.
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
	slices.Sort(priorities)
	p.classes = map[int]clementineport.Class{}
	for rank, priority := range slices.Compact(priorities) {
		p.classes[priority] = min(clementineport.Class(rank), clementineport.NumClasses-1)
	}
	for name := range p.all {
		if !used[name] {
			delete(p.all, name)
		}
	}
}

// admit waits until the request may start. It returns a function to call when the request ends, or the refusal.
func (f *Forwarder) admit(ctx context.Context, r *run, shards []clementineport.ServiceID) (func(*clementineport.Answer), *clementineport.Error) {
	f.mu.Lock()
	admitter, routeClass := f.pools.get(shards), f.pools.class(r.route.Priority)
	f.mu.Unlock()
	snapshot := r.stats.snapshot()
	service := &clementineport.Service{
		Name: clementineport.ServiceID(r.route.Name), Class: cpplan.Class(r.route, routeClass, r.request, snapshot),
	}
	done, err := admitter.Admit(ctx, service, &clementineport.Query{
		Deadline: f.options.Planner.SoftDeadline(r.route, r.request, snapshot),
	})
	if e, ok := errors.AsType[*clementineport.Error](err); ok {
		return nil, e
	}
	return done, nil
}
