// Package cpcatalog maintains one VM's record of routes, targets, failure domains and VMs from the updates of the
// platform's store. It makes no calls: updates and the current time are passed in. It is not safe for concurrent use.
package cpcatalog

import (
	"maps"
	"time"

	"github.com/clementineport/clementineport"
)

// Target is a registered target and the state derived from its registration.
type Target struct {
	clementineport.TargetInstance
	// ColdUntil is when the target is warm according to its registration, or zero when it registered as warm.
	ColdUntil time.Time
	// assumedColdUntil is the time until which the target is treated as cold although it has not registered as cold.
	assumedColdUntil time.Time
	// expiresAt is when a target whose registration is gone is removed; zero while it is registered.
	expiresAt time.Time
}

// Cold reports whether the target must be treated as cold.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.WarmAt()) }

// WarmAt returns the earliest time at which the target may be treated as warm.
func (t *Target) WarmAt() time.Time {
	if t.assumedColdUntil.After(t.ColdUntil) {
		return t.assumedColdUntil
	}
	return t.ColdUntil
}

// Catalog holds the latest state of the store that one VM knows.
type Catalog struct {
	options     Options
	asOf        clementineport.StorePosition
	confirmed   time.Time
	storeBackAt time.Time
	restore     restore
	ended       map[clementineport.TargetID]endedTarget
	leaving     map[clementineport.TargetID]leavingRun
	limits      map[clementineport.TargetID]statedLimit
	routes      *clementineport.RouteTable
	out         map[clementineport.FailureDomain]bool
	targets     map[clementineport.TargetID]*Target
	earlier     map[clementineport.TargetID]earlierRun
	vms         map[clementineport.VMID]clementineport.VM
	rollouts    map[clementineport.ServiceID]*rolloutEntry
}

// New returns an empty catalog.
func New(opts ...Option) *Catalog {
	return &Catalog{
		options: NewOptions(opts...),
		out:     map[clementineport.FailureDomain]bool{},
		targets: map[clementineport.TargetID]*Target{},
		earlier: map[clementineport.TargetID]earlierRun{},
		vms:     map[clementineport.VMID]clementineport.VM{},
		restore: newRestore(),
		ended:   map[clementineport.TargetID]endedTarget{},
		leaving: map[clementineport.TargetID]leavingRun{},
		limits:  map[clementineport.TargetID]statedLimit{},

		rollouts: map[clementineport.ServiceID]*rolloutEntry{},
	}
}

// AsOf returns the position in the store's history up to which the catalog is complete.
func (c *Catalog) AsOf() clementineport.StorePosition { return c.asOf }

// Confirmed returns the latest time at which the catalog was known to be complete.
func (c *Catalog) Confirmed() time.Time { return c.confirmed }

// Routes returns the latest version of the routes, or nil before the first one.
func (c *Catalog) Routes() *clementineport.RouteTable { return c.routes }

// Out reports whether a failure domain is out of service.
func (c *Catalog) Out(d clementineport.FailureDomain) bool { return c.out[d] }

// Targets returns the targets by id; the map is valid until the next change.
func (c *Catalog) Targets() map[clementineport.TargetID]*Target { return c.targets }

// VMs returns the registered VMs by id; the map is valid until the next change.
func (c *Catalog) VMs() map[clementineport.VMID]clementineport.VM { return c.vms }

// Listed reports whether the store lists a VM. In contrast to VMs, it doesn't count an entry that a restore has lost.
func (c *Catalog) Listed(id clementineport.VMID) bool {
	_, listed := c.vms[id]
	_, lost := c.restore.vms[id]
	return listed && !lost
}

