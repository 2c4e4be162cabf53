package cpfleetwatch_test

import (
	"context"
	"sync"
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

// patience bounds every wait; it is not a bound on speed.
const patience = 20 * time.Second

// feed is a store that a test controls.
type feed struct {
	mu      sync.Mutex
	asOf    clementineport.Revision
	version clementineport.Revision
	targets []clementineport.TargetInstance
	away    bool
	dropped bool
	loads   int
}

func (f *feed) set(change func(*feed)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
	f.asOf++
}

// news returns everything; the lock is held.
func (f *feed) news() *clementineport.FleetUpdate {
	return &clementineport.FleetUpdate{
		AsOf: f.asOf, Whole: true, Targets: f.targets, Routes: &clementineport.RouteTable{
			Version: f.version, Routes: []clementineport.Route{{Name: "r", Host: "h", Prefix: "/"}},
			Services: map[clementineport.ServiceID]clementineport.TargetService{"s": {Name: "s", Connections: 20}},
		},
	}
}

// Load implements clementineport.Feed.
func (f *feed) Load(context.Context) (*clementineport.FleetUpdate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	if f.away {
		return nil, clementineport.Fail(clementineport.FaultTimeout, "away")
	}
	return f.news(), nil
}

// Next implements clementineport.Feed.
func (f *feed) Next(_ context.Context, _ clementineport.Revision, wait time.Duration) (*clementineport.FleetUpdate, error) {
	time.Sleep(min(wait, 5*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.away:
		return nil, clementineport.Fail(clementineport.FaultTimeout, "away")
	case f.dropped:
		f.dropped = false
		return nil, clementineport.Fail(clementineport.FaultHistory, "gone")
	}
	return f.news(), nil
}

// registrar records calls.
type registrar struct {
	mu         sync.Mutex
	registered int
	renewed    int
}

// Register implements clementineport.Registrar.
func (r *registrar) Register(context.Context, clementineport.VM) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registered++
	return nil
}

// Renew implements clementineport.Registrar.
func (r *registrar) Renew(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewed++
	return nil
}

// Deregister implements clementineport.Registrar.
func (r *registrar) Deregister(context.Context) error { return nil }

// port is a target that nobody asks.
type port struct {
	mu          sync.Mutex
	connections int
	closed      bool
}

// Do implements clementineport.OpaqueTarget.
func (p *port) Do(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
	return nil, nil
}

// Open implements clementineport.OpaqueTarget.
func (p *port) Open() (int, uint64) { return 0, 0 }

// Resize implements clementineport.OpaqueTarget.
func (p *port) Resize(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections = n
}

// Close implements clementineport.OpaqueTarget.
func (p *port) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// follow runs a follower until the test ends.
func follow(t *testing.T, id clementineport.VMID, opts ...cpfleetwatch.Option) *cpfleetwatch.Watcher {
	t.Helper()
	f := cpfleetwatch.New(append([]cpfleetwatch.Option{
		cpfleetwatch.WithSelf(clementineport.Member{
			VM: clementineport.VM{ID: id, Domain: "a", Caller: string(id), Peer: string(id)}, Start: clementineport.StartID(id),
		}),
		cpfleetwatch.WithNewPort(func(clementineport.TargetInstance, int) clementineport.OpaqueTarget { return &port{} }),
		cpfleetwatch.WithFeedTimes(10*time.Millisecond, 50*time.Millisecond),
		cpfleetwatch.WithCatchUpPeriod(20 * time.Millisecond),
	}, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Serve(ctx) // it ends with its context
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, patience)
}

func version(f *cpfleetwatch.Watcher) clementineport.Revision {
	if f.View().Router == nil {
		return 0
	}
	return f.View().Router.Table().Version
}

func discovered(id clementineport.TargetID) clementineport.TargetInstance {
	return clementineport.TargetInstance{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "a", Slots: 2, Born: 1, Seq: 1}
}

func TestTheViewFollowsTheStore(t *testing.T) {
	store := &feed{asOf: 1, version: 5, targets: []clementineport.TargetInstance{discovered("x"), discovered("y")}}
	f := follow(t, "vm", cpfleetwatch.WithFeed(store))
	await(t, "the first version", func() bool { return version(f) == 5 && len(f.View().Services["s"]) == 2 })
	store.set(func(s *feed) {
		s.version = 8
		s.targets[0].Draining = true
		s.targets[0].Seq = 2
	})
	await(t, "the next version", func() bool { return version(f) == 8 && len(f.View().Services["s"]) == 1 })
	assert.Equal(t, f.View().Services["s"][0].State.ID, clementineport.TargetID("y"))
}

func TestATargetThatTurnsColdIsLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	store := &feed{asOf: 1, version: 5, targets: []clementineport.TargetInstance{discovered("x"), discovered("y")}}
	f := follow(t, "vm", cpfleetwatch.WithFeed(store), cpfleetwatch.WithLog(zap.New(core)))
	await(t, "the first version", func() bool { return version(f) == 5 && len(f.View().Services["s"]) == 2 })
	store.set(func(s *feed) { s.targets[0].Seq, s.targets[0].ColdLeft = 2, 3*time.Second })
	await(t, "a line", func() bool { return lines.FilterMessage(string(cplogevent.TargetCold)).Len() > 0 })
	line := lines.FilterMessage(string(cplogevent.TargetCold)).All()[0]
	assert.Equal(t, line.ContextMap()["Target"], "x")
	assert.Equal(t, lines.FilterMessage(string(cplogevent.TargetCold)).Len(), 1)
}

func TestTheViewGoesOnWhenTheHistoryWasDropped(t *testing.T) {
	store := &feed{asOf: 1, version: 5}
	f := follow(t, "vm", cpfleetwatch.WithFeed(store))
	await(t, "the first version", func() bool { return version(f) == 5 })
	store.set(func(s *feed) { s.version, s.dropped = 6, true })
	await(t, "the next version", func() bool { return version(f) == 6 })
	store.mu.Lock()
	defer store.mu.Unlock()
	assert.Assert(t, store.loads >= 2)
}

func TestAVMRegistersOnceItHasRoutesAndAgainWhenItIsNotListed(t *testing.T) {
	r := &registrar{}
	follow(t, "vm", cpfleetwatch.WithFeed(&feed{asOf: 1, version: 5}), cpfleetwatch.WithRegistrar(r),
		cpfleetwatch.WithRenewPeriod(20*time.Millisecond))
	await(t, "it registers again, since the store does not list it", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.registered >= 3
	})
}

