package cpfleetwatch_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cppeer"
)

// Guards against VMs that choose by different loads: what one VM measures must reach the others without the store. A set of
// VMs of one domain has no reserve, so that any load takes all of them into it.
func TestAllVMsTakeTheLoadOfOneIntoAccount(t *testing.T) {
	source := &fakeSource{
		asOf: clementineport.StorePosition{Revision: 1}, version: 5, shards: []clementineport.ServiceID{"scarce"},
		targets: []clementineport.TargetInstance{targetInstance("x")},
	}
	var busy atomic.Bool
	load := func(time.Time) clementineport.VMLoad {
		if busy.Load() {
			return clementineport.VMLoad{Rate: 100, Busy: 0.5}
		}
		return clementineport.VMLoad{}
	}
	idle := func(time.Time) clementineport.VMLoad { return clementineport.VMLoad{} }
	var mu sync.Mutex
	watchers := map[clementineport.VMID]*cpfleetwatch.Watcher{}
	dial := func(vm clementineport.VM) clementineport.Peer {
		mu.Lock()
		defer mu.Unlock()
		if w := watchers[vm.ID]; w != nil {
			return cppeer.New(cppeer.WithHandler(w))
		}
		return unreachablePeer{}
	}
	core, logs := observer.New(zap.InfoLevel)
	for _, id := range []clementineport.VMID{"a", "b", "c", "d"} {
		source.vms = append(source.vms, clementineport.VM{
			ID: id, Domain: "a", Caller: string(id), Peer: string(id), Capacity: clementineport.VMCapacity{Cores: 1},
		})
	}
	for _, vm := range source.vms {
		id, measure := vm.ID, idle
		if id == "a" {
			measure = load
		}
		w := startWatcher(t, id, cpfleetwatch.WithSource(source), cpfleetwatch.WithDial(dial), cpfleetwatch.WithLoad(measure),
			cpfleetwatch.WithSelf(clementineport.Member{VM: vm, Start: clementineport.StartID(id)}), cpfleetwatch.WithLog(zap.New(core)),
			cpfleetwatch.WithSeeds(clementineport.VM{ID: "a", Peer: "a"}))
		mu.Lock()
		watchers[id] = w
		mu.Unlock()
	}
	size := func(n int) func() bool {
		return func() bool {
			for _, w := range watchers {
				if w.View().Active.Size() != n {
					return false
				}
			}
			return true
		}
	}
	await(t, "two VMs are enough", size(2))
	await(t, "one VM of the set owns the target", func() bool {
		owners, ofSet := 0, 0
		for id, w := range watchers {
			if targets := w.View().Services["s"]; len(targets) == 1 && targets[0].Owned {
				owners++
				if w.View().Active.Has(id) {
					ofSet++
				}
			}
		}
		return owners == 1 && ofSet == 1
	})
	busy.Store(true)
	await(t, "the set has grown at all VMs", size(4))
	assert.Assert(t, logs.FilterMessage(string(cplogevent.ActiveSetChanged)).Len() >= 8)
	for _, w := range watchers {
		assert.Assert(t, len(w.View().Members) == 4)
	}
}

// Guards against a set at a VM that others take for one of an earlier build, since it states no capacity.
func TestAVMWithoutStatedCapacityHasNoActiveSet(t *testing.T) {
	source := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, shards: []clementineport.ServiceID{"scarce"}}
	w := startWatcher(t, "a", cpfleetwatch.WithSource(source),
		cpfleetwatch.WithLoad(func(time.Time) clementineport.VMLoad { return clementineport.VMLoad{} }))
	await(t, "the routes are known", func() bool { return w.View().Router != nil })
	assert.Assert(t, w.View().Active == nil)
}
