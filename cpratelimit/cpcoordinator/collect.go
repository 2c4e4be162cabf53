package cpcoordinator

import (
	"time"

	"github.com/clementineport/clementineport"
)

// completeWeight is the sum of weights from which there is nothing left to collect. It is below one, so that rounding of many small
// weights causes no collections.
const completeWeight = 0.99

// mayCollect reports whether idle VMs may be asked for their weight now.
func (c *Coordinator) mayCollect(now time.Time, g *group) bool {
	return g.weight-g.lent < completeWeight && now.Sub(g.collected) >= c.options.CollectPeriod()
}

// Collection is a request for the weights of idle VMs, which make no calls by themselves.
type Collection struct {
	Group      int
	Workspaces []clementineport.WorkspaceID
	// Bound holds the VMs that have bound their weight by themselves, and Lent those that have lent it.
	Bound, Lent map[clementineport.VMID]bool
}

// Collect returns the collections that are due: those of groups in which tokens were short, as long as there is demand. The tokens of
// a weight are dropped when its VM lends it no more, so it is collected again although tokens may suffice for the moment.
func (c *Coordinator) Collect(now time.Time) (due []Collection) {
	for id, g := range c.groups {
		c.advance(now, g)
		g.short = g.short && now.Sub(g.used) <= c.options.IdleTime
		if !g.short || !c.mayCollect(now, g) {
			continue
		}
		g.collected = now
		collection := Collection{Group: id, Bound: map[clementineport.VMID]bool{}, Lent: map[clementineport.VMID]bool{}}
		for name := range g.buckets {
			collection.Workspaces = append(collection.Workspaces, name)
		}
		for vm, b := range g.bindings {
			collection.Bound[vm], collection.Lent[vm] = !b.lent, b.lent
		}
		due = append(due, collection)
	}
	return due
}

// Request returns the call to an idle VM. It has no weight, which distinguishes it from the call of a VM that needs tokens. A VM that
// has lent its weight already has no tokens to hand over.
func (l *Collection) Request(from clementineport.VMID, start clementineport.StartID, to clementineport.VMID) *clementineport.QuotaRequest {
	r := &clementineport.QuotaRequest{From: from, Start: start, Group: l.Group}
	if l.Lent[to] {
		return r
	}
	for _, name := range l.Workspaces {
		r.Demands = append(r.Demands, clementineport.QuotaDemand{Workspace: name})
	}
	return r
}

// IsCollection reports whether a call asks for the weight of an idle VM.
func IsCollection(r *clementineport.QuotaRequest) bool { return r.Weight == 0 }

// Lent handles the answer of an idle VM to a call that was sent at a time. The VM has lent its weight from when it got the call,
// so this coordinator counts it for as long from when it sent the call.
func (c *Coordinator) Lent(now, sent time.Time, l *Collection, vm clementineport.VMID, weight float64, answer *clementineport.QuotaAnswer) {
	g := c.group(now, l.Group)
	now = g.at
	until := sent.Add(c.options.LoanTime())
	if !answer.Bound || !until.After(now) {
		return
	}
	old, known := g.bindings[vm]
	if known && !old.lent {
		return // it has begun to make calls
	}
	c.bind(now, g, vm, binding{weight: weight, until: until, lent: true})
	for i := range min(len(answer.Grants), len(l.Workspaces)) {
		if !known {
			c.credit(g, l.Workspaces[i], answer.Grants[i].Tokens, weight)
		}
	}
}

// Change is a change to report in the log.
type Change struct {
	// Workspace is empty if the change is that this VM became or ceased to be the coordinator of a group.
	Workspace clementineport.WorkspaceID
	Group     int
	Begins    bool
}

// Changes returns which workspaces began or ceased to be limited since the last call, and which groups this VM began or ceased to
// coordinate.
func (c *Coordinator) Changes(now time.Time) (changes []Change) {
	for id, g := range c.groups {
		c.advance(now, g)
		for name, b := range g.buckets {
			limited := !b.short.IsZero() && now.Sub(b.short) <= c.options.IdleTime
			if limited != b.limited {
				b.limited = limited
				changes = append(changes, Change{Workspace: name, Group: id, Begins: limited})
			}
		}
		active := len(g.bindings) > 0
		if active && !g.reported || !active && now.Sub(g.bound) > c.options.IdleTime {
			if g.reported || active {
				changes = append(changes, Change{Group: id, Begins: active})
			}
			if g.reported = active; !active {
				delete(c.groups, id)
			}
		}
	}
	return changes
}
