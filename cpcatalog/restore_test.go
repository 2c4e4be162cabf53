package cpcatalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
)

// full returns a full update at a position.
func full(at clementineport.StorePosition, targets ...clementineport.TargetInstance) clementineport.FleetUpdate {
	return clementineport.FleetUpdate{AsOf: at, Whole: true, Targets: targets}
}

func TestARestoredStoreReplacesWhatWasReadUnderTheSameRevisions(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(1, 90), target("x", 1)))
	apply(c, 10, clementineport.FleetUpdate{AsOf: position(1, 100), Targets: []clementineport.TargetInstance{target("lost", 1)}})
	assert.Assert(t, apply(c, 20, full(position(2, 95), target("x", 1), target("new", 1))))
	assert.Equal(t, c.AsOf(), position(2, 95))
	assert.Assert(t, has(c, "x") && has(c, "new"))
	c.Tick(at(20 + int(cpcatalog.DefaultExpiryGrace.Milliseconds())))
	assert.Assert(t, !has(c, "lost"))
}

func TestAnAnswerOfAnEarlierEraIsNeverApplied(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(1, 100)))
	apply(c, 10, full(position(2, 50), target("x", 1)))
	confirmed := c.Confirmed()
	for _, late := range []clementineport.FleetUpdate{
		full(position(1, 200), target("old", 1)),
		{AsOf: position(1, 101), Targets: []clementineport.TargetInstance{target("old", 1)}},
		{AsOf: position(0, 300), Whole: true}, // from a VM that knows no eras
	} {
		assert.Assert(t, !apply(c, 20, late))
	}
	assert.Assert(t, has(c, "x") && !has(c, "old"))
	assert.Assert(t, c.Confirmed().Equal(confirmed))
}

func TestChangesOfANewEraWaitForItsFullState(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(1, 100), target("x", 1)))
	assert.Assert(t, !apply(c, 10, clementineport.FleetUpdate{AsOf: position(2, 101), Gone: []clementineport.TargetID{"x"}}))
	assert.Equal(t, c.AsOf(), position(1, 100))
	assert.Assert(t, has(c, "x"))
}

func TestTheFirstStateMayBeOfAnyEra(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, full(position(7, 100), target("x", 1)))
	assert.Equal(t, c.AsOf(), position(7, 100))
	apply(c, 10, full(position(7, 101)))
	assert.Assert(t, !has(c, "x"), "without a restore, a target that is gone is not kept")
}

func TestTwoRestoresInARow(t *testing.T) {
	c := cpcatalog.New()
	out := full(position(1, 100), target("x", 5))
	out.Domains = []clementineport.DomainStatus{{Domain: "a", Out: true}}
	out.Routes = &clementineport.RouteTable{Version: 9}
	apply(c, 0, out)
	apply(c, 1000, full(position(2, 80)))
	apply(c, 2000, full(position(3, 70)))
	assert.Assert(t, c.Out("a"))
	assert.Assert(t, has(c, "x"))
	assert.Equal(t, c.Routes().Version, clementineport.Revision(9))
	c.Tick(at(2000 + int(cpcatalog.DefaultRestoreGrace.Milliseconds())))
	assert.Assert(t, !c.Out("a"))
	assert.Assert(t, !has(c, "x"))
}

// TestRoutesDoNotGoBackInARestore also guards against revoked keys, which are part of the routes, that a restore brings back.
func TestRoutesDoNotGoBackInARestore(t *testing.T) {
	c := cpcatalog.New()
	first := full(position(1, 100))
	first.Routes = &clementineport.RouteTable{Version: 8}
	apply(c, 0, first)
	restored := full(position(2, 60))
	restored.Routes = &clementineport.RouteTable{Version: 5, Workspaces: []clementineport.Workspace{{Name: "revoked"}}}
	apply(c, 10, restored)
	assert.Equal(t, c.Routes().Version, clementineport.Revision(8))
	assert.Equal(t, len(c.Routes().Workspaces), 0)
	apply(c, 20, clementineport.FleetUpdate{AsOf: position(2, 61), Routes: &clementineport.RouteTable{Version: 11}})
	assert.Equal(t, c.Routes().Version, clementineport.Revision(11))
}

func TestADomainStaysOutOfServiceInARestoreUntilOperatorsSayOtherwise(t *testing.T) {
	const grace = 5 * time.Second
	start := func() *cpcatalog.Catalog {
		c := cpcatalog.New(cpcatalog.WithRestoreGrace(grace))
		apply(c, 0, full(position(1, 90), target("x", 1)))
		apply(c, 10, clementineport.FleetUpdate{AsOf: position(1, 100), Domains: []clementineport.DomainStatus{{Domain: "a", Out: true}}})
		apply(c, 1000, full(position(2, 95), target("x", 1)))
		assert.Assert(t, c.Out("a"), "the record of it was lost in the restore")
		return c
	}
	written := start()
	apply(written, 2000, clementineport.FleetUpdate{AsOf: position(2, 96), Domains: []clementineport.DomainStatus{{Domain: "a", Out: true}}})
	written.Tick(at(60_000))
	assert.Assert(t, written.Out("a"))

	returned := start()
	apply(returned, 2000, clementineport.FleetUpdate{AsOf: position(2, 96), Domains: []clementineport.DomainStatus{{Domain: "a"}}})
	assert.Assert(t, !returned.Out("a"))

	listed := start()
	apply(listed, 2000, full(position(2, 97), target("x", 1)))
	assert.Assert(t, listed.Out("a"), "a second full state says no more than the first one")

	silent := start()
	silent.Tick(at(5999))
	assert.Assert(t, silent.Out("a"))
	assert.Assert(t, silent.Tick(at(6000)))
	assert.Assert(t, !silent.Out("a"))
	assert.Assert(t, silent.Targets()["x"].Cold(at(6001)), "its targets may have cooled down")
}

