// Package cproute finds the route of a request and the service that takes it. It holds one version of the
// routes; it reads no clock and knows no target.
package cproute

import (
	"slices"
	"strings"

	"github.com/clementineport/clementineport"
)

// Router matches requests with the routes of one table. Its methods may be called from many goroutines.
type Router struct {
	table *clementineport.RouteTable
	hosts map[string][]*clementineport.Route
	turns map[clementineport.RouteID]*RoundRobin
}

// New returns a router of a table. The turns of routes whose weights have not changed since the previous router
// go on.
func New(table *clementineport.RouteTable, previous *Router) *Router {
	r := &Router{
		table: table,
		hosts: map[string][]*clementineport.Route{},
		turns: map[clementineport.RouteID]*RoundRobin{},
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		host := strings.ToLower(route.Host)
		r.hosts[host] = append(r.hosts[host], route)
		if len(route.Services) > 1 {
			r.turns[route.Name] = turnsOf(route, previous)
		}
	}
	for _, routes := range r.hosts {
		slices.SortStableFunc(routes, func(a, b *clementineport.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return r
}

// turnsOf keeps the turns of an unchanged route.
func turnsOf(route *clementineport.Route, previous *Router) *RoundRobin {
	if previous != nil {
		if old := previous.turns[route.Name]; old != nil && slices.Equal(old.services, route.Services) {
			return old
		}
	}
	return NewRoundRobin(route.Services)
}

// Table returns the table that the router matches with.
func (r *Router) Table() *clementineport.RouteTable { return r.table }

// Match returns the route with the longest prefix that begins the path, or nil.
func (r *Router) Match(host, path string) *clementineport.Route {
	for _, route := range r.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the service that takes the next request of a route without shards.
func (r *Router) Service(route *clementineport.Route) clementineport.ServiceID {
	if turns := r.turns[route.Name]; turns != nil {
		return turns.Next()
	}
	if len(route.Services) == 0 {
		return ""
	}
	return route.Services[0].Service
}