// Apply applies an update that was requested at requestedAt, and reports whether it changed anything beyond the time of
// the last confirmation. A partial update confirms nothing, since later changes are waiting in the store. Apply ignores an
// update that is older than the catalog, so that the state never goes backwards, and changes of another era of the store
// than the catalog's, which need a full update first. It does not apply TargetNews.
func (c *Catalog) Apply(now, requestedAt time.Time, update *clementineport.FleetUpdate) (changed bool) {
	newEra := update.AsOf.Era != c.asOf.Era && !c.asOf.IsZero()
	if update.AsOf.Before(c.asOf) || newEra && !update.Whole {
		return false
	}
	if !update.Partial {
		c.confirm(requestedAt.Add(-update.Age))
	}
	if update.AsOf == c.asOf {
		return false // nothing new, and it must not restore targets that are about to be removed
	}
	c.asOf = update.AsOf
	if newEra {
		c.beginRestore(now)
		changed = true
	}
	changed = c.ApplyRoutes(update.Routes) || changed
	changed = c.applyDomains(now, update) || changed
	changed = c.applyVMs(update) || changed
	changed = c.applyRollouts(now, update) || changed
	for i := range update.Targets {
		changed = c.register(now, &update.Targets[i]) || changed
	}
	for _, id := range update.Gone {
		changed = c.unregister(now, id) || changed
	}
	if update.Whole {
		changed = c.unregisterUnlisted(now, update) || changed
	}
	return changed
}

// ApplyRoutes applies a version of the routes, which may be nil, if it is newer than the latest one, and reports whether it is.
func (c *Catalog) ApplyRoutes(routes *clementineport.RouteTable) (changed bool) {
	if routes == nil || c.routes != nil && routes.Version <= c.routes.Version {
		return false
	}
	c.routes = routes
	return true
}

// confirm records that the catalog was complete at a time. A gap longer than OutageAfter since the last confirmation
// counts as a store outage, during which live targets could not renew their registrations.
func (c *Catalog) confirm(at time.Time) {
	if !at.After(c.confirmed) {
		return
	}
	if !c.confirmed.IsZero() && at.Sub(c.confirmed) > c.options.OutageAfter {
		c.storeBackAt = at
	}
	c.confirmed = at
}

// applyDomains takes failure domains out of service or returns them to service.
func (c *Catalog) applyDomains(now time.Time, update *clementineport.FleetUpdate) (changed bool) {
	before := c.out
	if update.Whole {
		c.out = maps.Clone(c.restore.domains)
	} else {
		c.out = maps.Clone(before)
	}
	for _, d := range update.Domains {
		delete(c.out, d.Domain)
		delete(c.restore.domains, d.Domain)
		if d.Out {
			c.out[d.Domain] = true
		}
	}
	for d := range before {
		if !c.out[d] {
			c.assumeDomainCold(now, d)
		}
	}
	return !maps.Equal(before, c.out)
}

// assumeDomainCold treats the targets of a domain that returned to service as cold until they would have registered as
// cold: they may have cooled down without traffic. A target that is still warm doesn't register again, so its state is
// only certain after AssumedColdTime.
func (c *Catalog) assumeDomainCold(now time.Time, d clementineport.FailureDomain) {
	for _, t := range c.targets {
		if t.Domain == d {
			t.assumedColdUntil = now.Add(c.options.AssumedColdTime)
		}
	}
}

// applyVMs applies changes of the VM registrations.
func (c *Catalog) applyVMs(update *clementineport.FleetUpdate) (changed bool) {
	before := c.vms
	if update.Whole {
		c.vms = maps.Clone(c.restore.vms)
	} else {
		c.vms = maps.Clone(before)
	}
	for _, vm := range update.VMs {
		c.vms[vm.ID] = vm
		delete(c.restore.vms, vm.ID)
	}
	for _, id := range update.GoneVMs {
		delete(c.vms, id)
		delete(c.restore.vms, id)
	}
	return !maps.Equal(before, c.vms)
}

