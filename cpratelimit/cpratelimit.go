// Package cpratelimit keeps the quotas of workspaces over all VMs. A Node combines what one VM decides: which coordinator it uses,
// which requests get tokens, and which calls to make. A Limiter executes it.
package cpratelimit

import (
	"slices"
	"strconv"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cpratelimit/cpclient"
	"github.com/clementineport/clementineport/cpratelimit/cpcoordinator"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

const (
	// usedRanks is the number of VMs, in their order of rank, that a VM uses as coordinator of a group. If none of them answers, it
	// is rather this VM that is cut off.
	usedRanks = 3
	// choiceTime is how long the choice of a coordinator is kept, so that the members are not ranked for each request.
	choiceTime = 500 * time.Millisecond
	// strongShare is the share of the cores of the strongest VM that a coordinator must have, since it gets the calls of all VMs.
	strongShare = 0.5
	// noCoordinatorWait is the retry delay that callers are told while this VM has no coordinator.
	noCoordinatorWait = 500 * time.Millisecond
)

// Node is the state of the quotas at one VM. Time is passed in, and it is not safe for concurrent use.
type Node struct {
	self        clementineport.VMID
	start       clementineport.StartID
	options     cpquotas.Options
	client      *cpclient.Client
	coordinator *cpcoordinator.Coordinator
	members     []clementineport.Member
	queues      map[clementineport.WorkspaceID][]*Request
	choices     map[int]choice
	counts      NodeCounts
}

// NodeCounts are the totals of requests of a VM.
type NodeCounts struct {
	Granted, Refused uint64
	// Collections is the number of calls to idle VMs.
	Collections uint64
}

// choice is the coordinator of a group as it was chosen at a time.
type choice struct {
	vm clementineport.VM
	at time.Time
}

// Request is a request that needs a token.
type Request struct {
	Workspace clementineport.WorkspaceID
	// Decided is closed once Granted, Token and RetryAfter are set.
	Decided        chan struct{}
	Granted        bool
	Token          cpclient.Token
	RetryAfter     time.Duration
	arrived, until time.Time
}

// Call is a call to make to another VM, or to this one. Done must be called with its result.
type Call struct {
	To      clementineport.VM
	Request *clementineport.QuotaRequest
	sent    time.Time
	// collection is not nil if the call asks an idle VM for its weight.
	collection *cpcoordinator.Collection
	weight     float64
}

// NewNode returns the state of a process that has just started.
func NewNode(now time.Time, self clementineport.VMID, start clementineport.StartID, opts ...cpquotas.Option) *Node {
	return &Node{
		self: self, start: start, options: cpquotas.NewOptions(opts...), client: cpclient.New(now, self, start, opts...),
		coordinator: cpcoordinator.New(now, opts...), queues: map[clementineport.WorkspaceID][]*Request{}, choices: map[int]choice{},
	}
}

// SetQuotas sets the quotas of a version of the routes.
func (n *Node) SetQuotas(now time.Time, version clementineport.Revision, quotas cpquotas.Quotas) {
	n.client.SetQuotas(version, quotas)
	n.coordinator.SetQuotas(now, quotas)
}

// SetFleet sets the other VMs, and the number of VMs that may send requests.
func (n *Node) SetFleet(members []clementineport.Member, senders int) {
	n.members = members
	n.client.SetVMs(senders)
	clear(n.choices)
}

// Limited reports whether a workspace has a quota.
func (n *Node) Limited(workspace clementineport.WorkspaceID) bool { return n.client.Limited(workspace) }

// coordinatorOf returns the coordinator that this VM uses for a group. Its ID is empty if there is none.
func (n *Node) coordinatorOf(now time.Time, group int) clementineport.VM {
	if c, ok := n.choices[group]; ok && now.Sub(c.at) < choiceTime {
		return c.vm
	}
	var strongest float64
	for i := range n.members {
		if m := &n.members[i]; usable(m) {
			strongest = max(strongest, m.Capacity.Cores)
		}
	}
	ranked := cpowner.Rank("quota group "+strconv.Itoa(group), n.members, usedRanks, func(m *clementineport.Member) bool {
		return usable(m) && m.Capacity.Cores >= strongest*strongShare
	})
	c := choice{at: now}
	for _, i := range ranked {
		if m := &n.members[i]; !n.client.Avoids(now, m.ID) {
			c.vm = m.VM
			break
		}
	}
	n.choices[group] = c
	return c.vm
}

// usable reports whether a VM may be a coordinator.
func usable(m *clementineport.Member) bool {
	return m.State == clementineport.MemberAlive && !m.Leaving
}

// mayReserve reports whether this VM is one of those that hold a reserve token for a workspace.
func (n *Node) mayReserve(workspace clementineport.WorkspaceID) bool {
	ranked := cpowner.Rank("quota reserve "+string(workspace), n.members, n.options.Bounds.ReserveVMs(), func(m *clementineport.Member) bool {
		return m.State != clementineport.MemberDead
	})
	return slices.ContainsFunc(ranked, func(i int32) bool { return n.members[i].ID == n.self })
}

// Request records a request of a workspace with a quota, which waits for a token for at most maxWait. Advance must follow.
func (n *Node) Request(now time.Time, workspace clementineport.WorkspaceID, maxWait time.Duration) *Request {
	r := &Request{Workspace: workspace, Decided: make(chan struct{}), arrived: now, until: now.Add(maxWait)}
	n.client.Request(now, workspace)
	n.queues[workspace] = append(n.queues[workspace], r)
	n.client.Wait(workspace, 1)
	return r
}

// Cancel withdraws a request that was not sent to targets: it removes a waiting one, and returns the token of a granted one.
func (n *Node) Cancel(now time.Time, r *Request) {
	if r.Granted {
		n.client.Return(now, r.Token)
		return
	}
	queue := n.queues[r.Workspace]
	if i := slices.Index(queue, r); i >= 0 {
		n.setQueue(r.Workspace, slices.Delete(queue, i, i+1))
		n.client.Wait(r.Workspace, -1)
	}
}

// setQueue sets the waiting requests of a workspace.
func (n *Node) setQueue(workspace clementineport.WorkspaceID, queue []*Request) {
	if len(queue) == 0 {
		delete(n.queues, workspace)
		return
	}
	n.queues[workspace] = queue
}

// Advance decides the requests that can be decided, and returns the calls to make.
func (n *Node) Advance(now time.Time) (calls []Call) {
	for workspace := range n.queues {
		n.serve(now, workspace)
	}
	for _, group := range n.client.Groups(now) {
		to := n.coordinatorOf(now, group)
		if r := n.client.Next(now, group, to.ID); r != nil {
			calls = append(calls, Call{To: to, Request: r, sent: now})
		}
	}
	for _, collection := range n.coordinator.Collect(now) {
		calls = append(calls, n.collect(now, &collection)...)
	}
	return calls
}

// collect returns the calls to the VMs that have not bound their weight.
func (n *Node) collect(now time.Time, c *cpcoordinator.Collection) (calls []Call) {
	for i := range n.members {
		if m := &n.members[i]; m.State == clementineport.MemberAlive && !c.Bound[m.ID] {
			calls = append(calls, Call{To: m.VM, Request: c.Request(n.self, n.start, m.ID), sent: now, collection: c, weight: n.client.Weight()})
		}
	}
	n.counts.Collections += uint64(len(calls))
	return calls
}

// serve decides the requests of a workspace in their order.
func (n *Node) serve(now time.Time, workspace clementineport.WorkspaceID) {
	queue := n.queues[workspace]
	waiting := queue[:0]
	for i, r := range queue {
		if n.decide(now, r) {
			n.client.Wait(workspace, -1)
			close(r.Decided)
			continue
		}
		waiting = append(waiting, queue[i])
	}
	clear(queue[len(waiting):])
	n.setQueue(workspace, waiting)
}

// decide reports whether a request is granted or refused now.
func (n *Node) decide(now time.Time, r *Request) bool {
	switch token, ok := n.client.Take(now, r.Workspace); {
	case !n.client.Limited(r.Workspace):
		r.Granted = true
	case ok:
		r.Granted, r.Token = true, token
	case n.coordinatorOf(now, n.client.Group(r.Workspace)).ID == "" || !now.Before(r.until):
		if n.mayReserve(r.Workspace) {
			r.Token, r.Granted = n.client.TakeReserve(now, r.arrived, r.Workspace)
		}
		r.RetryAfter = noCoordinatorWait
		if wait, known := n.client.Refusal(now, r.until, r.Workspace); known {
			r.RetryAfter = wait
		}
	default:
		wait, refused := n.client.Refusal(now, r.until, r.Workspace)
		if !refused {
			return false
		}
		r.RetryAfter = wait
	}
	if r.Granted {
		n.counts.Granted++
	} else {
		n.counts.Refused++
	}
	return true
}

// Done handles the result of a call.
func (n *Node) Done(now time.Time, call *Call, answer *clementineport.QuotaAnswer, err error) {
	switch {
	case call.collection != nil:
		if err == nil {
			n.coordinator.Lent(now, call.sent, call.collection, call.To.ID, call.weight, answer)
		}
	case err == nil:
		n.client.Answered(now, call.Request.Group, answer)
	default:
		n.client.Failed(now, call.Request.Group, err)
		clear(n.choices)
	}
}

// Handle answers the call of another VM: as coordinator, or as an idle VM that lends its weight to one.
func (n *Node) Handle(now time.Time, r *clementineport.QuotaRequest) *clementineport.QuotaAnswer {
	if cpcoordinator.IsCollection(r) {
		return n.client.Lend(now, r, n.coordinatorOf(now, r.Group).ID)
	}
	return n.coordinator.Ask(now, r)
}

// Wake returns the time at which Advance must be called, for requests that wait. It is zero if none does.
func (n *Node) Wake() (at time.Time) {
	consider := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for workspace, queue := range n.queues {
		for _, r := range queue {
			consider(r.until)
		}
		if next, ok := n.client.NextCall(workspace); ok {
			consider(next)
		}
	}
	return at
}

// Weight returns the weight that this VM counts for a workspace: as coordinator, or because it may use its own.
func (n *Node) Weight(now time.Time, workspace clementineport.WorkspaceID) float64 {
	return n.coordinator.Weight(now, workspace) + n.client.OwnWeight(now, workspace)
}
