package cpactiveset_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpactiveset"
)

// table returns routes over shards whose targets accept a number of connections, and a service whose targets accept more.
func table(connections int) *clementineport.RouteTable {
	return &clementineport.RouteTable{
		Routes: []clementineport.Route{{Shards: []clementineport.ServiceID{"shard"}}, {Services: []clementineport.WeightedService{{Service: "single"}}}},
		Services: map[clementineport.ServiceID]clementineport.TargetService{
			"shard": {Connections: connections}, "single": {Connections: 10},
		},
	}
}

// update passes a demand to a tracker and returns the size of the set.
func update(t *cpactiveset.Tracker, now time.Time, members []clementineport.Member, demand cpactiveset.Millicores, equalShare float64) int {
	set, _ := t.Update(now, &cpactiveset.Input{Members: members, Demand: demand, EqualShare: equalShare})
	return set.Size()
}

// Guards against a set in deployments whose VMs have connections enough, and against services outside gathers that decide.
func TestTheSetTakesEffectWhereAnEqualShareIsBelowTwoConnections(t *testing.T) {
	for _, c := range []struct{ vms, strong, connections, want int }{
		{8, 8, 73, 0}, {30, 30, 78, 0}, {82, 8, 73, 8}, {295, 0, 110, 74}, {770, 0, 110, 193},
	} {
		t.Run(fmt.Sprintf("%d VMs", c.vms), func(t *testing.T) {
			members := fleet(c.vms, c.strong, 4)
			share := cpactiveset.EqualShare(table(c.connections), c.vms)
			assert.Equal(t, update(cpactiveset.NewTracker(), start, members, 0, share), c.want)
		})
	}
	assert.Equal(t, cpactiveset.EqualShare(nil, 82), 0.0)
	assert.Equal(t, cpactiveset.EqualShare(&clementineport.RouteTable{}, 82), 0.0)
}

// Guards against a set of eight VMs that leaves any of them out.
func TestAllOfEightVMsAreInTheSet(t *testing.T) {
	assert.Equal(t, update(cpactiveset.NewTracker(), start, fleet(8, 8, 4), usual, 1), 8)
}

// Guards against a set that ends while some VMs are dead, and begins again when they are back.
func TestTheSetStaysInEffectWhileVMsAreDead(t *testing.T) {
	tracker, now := cpactiveset.NewTracker(), start
	assert.Assert(t, update(tracker, now, fleetK(), usual, 1.9) > 0)
	for range 10 {
		now = now.Add(50 * time.Second)
		assert.Assert(t, update(tracker, now, fleetK(), usual, 3) > 0)
		now = now.Add(time.Second)
		assert.Assert(t, update(tracker, now, fleetK(), usual, 1.9) > 0)
	}
	assert.Assert(t, update(tracker, now, fleetK(), usual, 3) > 0)
	assert.Assert(t, update(tracker, now.Add(cpactiveset.DefaultEndDelay), fleetK(), usual, 3) == 0)
}

// Guards against a set that follows a burst late, or gives its VMs up between two bursts.
func TestLoadTimesFiveWithinASecond(t *testing.T) {
	tracker, now := cpactiveset.NewTracker(), start
	for range 300 {
		assert.Equal(t, update(tracker, now, fleetK(), usual, 1), 8)
		now = now.Add(time.Second)
	}
	large := update(tracker, now, fleetK(), busy, 1)
	assert.Assert(t, large > 40, "%d VMs at once", large)
	size := large
	for i := range 120 {
		now = now.Add(time.Second)
		next := update(tracker, now, fleetK(), usual, 1)
		assert.Assert(t, next <= size && (i > 10 || next == large), "%d VMs after %d s", next, i)
		size = next
	}
	assert.Equal(t, size, 8)
}

