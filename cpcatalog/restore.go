package cpcatalog

import (
	"time"

	"github.com/clementineport/clementineport"
)

// restore holds the entries of an earlier era of the store that the restored store does not list. Whoever wrote them is
// expected to write them again; until then they stay in force.
type restore struct {
	domains map[clementineport.FailureDomain]bool
	vms     map[clementineport.VMID]clementineport.VM
	// domainsUntil and vmsUntil are the times at which the remaining entries are dropped.
	domainsUntil time.Time
	vmsUntil     time.Time
}

func newRestore() restore {
	return restore{domains: map[clementineport.FailureDomain]bool{}, vms: map[clementineport.VMID]clementineport.VM{}}
}

// beginRestore keeps the current entries of failure domains and VMs until they are written again, and the targets for
// ExpiryGrace.
func (c *Catalog) beginRestore(now time.Time) {
	c.storeBackAt = now
	c.restore = newRestore()
	c.restore.domainsUntil, c.restore.vmsUntil = now.Add(c.options.RestoreGrace), now.Add(c.options.ExpiryGrace)
	for d := range c.out {
		c.restore.domains[d] = true
	}
	for id, vm := range c.vms {
		c.restore.vms[id] = vm
	}
	c.keepRollouts(now)
}

// endRestore drops the entries that were not written again in time, and reports whether there were any.
func (c *Catalog) endRestore(now time.Time) (changed bool) {
	if !now.Before(c.restore.vmsUntil) {
		for id := range c.restore.vms {
			delete(c.vms, id)
			delete(c.restore.vms, id)
			changed = true
		}
	}
	if !now.Before(c.restore.domainsUntil) {
		for d := range c.restore.domains {
			delete(c.out, d)
			delete(c.restore.domains, d)
			c.assumeDomainCold(now, d)
			changed = true
		}
	}
	return changed
}

// endedTarget is the last registration of a target that has ended.
type endedTarget struct {
	born, seq int64
	era       clementineport.StoreEra
	at        time.Time
}

// remove removes a target and remembers its last registration.
func (c *Catalog) remove(now time.Time, t *Target) {
	delete(c.targets, t.ID)
	c.ended[t.ID] = endedTarget{born: t.Born, seq: t.Seq, era: c.asOf.Era, at: now}
}

// endedBeforeRestore reports whether a registration is not newer than the last one of a target that ended in an earlier
// era of the store. The target was gone after it; only the restore has brought it back.
func (c *Catalog) endedBeforeRestore(d *clementineport.TargetInstance) bool {
	e, ok := c.ended[d.ID]
	if !ok || e.era == c.asOf.Era {
		return false
	}
	return d.Born < e.born || d.Born == e.born && d.Seq <= e.seq
}

// forgetEnded drops the registrations of targets that ended longer than EndedRetention ago.
func (c *Catalog) forgetEnded(now time.Time) {
	for id, e := range c.ended {
		if now.Sub(e.at) >= c.options.EndedRetention {
			delete(c.ended, id)
		}
	}
}
