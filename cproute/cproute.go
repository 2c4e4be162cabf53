// Package cproute matches requests to routes and chooses a service for each request. It holds one version of the routes,
// reads no clock and has no state of targets.
package cproute

import (
	"slices"
	"strings"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpworkspace"
)

// Router matches requests to the routes of one table. Its methods are safe for concurrent use.
type Router struct {
	table *clementineport.RouteTable
	// hosts holds the routes by host name in lower case, those with the longest prefix first.
	hosts       map[string][]*clementineport.Route
	roundRobins map[clementineport.RouteID]*RoundRobin
	workspaces  *cpworkspace.Index
}

// New returns a router for a table. A route whose weights are the same in the previous router, which may be nil, keeps
// its round-robin state.
func New(table *clementineport.RouteTable, previous *Router) *Router {
	r := &Router{
		table:       table,
		hosts:       map[string][]*clementineport.Route{},
		roundRobins: map[clementineport.RouteID]*RoundRobin{},
		workspaces:  cpworkspace.NewIndex(table.Workspaces),
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		host := strings.ToLower(route.Host)
		r.hosts[host] = append(r.hosts[host], route)
		if len(route.Services) > 1 {
			r.roundRobins[route.Name] = roundRobinOf(route, previous)
		}
	}
	for _, routes := range r.hosts {
		slices.SortStableFunc(routes, func(a, b *clementineport.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return r
}

// roundRobinOf returns the round robin of the previous router if the weights of the route are unchanged, and a new one
// otherwise.
func roundRobinOf(route *clementineport.Route, previous *Router) *RoundRobin {
	if previous != nil {
		if old := previous.roundRobins[route.Name]; old != nil && slices.Equal(old.services, route.Services) {
			return old
		}
	}
	return NewRoundRobin(route.Services)
}

// Table returns the table of the router.
func (r *Router) Table() *clementineport.RouteTable { return r.table }

// Workspaces returns the workspaces of the table.
func (r *Router) Workspaces() *cpworkspace.Index { return r.workspaces }

// Match returns the route of the host with the longest prefix of the path, or nil.
func (r *Router) Match(host, path string) *clementineport.Route {
	for _, route := range r.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service for the next request of a route without shards, or an empty ID if the route has none.
func (r *Router) Service(route *clementineport.Route) clementineport.ServiceID {
	if rr := r.roundRobins[route.Name]; rr != nil {
		return rr.Next()
	}
	if len(route.Services) == 0 {
		return ""
	}
	return route.Services[0].Service
}
