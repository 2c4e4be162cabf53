package cpfleetwatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cppeer"
)

func TestATargetThatLeavesIsOutOfTheViewOfAllVMsWithoutTheStore(t *testing.T) {
	for name, vms := range map[string]int{"each VM watches the store": 3, "most VMs get updates from others": 12} {
		t.Run(name, func(t *testing.T) {
			d := newDomain(t, vms)
			d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x"), targetInstance("y")}})
			await(t, "both targets", func() bool { return d.allHave("x", "y") })
			d.store.mu.Lock()
			for id := range d.vms {
				d.store.unavailable[id] = true
			}
			d.store.mu.Unlock()
			d.vms["vm-1"].TargetLeaving(clementineport.TargetRun{ID: "x", Born: 1})
			await(t, "only y is left", func() bool { return d.allHave("y") })
			for id, w := range d.vms {
				assert.Equal(t, w.View().Leaving, 1, "%s", id)
			}
		})
	}
}

func TestTheLimitOfATargetIsKnownToAllVMsWithoutTheStoreAndSoIsItsEnd(t *testing.T) {
	for name, vms := range map[string]int{"each VM watches the store": 3, "most VMs get updates from others": 12} {
		t.Run(name, func(t *testing.T) {
			d := newDomain(t, vms)
			d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
			await(t, "the target", func() bool { return d.allHave("x") })
			d.store.mu.Lock()
			for id := range d.vms {
				d.store.unavailable[id] = true
			}
			d.store.mu.Unlock()
			limit := clementineport.TargetLimit{Run: clementineport.TargetRun{ID: "x", Born: 1}, Limited: true, Rate: 30}
			d.vms["vm-1"].TargetLimit(limit)
			await(t, "all VMs know the limit", func() bool { return d.allLimited(30) })
			limit.Rate = 20
			d.vms["vm-2"].TargetLimit(limit)
			await(t, "all VMs know the new limit", func() bool { return d.allLimited(20) })
			limit.Limited, limit.Rate = false, 0
			d.vms["vm-0"].TargetLimit(limit)
			await(t, "all VMs know that it has ended", func() bool { return d.allUnlimited() })
		})
	}
}

// TestTheEndOfALimitIsKnownToAllVMsAlthoughMessagesAreLate guards against a limit that comes back after its end, since VMs had messages on
// their way that name it.
func TestTheEndOfALimitIsKnownToAllVMsAlthoughMessagesAreLate(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDomain(t, 12)
				d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
				await(t, "the target", func() bool { return d.allHave("x") })
				time.Sleep(5 * time.Second) // the VMs know each other
				random := rand.New(rand.NewPCG(seed, 1))
				const latest = 1500 * time.Millisecond
				d.setLate(func() time.Duration { return time.Duration(random.Int64N(int64(latest))) })
				defer func() {
					d.setLate(func() time.Duration { return 0 })
					time.Sleep(latest) // the exchanges under way end
				}()
				limit := clementineport.TargetLimit{Run: clementineport.TargetRun{ID: "x", Born: 1}, Limited: true, Rate: 20}
				d.vms["vm-2"].TargetLimit(limit)
				await(t, "all VMs know the limit", func() bool { return d.allLimited(20) })
				limit.Limited, limit.Rate = false, 0
				d.vms["vm-0"].TargetLimit(limit)
				await(t, "all VMs know that it has ended", func() bool { return d.allUnlimited() })
			})
		})
	}
}

// allLimited reports whether all VMs know the same limit of target x.
func (d *domain) allLimited(rate clementineport.RequestRate) bool {
	for _, w := range d.vms {
		if t := w.View().Services["s"]; len(t) != 1 || !t[0].Limited || t[0].Limit != rate {
			return false
		}
	}
	return true
}

// allUnlimited reports whether no VM knows a limit of target x.
func (d *domain) allUnlimited() bool {
	for _, w := range d.vms {
		if t := w.View().Services["s"]; len(t) != 1 || t[0].Limited {
			return false
		}
	}
	return true
}

func TestAllVMsLearnWithoutTheStoreWhichRequestsCrashTargets(t *testing.T) {
	d := newDomain(t, 12)
	d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
	await(t, "the target", func() bool { return d.allHave("x") })
	d.store.mu.Lock()
	for id := range d.vms {
		d.store.unavailable[id] = true
	}
	d.store.mu.Unlock()
	const key = clementineport.RequestKey(1<<63 + 1) // more than a float64 can hold exactly
	for i := range 3 {
		vm := d.vms[clementineport.VMID(fmt.Sprintf("vm-%d", i))]
		run := clementineport.TargetRun{ID: clementineport.TargetID(fmt.Sprintf("t-%d", i)), Born: 1}
		vm.RequestReport(clementineport.RequestReport{Key: key, Run: run})
	}
	blocked := func(want int) bool {
		for _, w := range d.vms {
			if w.View().BlockedRequests() != want || w.View().Suspects[key].Blocked() != (want > 0) {
				return false
			}
		}
		return true
	}
	await(t, "all VMs block the request", func() bool { return blocked(1) })
	d.vms["vm-5"].RequestReport(clementineport.RequestReport{Key: key, Served: true})
	await(t, "no VM blocks the request", func() bool { return blocked(0) })
}

