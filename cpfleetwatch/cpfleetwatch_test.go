package cpfleetwatch_test

import (
	"context"
	"fmt"
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
	"github.com/clementineport/clementineport/cpregistration"
)

// maxWait is the timeout of every wait of these tests. It is generous: it doesn't check speed.
const maxWait = 20 * time.Second

// fakeSource is a FleetSource that a test controls.
type fakeSource struct {
	mu             sync.Mutex
	asOf           clementineport.StorePosition
	version        clementineport.Revision
	targets        []clementineport.TargetInstance
	vms            []clementineport.VM
	unavailable    bool
	historyDropped bool
	loads          int
	// shards are the shards of a second route.
	shards   []clementineport.ServiceID
	rollouts []clementineport.RolloutOrder
	states   []clementineport.RolloutStatus
}

func (f *fakeSource) set(change func(*fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
	f.asOf.Revision++
}

// update returns the full state. The caller holds the lock.
func (f *fakeSource) update() *clementineport.FleetUpdate {
	return &clementineport.FleetUpdate{
		AsOf: f.asOf, Whole: true, Targets: f.targets, VMs: f.vms, Rollouts: f.rollouts, RolloutStates: f.states, Routes: &clementineport.RouteTable{
			Version: f.version, Routes: []clementineport.Route{{Name: "r", Host: "h", Prefix: "/"}, {Name: "g", Host: "g", Prefix: "/", Shards: f.shards}},
			Services: map[clementineport.ServiceID]clementineport.TargetService{
				"s": {Name: "s", Connections: 20}, "s-0": {Name: "s-0", Connections: 20}, "s-1": {Name: "s-1", Connections: 20},
				"scarce": {Name: "scarce", Connections: 2},
			},
		},
	}
}

// Load implements clementineport.FleetSource.
func (f *fakeSource) Load(context.Context) (*clementineport.FleetUpdate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	if f.unavailable {
		return nil, clementineport.Fail(clementineport.FaultTimeout, "store unavailable")
	}
	return f.update(), nil
}

// Next implements clementineport.FleetSource.
func (f *fakeSource) Next(_ context.Context, _ clementineport.StorePosition, wait time.Duration) (*clementineport.FleetUpdate, error) {
	time.Sleep(min(wait, 5*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.unavailable:
		return nil, clementineport.Fail(clementineport.FaultTimeout, "store unavailable")
	case f.historyDropped:
		f.historyDropped = false
		return nil, clementineport.Fail(clementineport.FaultHistory, "history dropped")
	}
	return f.update(), nil
}

// fakeRegistrar counts calls.
type fakeRegistrar struct {
	mu         sync.Mutex
	registered int
	renewed    int
}

// registrations returns the number of registrations.
func (r *fakeRegistrar) registrations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered
}

// Register implements clementineport.Registrar.
func (r *fakeRegistrar) Register(context.Context, clementineport.VM) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registered++
	return nil
}

// Renew implements clementineport.Registrar.
func (r *fakeRegistrar) Renew(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewed++
	return nil
}

// Deregister implements clementineport.Registrar.
func (r *fakeRegistrar) Deregister(context.Context) error { return nil }

// fakeTarget is a target client that gets no requests.
type fakeTarget struct {
	mu          sync.Mutex
	connections int
	closed      bool
	notice      clementineport.TargetNotice
	unreachable atomic.Bool
}

// Do implements clementineport.OpaqueTarget.
func (p *fakeTarget) Do(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
	return nil, nil
}

// Notice implements clementineport.OpaqueTarget.
func (p *fakeTarget) Notice() clementineport.TargetNotice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notice
}

// Open implements clementineport.OpaqueTarget.
func (p *fakeTarget) Open() (int, uint64) { return 0, 0 }

// Resize implements clementineport.OpaqueTarget.
func (p *fakeTarget) Resize(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections = n
}

// Connect implements clementineport.OpaqueTarget.
func (p *fakeTarget) Connect(context.Context) error {
	if p.unreachable.Load() {
		return clementineport.Fail(clementineport.FaultRefused, "unreachable")
	}
	return nil
}

// Refuses implements clementineport.OpaqueTarget.
func (p *fakeTarget) Refuses(context.Context) bool { return false }

// SetLimit implements clementineport.OpaqueTarget.
func (p *fakeTarget) SetLimit(bool, clementineport.RequestRate) {}

// Close implements clementineport.OpaqueTarget.
func (p *fakeTarget) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// unreachablePeer is another VM that does not answer.
type unreachablePeer struct{ clementineport.Peer }

// Exchange implements clementineport.Peer.
func (unreachablePeer) Exchange(context.Context, *clementineport.Digest) (*clementineport.Digest, error) {
	return nil, clementineport.Fail(clementineport.FaultRefused, "unreachable")
}

