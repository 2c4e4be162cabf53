package cprelay

import (
	"time"

	"github.com/clementineport/clementineport"
)

// noGroup is the group of a call without a route.
const noGroup int32 = -1

// group holds the calls that are sent through one VM.
type group struct {
	route   Route
	standby bool
	calls   []clementineport.Call
}

// grouping groups calls by the VM that they are sent through. If that is the same VM for all, no call is copied.
type grouping struct {
	groups []*group
	byVM   map[clementineport.VMID]int32
	// groupOf holds the index of each call's group, and sizes the number of calls in each group.
	groupOf []int32
	sizes   []int
}

func newGrouping(calls int) *grouping {
	return &grouping{byVM: make(map[clementineport.VMID]int32), groupOf: make([]int32, 0, calls)}
}

// add assigns the next call to the group of the route's VM.
func (g *grouping) add(route Route, standby bool) {
	if n := len(g.groupOf); n > 0 && g.groupOf[n-1] != noGroup && g.groups[g.groupOf[n-1]].route.VM == route.VM {
		g.assign(g.groupOf[n-1])
		return
	}
	i, known := g.byVM[route.VM]
	if !known {
		i = int32(len(g.groups))
		g.byVM[route.VM] = i
		g.groups = append(g.groups, &group{route: route, standby: standby})
		g.sizes = append(g.sizes, 0)
	}
	g.assign(i)
}

func (g *grouping) assign(i int32) {
	g.groupOf = append(g.groupOf, i)
	g.sizes[i]++
}

// skip leaves the next call without a group.
func (g *grouping) skip() { g.groupOf = append(g.groupOf, noGroup) }

// split distributes the calls to their groups.
func (g *grouping) split(calls []clementineport.Call) []*group {
	if len(g.groups) == 1 && g.sizes[0] == len(calls) {
		g.groups[0].calls = calls
		return g.groups
	}
	unused := make([]clementineport.Call, len(calls))
	for i, n := range g.sizes {
		g.groups[i].calls, unused = unused[:0:n], unused[n:]
	}
	for i, index := range g.groupOf {
		if index != noGroup {
			g.groups[index].calls = append(g.groups[index].calls, calls[i])
		}
	}
	return g.groups
}

// group groups calls by the VM to send them through. Calls without a route fail immediately.
func (s *Sender) group(router Router, calls []clementineport.Call, deliver func(clementineport.CallResult)) []*group {
	now := s.opts.Clock.Now()
	g := newGrouping(len(calls))
	for i := range calls {
		route, standby, ok := s.route(router, calls[i].Target, now)
		if !ok {
			g.skip()
			deliver(failedResult(&calls[i], clementineport.Fail(clementineport.FaultUnavailable, "no VM for target %s", calls[i].Target)))
			continue
		}
		g.add(route, standby)
	}
	return g.split(calls)
}

// route returns the route through the owner, or through the standby owner while the owner is avoided.
func (s *Sender) route(router Router, t clementineport.TargetID, now time.Time) (route Route, standby, ok bool) {
	owner, ok := router.Route(t, false)
	if ok && s.eligible(owner, now) {
		return owner, false, true
	}
	other, found := router.Route(t, true)
	if found && s.eligible(other, now) {
		return other, true, true
	}
	return owner, false, ok
}

// eligible reports whether calls may be sent on a route.
func (s *Sender) eligible(r Route, now time.Time) bool {
	return (r.Self || s.health.eligible(r.VM, now)) && s.paths.usable(r.VM, now)
}

// groupByOtherVM groups calls by the VM to try after failedVM, which did not run them: the standby owner of the
// target, or its owner if that has changed. Calls without another VM form a group with an empty route.
func groupByOtherVM(router Router, failedVM clementineport.VMID, calls []clementineport.Call) []*group {
	g := newGrouping(len(calls))
	for i := range calls {
		route, ok := router.Route(calls[i].Target, false)
		if !ok || route.VM == failedVM {
			route, ok = router.Route(calls[i].Target, true)
		}
		if !ok || route.VM == failedVM {
			route = Route{}
		}
		g.add(route, true)
	}
	return g.split(calls)
}
