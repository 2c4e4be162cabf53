package cpfleetwatch_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cppeer"
)

// BenchmarkManyLimits measures how long a VM takes until its view has the limits of many targets that name them at once.
func BenchmarkManyLimits(b *testing.B) {
	const vms, targets = 295, 270
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}
	for i := range targets {
		store.targets = append(store.targets, targetInstance(clementineport.TargetID(fmt.Sprintf("t-%d", i))))
	}
	for i := range vms {
		id := fmt.Sprintf("vm-%d", i)
		store.vms = append(store.vms, clementineport.VM{ID: clementineport.VMID(id), Peer: id, Caller: id})
	}
	other := cpfleetwatch.New(cpfleetwatch.WithSource(&fakeSource{})) // answers nothing, since it does not run
	w := cpfleetwatch.New(cpfleetwatch.WithSource(store), cpfleetwatch.WithTargetClient(
		func(clementineport.TargetInstance, int, clementineport.TargetNotice) clementineport.OpaqueTarget {
			return &fakeTarget{}
		},
	),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(other)) }))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = w.Serve(ctx) }() // ends with ctx
	limited := func(rate clementineport.RequestRate) (n int) {
		for _, t := range w.View().Services["s"] {
			if t.Limit == rate {
				n++
			}
		}
		return n
	}
	for limited(0) < targets {
		runtime.Gosched()
	}
	b.ResetTimer()
	for i := range b.N {
		rate := clementineport.RequestRate(i + 1)
		for _, t := range store.targets {
			w.TargetLimit(clementineport.TargetLimit{Run: t.Run(), Limited: true, Rate: rate})
		}
		for limited(rate) < targets {
			runtime.Gosched()
		}
	}
}
