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

// pools holds the admission of each set of services: requests that need the same targets wait for each other.
type pools struct {
	options []cpadmit.Option
	all     map[string]*cpadmit.Admitter
	// classes tells the class of each priority in the present routes.
	classes map[int]clementineport.Class
}

func newPools(options []cpadmit.Option) *pools {
	return &pools{options: options, all: map[string]*cpadmit.Admitter{}}
}

// poolName names the set of services that a request needs.
func poolName(shards []clementineport.ServiceID) string {
	names := make([]string, len(shards))
	for i, s := range shards {
		names[i] = string(s)
	}
	return strings.Join(names, " ")
}

// get returns the admission of a set of services.
func (p *pools) get(shards []clementineport.ServiceID) *cpadmit.Admitter {
	name := poolName(shards)
	a := p.all[name]
	if a == nil {
		a = cpadmit.New(p.options...)
		p.all[name] = a
	}
	return a
}

// class returns the class of a priority: the most urgent one of the routes is served first.
func (p *pools) class(priority int) clementineport.Class {
	if c, ok := p.classes[priority]; ok {
		return c
	}
	return clementineport.ClassStandard
}

// setRoutes orders the priorities of the routes, and drops the pools of services that no route uses.
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

// admit waits until the request may start, or returns why it may not.
func (f *Forwarder) admit(ctx context.Context, r *run, shards []clementineport.ServiceID) (func(*clementineport.Answer), *clementineport.Error) {
	f.mu.Lock()
	admitter, own := f.pools.get(shards), f.pools.class(r.route.Priority)
	f.mu.Unlock()
	seen := r.stats.seen()
	service := &clementineport.Service{
		Name: clementineport.ServiceID(r.route.Name), Class: cpplan.Class(r.route, own, r.request, seen),
	}
	done, err := admitter.Admit(ctx, service, &clementineport.Query{
		Deadline: f.options.Planner.SoftDeadline(r.route, r.request, seen),
	})
	if e, ok := errors.AsType[*clementineport.Error](err); ok {
		return nil, e
	}
	return done, nil
}