// Guards against a set of the smallest size after all VMs have restarted, when none knows the load.
func TestAllVMsHaveRestarted(t *testing.T) {
	for _, members := range [][]clementineport.Member{fleetK(), fleet(295, 0, 5)} {
		tracker := cpactiveset.NewTracker()
		assert.Assert(t, update(tracker, start, members, 0, 1) > 0)
		set, changed := tracker.Update(start.Add(time.Second), &cpactiveset.Input{Members: members, EqualShare: 1})
		all := cpactiveset.Millicores(0)
		for i := range members {
			all += cpactiveset.CapacityOf(members[i].Capacity)
		}
		assert.Assert(t, !changed)
		assert.Assert(t, 4*set.Total() >= all, "%d of %d", set.Total(), all)
	}
}

// Guards against statements that are lost, overtaken or sent so often that they cost more than the requests.
func TestALoadIsStatedWhenItHasChangedNotably(t *testing.T) {
	loads := cpactiveset.NewLoads()
	stated := 0
	for i := range 600 { // a minute
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		load := clementineport.VMLoad{VM: "vm-0", Rate: 15, Busy: 0.2 + 0.01*float64(i%4)}
		if i == 300 {
			load.Busy = 0.6
		}
		if state, atOnce := loads.ToState(now, &load); state {
			assert.Equal(t, atOnce, i == 300)
			assert.Assert(t, loads.Set(now, &load))
			stated++
		}
	}
	assert.Assert(t, stated >= 7 && stated <= 11, "stated %d times", stated)
	idle := clementineport.VMLoad{VM: "vm-1", Busy: 0.3}
	state, _ := loads.ToState(start, &idle)
	assert.Assert(t, !state, "a VM without callers states nothing")
}

// Guards against the exchanges of idle VMs, dead VMs, and old or nonsensical statements that count as load of callers.
func TestTheDemandIsThatOfTheRequests(t *testing.T) {
	loads, members := cpactiveset.NewLoads(), fleetK()
	set := func(vm int, load clementineport.VMLoad) bool {
		load.VM = members[vm].ID
		return loads.Set(start, &load)
	}
	assert.Assert(t, set(0, clementineport.VMLoad{Rate: 50, Busy: 0.5}))
	assert.Assert(t, set(8, clementineport.VMLoad{Rate: 5, Busy: 0.5}))
	assert.Assert(t, set(9, clementineport.VMLoad{Busy: 1}))
	assert.Assert(t, !set(0, clementineport.VMLoad{Rate: 50, Busy: 0.1, Age: time.Second}), "older than what is known")
	assert.Assert(t, !set(10, clementineport.VMLoad{Rate: -1, Busy: 1}))
	assert.Equal(t, loads.Demand(start, members), cpactiveset.Millicores(400+96))
	assert.Equal(t, loads.Demand(start, members[1:]), cpactiveset.Millicores(96))
	assert.Equal(t, loads.Demand(start.Add(time.Minute), members), cpactiveset.Millicores(0))
	assert.Assert(t, set(1, clementineport.VMLoad{Rate: 1000, Refused: 1000}))
	assert.Equal(t, loads.Demand(start, members), cpactiveset.Millicores(2*(400+96)), "refused requests count for no more than the others")
	assert.Equal(t, len(loads.Since(start, start.Add(-time.Second))), 4)
	loads.Forget(start, func(vm clementineport.VMID) bool { return vm == members[0].ID })
	assert.Equal(t, len(loads.Since(start, start.Add(-time.Second))), 3)
}

// Guards against a measurement that spans more than the last seconds.
func TestTheMeterMeasuresTheLastSeconds(t *testing.T) {
	m := cpactiveset.NewMeter(0.8)
	processor := time.Duration(0)
	var load clementineport.VMLoad
	for i := range 10 {
		if i >= 5 {
			processor += 400 * time.Millisecond
			for n := range 20 {
				m.Count(n%4 == 0)
			}
		}
		load = m.Load(start.Add(time.Duration(i)*time.Second), processor)
	}
	assert.Equal(t, load, clementineport.VMLoad{Rate: 20, Refused: 5, Busy: 0.5})
}