// register applies a registration. It ignores an earlier one of the same run and one that a restore of the store has brought back,
// and delays one of an earlier run.
func (c *Catalog) register(now time.Time, d *clementineport.TargetInstance) (changed bool) {
	old := c.targets[d.ID]
	switch {
	case c.endedBeforeRestore(d):
		return false
	case old != nil && d.Born < old.Born:
		c.delayEarlierRun(now, d)
		return false
	case old != nil && d.Born == old.Born && d.Seq < old.Seq:
		return false
	}
	delete(c.earlier, d.ID)
	t := newTarget(now, d)
	c.targets[d.ID] = t
	if old == nil || old.Born != d.Born {
		return true
	}
	// A draining target doesn't return to service until it restarts.
	t.Draining = t.Draining || old.Draining
	t.assumedColdUntil = old.assumedColdUntil
	return !old.expiresAt.IsZero() || !equivalent(old, t)
}

// newTarget returns a target that was registered at a time.
func newTarget(now time.Time, d *clementineport.TargetInstance) *Target {
	t := &Target{TargetInstance: *d}
	if d.ColdLeft > 0 {
		t.ColdUntil = now.Add(d.ColdLeft)
	}
	return t
}

// equivalent reports whether two registrations have the same effect on the use of a target. It compares whether they have
// a remaining cold time but not how long it is, since the time shrinks with every registration.
func equivalent(a, b *Target) bool {
	x, y := a.TargetInstance, b.TargetInstance
	x.Seq, y.Seq, x.ColdLeft, y.ColdLeft = 0, 0, 0, 0
	return x == y && a.ColdUntil.IsZero() == b.ColdUntil.IsZero()
}

// unregister removes a target whose registration is gone. After a store outage it waits until ExpiryGrace is over, since
// the registration may have expired only because the target could not renew it.
func (c *Catalog) unregister(now time.Time, id clementineport.TargetID) (changed bool) {
	delete(c.earlier, id)
	t := c.targets[id]
	if t == nil {
		return false
	}
	grace := c.storeBackAt.Add(c.options.ExpiryGrace)
	if c.storeBackAt.IsZero() || !now.Before(grace) || t.Draining {
		c.remove(now, t)
		return true
	}
	if t.expiresAt.IsZero() {
		t.expiresAt = grace
	}
	return false
}

// unregisterUnlisted unregisters the targets that a full update doesn't list.
func (c *Catalog) unregisterUnlisted(now time.Time, update *clementineport.FleetUpdate) (changed bool) {
	listed := make(map[clementineport.TargetID]bool, len(update.Targets))
	for i := range update.Targets {
		listed[update.Targets[i].ID] = true
	}
	for id := range c.targets {
		if !listed[id] {
			changed = c.unregister(now, id) || changed
		}
	}
	return changed
}

// Tick removes the entries that were not written again in time, and reports whether there were any.
func (c *Catalog) Tick(now time.Time) (changed bool) {
	for _, t := range c.targets {
		if !t.expiresAt.IsZero() && !now.Before(t.expiresAt) {
			c.remove(now, t)
			changed = true
		}
	}
	changed = c.useEarlierRuns(now) || changed
	c.forgetEnded(now)
	c.forgetLeaving(now)
	c.forgetLimits(now)
	changed = c.dropLostRollouts(now) || changed
	return c.endRestore(now) || changed
}

// FullUpdate returns the full state, for VMs that don't get it from the store. It omits targets whose registrations are
// gone, and holds the runs that the store lists.
func (c *Catalog) FullUpdate(now time.Time) *clementineport.FleetUpdate {
	update := &clementineport.FleetUpdate{AsOf: c.asOf, Whole: true, Age: now.Sub(c.confirmed), Routes: c.routes}
	for d := range c.out {
		update.Domains = append(update.Domains, clementineport.DomainStatus{Domain: d, Out: true})
	}
	for _, t := range c.targets {
		if !t.expiresAt.IsZero() {
			continue
		}
		if e, ok := c.earlier[t.ID]; ok {
			t = e.target
		}
		d := t.TargetInstance
		d.ColdLeft = max(0, t.WarmAt().Sub(now))
		update.Targets = append(update.Targets, d)
	}
	for _, vm := range c.vms {
		update.VMs = append(update.VMs, vm)
	}
	c.fillRollouts(now, update)
	return update
}
