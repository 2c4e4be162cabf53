package cpfleetwatch_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cppeer"
	"github.com/clementineport/clementineport/cpreach"
)

// reachableVM is a VM with four targets of two services.
type reachableVM struct {
	*cpfleetwatch.Watcher
	reach   *cpreach.Tracker
	source  *fakeSource
	clients []*fakeTarget
	logs    *observer.ObservedLogs
}

func startReachableVM(t *testing.T, id clementineport.VMID, opts ...cpfleetwatch.Option) *reachableVM {
	t.Helper()
	v := &reachableVM{reach: cpreach.New()}
	source := &fakeSource{version: 1, asOf: clementineport.StorePosition{Revision: 1}}
	for n := range 4 {
		target := targetInstance(clementineport.TargetID(fmt.Sprintf("t-%d", n)))
		target.Service = clementineport.ServiceID(fmt.Sprintf("s-%d", n%2))
		source.targets = append(source.targets, target)
	}
	v.source = source
	core, logs := observer.New(zap.InfoLevel)
	v.logs = logs
	v.Watcher = startWatcher(t, id, append([]cpfleetwatch.Option{
		cpfleetwatch.WithSource(source), cpfleetwatch.WithReach(v.reach), cpfleetwatch.WithLog(zap.New(core)),
		cpfleetwatch.WithTargetClient(func(_ clementineport.TargetInstance, _ int, n clementineport.TargetNotice) clementineport.OpaqueTarget {
			c := &fakeTarget{notice: n}
			v.clients = append(v.clients, c)
			return c
		}),
	}, opts...)...)
	await(t, "the targets are known", func() bool { return len(v.View().Services) == 2 })
	return v
}

// cut makes all targets unreachable, or reachable again.
func (v *reachableVM) cut(unreachable bool) {
	for _, c := range v.clients {
		c.unreachable.Store(unreachable)
	}
}

// failCalls makes calls to all targets that are reset without an answer.
func (v *reachableVM) failCalls() {
	now := time.Now()
	for n := range 4 {
		target := targetInstance(clementineport.TargetID(fmt.Sprintf("t-%d", n)))
		target.Service = clementineport.ServiceID(fmt.Sprintf("s-%d", n%2))
		v.reach.Done(now, v.reach.Sent(now, &target, 0), clementineport.FaultReset)
	}
}

func (v *reachableVM) logged(name cplogevent.Name) int {
	return v.logs.FilterMessage(string(name)).Len()
}

func TestAVMThatReachesNoTargetLogsItAndFindsOutWhenItReachesThemAgain(t *testing.T) {
	v := startReachableVM(t, "a")
	v.cut(true)
	v.failCalls()
	await(t, "the VM knows", func() bool { return v.reach.State() == cpreach.Lost })
	await(t, "the loss is logged", func() bool { return v.logged(cplogevent.TargetsLost) == 1 })
	v.cut(false)
	await(t, "the VM makes connections again", func() bool { return v.reach.State() == cpreach.Reached })
	await(t, "the end is logged", func() bool { return v.logged(cplogevent.TargetsRegained) == 1 })
}

func TestAVMWhoseTargetsFailButAcceptConnectionsReachesThem(t *testing.T) {
	v := startReachableVM(t, "a")
	v.failCalls()
	assert.Equal(t, v.reach.State(), cpreach.Reached)
	await(t, "the suspicion is checked", func() bool {
		state, failing := v.reach.Suspect(time.Now(), map[clementineport.ServiceID]int{"s-0": 2, "s-1": 2})
		return state == cpreach.Reached && len(failing) == 0
	})
	assert.Equal(t, v.logged(cplogevent.TargetsLost), 0)
}

// startReachableFleet starts VMs that know each other.
func startReachableFleet(t *testing.T, ids ...clementineport.VMID) map[clementineport.VMID]*reachableVM {
	t.Helper()
	peers := map[clementineport.VMID]*cpfleetwatch.Watcher{}
	var mu sync.Mutex
	dial := cpfleetwatch.WithDial(func(vm clementineport.VM) clementineport.Peer {
		mu.Lock()
		defer mu.Unlock()
		if w := peers[vm.ID]; w != nil {
			return cppeer.New(cppeer.WithHandler(w))
		}
		return unreachablePeer{}
	})
	var vms []clementineport.VM
	for _, id := range ids {
		vms = append(vms, clementineport.VM{ID: id, Domain: "a", Caller: string(id), Peer: string(id)})
	}
	all := map[clementineport.VMID]*reachableVM{}
	for _, id := range ids {
		all[id] = startReachableVM(t, id, dial, cpfleetwatch.WithSeeds(vms...))
		mu.Lock()
		peers[id] = all[id].Watcher
		mu.Unlock()
	}
	for _, v := range all {
		v.source.set(func(s *fakeSource) { s.vms = vms })
	}
	await(t, "all VMs know each other", func() bool {
		for _, v := range all {
			if len(v.View().ServingVMs()) != len(ids) {
				return false
			}
		}
		return true
	})
	return all
}