// Config implements clementineport.Peer.
func (unreachablePeer) Config(context.Context, clementineport.StorePosition) (*clementineport.Config, error) {
	return nil, clementineport.Fail(clementineport.FaultRefused, "unreachable")
}

// Close implements clementineport.Peer.
func (unreachablePeer) Close() error { return nil }

// startWatcher runs a watcher until the test ends. It reaches no other VM unless opts say otherwise.
func startWatcher(t *testing.T, id clementineport.VMID, opts ...cpfleetwatch.Option) *cpfleetwatch.Watcher {
	t.Helper()
	w := cpfleetwatch.New(append([]cpfleetwatch.Option{
		cpfleetwatch.WithSelf(clementineport.Member{
			VM: clementineport.VM{ID: id, Domain: "a", Caller: string(id), Peer: string(id)}, Start: clementineport.StartID(id),
		}),
		cpfleetwatch.WithTargetClient(func(_ clementineport.TargetInstance, _ int, n clementineport.TargetNotice) clementineport.OpaqueTarget {
			return &fakeTarget{notice: n}
		}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return unreachablePeer{} }),
		cpfleetwatch.WithWatchTimes(10*time.Millisecond, 50*time.Millisecond),
		cpfleetwatch.WithCatchUpPeriod(20 * time.Millisecond),
	}, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Serve(ctx) // returns when ctx ends
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, maxWait)
}

func routesVersion(w *cpfleetwatch.Watcher) clementineport.Revision {
	if w.View().Router == nil {
		return 0
	}
	return w.View().Router.Table().Version
}

func targetInstance(id clementineport.TargetID) clementineport.TargetInstance {
	return clementineport.TargetInstance{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "a", Slots: 2, Born: 1, Seq: 1}
}

func TestTheViewFollowsTheStore(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x"), targetInstance("y")}}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store))
	await(t, "the first version", func() bool { return routesVersion(w) == 5 && len(w.View().Services["s"]) == 2 })
	store.set(func(s *fakeSource) {
		s.version = 8
		s.targets[0].Draining = true
		s.targets[0].Seq = 2
	})
	await(t, "the next version", func() bool { return routesVersion(w) == 8 && len(w.View().Services["s"]) == 1 })
	assert.Equal(t, w.View().Services["s"][0].State.ID, clementineport.TargetID("y"))
}

func TestATargetThatTurnsColdIsLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x"), targetInstance("y")}}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store), cpfleetwatch.WithLog(zap.New(core)))
	await(t, "the first version", func() bool { return routesVersion(w) == 5 && len(w.View().Services["s"]) == 2 })
	store.set(func(s *fakeSource) { s.targets[0].Seq, s.targets[0].ColdLeft = 2, 3*time.Second })
	await(t, "a line", func() bool { return lines.FilterMessage(string(cplogevent.TargetCold)).Len() > 0 })
	line := lines.FilterMessage(string(cplogevent.TargetCold)).All()[0]
	assert.Equal(t, line.ContextMap()["Target"], "x")
	assert.Equal(t, lines.FilterMessage(string(cplogevent.TargetCold)).Len(), 1)
}

func TestTheViewGoesOnWhenTheHistoryWasDropped(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store))
	await(t, "the first version", func() bool { return routesVersion(w) == 5 })
	store.set(func(s *fakeSource) { s.version, s.historyDropped = 6, true })
	await(t, "the next version", func() bool { return routesVersion(w) == 6 })
	store.mu.Lock()
	defer store.mu.Unlock()
	assert.Assert(t, store.loads >= 2)
}

func TestAVMRegistersOnceItHasRoutesAndAgainWhenItIsNotListed(t *testing.T) {
	r := &fakeRegistrar{}
	startWatcher(t, "vm", cpfleetwatch.WithSource(&fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}), cpfleetwatch.WithRegistration(
		cpregistration.WithRegistrar(r), cpregistration.WithRenewPeriod(20*time.Millisecond),
	))
	await(t, "another registration, since the store does not list the VM", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.registered >= 3
	})
}

func TestAVMThatTheStoreTurnsAwayLearnsFromAnother(t *testing.T) {
	reachable := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x")}}
	connected := startWatcher(t, "well", cpfleetwatch.WithSource(reachable))
	await(t, "the first version", func() bool { return routesVersion(connected) == 5 })
	disconnected := startWatcher(t, "cut", cpfleetwatch.WithSource(&fakeSource{unavailable: true}),
		cpfleetwatch.WithSeeds(clementineport.VM{ID: "seed", Peer: "well"}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(connected)) }))
	await(t, "the same version", func() bool { return routesVersion(disconnected) == 5 && len(disconnected.View().Services["s"]) == 1 })
	reachable.set(func(s *fakeSource) { s.version = 6 })
	await(t, "the next version", func() bool { return routesVersion(disconnected) == 6 })
	assert.Assert(t, !disconnected.Isolated())
}

