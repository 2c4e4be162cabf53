package cpcatalog

import (
	"time"

	"github.com/clementineport/clementineport"
)

// earlierRun is a registration of a run of a target that, by its own clock, began earlier than the known one. Either an entry of an
// ended run was written late, and the target soon registers again, or the target has started again with its clock set back.
type earlierRun struct {
	target *Target
	// since is when the run was first seen.
	since time.Time
}

// delayEarlierRun records the registration of an earlier run.
func (c *Catalog) delayEarlierRun(now time.Time, d *clementineport.TargetInstance) {
	e, known := c.earlier[d.ID]
	switch {
	case !known || e.target.Born != d.Born:
		e.since = now
	case d.Seq < e.target.Seq:
		return
	}
	e.target = newTarget(now, d)
	c.earlier[d.ID] = e
}

// useEarlierRuns replaces the targets of which the store has listed an earlier run for EarlierRunDelay, and reports whether there
// were any.
func (c *Catalog) useEarlierRuns(now time.Time) (changed bool) {
	for id, e := range c.earlier {
		if now.Sub(e.since) < c.options.EarlierRunDelay {
			continue
		}
		delete(c.earlier, id)
		delete(c.leaving, id)
		c.targets[id] = e.target
		changed = true
	}
	return changed
}
