package cpcatalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
)

var start = time.Unix(1000, 0)

// target returns a registration of a target.
func target(id clementineport.TargetID, seq int64) clementineport.TargetInstance {
	return clementineport.TargetInstance{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "a", Slots: 2, Born: 1, Seq: seq}
}

// position returns a position in the store's history.
func position(era clementineport.StoreEra, revision clementineport.Revision) clementineport.StorePosition {
	return clementineport.StorePosition{Era: era, Revision: revision}
}

// at returns the time ms milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// apply applies an update that was requested and received at the same time.
func apply(c *cpcatalog.Catalog, ms int, update clementineport.FleetUpdate) bool {
	return c.Apply(at(ms), at(ms), &update)
}

func has(c *cpcatalog.Catalog, id clementineport.TargetID) bool { return c.Targets()[id] != nil }

func TestNothingGoesBackwards(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, clementineport.FleetUpdate{AsOf: position(0, 10), Routes: &clementineport.RouteTable{Version: 7}})
	assert.Assert(t, !apply(c, 10, clementineport.FleetUpdate{AsOf: position(0, 9), Whole: true, Routes: &clementineport.RouteTable{Version: 9}}))
	assert.Assert(t, !apply(c, 20, clementineport.FleetUpdate{AsOf: position(0, 11), Routes: &clementineport.RouteTable{Version: 6}}))
	assert.Equal(t, c.Routes().Version, clementineport.Revision(7))
	assert.Equal(t, c.AsOf(), position(0, 11))
}

func TestATargetThatUnregistersIsGoneAtOnce(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, clementineport.FleetUpdate{AsOf: position(0, 1), Targets: []clementineport.TargetInstance{target("x", 1)}})
	apply(c, 500, clementineport.FleetUpdate{AsOf: position(0, 2), Gone: []clementineport.TargetID{"x"}})
	assert.Assert(t, !has(c, "x"))
}

func TestTargetsThatLapsedWhileTheStoreWasAwayMayComeBack(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, clementineport.FleetUpdate{AsOf: position(0, 1), Targets: []clementineport.TargetInstance{target("back", 1), target("dead", 1)}})
	apply(c, 6000, clementineport.FleetUpdate{AsOf: position(0, 2), Gone: []clementineport.TargetID{"back", "dead"}})
	assert.Assert(t, has(c, "back") && has(c, "dead"))
	apply(c, 7000, clementineport.FleetUpdate{AsOf: position(0, 3), Targets: []clementineport.TargetInstance{target("back", 2)}})
	c.Tick(at(8200))
	assert.Assert(t, has(c, "dead"))
	assert.Assert(t, c.Tick(at(8400)))
	assert.Assert(t, has(c, "back") && !has(c, "dead"))
}

func TestALeavingTargetDoesNotComeBackByAnOldRegistration(t *testing.T) {
	c := cpcatalog.New()
	leaving := target("x", 5)
	leaving.Draining = true
	apply(c, 0, clementineport.FleetUpdate{AsOf: position(0, 1), Targets: []clementineport.TargetInstance{leaving}})
	apply(c, 10, clementineport.FleetUpdate{AsOf: position(0, 2), Targets: []clementineport.TargetInstance{target("x", 4)}})
	assert.Assert(t, c.Targets()["x"].Draining)
	apply(c, 20, clementineport.FleetUpdate{AsOf: position(0, 3), Targets: []clementineport.TargetInstance{target("x", 6)}})
	assert.Assert(t, c.Targets()["x"].Draining)
	again := target("x", 1)
	again.Born = 2
	apply(c, 30, clementineport.FleetUpdate{AsOf: position(0, 4), Targets: []clementineport.TargetInstance{again}})
	assert.Assert(t, !c.Targets()["x"].Draining)
}

// domainOutAndBack takes the domain of target x out of service at the start, and returns it to service a second later.
func domainOutAndBack(c *cpcatalog.Catalog) {
	apply(c, 0, clementineport.FleetUpdate{
		AsOf: position(0, 1), Targets: []clementineport.TargetInstance{target("x", 1)},
		Domains: []clementineport.DomainStatus{{Domain: "a", Out: true}},
	})
	apply(c, 1000, clementineport.FleetUpdate{AsOf: position(0, 2), Domains: []clementineport.DomainStatus{{Domain: "a"}}})
}

func TestTargetsOfADomainThatIsBackAreColdUntilTheyWouldHaveSaidSo(t *testing.T) {
	c := cpcatalog.New(cpcatalog.WithAssumedColdTime(3 * time.Second))
	domainOutAndBack(c)
	assert.Assert(t, !c.Out("a"))
	assert.Assert(t, c.Targets()["x"].Cold(at(3900)))
	assert.Assert(t, !c.Targets()["x"].Cold(at(4000)), "a target that is still warm doesn't register again")
}

