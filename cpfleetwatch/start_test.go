package cpfleetwatch_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cppeer"
	"github.com/clementineport/clementineport/cpregistration"
)

// startingFleet is a fleet whose VMs are killed and start again. They all watch one store, which has cold targets.
type startingFleet struct {
	t     *testing.T
	store *fakeSource

	mu sync.Mutex
	// running holds the VMs that run, and stops ends them.
	running map[clementineport.VMID]*cpfleetwatch.Watcher
	stops   map[clementineport.VMID]func()
	starts  int
}

func newStartingFleet(t *testing.T, vms int, targets ...clementineport.TargetID) *startingFleet {
	f := &startingFleet{
		t: t, store: &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5},
		running: map[clementineport.VMID]*cpfleetwatch.Watcher{}, stops: map[clementineport.VMID]func(){},
	}
	for _, id := range targets {
		cold := targetInstance(id)
		cold.ColdLeft = time.Hour
		f.store.targets = append(f.store.targets, cold)
	}
	for i := range vms {
		f.store.vms = append(f.store.vms, f.vm(clementineport.VMID(fmt.Sprintf("vm-%d", i))))
	}
	ids := f.ids()
	t.Cleanup(func() {
		f.stop(ids...)
		time.Sleep(10 * time.Millisecond) // the calls of the watchers end
	})
	return f
}

// vm returns the VM with an ID. It states its capacity if the routes have a service with few connections, so that an active set is chosen.
func (f *startingFleet) vm(id clementineport.VMID) clementineport.VM {
	vm := clementineport.VM{ID: id, Domain: "a", Caller: string(id), Peer: string(id)}
	if len(f.store.shards) > 0 {
		vm.Capacity.Cores = 1
	}
	return vm
}

// ids returns the VMs that the store lists.
func (f *startingFleet) ids() (ids []clementineport.VMID) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, vm := range f.store.vms {
		ids = append(ids, vm.ID)
	}
	return ids
}

// start starts processes of VMs at the same moment.
func (f *startingFleet) start(ids ...clementineport.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.starts++
		w := cpfleetwatch.New(
			cpfleetwatch.WithSelf(clementineport.Member{
				VM:    f.vm(id),
				Start: clementineport.StartID(fmt.Sprint(f.starts)),
			}),
			cpfleetwatch.WithTargetClient(func(_ clementineport.TargetInstance, _ int, n clementineport.TargetNotice) clementineport.OpaqueTarget {
				return &fakeTarget{notice: n}
			}),
			cpfleetwatch.WithSource(f.store), cpfleetwatch.WithDial(f.dial), cpfleetwatch.WithSeed(uint64(f.starts)),
			cpfleetwatch.WithLoad(func(time.Time) clementineport.VMLoad { return clementineport.VMLoad{} }),
			cpfleetwatch.WithRegistration(cpregistration.WithRegistrar(&listingRegistrar{f: f, delay: time.Duration(f.starts*37%300) * time.Millisecond})),
		)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = w.Serve(ctx) // returns when ctx ends
		}()
		f.running[id] = w
		f.stops[id] = func() {
			cancel()
			<-done
		}
	}
}

// stop kills VMs.
func (f *startingFleet) stop(ids ...clementineport.VMID) {
	for _, id := range ids {
		f.mu.Lock()
		stop := f.stops[id]
		delete(f.running, id)
		delete(f.stops, id)
		f.mu.Unlock()
		if stop != nil {
			stop()
		}
	}
}

// dial returns a client for a VM, which reaches the process that runs there at the time of a call.
func (f *startingFleet) dial(vm clementineport.VM) clementineport.Peer {
	return &startingPeer{f: f, id: vm.ID}
}

// listingRegistrar registers VMs in the store of a fleet. The calls take a time.
type listingRegistrar struct {
	f     *startingFleet
	delay time.Duration
}

// Register implements clementineport.Registrar.
func (r *listingRegistrar) Register(_ context.Context, vm clementineport.VM) error {
	time.Sleep(r.delay)
	r.f.store.set(func(s *fakeSource) {
		vms := slices.DeleteFunc(slices.Clone(s.vms), func(listed clementineport.VM) bool { return listed.ID == vm.ID })
		s.vms = append(vms, vm)
	})
	return nil
}