func TestAVMThatTheStoreTurnsAwayLearnsFromAnother(t *testing.T) {
	good := &feed{asOf: 1, version: 5, targets: []clementineport.TargetInstance{discovered("x")}}
	well := follow(t, "well", cpfleetwatch.WithFeed(good))
	await(t, "the first version", func() bool { return version(well) == 5 })
	cut := follow(t, "cut", cpfleetwatch.WithFeed(&feed{away: true}),
		cpfleetwatch.WithSeeds(clementineport.VM{ID: "seed", Peer: "well"}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(well)) }))
	await(t, "the same version", func() bool { return version(cut) == 5 && len(cut.View().Services["s"]) == 1 })
	good.set(func(s *feed) { s.version = 6 })
	await(t, "the next version", func() bool { return version(cut) == 6 })
	assert.Assert(t, !cut.Isolated())
}

func TestAVMThatReachesNobodyIsIsolatedAndOneWithPeersIsNot(t *testing.T) {
	lost := &feed{asOf: 1, version: 5}
	alone := follow(t, "alone", cpfleetwatch.WithFeed(lost), cpfleetwatch.WithIsolation(100*time.Millisecond, 100*time.Millisecond))
	await(t, "the first version", func() bool { return version(alone) == 5 })
	lost.set(func(s *feed) { s.away = true })
	await(t, "it stops", alone.Isolated)

	away := &feed{asOf: 1, version: 5}
	other := follow(t, "other", cpfleetwatch.WithFeed(away))
	withPeer := follow(t, "with-peer", cpfleetwatch.WithFeed(away), cpfleetwatch.WithIsolation(300*time.Millisecond, 3*time.Second),
		cpfleetwatch.WithSeeds(clementineport.VM{ID: "other", Peer: "other"}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(other)) }))
	await(t, "the first version", func() bool { return version(withPeer) == 5 })
	away.set(func(s *feed) { s.away = true })
	await(t, "what it knows is old", func() bool { return withPeer.Age() > 400*time.Millisecond })
	assert.Assert(t, !withPeer.Isolated())
}

func TestAQuietStoreIsNotALostOne(t *testing.T) {
	for _, times := range [][2]time.Duration{
		{cpfleetwatch.DefaultFeedPeriod, cpfleetwatch.DefaultFeedWait}, {1500 * time.Millisecond, 2 * time.Second},
	} {
		o := cpfleetwatch.NewOptions(cpfleetwatch.WithFeedTimes(times[0], times[1]))
		const slowAnswer = 400 * time.Millisecond
		assert.Assert(t, o.StoreLostAfter() > times[0]+times[1]+slowAnswer)
		assert.Assert(t, o.MaxServedAge() > times[0]+times[1], "a VM is left by those that follow it after each quiet watch")
		assert.Assert(t, o.MaxServedAge() < o.StoreLostAfter(), "those that follow it ask further VMs before they ask the store")
	}
}
