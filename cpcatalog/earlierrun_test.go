package cpcatalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
)

// run returns a registration of target x by a run of it.
func run(born, seq int64, address string) clementineport.TargetInstance {
	d := target("x", seq)
	d.Born, d.Address = born, address
	return d
}

func register(c *cpcatalog.Catalog, ms int, revision clementineport.Revision, d clementineport.TargetInstance) {
	apply(c, ms, clementineport.FleetUpdate{AsOf: position(0, revision), Targets: []clementineport.TargetInstance{d}})
}

// TestATargetThatStartsAgainWithItsClockSetBackIsUsed guards against a target that is ignored until its entry lapses, since its new run
// says that it began before the one that it replaces.
func TestATargetThatStartsAgainWithItsClockSetBackIsUsed(t *testing.T) {
	c := cpcatalog.New(cpcatalog.WithEarlierRunDelay(3 * time.Second))
	register(c, 0, 1, run(5000, 9, "old"))
	again := run(1000, 1, "new")
	again.ColdLeft = 4 * time.Second
	register(c, 1000, 2, again)
	assert.Assert(t, !c.Tick(at(3999)))
	assert.Equal(t, c.Targets()["x"].Address, "old")
	assert.Assert(t, c.Tick(at(4000)))
	assert.Equal(t, c.Targets()["x"].Address, "new")
	assert.Assert(t, c.Targets()["x"].Cold(at(4999)), "the time is that of the registration")
	assert.Assert(t, !c.Targets()["x"].Cold(at(5000)))
	register(c, 6000, 3, run(1000, 2, "newer"))
	assert.Equal(t, c.Targets()["x"].Address, "newer")
}

// TestAnEntryOfAnEarlierRunThatIsWrittenLateIsReplaced guards against a target that is taken back to a run that has ended.
func TestAnEntryOfAnEarlierRunThatIsWrittenLateIsReplaced(t *testing.T) {
	c := cpcatalog.New(cpcatalog.WithEarlierRunDelay(3 * time.Second))
	register(c, 0, 1, run(5000, 9, "new"))
	register(c, 1000, 2, run(1000, 70, "old"))
	register(c, 2000, 3, run(5000, 10, "new"))
	assert.Assert(t, !c.Tick(at(9000)))
	assert.Equal(t, c.Targets()["x"].Address, "new")
}

func TestATargetWhoseEarlierRunIsListedLapses(t *testing.T) {
	c := cpcatalog.New(cpcatalog.WithEarlierRunDelay(3 * time.Second))
	register(c, 0, 1, run(5000, 9, "new"))
	register(c, 1000, 2, run(1000, 70, "old"))
	apply(c, 2000, clementineport.FleetUpdate{AsOf: position(0, 3), Gone: []clementineport.TargetID{"x"}})
	assert.Assert(t, !has(c, "x"))
	assert.Assert(t, !c.Tick(at(9000)))
	assert.Assert(t, !has(c, "x"))
}

// TestAFullUpdateHoldsTheRunThatTheStoreLists guards against a VM that gets its first state from another one, and never learns of the
// run that the store lists.
func TestAFullUpdateHoldsTheRunThatTheStoreLists(t *testing.T) {
	c := cpcatalog.New(cpcatalog.WithEarlierRunDelay(3 * time.Second))
	register(c, 0, 1, run(5000, 9, "old"))
	again := run(1000, 1, "new")
	again.ColdLeft = 4 * time.Second
	register(c, 1000, 2, again)
	full := c.FullUpdate(at(2000))
	assert.Equal(t, len(full.Targets), 1)
	assert.Equal(t, full.Targets[0].Address, "new")
	assert.Equal(t, full.Targets[0].ColdLeft, 3*time.Second)
}
