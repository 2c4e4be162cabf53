package cpcatalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
)

// isLeaving reports whether a target is registered and has stated that it is shutting down.
func isLeaving(c *cpcatalog.Catalog, id clementineport.TargetID) bool {
	t := c.Targets()[id]
	return t != nil && c.Leaving(t)
}

func TestATargetThatIsLeavingStaysSoUntilItStartsAgain(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(1, 10), target("x", 1), target("y", 1)))
	assert.Assert(t, c.MarkLeaving(at(10), clementineport.TargetRun{ID: "x", Born: 1}))
	assert.Assert(t, !c.MarkLeaving(at(20), clementineport.TargetRun{ID: "x", Born: 1}), "nothing new")
	assert.Assert(t, isLeaving(c, "x") && !isLeaving(c, "y"))

	apply(c, 30, clementineport.FleetUpdate{AsOf: position(1, 11), Targets: []clementineport.TargetInstance{target("x", 2)}})
	assert.Assert(t, isLeaving(c, "x"), "a later registration of the same run")
	apply(c, 40, full(position(1, 12), target("x", 3)))
	assert.Assert(t, isLeaving(c, "x"), "a full state")
	apply(c, 50, full(position(2, 5), target("x", 4)))
	assert.Assert(t, isLeaving(c, "x"), "a restore of the store")
	apply(c, 60, clementineport.FleetUpdate{AsOf: position(2, 6), Gone: []clementineport.TargetID{"x"}})
	c.Tick(at(5000))
	apply(c, 6000, clementineport.FleetUpdate{AsOf: position(2, 7), Targets: []clementineport.TargetInstance{target("x", 9)}})
	assert.Assert(t, isLeaving(c, "x"), "a registration that had lapsed")

	again := target("x", 1)
	again.Born = 2
	apply(c, 7000, clementineport.FleetUpdate{AsOf: position(2, 8), Targets: []clementineport.TargetInstance{again}})
	assert.Assert(t, !isLeaving(c, "x"))
	assert.Assert(t, !c.MarkLeaving(at(7010), clementineport.TargetRun{ID: "x", Born: 1}), "late news of the earlier run")
	assert.Assert(t, !isLeaving(c, "x"))
}

func TestATargetMayBeKnownToLeaveBeforeItIsListed(t *testing.T) {
	c := cpcatalog.New()
	assert.Assert(t, c.MarkLeaving(at(0), clementineport.TargetRun{ID: "x", Born: 1}))
	apply(c, 10, full(position(1, 10), target("x", 1)))
	assert.Assert(t, isLeaving(c, "x"))
}

func TestTargetsThatAreGoneForLongAreForgotten(t *testing.T) {
	c := cpcatalog.New(cpcatalog.WithEndedRetention(time.Minute))
	apply(c, 0, full(position(1, 10), target("gone", 1), target("stays", 1)))
	c.MarkLeaving(at(0), clementineport.TargetRun{ID: "gone", Born: 1})
	c.MarkLeaving(at(10), clementineport.TargetRun{ID: "stays", Born: 1})
	apply(c, 20, clementineport.FleetUpdate{AsOf: position(1, 11), Gone: []clementineport.TargetID{"gone"}})
	assert.DeepEqual(t, c.LeavingSince(time.Time{}), []clementineport.TargetRun{{ID: "stays", Born: 1}, {ID: "gone", Born: 1}})
	assert.DeepEqual(t, c.LeavingSince(at(5)), []clementineport.TargetRun{{ID: "stays", Born: 1}})
	c.Tick(at(120_000))
	assert.DeepEqual(t, c.LeavingSince(time.Time{}), []clementineport.TargetRun{{ID: "stays", Born: 1}})
}