func TestAVMThatReachesNobodyIsIsolatedAndOneWithPeersIsNot(t *testing.T) {
	unreachable := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}
	alone := startWatcher(t, "alone", cpfleetwatch.WithSource(unreachable), cpfleetwatch.WithIsolation(100*time.Millisecond, 100*time.Millisecond))
	await(t, "the first version", func() bool { return routesVersion(alone) == 5 })
	unreachable.set(func(s *fakeSource) { s.unavailable = true })
	await(t, "the VM counts itself as isolated", alone.Isolated)

	failing := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}
	other := startWatcher(t, "other", cpfleetwatch.WithSource(failing))
	withPeer := startWatcher(t, "with-peer", cpfleetwatch.WithSource(failing), cpfleetwatch.WithIsolation(300*time.Millisecond, 3*time.Second),
		cpfleetwatch.WithSeeds(clementineport.VM{ID: "other", Peer: "other"}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(other)) }))
	await(t, "the first version", func() bool { return routesVersion(withPeer) == 5 })
	failing.set(func(s *fakeSource) { s.unavailable = true })
	await(t, "the view is stale", func() bool { return withPeer.Age() > 400*time.Millisecond })
	assert.Assert(t, !withPeer.Isolated())
}

func TestAnIdleStoreIsNotTakenForALostOne(t *testing.T) {
	for _, times := range [][2]time.Duration{
		{cpfleetwatch.DefaultWatchPeriod, cpfleetwatch.DefaultWatchWait}, {1500 * time.Millisecond, 2 * time.Second},
	} {
		o := cpfleetwatch.NewOptions(cpfleetwatch.WithWatchTimes(times[0], times[1]))
		const slowResponse = 400 * time.Millisecond
		assert.Assert(t, o.StoreLostAfter() > times[0]+times[1]+slowResponse)
		assert.Assert(t, o.MaxServedAge() > times[0]+times[1], "other VMs drop their upstream VM after each watch without changes")
		assert.Assert(t, o.MaxServedAge() < o.StoreLostAfter(), "VMs catch up from random VMs before their upstream VM reports that it lost the store")
	}
}

// TestABacklogOfChangesIsReadWithoutPauses has the changes of an outage waiting in a store that returns few of them in an
// answer. With the usual time between two calls it would take longer than the test waits.
func TestABacklogOfChangesIsReadWithoutPauses(t *testing.T) {
	const backlog = 30
	store := &backlogSource{fakeSource: fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}}
	for i := range backlog {
		store.waiting = append(store.waiting, targetInstance(clementineport.TargetID(fmt.Sprint(i))))
	}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store), cpfleetwatch.WithWatchTimes(time.Second, 50*time.Millisecond))
	await(t, "all targets", func() bool { return len(w.View().Services["s"]) == backlog })
}

// backlogSource is a store with changes that it returns one at a time.
type backlogSource struct {
	fakeSource
	waiting []clementineport.TargetInstance
}

// Next implements clementineport.FleetSource.
func (b *backlogSource) Next(_ context.Context, after clementineport.StorePosition, wait time.Duration) (*clementineport.FleetUpdate, error) {
	n := int(after.Revision) - 1
	if n >= len(b.waiting) {
		time.Sleep(wait)
		return &clementineport.FleetUpdate{AsOf: after}, nil
	}
	after.Revision++
	return &clementineport.FleetUpdate{AsOf: after, Targets: b.waiting[n : n+1], Partial: n+1 < len(b.waiting)}, nil
}

// TestAVMThatStartsSharesLimitsWithAllVMsThatTheStoreLists has 40 VMs start at once, as after a loss of power: none of them
// has reached another one when it gets its first requests.
func TestAVMThatStartsSharesLimitsWithAllVMsThatTheStoreLists(t *testing.T) {
	const vms = 40
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x")}}
	for i := range vms {
		id := fmt.Sprintf("vm-%d", i)
		store.vms = append(store.vms, clementineport.VM{ID: clementineport.VMID(id), Domain: "a", Caller: id, Peer: id})
	}
	shares := make(chan int, 1)
	w := startWatcher(t, "vm-0", cpfleetwatch.WithSource(store),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return &earlierBuild{} }),
		cpfleetwatch.WithTargetClient(func(_ clementineport.TargetInstance, connections int, _ clementineport.TargetNotice) clementineport.OpaqueTarget {
			shares <- connections
			return &fakeTarget{}
		}))
	assert.Equal(t, <-shares, 1, "of 20 connections of the target")
	await(t, "the first view", func() bool { return len(w.View().Services["s"]) == 1 })
	assert.Assert(t, w.View().VMs >= vms, "%d VMs", w.View().VMs)
}
