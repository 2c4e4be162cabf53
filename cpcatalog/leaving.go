package cpcatalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// leavingRun is a run of a target that has stated that it is shutting down.
type leavingRun struct {
	born int64
	// at is when this VM learned of it.
	at time.Time
}

// MarkLeaving records that a run of a target is shutting down, and reports whether that is new. It holds until the target
// starts again, whatever the store lists.
func (c *Catalog) MarkLeaving(now time.Time, run clementineport.TargetRun) bool {
	if t := c.targets[run.ID]; t != nil && t.Born > run.Born {
		return false
	}
	if known, ok := c.leaving[run.ID]; ok && known.born >= run.Born {
		return false
	}
	c.leaving[run.ID] = leavingRun{born: run.Born, at: now}
	return true
}

// Leaving reports whether a target has stated that it is shutting down.
func (c *Catalog) Leaving(t *Target) bool {
	known, ok := c.leaving[t.ID]
	return ok && t.Born <= known.born
}

// LeavingSince returns the runs of targets of which this VM learned after a time that they are shutting down, the latest
// first.
func (c *Catalog) LeavingSince(after time.Time) (runs []clementineport.TargetRun) {
	for id, known := range c.leaving {
		if known.at.After(after) {
			runs = append(runs, clementineport.TargetRun{ID: id, Born: known.born})
		}
	}
	slices.SortFunc(runs, func(a, b clementineport.TargetRun) int {
		return cmp.Or(c.leaving[b.ID].at.Compare(c.leaving[a.ID].at), cmp.Compare(a.ID, b.ID))
	})
	return runs
}

// forgetLeaving drops the runs of targets that have started again, and those of targets that have not been registered
// for EndedRetention.
func (c *Catalog) forgetLeaving(now time.Time) {
	for id, known := range c.leaving {
		t := c.targets[id]
		if t == nil && now.Sub(known.at) >= c.options.EndedRetention || t != nil && t.Born > known.born {
			delete(c.leaving, id)
		}
	}
}
