// Package cpclient is the side of a VM that needs tokens of quotas. It is a state machine: time is passed in, and it is not safe
// for concurrent use.
package cpclient

import (
	"maps"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

// Client is the side of a VM that needs tokens. For each group of workspaces it makes one call at a time, binds the weight of this
// VM to one coordinator at a time, and holds the tokens that it was granted.
type Client struct {
	options cpquotas.Options
	self    clementineport.VMID
	start   clementineport.StartID
	began   time.Time
	// free is when the weight may be bound in groups that were not used yet. An earlier process of this VM may have bound it.
	free    time.Time
	quotas  cpquotas.Quotas
	version clementineport.Revision
	// groupCount and weight follow the number of VMs.
	groupCount int
	weight     float64
	groups     map[int]*clientGroup
	stores     map[clementineport.WorkspaceID]*store
	// avoided holds the VMs that did not answer, and until when they are not used.
	avoided map[clementineport.VMID]time.Time
	counts  Counts
}

// Counts are the totals of tokens and calls of a VM.
type Counts struct {
	Calls, Failed                                  uint64
	Granted, Used, Returned, Expired, Reserve, Own uint64
}

// clientGroup is the state of a group of workspaces.
type clientGroup struct {
	// holder is the VM that may count the weight of this VM until free.
	holder clementineport.VMID
	free   time.Time
	// bindings counts how often the weight was bound, which ends the use of tokens of the own weight.
	bindings uint64
	// coordinator is the VM of the latest call, and nonce that of its latest answer, which came at answered.
	coordinator clementineport.VMID
	nonce       clementineport.QuotaNonce
	answered    time.Time
	// latency is that of the latest call.
	latency time.Duration
	// used is the time of the latest request.
	used time.Time
	// bindNext is true if a call without a valid nonce was answered, so that a further call can bind the weight now.
	bindNext bool
	// timedOut is true if the latest call ended without an answer in time.
	timedOut bool
	call     *call
	// called is when the latest call was made.
	called time.Time
	// waiting holds the workspaces with waiting requests.
	waiting map[clementineport.WorkspaceID]*store
}

// call is a call that has not been answered.
type call struct {
	sent time.Time
	// free is what clientGroup.free becomes if the call was not sent. It covers a loan that was made while the call was under way.
	free    time.Time
	request *clementineport.QuotaRequest
}

// New returns the client of a process that has just started. An earlier process of the VM may have bound its weight.
func New(now time.Time, self clementineport.VMID, start clementineport.StartID, opts ...cpquotas.Option) *Client {
	options := cpquotas.NewOptions(opts...)
	return &Client{
		options: options, self: self, start: start, began: now, free: now.Add(options.LostCallTime()), quotas: cpquotas.Quotas{}, groupCount: 1, weight: 1,
		groups: map[int]*clientGroup{}, stores: map[clementineport.WorkspaceID]*store{}, avoided: map[clementineport.VMID]time.Time{},
	}
}

// Counts returns the totals.
func (c *Client) Counts() Counts { return c.counts }

// SetQuotas sets the quotas. Tokens of a workspace whose limit was lowered are dropped.
func (c *Client) SetQuotas(version clementineport.Revision, quotas cpquotas.Quotas) {
	c.version = version
	for name, s := range c.stores {
		old := c.quotas[name]
		if q, ok := quotas[name]; !ok {
			c.removeStore(name)
		} else if q.Rate < old.Rate || q.Burst < old.Burst {
			s.drop()
		}
	}
	c.quotas = quotas
}

// removeStore forgets a workspace that has no limit any more.
func (c *Client) removeStore(name clementineport.WorkspaceID) {
	if g := c.groups[c.Group(name)]; g != nil {
		delete(g.waiting, name)
	}
	delete(c.stores, name)
}

// SetVMs sets the number of VMs that may send requests. If the workspaces are divided differently from then on, the weight of this
// VM in the new groups is bound only when no coordinator of the old ones can count it.
func (c *Client) SetVMs(vms int) {
	c.weight = 1 / float64(max(1, vms))
	count := cpquotas.GroupCount(vms)
	if count == c.groupCount {
		return
	}
	waiting := map[clementineport.WorkspaceID]*store{}
	var used time.Time
	for _, g := range c.groups {
		c.free, used = cpquotas.Later(c.free, g.free), cpquotas.Later(used, g.used)
		maps.Copy(waiting, g.waiting)
	}
	c.groupCount, c.groups = count, map[int]*clientGroup{}
	for name, s := range c.stores {
		s.level, s.bindings = 0, 0
		if waiting[name] != nil {
			g := c.group(c.Group(name))
			g.waiting[name], g.used = s, used
		}
	}
}

// Weight returns this VM's share of each quota, in (0, 1].
func (c *Client) Weight() float64 { return c.weight }

// Group returns the number of the group of a workspace.
func (c *Client) Group(workspace clementineport.WorkspaceID) int {
	return cpquotas.GroupOf(workspace, c.groupCount)
}

// Limited reports whether a workspace has a quota.
func (c *Client) Limited(workspace clementineport.WorkspaceID) bool {
	_, ok := c.quotas[workspace]
	return ok
}

func (c *Client) group(id int) *clientGroup {
	g := c.groups[id]
	if g == nil {
		g = &clientGroup{free: c.free, waiting: map[clementineport.WorkspaceID]*store{}}
		c.groups[id] = g
	}
	return g
}

// Groups returns the groups that this VM has used lately.
func (c *Client) Groups(now time.Time) (ids []int) {
	for id, g := range c.groups {
		if c.active(now, g) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Client) active(now time.Time, g *clientGroup) bool {
	return !g.used.IsZero() && now.Sub(g.used) <= c.options.IdleTime
}

// Avoids reports whether a VM must not be used as coordinator, since it did not answer lately.
func (c *Client) Avoids(now time.Time, vm clementineport.VMID) bool {
	until, ok := c.avoided[vm]
	if ok && !now.Before(until) {
		delete(c.avoided, vm)
		return false
	}
	return ok
}

// mayBind reports whether the weight may be bound to a coordinator by a call that is sent now.
func (g *clientGroup) mayBind(now time.Time, coordinator clementineport.VMID) bool {
	return g.holder == coordinator || !now.Before(g.free)
}

// nonceUsable reports whether the coordinator still accepts the nonce of its latest answer when a call arrives.
func (c *Client) nonceUsable(now time.Time, g *clientGroup) bool {
	// The rest of the binding time is left for the call to arrive.
	return g.nonce != 0 && now.Sub(g.answered) < c.options.BindingTime*4/5
}

// Next returns the call to make now to the coordinator of a group, or nil if none is due. Answered or Failed must be called with
// its result.
func (c *Client) Next(now time.Time, id int, coordinator clementineport.VMID) *clementineport.QuotaRequest {
	g := c.group(id)
	if g.call != nil || coordinator == "" {
		return nil
	}
	if g.coordinator != coordinator {
		g.coordinator, g.nonce, g.bindNext, g.timedOut = coordinator, 0, false, false
	}
	wanted := g.wanted(now)
	renew := c.active(now, g) && (g.bindNext || now.Sub(g.called) >= c.options.RenewPeriod)
	if len(wanted) == 0 && !renew {
		return nil
	}
	r := &clementineport.QuotaRequest{From: c.self, Start: c.start, Group: id, Weight: c.weight, Version: c.version}
	free, binds := g.free, c.nonceUsable(now, g) && g.mayBind(now, coordinator)
	if binds {
		r.Nonce = g.nonce
		r.Demands = c.handOver(now, g, id) // first, so that the demands can be met from it
		g.bind(coordinator, now.Add(c.options.LostCallTime()))
	}
	for _, name := range wanted {
		r.Demands = append(r.Demands, clementineport.QuotaDemand{Workspace: name, Tokens: c.stores[name].demand(now, c.options.Lifetime())})
	}
	g.call, g.called, g.bindNext = &call{sent: now, free: free, request: r}, now, false
	c.counts.Calls++
	return r
}

// bind records that a VM may count the weight until a time.
func (g *clientGroup) bind(holder clementineport.VMID, until time.Time) {
	g.holder, g.free = holder, cpquotas.Later(g.free, until)
	g.bindings++
}

// wanted returns the workspaces for whose waiting requests a call is due.
func (g *clientGroup) wanted(now time.Time) (names []clementineport.WorkspaceID) {
	for name, s := range g.waiting {
		if !now.Before(s.askAt) {
			names = append(names, name)
		}
	}
	return names
}

// handOver returns the tokens of the own weight, which a call that binds the weight gives to the coordinator.
func (c *Client) handOver(now time.Time, g *clientGroup, id int) (demands []clementineport.QuotaDemand) {
	if now.Before(g.free) {
		return nil
	}
	for name, q := range c.quotas {
		if !cpquotas.IsIn(name, id) {
			continue
		}
		if level := c.ownLevel(now, g, c.store(name), q); level > 0 {
			demands = append(demands, clementineport.QuotaDemand{Workspace: name, Returned: level})
		}
	}
	return demands
}

// Answered handles the answer to the call of a group.
func (c *Client) Answered(now time.Time, id int, answer *clementineport.QuotaAnswer) {
	g := c.groups[id]
	if g == nil || g.call == nil {
		return // the workspaces were divided anew
	}
	done := g.call
	g.call, g.timedOut = nil, false
	if done.request.Nonce != 0 {
		// The coordinator has handled the call by now, so it counts the weight for a binding time from now at most.
		if g.free = done.free; answer.Bound {
			g.free = cpquotas.Later(g.free, now.Add(c.options.BindingTime))
		}
	}
	g.nonce, g.answered, g.latency = answer.Nonce, now, now.Sub(done.sent)
	g.bindNext = !answer.Bound && done.request.Nonce == 0 && c.nonceUsable(now, g) && g.mayBind(now, g.coordinator)
	for i := range min(len(answer.Grants), len(done.request.Demands)) {
		d, grant := &done.request.Demands[i], &answer.Grants[i]
		q, limited := c.quotas[d.Workspace]
		s := c.stores[d.Workspace]
		if s == nil || !limited {
			continue
		}
		tokens := min(grant.Tokens, c.options.Depth(q))
		c.counts.Granted += uint64(tokens)
		s.add(int(tokens), done.sent.Add(c.options.Lifetime()))
		if grant.Tokens < d.Tokens {
			s.refuse(now, max(minAskWait, grant.Wait))
		}
	}
}

// Failed handles the error of the call of a group. The coordinator is avoided for a while, but not after a first call without an
// answer: its connection may have gone silent, and the next call goes over a new one, before the binding has lapsed.
func (c *Client) Failed(now time.Time, id int, err error) {
	g := c.groups[id]
	if g == nil || g.call == nil {
		return // the workspaces were divided anew
	}
	done := g.call
	g.call = nil
	c.counts.Failed++
	if done.request.Nonce != 0 && clementineport.VerdictOf(err) == clementineport.NotRun {
		g.free = done.free
	}
	if clementineport.FaultOf(err) == clementineport.FaultTimeout && !g.timedOut {
		g.timedOut, g.called = true, time.Time{} // the next call is due at once
		return
	}
	g.timedOut = false
	c.avoided[g.coordinator] = now.Add(c.options.AvoidTime)
}

// Lend answers the call of a coordinator that asks for the weight of this VM. The VM lends it if it would use that coordinator
// itself, and hands over the tokens of its own weight.
func (c *Client) Lend(now time.Time, r *clementineport.QuotaRequest, coordinator clementineport.VMID) *clementineport.QuotaAnswer {
	answer := &clementineport.QuotaAnswer{}
	if !cpquotas.SameDivision(r.Group, c.groupCount) || r.From != coordinator {
		return answer
	}
	g := c.group(r.Group)
	if !g.mayBind(now, r.From) {
		return answer
	}
	answer.Bound = true
	for i := range r.Demands {
		name := r.Demands[i].Workspace
		grant := clementineport.QuotaGrant{}
		if q, ok := c.quotas[name]; ok && cpquotas.IsIn(name, r.Group) {
			grant.Tokens = c.ownLevel(now, g, c.store(name), q)
		}
		answer.Grants = append(answer.Grants, grant)
	}
	until := now.Add(c.options.LoanTime())
	g.bind(r.From, until)
	if g.call != nil {
		g.call.free = cpquotas.Later(g.call.free, until)
	}
	return answer
}

// NextCall returns the time at which a call for the waiting requests of a workspace is due, and whether one must be made.
func (c *Client) NextCall(workspace clementineport.WorkspaceID) (at time.Time, ok bool) {
	s := c.stores[workspace]
	return s.askAt, c.group(c.Group(workspace)).call == nil
}