func TestATargetOfADomainThatIsBackMayBeColdForLonger(t *testing.T) {
	c := cpcatalog.New(cpcatalog.WithAssumedColdTime(3 * time.Second))
	domainOutAndBack(c)
	cold := target("x", 2)
	cold.ColdLeft = 5 * time.Second
	apply(c, 2000, clementineport.FleetUpdate{AsOf: position(0, 3), Targets: []clementineport.TargetInstance{cold}})
	assert.Assert(t, c.Targets()["x"].Cold(at(6900)))
	assert.Assert(t, !c.Targets()["x"].Cold(at(7000)))
}

func TestAColdTargetWarmsUp(t *testing.T) {
	c := cpcatalog.New()
	cold := target("x", 1)
	cold.ColdLeft = 3 * time.Second
	apply(c, 0, clementineport.FleetUpdate{AsOf: position(0, 1), Targets: []clementineport.TargetInstance{cold}})
	assert.Assert(t, c.Targets()["x"].Cold(at(2900)))
	assert.Assert(t, !c.Targets()["x"].Cold(at(3000)))
	assert.Assert(t, apply(c, 4000, clementineport.FleetUpdate{AsOf: position(0, 2), Targets: []clementineport.TargetInstance{target("x", 2)}}))
	again := target("x", 3)
	again.ColdLeft = time.Second
	assert.Assert(t, apply(c, 5000, clementineport.FleetUpdate{AsOf: position(0, 3), Targets: []clementineport.TargetInstance{again}}))
	assert.Assert(t, c.Targets()["x"].Cold(at(5500)))
}

func TestAFullUpdateBuildsTheSameCatalogOnAnotherVM(t *testing.T) {
	c := cpcatalog.New()
	cold := target("x", 1)
	cold.ColdLeft = 3 * time.Second
	apply(c, 0, clementineport.FleetUpdate{
		AsOf: position(0, 5), Targets: []clementineport.TargetInstance{cold, target("y", 9)},
		Domains: []clementineport.DomainStatus{{Domain: "b", Out: true}},
		VMs:     []clementineport.VM{{ID: "vm-1"}},
		Routes:  &clementineport.RouteTable{Version: 3},
	})
	other := cpcatalog.New()
	other.Apply(at(1000), at(1000), c.FullUpdate(at(1000)))
	assert.Equal(t, other.AsOf(), c.AsOf())
	assert.Assert(t, other.Confirmed().Equal(at(0)))
	assert.Assert(t, other.Out("b"))
	assert.Assert(t, other.Targets()["x"].Cold(at(2900)) && !other.Targets()["x"].Cold(at(3000)))
	assert.Equal(t, len(other.VMs()), 1)
	assert.Equal(t, other.Routes().Version, clementineport.Revision(3))
}

func TestATargetThatIsGoneIsNotRestoredByAnotherVM(t *testing.T) {
	expired := func() *cpcatalog.Catalog {
		c := cpcatalog.New()
		apply(c, 0, clementineport.FleetUpdate{AsOf: position(0, 1), Targets: []clementineport.TargetInstance{target("x", 1)}})
		apply(c, 6000, clementineport.FleetUpdate{AsOf: position(0, 2), Gone: []clementineport.TargetID{"x"}})
		assert.Assert(t, has(c, "x"), "the registration may have expired only because of the outage")
		return c
	}
	one, other := expired(), expired()
	assert.Equal(t, len(other.FullUpdate(at(6500)).Targets), 0)
	// A VM of an earlier version, or one that has not received the latest update, may still list the target.
	one.Apply(at(6500), at(6500), &clementineport.FleetUpdate{AsOf: position(0, 2), Whole: true, Targets: []clementineport.TargetInstance{target("x", 1)}})
	one.Tick(at(8400))
	assert.Assert(t, !has(one, "x"))
}

func TestAPartialUpdateIsAppliedButConfirmsNothing(t *testing.T) {
	c := cpcatalog.New()
	apply(c, 0, clementineport.FleetUpdate{AsOf: position(0, 1), Whole: true})
	assert.Assert(t, apply(c, 1000, clementineport.FleetUpdate{
		AsOf: position(0, 500), Partial: true, Targets: []clementineport.TargetInstance{target("x", 1)},
	}))
	assert.Assert(t, has(c, "x"))
	assert.Assert(t, c.Confirmed().Equal(at(0)), "later changes are waiting in the store")
	apply(c, 1100, clementineport.FleetUpdate{AsOf: position(0, 600)})
	assert.Assert(t, c.Confirmed().Equal(at(1100)))
}
