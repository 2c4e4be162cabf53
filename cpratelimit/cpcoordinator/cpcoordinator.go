// Package cpcoordinator holds the token buckets of workspaces at the VM that coordinates their quotas. It is a state machine: time
// is passed in, and it is not safe for concurrent use.
package cpcoordinator

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpratelimit/cpquotas"
)

// Coordinator holds the token buckets of groups of workspaces. The buckets fill in proportion to the weights that VMs have bound
// to this VM, so that the buckets of several coordinators together never fill faster than the quota.
type Coordinator struct {
	options cpquotas.Options
	epoch   time.Time
	quotas  cpquotas.Quotas
	groups  map[int]*group
}

// group is the state of a group of workspaces.
type group struct {
	bindings map[clementineport.VMID]binding
	buckets  map[clementineport.WorkspaceID]*bucket
	// weight is the sum of the bound weights at the time at, and integral its integral over time, in weight x seconds.
	weight   float64
	integral float64
	at       time.Time
	// lent is the part of the weight that idle VMs have lent.
	lent float64
	// next is a time before which no binding lapses, and bound the last time at which there was one.
	next, bound time.Time
	// used is the time of the latest demand, and collected when idle VMs were last asked for their weight.
	used, collected time.Time
	// short is true from a demand that was not met until there was no demand for a while.
	short bool
	// reported is true once the log says that this VM coordinates the group.
	reported bool
}

// binding is the weight of a VM that a coordinator counts until a time.
type binding struct {
	weight float64
	until  time.Time
	// lent is true if the VM makes no calls and has lent its weight.
	lent bool
}

// bucket is the token bucket of a workspace.
type bucket struct {
	level float64
	// integral is the integral of the group up to which the bucket was filled.
	integral float64
	// used is the time of the latest demand, and short when one was last not met.
	used, short time.Time
	// limited is true while the log says that the workspace is limited.
	limited bool
}

// New returns a coordinator without bindings.
func New(now time.Time, opts ...cpquotas.Option) *Coordinator {
	return &Coordinator{options: cpquotas.NewOptions(opts...), epoch: now, quotas: cpquotas.Quotas{}, groups: map[int]*group{}}
}

// SetQuotas sets the quotas. Tokens beyond a lowered burst are dropped.
func (c *Coordinator) SetQuotas(now time.Time, quotas cpquotas.Quotas) {
	for id, g := range c.groups {
		c.advance(now, g)
		for name, b := range g.buckets {
			c.settle(g, b, c.quotas[name])
			if q, ok := quotas[name]; ok {
				b.level = min(b.level, c.options.Depth(q)*g.weight)
			} else {
				delete(g.buckets, name)
			}
		}
		c.addBuckets(id, g, quotas)
	}
	c.quotas = quotas
}

// addBuckets adds empty buckets for the workspaces of a group that have none.
func (c *Coordinator) addBuckets(id int, g *group, quotas cpquotas.Quotas) {
	for name := range quotas {
		if g.buckets[name] == nil && cpquotas.IsIn(name, id) {
			g.buckets[name] = &bucket{integral: g.integral}
		}
	}
}

// group returns the state of a group at a time.
func (c *Coordinator) group(now time.Time, id int) *group {
	g := c.groups[id]
	if g == nil {
		g = &group{bindings: map[clementineport.VMID]binding{}, buckets: map[clementineport.WorkspaceID]*bucket{}, at: now, bound: now}
		c.addBuckets(id, g, c.quotas)
		c.groups[id] = g
	}
	c.advance(now, g)
	return g
}

// advance moves the time of a group forward and ends the bindings that have lapsed, each at its own time. The tokens beyond what
// the remaining weight may hold are dropped.
func (c *Coordinator) advance(now time.Time, g *group) {
	if !now.After(g.at) {
		return
	}
	g.integral += g.weight * now.Sub(g.at).Seconds()
	g.at = now
	if now.Before(g.next) {
		return
	}
	dropped := false
	g.weight, g.lent, g.next = 0, 0, now.Add(c.options.LostCallTime())
	for vm, b := range g.bindings {
		if b.until.After(now) {
			g.add(b, 1)
			g.next = cpquotas.Earlier(g.next, b.until)
			continue
		}
		g.integral -= b.weight * now.Sub(b.until).Seconds()
		delete(g.bindings, vm)
		dropped = true
	}
	if dropped {
		c.settleAll(g)
	}
}

// add adds a binding to the sums of weights, or subtracts it if sign is -1.
func (g *group) add(b binding, sign float64) {
	g.weight += sign * b.weight
	if b.lent {
		g.lent += sign * b.weight
	}
}

// settleAll fills the buckets of a group, and drops what they can't hold.
func (c *Coordinator) settleAll(g *group) {
	for name, b := range g.buckets {
		c.settle(g, b, c.quotas[name])
	}
}