// TestVMsTellEachOtherWhoReachesNoTargetWithoutTheStore guards against directories that send callers to a VM that can't serve.
func TestVMsTellEachOtherWhoReachesNoTargetWithoutTheStore(t *testing.T) {
	all := startReachableFleet(t, "a", "b", "c")
	serving := func(n int) func() bool {
		return func() bool {
			for _, v := range all {
				if len(v.View().ServingVMs()) != n {
					return false
				}
			}
			return true
		}
	}
	for _, v := range all {
		v.source.set(func(s *fakeSource) { s.unavailable = true })
	}
	all["b"].cut(true)
	all["b"].failCalls()
	await(t, "all know that b reaches no target", serving(2))
	assert.Assert(t, all["c"].View().Lost["b"])
	for _, id := range []clementineport.VMID{"a", "c"} {
		all[id].cut(true)
		all[id].failCalls()
	}
	await(t, "with no VM left that reaches targets, all are named", serving(3))
	for _, v := range all {
		v.cut(false)
	}
	await(t, "all know the end", func() bool {
		for _, v := range all {
			if len(v.View().Lost) != 0 {
				return false
			}
		}
		return true
	})
}

// TestTheVMsThatReachTargetsUseAllTheirSlots guards against VMs that refuse requests or leave out shards, since they hold targets
// for loaded by VMs that reach none.
func TestTheVMsThatReachTargetsUseAllTheirSlots(t *testing.T) {
	all := startReachableFleet(t, "a", "b", "c")
	a := all["a"]
	await(t, "each VM has its part", func() bool { return a.View().Sending == 3 && inFlightLimit(a.View()) == 2 })
	for _, id := range []clementineport.VMID{"b", "c"} {
		all[id].cut(true)
		all[id].failCalls()
	}
	await(t, "one VM sends all", func() bool { return a.View().Sending == 1 && inFlightLimit(a.View()) == 4 })
	assert.Equal(t, a.View().VMs, 3, "the others may still hold connections")
	a.cut(true)
	a.failCalls()
	await(t, "no VM reaches targets", func() bool { return len(a.View().Lost) == 3 })
	assert.Equal(t, a.View().Sending, 3, "each may still have open connections")
}

// TestColdTargetsOfAVMThatReachesNoTargetAreOwnedByAnother guards against cold targets that no VM calls, since their owner can't. A
// VM whose path is back waits until the others know, so that two don't call a target.
func TestColdTargetsOfAVMThatReachesNoTargetAreOwnedByAnother(t *testing.T) {
	all := startReachableFleet(t, "a", "b", "c")
	owned := func(ids ...clementineport.VMID) (n int) {
		for _, id := range ids {
			for _, targets := range all[id].View().Services {
				for i := range targets {
					if targets[i].Owned {
						n++
					}
				}
			}
		}
		return n
	}
	await(t, "each target has an owner", func() bool { return owned("a", "b", "c") == 4 })
	before := owned("b", "c")
	for _, id := range []clementineport.VMID{"b", "c"} {
		all[id].cut(true)
		all[id].failCalls()
	}
	await(t, "one VM owns all targets", func() bool { return owned("a") == 4 && owned("b", "c") == 0 })
	regained := time.Now()
	for _, id := range []clementineport.VMID{"b", "c"} {
		all[id].cut(false)
	}
	await(t, "the targets have their owners again", func() bool { return owned("a") == 4-before && owned("b", "c") == before })
	for _, id := range []clementineport.VMID{"b", "c"} {
		for _, targets := range all[id].View().Services {
			assert.Assert(t, targets[0].OwnedFrom.After(regained.Add(time.Second)))
		}
	}
}

// inFlightLimit returns the number of requests that a VM may have in flight to a target.
func inFlightLimit(view *cpfleetstate.View) int {
	for _, targets := range view.Services {
		return targets[0].InFlightLimit
	}
	return 0
}

// TestAVMWithoutCallsLearnsFromOthersThatItsPathMayBeLost guards against VMs that get few requests, do not know that they reach no
// target, and fail the first of them and those that other VMs send to them.
func TestAVMWithoutCallsLearnsFromOthersThatItsPathMayBeLost(t *testing.T) {
	all := startReachableFleet(t, "a", "b", "c")
	for _, id := range []clementineport.VMID{"b", "c"} {
		all[id].cut(true)
	}
	all["b"].failCalls()
	await(t, "all know of both", func() bool {
		for _, v := range all {
			if lost := v.View().Lost; !lost["b"] || !lost["c"] {
				return false
			}
		}
		return true
	})
	// A VM that hears of a loss after it has made sure of its own path does so again after a while.
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, all["a"].reach.State() != cpreach.Lost)
		for _, v := range all {
			assert.Assert(t, !v.View().Lost["a"])
		}
	}
	await(t, "the VM has made sure of its path", func() bool { return all["a"].reach.State() == cpreach.Reached })
}

// TestAVMCorrectsAnOldStatementOfItsOwn guards against a VM that callers avoid for good, since another VM still tells what it
// stated before a restart, or before a pause of that VM.
func TestAVMCorrectsAnOldStatementOfItsOwn(t *testing.T) {
	v := startReachableVM(t, "a")
	old := &clementineport.Digest{From: clementineport.Member{VM: clementineport.VM{ID: "b", Peer: "b"}, Start: "b", Incarnation: 1}}
	old.Reach = []clementineport.VMReach{{VM: "a", Lost: true}}
	answer, err := v.Exchange(t.Context(), old)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Reach), 1)
	assert.Assert(t, !answer.Reach[0].Lost)
	assert.Assert(t, !v.View().Lost["a"])
}