func TestATargetThatEndedIsNotInUseAgainAfterARestore(t *testing.T) {
	c := cpcatalog.New()
	leaving := target("left", 4)
	leaving.Draining = true
	apply(c, 0, full(position(1, 90), target("left", 3), target("crashed", 7)))
	apply(c, 10, clementineport.FleetUpdate{AsOf: position(1, 95), Targets: []clementineport.TargetInstance{leaving}})
	apply(c, 20, clementineport.FleetUpdate{AsOf: position(1, 100), Gone: []clementineport.TargetID{"left", "crashed"}})
	apply(c, 1000, full(position(2, 92), target("left", 3), target("crashed", 7)))
	assert.Assert(t, !has(c, "left") && !has(c, "crashed"))
	apply(c, 2000, clementineport.FleetUpdate{AsOf: position(2, 93), Targets: []clementineport.TargetInstance{target("crashed", 8)}})
	assert.Assert(t, has(c, "crashed"), "it has registered again")
	again := target("left", 1)
	again.Born = 2
	apply(c, 3000, clementineport.FleetUpdate{AsOf: position(2, 94), Targets: []clementineport.TargetInstance{again}})
	assert.Assert(t, has(c, "left"), "it has started again")
}

func TestADrainingTargetStaysDrainingInARestore(t *testing.T) {
	c := cpcatalog.New()
	leaving := target("x", 6)
	leaving.Draining = true
	apply(c, 0, full(position(1, 100), leaving))
	apply(c, 1000, full(position(2, 80), target("x", 2)))
	assert.Assert(t, c.Targets()["x"].Draining)
	apply(c, 2000, clementineport.FleetUpdate{AsOf: position(2, 81), Targets: []clementineport.TargetInstance{target("x", 9)}})
	assert.Assert(t, c.Targets()["x"].Draining, "a registration of the same start that follows the copy")
}

func TestVMsThatARestoreHasLostStayUntilTheyRegisterAgain(t *testing.T) {
	c := cpcatalog.New()
	first := full(position(1, 100))
	first.VMs = []clementineport.VM{{ID: "vm-1"}, {ID: "vm-2"}, {ID: "vm-3"}}
	apply(c, 0, first)
	restored := full(position(2, 90))
	restored.VMs = []clementineport.VM{{ID: "vm-1"}}
	apply(c, 10, restored)
	assert.Equal(t, len(c.VMs()), 3)
	assert.Assert(t, c.Listed("vm-1") && !c.Listed("vm-2") && !c.Listed("unknown"))
	apply(c, 500, clementineport.FleetUpdate{AsOf: position(2, 91), VMs: []clementineport.VM{{ID: "vm-2"}}})
	assert.Assert(t, c.Listed("vm-2"))
	c.Tick(at(10 + int(cpcatalog.DefaultExpiryGrace.Milliseconds())))
	assert.Equal(t, len(c.VMs()), 2)
}

// TestNoOrderOfUpdatesMovesTheCatalogBackwards applies updates of several eras in a random order, with losses and
// repetitions.
func TestNoOrderOfUpdatesMovesTheCatalogBackwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := cpcatalog.New()
		var version clementineport.Revision
		drained := false
		now := 0
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			before := c.AsOf()
			update := clementineport.FleetUpdate{
				AsOf: position(clementineport.StoreEra(rapid.IntRange(0, 3).Draw(t, "era")),
					clementineport.Revision(rapid.IntRange(1, 20).Draw(t, "revision"))),
				Whole:  rapid.Bool().Draw(t, "full"),
				Routes: &clementineport.RouteTable{Version: clementineport.Revision(rapid.IntRange(1, 9).Draw(t, "version"))},
			}
			if rapid.Bool().Draw(t, "registered") {
				d := target("x", int64(rapid.IntRange(1, 9).Draw(t, "seq")))
				d.Draining = rapid.Bool().Draw(t, "draining")
				update.Targets = append(update.Targets, d)
			}
			now += rapid.IntRange(0, 3000).Draw(t, "pause")
			apply(c, now, update)
			c.Tick(at(now))
			assert.Assert(t, !c.AsOf().Before(before))
			assert.Assert(t, c.AsOf().Era == before.Era || update.Whole || before.IsZero())
			if c.Routes() != nil {
				assert.Assert(t, c.Routes().Version >= version)
				version = c.Routes().Version
			}
			if x := c.Targets()["x"]; x != nil {
				assert.Assert(t, x.Draining || !drained)
				drained = x.Draining
			} else {
				drained = false // a target that is gone may register again
			}
		}
	})
}