// settle fills a bucket up to the time of its group, and drops the tokens that the bound weights don't allow it to hold.
func (c *Coordinator) settle(g *group, b *bucket, q cpquotas.Quota) {
	b.level = min(b.level+c.options.Fill(q)*max(0, g.integral-b.integral), c.options.Depth(q)*g.weight)
	b.integral = g.integral
}

// bind counts the weight of a VM until a time, and reports whether it was not counted before.
func (c *Coordinator) bind(now time.Time, g *group, vm clementineport.VMID, b binding) (added bool) {
	old, known := g.bindings[vm]
	b.weight = max(0, min(b.weight, 1))
	if known && old.until.After(b.until) {
		b.until = old.until
	}
	g.bindings[vm] = b
	g.add(old, -1)
	g.add(b, 1)
	g.next, g.bound = cpquotas.Earlier(g.next, b.until), now
	if b.weight < old.weight {
		c.settleAll(g)
	}
	return !known
}

// Ask answers a call of a VM. The VM's weight is bound if the call holds the nonce of a recent answer, which a call that was
// delayed on its way does not.
func (c *Coordinator) Ask(now time.Time, r *clementineport.QuotaRequest) *clementineport.QuotaAnswer {
	g := c.group(now, r.Group)
	now = g.at
	answer := &clementineport.QuotaAnswer{Nonce: c.nonce(now)}
	added := false
	if c.isRecent(now, r.Nonce) {
		answer.Bound = true
		added = c.bind(now, g, r.From, binding{weight: r.Weight, until: now.Add(c.options.BindingTime)})
	}
	for i := range r.Demands {
		d := &r.Demands[i]
		if added {
			c.credit(g, d.Workspace, d.Returned, r.Weight)
		}
		answer.Grants = append(answer.Grants, c.grant(now, g, d))
	}
	return answer
}

// credit adds tokens that a VM held on its own weight and hands over with it.
func (c *Coordinator) credit(g *group, workspace clementineport.WorkspaceID, tokens, weight float64) {
	if b := g.buckets[workspace]; b != nil {
		b.level += max(0, min(tokens, c.options.Depth(c.quotas[workspace])*weight))
		c.settle(g, b, c.quotas[workspace])
	}
}

// grant takes whole tokens from the bucket of a workspace.
func (c *Coordinator) grant(now time.Time, g *group, d *clementineport.QuotaDemand) clementineport.QuotaGrant {
	b := g.buckets[d.Workspace]
	if b == nil {
		return clementineport.QuotaGrant{Wait: c.options.BindingTime}
	}
	q := c.quotas[d.Workspace]
	c.settle(g, b, q)
	if cpquotas.Whole(d.Tokens) == 0 {
		return clementineport.QuotaGrant{}
	}
	g.used, b.used = now, now
	tokens := max(0, min(cpquotas.Whole(b.level), cpquotas.Whole(d.Tokens)))
	b.level -= tokens
	if tokens >= cpquotas.Whole(d.Tokens) {
		return clementineport.QuotaGrant{Tokens: tokens}
	}
	g.short, b.short = true, now
	return clementineport.QuotaGrant{Tokens: tokens, Wait: c.wait(now, g, b, q)}
}

// Times after which a VM is told to ask again.
const (
	// collectWait is the time in which idle VMs can answer a collection.
	collectWait = 30 * time.Millisecond
	// minWait limits how often a VM calls for the same workspace.
	minWait = 5 * time.Millisecond
)

// wait returns the time after which the bucket is expected to have a token.
func (c *Coordinator) wait(now time.Time, g *group, b *bucket, q cpquotas.Quota) time.Duration {
	if c.mayCollect(now, g) {
		return collectWait
	}
	fill := c.options.Fill(q) * g.weight
	if fill <= 0 {
		return c.options.BindingTime
	}
	return max(minWait, clementineport.DurationOf((1-b.level)/fill, time.Second))
}

// nonce returns the nonce of an answer. It holds the time of the answer, so that no state is kept for it.
func (c *Coordinator) nonce(now time.Time) clementineport.QuotaNonce {
	return clementineport.QuotaNonce(max(1, c.options.Salt+uint64(now.Sub(c.epoch))))
}

// isRecent reports whether a nonce is that of an answer of this process within the last binding time.
func (c *Coordinator) isRecent(now time.Time, nonce clementineport.QuotaNonce) bool {
	age := uint64(now.Sub(c.epoch)) - (uint64(nonce) - c.options.Salt)
	return nonce != 0 && age < uint64(c.options.BindingTime)
}

// Weight returns the sum of the weights that are counted for a workspace at a time.
func (c *Coordinator) Weight(now time.Time, workspace clementineport.WorkspaceID) (sum float64) {
	for id, g := range c.groups {
		if !cpquotas.IsIn(workspace, id) {
			continue
		}
		for _, b := range g.bindings {
			if b.until.After(now) {
				sum += b.weight
			}
		}
	}
	return sum
}
