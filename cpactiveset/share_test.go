package cpactiveset_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpactiveset"
	"github.com/clementineport/clementineport/cpquota"
)

// fleetView is the view that some VMs have: the members that they consider alive, and the demand.
type fleetView struct {
	members []clementineport.Member
	demand  cpactiveset.Millicores
}

// sharingVM is a VM with its tracker. It sees the view with its index as it was lag seconds ago.
type sharingVM struct {
	tracker *cpactiveset.Tracker
	view    int
	lag     int
	// running is false while the VM is dead.
	running bool
}

// sharingFleet simulates the shares of all VMs, second by second.
type sharingFleet struct {
	t       *rapid.T
	vms     []sharingVM
	members []clementineport.Member
	// views holds the history of each view, the latest last.
	views [][]fleetView
	now   time.Time
	// most is the highest sum of the parts so far.
	most float64
}

// maxLag is the time in which VMs learn of a change, for which SettleTime and Retention allow.
const maxLag = int((cpactiveset.DefaultSettleTime - cpactiveset.DefaultRetention) / time.Second)

func newSharingFleet(t *rapid.T, views int) *sharingFleet {
	domains := rapid.IntRange(1, 5).Draw(t, "domains")
	vms := rapid.IntRange(2, 40).Draw(t, "VMs")
	f := &sharingFleet{t: t, members: fleet(vms, rapid.IntRange(0, 8).Draw(t, "strong VMs"), domains), now: start, views: make([][]fleetView, views)}
	for i := range vms {
		f.vms = append(f.vms, sharingVM{running: true, view: rapid.IntRange(0, views-1).Draw(t, "view"), lag: rapid.IntRange(0, maxLag).Draw(t, "lag")})
		f.restart(i)
	}
	return f
}

func (f *sharingFleet) restart(vm int) {
	f.vms[vm].tracker = cpactiveset.NewTracker(cpactiveset.WithSelf(f.members[vm].ID))
}

// run passes seconds and checks the sum of the shares in each of them. sees reports whether a view considers a VM alive.
func (f *sharingFleet) run(seconds int, demand cpactiveset.Millicores, sees func(view, vm int) bool) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		for view := range f.views {
			members := without(f.members, func(vm int) bool { return !f.vms[vm].running || !sees(view, vm) })
			f.views[view] = append(f.views[view], fleetView{members, demand})
		}
		f.check()
	}
}

// check adds up the shares of all VMs. With a connection for each VM reserved, these are within the limit as well.
func (f *sharingFleet) check() {
	const limit = 300
	parts, connections := 0.0, 0
	for i := range f.vms {
		vm := &f.vms[i]
		if !vm.running {
			continue
		}
		history := f.views[vm.view]
		seen := history[max(0, len(history)-1-vm.lag)]
		vm.tracker.Update(f.now, &cpactiveset.Input{Members: seen.members, Demand: seen.demand, EqualShare: 1})
		share := vm.tracker.Share(f.now, len(f.vms))
		parts += share.Part
		connections += share.Connections(limit)
	}
	f.most = max(f.most, parts)
	assert.Assert(f.t, parts <= 1+1e-9, "the parts add up to %v", parts)
	assert.Assert(f.t, connections <= limit, "%d connections", connections)
}

// events runs the fleet through random kills, restarts and changes of the load.
func (f *sharingFleet) events(sees func(view, vm int) bool) {
	for range rapid.IntRange(1, 8).Draw(f.t, "events") {
		switch rapid.SampledFrom([]string{"kill", "return", "restart all", "load"}).Draw(f.t, "event") {
		case "kill":
			for range rapid.IntRange(1, len(f.vms)/2).Draw(f.t, "killed") {
				f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(f.t, "VM")].running = false
			}
		case "return":
			for i := range f.vms {
				if !f.vms[i].running {
					f.vms[i].running = true
					f.restart(i)
				}
			}
		case "restart all":
			for i := range f.vms {
				f.restart(i)
			}
		}
		demand := cpactiveset.Millicores(rapid.IntRange(0, 8000).Draw(f.t, "demand"))
		f.run(rapid.IntRange(1, 25).Draw(f.t, "seconds"), demand, sees)
	}
}

func everyView(int, int) bool { return true }

// Guards against shares that add up to more than a bound while the set changes, by kills, restarts and load, and VMs learn of
// that at different times.
func TestSharesStayWithinTheBoundWhileTheSetChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSharingFleet(t, 1)
		f.events(everyView)
		assert.Assert(t, f.most <= 0.5+1e-9, "a half is left to a second view, but the parts add up to %v", f.most)
	})
}

// Guards against the same while some VMs consider any other VMs dead, for any time.
func TestSharesStayWithinTheBoundUnderTwoViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSharingFleet(t, 2)
		hidden := map[int]bool{}
		for i := range f.vms {
			// A VM is alive in its own view.
			hidden[i] = f.vms[i].view == 0 && rapid.Bool().Draw(t, "hidden")
		}
		f.events(func(view, vm int) bool { return view == 0 || !hidden[vm] })
	})
}

// Guards against the same when the fleet is split into parts that don't see each other, while the store lists all VMs.
func TestSharesStayWithinTheBoundInAFleetSplitIntoThree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSharingFleet(t, 3)
		f.events(func(view, vm int) bool { return f.vms[vm].view == view })
		assert.Assert(t, f.most <= 0.5+1e-9, "a half is left to other views, but the parts add up to %v", f.most)
	})
}

// Guards against a share of a VM outside the set or new in it that its connections can't be used with, and against VMs of the
// set that gain nothing by it.
func TestSharesOfDeploymentK(t *testing.T) {
	shares := map[bool]cpquota.Share{}
	for _, vm := range []int{0, 50} {
		tracker := cpactiveset.NewTracker(cpactiveset.WithSelf(fleetK()[vm].ID))
		for i := range 30 {
			now := start.Add(time.Duration(i) * time.Second)
			update(tracker, now, fleetK(), usual, 1)
			shares[vm == 0] = tracker.Share(now, 82)
			if i < 10 {
				assert.Equal(t, shares[vm == 0].Part, 0.0)
			}
		}
	}
	assert.Equal(t, shares[true].Connections(73), 3)
	assert.Equal(t, shares[false].Connections(73), 1)
	assert.Assert(t, shares[true].Senders() < 30 && shares[false].Senders() >= 82)
}

// Guards against a VM that uses an equal share right after the set has ended, while others still use their parts.
func TestAVMSharesEquallyOnceOthersHaveGivenUpTheirParts(t *testing.T) {
	tracker := cpactiveset.NewTracker(cpactiveset.WithSelf("vm-0"))
	update(tracker, start, fleetK(), usual, 1)
	update(tracker, start, fleetK(), usual, 0)
	assert.Equal(t, tracker.Share(start, 82), cpquota.Share{VMs: 82, Set: true})
	assert.Equal(t, tracker.Share(start.Add(cpactiveset.DefaultSettleTime), 82), cpquota.Equal(82))
}
