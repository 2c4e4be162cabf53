package cprelay

import (
	"time"

	"github.com/clementineport/clementineport"
)

// noGroup marks a call without a route.
const noGroup int32 = -1

// group is the calls that go through one VM.
type group struct {
	route  Route
	deputy bool
	calls  []clementineport.Call
}

// grouping sorts calls by the VM that they go through. It copies no call when all go through one VM.
type grouping struct {
	groups []*group
	byVM   map[clementineport.VMID]int32
	// of is the group of each call, and sizes the number of calls of each group.
	of    []int32
	sizes []int
}

func newGrouping(calls int) *grouping {
	return &grouping{byVM: make(map[clementineport.VMID]int32), of: make([]int32, 0, calls)}
}

// add assigns the next call to the group of a VM.
func (g *grouping) add(route Route, deputy bool) {
	if n := len(g.of); n > 0 && g.of[n-1] != noGroup && g.groups[g.of[n-1]].route.VM == route.VM {
		g.put(g.of[n-1])
		return
	}
	i, known := g.byVM[route.VM]
	if !known {
		i = int32(len(g.groups))
		g.byVM[route.VM] = i
		g.groups = append(g.groups, &group{route: route, deputy: deputy})
		g.sizes = append(g.sizes, 0)
	}
	g.put(i)
}

func (g *grouping) put(i int32) {
	g.of = append(g.of, i)
	g.sizes[i]++
}

// skip leaves out the next call.
func (g *grouping) skip() { g.of = append(g.of, noGroup) }

// split hands the calls out to their groups.
func (g *grouping) split(calls []clementineport.Call) []*group {
	if len(g.groups) == 1 && g.sizes[0] == len(calls) {
		g.groups[0].calls = calls
		return g.groups
	}
	room := make([]clementineport.Call, len(calls))
	for i, n := range g.sizes {
		g.groups[i].calls, room = room[:0:n], room[n:]
	}
	for i, of := range g.of {
		if of != noGroup {
			g.groups[of].calls = append(g.groups[of].calls, calls[i])
		}
	}
	return g.groups
}

// group sorts calls by the VM to send them through; calls without a route fail at once.
func (s *Sender) group(router Router, calls []clementineport.Call, deliver func(clementineport.CallResult)) []*group {
	now := s.opts.Clock.Now()
	g := newGrouping(len(calls))
	for i := range calls {
		route, deputy, ok := s.route(router, calls[i].Target, now)
		if !ok {
			g.skip()
			deliver(failed(&calls[i], clementineport.Fail(clementineport.FaultUnavailable, "no VM for target %s", calls[i].Target)))
			continue
		}
		g.add(route, deputy)
	}
	return g.split(calls)
}

// route returns the owner, or the deputy while the owner does not answer.
func (s *Sender) route(router Router, t clementineport.TargetID, now time.Time) (route Route, deputy, ok bool) {
	owner, ok := router.Route(t, false)
	if ok && (owner.Self || s.routes.usable(owner.VM, now)) {
		return owner, false, true
	}
	second, found := router.Route(t, true)
	if found && (second.Self || s.routes.usable(second.VM, now)) {
		return second, true, true
	}
	return owner, false, ok
}

// deputies sorts calls by the VM to try after one that did not run them: the deputy of the target, or its
// owner if ownership has moved meanwhile. Calls without one form a group of their own.
func deputies(router Router, tried clementineport.VMID, calls []clementineport.Call) []*group {
	g := newGrouping(len(calls))
	for i := range calls {
		route, ok := router.Route(calls[i].Target, false)
		if !ok || route.VM == tried {
			route, ok = router.Route(calls[i].Target, true)
		}
		if !ok || route.VM == tried {
			route = Route{}
		}
		g.add(route, true)
	}
	return g.split(calls)
}