func TestAVMThatStartsLearnsWhichRequestsCrashTargets(t *testing.T) {
	source := func(vms ...clementineport.VM) cpfleetwatch.Option {
		return cpfleetwatch.WithSource(&fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, vms: vms})
	}
	running := startWatcher(t, "running", source())
	for i := range int64(3) {
		running.RequestReport(clementineport.RequestReport{Key: 7, Run: clementineport.TargetRun{ID: "x", Born: i + 1}})
	}
	await(t, "the request is blocked", func() bool { return running.View().BlockedRequests() == 1 })
	started := startWatcher(t, "started", source(clementineport.VM{ID: "running", Peer: "running"}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(running)) }))
	await(t, "the request is blocked here too", func() bool { return started.View().BlockedRequests() == 1 })
}

func TestAVMThatStartsLearnsTheLimitsOfTargets(t *testing.T) {
	targets := []clementineport.TargetInstance{targetInstance("x")}
	running := startWatcher(t, "running", cpfleetwatch.WithSource(&fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: targets}))
	running.TargetLimit(clementineport.TargetLimit{Run: clementineport.TargetRun{ID: "x", Born: 1}, Limited: true, Rate: 30})
	started := startWatcher(t, "started", cpfleetwatch.WithSource(&fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: targets, vms: []clementineport.VM{{ID: "running", Peer: "running"}}}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(running)) }))
	await(t, "the limit", func() bool {
		known := started.View().Services["s"]
		return len(known) == 1 && known[0].Limited && known[0].Limit == 30
	})
}

func TestATargetThatStartsAgainIsInUseAgain(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x"), targetInstance("y")}}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store))
	await(t, "both targets", func() bool { return hasTargets(w, "x", "y") })
	w.TargetLeaving(clementineport.TargetRun{ID: "x", Born: 1})
	await(t, "only y is left", func() bool { return hasTargets(w, "y") })
	store.set(func(s *fakeSource) { s.targets[0].Seq, s.targets[0].Slots = 2, 5 })
	store.set(func(s *fakeSource) { s.historyDropped = true })
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, hasTargets(w, "y"), "a later registration of the same run, and a full state")
	store.set(func(s *fakeSource) { s.targets[0].Born, s.targets[0].Seq = 2, 1 })
	await(t, "both targets", func() bool { return hasTargets(w, "x", "y") })
}

func TestAVMThatStartsLearnsWhichTargetsLeave(t *testing.T) {
	targets := []clementineport.TargetInstance{targetInstance("x"), targetInstance("y")}
	running := startWatcher(t, "running", cpfleetwatch.WithSource(&fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: targets}))
	await(t, "both targets", func() bool { return hasTargets(running, "x", "y") })
	running.TargetLeaving(clementineport.TargetRun{ID: "x", Born: 1})
	await(t, "only y is left", func() bool { return hasTargets(running, "y") })
	started := startWatcher(t, "started", cpfleetwatch.WithSource(&fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: targets, vms: []clementineport.VM{{ID: "running", Peer: "running"}}}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(running)) }))
	await(t, "only y is left", func() bool { return hasTargets(started, "y") })
}

func TestATargetThatRegistersAgainInTheSameRunStaysClosed(t *testing.T) {
	until := time.Now().Add(time.Hour)
	clients := make(chan *fakeTarget, 10)
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x")}}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store),
		cpfleetwatch.WithTargetClient(func(_ clementineport.TargetInstance, _ int, n clementineport.TargetNotice) clementineport.OpaqueTarget {
			c := &fakeTarget{notice: n}
			clients <- c
			return c
		}))
	await(t, "the target", func() bool { return hasTargets(w, "x") })
	first := <-clients
	first.mu.Lock()
	first.notice.ClosedUntil = until
	first.mu.Unlock()
	store.set(func(s *fakeSource) { s.targets = nil })
	await(t, "the target is gone", func() bool { return hasTargets(w) })
	again := targetInstance("x")
	again.Seq = 9
	store.set(func(s *fakeSource) { s.targets = []clementineport.TargetInstance{again} })
	second := <-clients
	assert.Equal(t, second.Notice().ClosedUntil, until)
	store.set(func(s *fakeSource) { s.targets = nil })
	await(t, "the target is gone", func() bool { return hasTargets(w) })
	again.Born = 2
	store.set(func(s *fakeSource) { s.targets = []clementineport.TargetInstance{again} })
	third := <-clients
	assert.Equal(t, third.Notice(), clementineport.TargetNotice{}, "a new run")
}

func TestNewsOfManyTargetsThatLeaveIsBounded(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store))
	const targets = 500
	for i := range targets {
		w.TargetLeaving(clementineport.TargetRun{ID: clementineport.TargetID(fmt.Sprintf("t-%d", i)), Born: 1})
	}
	caller := clementineport.Member{VM: clementineport.VM{ID: "other", Peer: "other"}, Start: "s"}
	all := func() int {
		response, err := w.Exchange(t.Context(), &clementineport.Digest{From: caller})
		assert.NilError(t, err)
		return len(response.Leaving)
	}
	await(t, "a VM that starts gets all", func() bool { return all() == targets })
	caller.Incarnation = 1
	assert.Equal(t, all(), 64)
}