// Renew implements clementineport.Registrar.
func (*listingRegistrar) Renew(context.Context) error { return nil }

// Deregister implements clementineport.Registrar.
func (*listingRegistrar) Deregister(context.Context) error { return nil }

// startingPeer is a VM that may be down.
type startingPeer struct {
	clementineport.Peer
	f  *startingFleet
	id clementineport.VMID
}

func (p *startingPeer) now() clementineport.Peer {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if w := p.f.running[p.id]; w != nil {
		return cppeer.New(cppeer.WithHandler(w))
	}
	return unreachablePeer{}
}

// Exchange implements clementineport.Peer.
func (p *startingPeer) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	return p.now().Exchange(ctx, d)
}

// Config implements clementineport.Peer.
func (p *startingPeer) Config(ctx context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	return p.now().Config(ctx, have)
}

// Close implements clementineport.Peer.
func (*startingPeer) Close() error { return nil }

// owners returns the number of VMs that each target may be called by while it is cold.
func (f *startingFleet) owners() map[clementineport.TargetID]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	owners := map[clementineport.TargetID]int{}
	for _, w := range f.running {
		targets := w.View().Services["s"]
		for i := range targets {
			if targets[i].Owned {
				owners[targets[i].State.ID]++
			}
		}
	}
	return owners
}

// checkOwners checks for a time that no target has more owners than its rate of requests allows for.
func (f *startingFleet) checkOwners(during time.Duration) {
	f.t.Helper()
	const allowed = 2 // see cpquota.ColdInterval
	for began := time.Now(); time.Since(began) < during; time.Sleep(5 * time.Millisecond) {
		for id, n := range f.owners() {
			assert.Assert(f.t, n <= allowed, "%d VMs own %s after %v", n, id, time.Since(began))
		}
	}
}

// TestNoMoreThanTwoVMsOwnAColdTargetWhenManyStartAtOnce guards against cold targets that crash since each VM that starts takes itself for
// their owner until it has reached the others.
func TestNoMoreThanTwoVMsOwnAColdTargetWhenManyStartAtOnce(t *testing.T) {
	const vms = 24
	for name, c := range map[string]struct {
		killed int
		// lapsed means that the store lists none of them any more.
		lapsed bool
	}{
		"all": {killed: vms}, "all, and their registrations have lapsed": {killed: vms, lapsed: true},
		"14 of 24": {killed: 14}, "1 of 24": {killed: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStartingFleet(t, vms, "x", "y", "z")
				ids := f.ids()
				f.start(ids...)
				f.checkOwners(10 * time.Second)
				f.stop(ids[:c.killed]...)
				f.checkOwners(2 * time.Second)
				if c.lapsed {
					f.store.set(func(s *fakeSource) { s.vms = nil })
				}
				f.start(ids[:c.killed]...)
				f.checkOwners(15 * time.Second)
				assert.DeepEqual(t, f.owners(), map[clementineport.TargetID]int{"x": 1, "y": 1, "z": 1})
			})
		})
	}
}

// active returns the number of VMs that take themselves for members of the active set.
func (f *startingFleet) active() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.running {
		if active := w.View().Active; active != nil && active.Has(id) {
			n++
		}
	}
	return n
}

// TestNoVMThatStartsIsAloneInItsActiveSet guards against VMs that start together and each take themselves for the only one that carries
// load, with all connections of the targets and all cold targets for itself.
func TestNoVMThatStartsIsAloneInItsActiveSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, set = 24, 6 // a set begins with a quarter of the capacity of all VMs
		f := newStartingFleet(t, vms)
		f.store.shards = []clementineport.ServiceID{"scarce"}
		ids := f.ids()
		for i, id := range ids {
			f.store.vms[i] = f.vm(id)
		}
		check := func(during time.Duration) {
			for began := time.Now(); time.Since(began) < during; time.Sleep(5 * time.Millisecond) {
				assert.Assert(t, f.active() <= set, "%d VMs are in their set after %v", f.active(), time.Since(began))
			}
		}
		f.start(ids...)
		check(10 * time.Second)
		f.stop(ids[:14]...)
		f.start(ids[:14]...)
		check(10 * time.Second)
		assert.Assert(t, f.active() > 0)
	})
}
