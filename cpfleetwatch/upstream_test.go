package cpfleetwatch_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cppeer"
)

// fakeStore is a store that keeps its changes and counts the calls of each VM.
type fakeStore struct {
	mu      sync.Mutex
	initial *clementineport.FleetUpdate
	changes []*clementineport.FleetUpdate
	// partial marks answers with changes as too large to be known to be all.
	partial bool
	// calls counts the calls of each VM for changes; the VMs in unavailable get errors instead of answers.
	calls       map[clementineport.VMID]int
	unavailable map[clementineport.VMID]bool
	// severed holds the VMs whose open connection is silent: a call over it ends with a timeout, and the next one uses a new connection.
	severed map[clementineport.VMID]bool
}

// storeCallTimeout is the time after which a call to the store fails, beyond the time for which the store may hold it.
const storeCallTimeout = 2 * testApplyTime / 3

// add appends a change.
func (s *fakeStore) add(update *clementineport.FleetUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update.AsOf = s.initial.AsOf
	update.AsOf.Revision += clementineport.Revision(len(s.changes)) + 1
	s.changes = append(s.changes, update)
}

// storeClient is the store as one VM sees it.
type storeClient struct {
	*fakeStore
	id clementineport.VMID
}

// Load implements clementineport.FleetSource.
func (c storeClient) Load(context.Context) (*clementineport.FleetUpdate, error) {
	first := *c.initial
	return &first, nil
}

// Next implements clementineport.FleetSource.
func (c storeClient) Next(ctx context.Context, after clementineport.StorePosition, wait time.Duration) (*clementineport.FleetUpdate, error) {
	c.mu.Lock()
	c.calls[c.id]++
	c.mu.Unlock()
	for end := time.Now().Add(wait); ; time.Sleep(2 * time.Millisecond) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		c.mu.Lock()
		n, unavailable := int(after.Revision-c.initial.AsOf.Revision), c.unavailable[c.id]
		if c.severed[c.id] {
			c.mu.Unlock()
			return nil, c.timeOut(ctx, end.Add(storeCallTimeout))
		}
		if unavailable {
			c.mu.Unlock()
			return nil, clementineport.Fail(clementineport.FaultTimeout, "store unavailable")
		}
		if n < len(c.changes) {
			update := *c.changes[n]
			update.Partial = c.partial
			c.mu.Unlock()
			return &update, nil
		}
		c.mu.Unlock()
		if time.Now().After(end) {
			return &clementineport.FleetUpdate{AsOf: after}, nil
		}
	}
}

// timeOut waits until a call over a silent connection ends, and returns its error.
func (c storeClient) timeOut(ctx context.Context, end time.Time) error {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(end)):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.severed, c.id)
	return clementineport.Fail(clementineport.FaultTimeout, "no answer")
}

// domain is a failure domain whose VMs know each other.
type domain struct {
	store *fakeStore
	vms   map[clementineport.VMID]*cpfleetwatch.Watcher

	mu   sync.Mutex
	down map[clementineport.VMID]bool
	// silent holds the VMs that don't answer.
	silent map[clementineport.VMID]bool
	// severed holds the VMs whose open connections from others are silent: a call over one ends with a timeout, and the next uses a new one.
	severed map[clementineport.VMID]int
	// late returns how long an exchange takes on its way to a VM.
	late func() time.Duration
}

// newDomain starts n VMs, of which three are to watch the store.
func newDomain(t *testing.T, n int, opts ...cpfleetwatch.Option) *domain {
	t.Helper()
	d := &domain{
		vms: map[clementineport.VMID]*cpfleetwatch.Watcher{}, down: map[clementineport.VMID]bool{}, silent: map[clementineport.VMID]bool{},
		severed: map[clementineport.VMID]int{}, late: func() time.Duration { return 0 },
	}
	d.store = &fakeStore{
		initial: &clementineport.FleetUpdate{AsOf: clementineport.StorePosition{Revision: 1}, Whole: true, Routes: &clementineport.RouteTable{
			Version: 5, Routes: []clementineport.Route{{Name: "r", Host: "h", Prefix: "/"}},
			Services: map[clementineport.ServiceID]clementineport.TargetService{"s": {Name: "s", Connections: 20}},
		}},
		calls: map[clementineport.VMID]int{}, unavailable: map[clementineport.VMID]bool{}, severed: map[clementineport.VMID]bool{},
	}
	for i := range n {
		id := clementineport.VMID(fmt.Sprintf("vm-%d", i))
		d.store.initial.VMs = append(d.store.initial.VMs, clementineport.VM{ID: id, Domain: "a", Caller: string(id), Peer: string(id)})
	}
	t.Cleanup(func() { time.Sleep(10 * time.Millisecond) }) // the calls of the watchers that were stopped end
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, vm := range d.store.initial.VMs {
		d.vms[vm.ID] = startWatcher(t, vm.ID, append([]cpfleetwatch.Option{
			cpfleetwatch.WithSource(storeClient{d.store, vm.ID}), cpfleetwatch.WithDial(d.dial),
			cpfleetwatch.WithWatchTimes(20*time.Millisecond, 200*time.Millisecond),
		}, opts...)...)
	}
	return d
}

// dial returns a client for a VM.
func (d *domain) dial(vm clementineport.VM) clementineport.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.vms[vm.ID]
	return cppeer.New(cppeer.WithHandler(peerHandler{w, d, vm.ID}))
}

// peerHandler serves a VM's updates to other VMs unless the VM is down.
type peerHandler struct {
	*cpfleetwatch.Watcher
	d  *domain
	id clementineport.VMID
}

// Config implements cppeer.Handler.
func (h peerHandler) Config(ctx context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	if h.is(h.d.down) {
		return nil, clementineport.Fail(clementineport.FaultRefused, "down")
	}
	cfg, err := h.Watcher.Config(ctx, have)
	if h.is(h.d.silent) || h.overSevered() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return cfg, err
}

// overSevered reports whether the call came over a connection that has gone silent.
func (h peerHandler) overSevered() bool {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.severed[h.id] == 0 {
		return false
	}
	h.d.severed[h.id]--
	return true
}

// Exchange implements cppeer.Handler.
func (h peerHandler) Exchange(ctx context.Context, digest *clementineport.Digest) (*clementineport.Digest, error) {
	h.d.mu.Lock()
	late := h.d.late()
	h.d.mu.Unlock()
	time.Sleep(late)
	return h.Watcher.Exchange(ctx, digest)
}

// setLate sets how long exchanges take on their way.
func (d *domain) setLate(late func() time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.late = late
}

// is reports whether the VM is one of a set.
func (h peerHandler) is(set map[clementineport.VMID]bool) bool {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	return set[h.id]
}

// storeWatchers waits until exactly three VMs call the store, and returns them.
func (d *domain) storeWatchers(t *testing.T) (watchers map[clementineport.VMID]bool) {
	t.Helper()
	await(t, "three VMs watch the store", func() bool {
		watchers = d.storeCallers(500 * time.Millisecond)
		return len(watchers) == 3
	})
	return watchers
}

// storeCallers returns the VMs that call the store within the given time.
func (d *domain) storeCallers(during time.Duration) map[clementineport.VMID]bool {
	d.store.mu.Lock()
	clear(d.store.calls)
	d.store.mu.Unlock()
	time.Sleep(during)
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	all := map[clementineport.VMID]bool{}
	for id := range d.store.calls {
		all[id] = true
	}
	return all
}

// allHave reports whether the view of every VM holds exactly the given targets.
func (d *domain) allHave(ids ...clementineport.TargetID) bool {
	for _, w := range d.vms {
		targets := w.View().Services["s"]
		if len(targets) != len(ids) {
			return false
		}
		found := map[clementineport.TargetID]bool{}
		for i := range targets {
			found[targets[i].State.ID] = true
		}
		for _, id := range ids {
			if !found[id] {
				return false
			}
		}
	}
	return true
}

func TestThreeVMsOfADomainFollowTheStoreForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t, 9)
		await(t, "six VMs get updates from the others", func() bool { return len(d.storeCallers(500*time.Millisecond)) == 3 })
		d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x"), targetInstance("y")}})
		await(t, "both targets", func() bool { return d.allHave("x", "y") })
		d.store.add(&clementineport.FleetUpdate{Gone: []clementineport.TargetID{"x"}})
		d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("z")}})
		await(t, "x is removed and z is added", func() bool { return d.allHave("y", "z") })
		for id, w := range d.vms {
			assert.Assert(t, w.Age() < 2*time.Second, "%s had no confirmation for %v", id, w.Age())
		}
	})
}

func TestAVMFollowsTheStoreItselfWhenTheOthersDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t, 6)
		watchers := d.storeWatchers(t)
		d.mu.Lock()
		for id := range watchers {
			d.down[id] = true
		}
		d.mu.Unlock()
		d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
		await(t, "all VMs call the store", func() bool { return len(d.storeCallers(500*time.Millisecond)) == 6 })
		assert.Assert(t, d.allHave("x"))
	})
}

func TestAVMThatHasLostTheStoreIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t, 6)
		watchers := d.storeWatchers(t)
		d.store.mu.Lock()
		for id := range watchers {
			d.store.unavailable[id] = true
		}
		d.store.mu.Unlock()
		d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
		await(t, "the others get the update from the store, and the three from them", func() bool { return d.allHave("x") })
	})
}

// TestAVMThatGetsItsUpdatesFromAnotherPassesNoneOn guards against chains of VMs, which add to the time in which a change comes
// into force.
func TestAVMThatGetsItsUpdatesFromAnotherPassesNoneOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t, 6)
		watchers := d.storeWatchers(t)
		for id, w := range d.vms {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			whole, err := w.Config(ctx, clementineport.StorePosition{})
			assert.NilError(t, err, "a VM without the store may get the full state of any other")
			assert.Assert(t, whole != nil)
			_, err = w.Config(ctx, w.View().AsOf)
			cancel()
			if watchers[id] {
				assert.NilError(t, err)
				continue
			}
			assert.ErrorContains(t, err, "gets its updates from")
		}
	})
}

// Times of the watch, and the time in which a change must be in force with them: the shares of it are those of the programs.
const (
	testApplyTime   = time.Second
	testWatchPeriod = 300 * time.Millisecond
	testWatchWait   = 400 * time.Millisecond
)

// TestAChangeIsInForceInTimeWhenUpstreamVMsFallSilent guards against VMs that wait for a VM which has ended, for longer than a
// change may take to come into force.
func TestAChangeIsInForceInTimeWhenUpstreamVMsFallSilent(t *testing.T) {
	for pause := time.Duration(0); pause < testWatchPeriod+testWatchWait; pause += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) { testSilentUpstreamVMs(t, pause) })
	}
}

// testSilentUpstreamVMs lets the VMs that watch the store fall silent a time after a change, just before another one.
func testSilentUpstreamVMs(t *testing.T, pause time.Duration) {
	d := newDomain(t, 9, cpfleetwatch.WithWatchTimes(testWatchPeriod, testWatchWait))
	watchers := d.storeWatchers(t)
	d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
	await(t, "the first target", func() bool { return d.allHave("x") })
	time.Sleep(pause)
	d.mu.Lock()
	maps.Copy(d.silent, watchers)
	d.mu.Unlock()
	d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("y")}})
	time.Sleep(testApplyTime)
	for id, w := range d.vms {
		assert.Equal(t, len(w.View().Services["s"]), 2, "%s has a view that is %v old, with a pause of %v", id, w.Age(), pause)
	}
}

// TestAChangeIsInForceInTimeWhenOpenConnectionsFallSilent guards against VMs that wait for an answer over a connection that went silent
// just before a change, for longer than the change may take to come into force.
func TestAChangeIsInForceInTimeWhenOpenConnectionsFallSilent(t *testing.T) {
	const vms = 10
	for _, to := range []string{"store", "VMs"} {
		for severed := 3; severed <= vms; severed++ {
			first := time.Duration(0)
			if severed > maxSeveredAtOnce {
				first = testContactTime
			}
			for pause := first; pause < testContactTime+testWatchPeriod+testWatchWait; pause += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) { testSevered(t, to, vms, severed, pause) })
			}
		}
	}
}

const (
	// testContactTime is how long after a loss of its connections a VM must have each change in time again.
	testContactTime = 4 * testApplyTime / 3
	// maxSeveredAtOnce is how many of ten VMs may lose connections at the moment of a change that all VMs must have in time.
	maxSeveredAtOnce = 8
)

// testSevered lets the connections of some VMs fall silent a time before a change, first of those that watch the store.
func testSevered(t *testing.T, to string, vms, severed int, pause time.Duration) {
	d := newDomain(t, vms, cpfleetwatch.WithWatchTimes(testWatchPeriod, testWatchWait), cpfleetwatch.WithCatchUpPeriod(testApplyTime/10))
	watchers := d.storeWatchers(t)
	left := severed - len(watchers)
	d.mu.Lock()
	d.store.mu.Lock()
	for id := range d.vms {
		if !watchers[id] {
			left--
		}
		switch {
		case !watchers[id] && left < 0:
		case to == "store":
			d.store.severed[id] = true
		default:
			d.severed[id] = vms - 1 // the connections of all others
		}
	}
	d.store.mu.Unlock()
	d.mu.Unlock()
	time.Sleep(pause)
	d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
	time.Sleep(testApplyTime)
	for id, w := range d.vms {
		assert.Equal(t, len(w.View().Services["s"]), 1, "%s: %d connections to %s were silent, a change came %v later, the view is %v old",
			id, severed, to, pause, w.Age())
	}
}

// TestAChangeIsInForceInTimeAtVMsThatTheStoreTurnsAway guards against VMs that ask others only once so little time is left that the
// first one asked has to have the change.
func TestAChangeIsInForceInTimeAtVMsThatTheStoreTurnsAway(t *testing.T) {
	for pause := time.Duration(0); pause < testWatchPeriod+testWatchWait; pause += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			d := newDomain(t, 9, cpfleetwatch.WithWatchTimes(testWatchPeriod, testWatchWait), cpfleetwatch.WithCatchUpPeriod(testApplyTime/10))
			watchers := d.storeWatchers(t)
			time.Sleep(pause)
			d.store.mu.Lock()
			maps.Copy(d.store.unavailable, watchers)
			d.store.mu.Unlock()
			d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
			time.Sleep(testApplyTime)
			for id, w := range d.vms {
				assert.Equal(t, len(w.View().Services["s"]), 1, "%s has a view that is %v old, with a pause of %v", id, w.Age(), pause)
			}
		})
	}
}

// TestTheViewStaysFreshAfterAChange guards against a pause and a whole wait for the next change without any confirmation, which
// leave less of the time in which a change must be in force.
func TestTheViewStaysFreshAfterAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t, 1, cpfleetwatch.WithWatchTimes(testWatchPeriod, testWatchWait))
		w := d.vms["vm-0"]
		d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance("x")}})
		await(t, "the target", func() bool { return d.allHave("x") })
		oldest := time.Duration(0)
		for end := time.Now().Add(testApplyTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
			oldest = max(oldest, w.Age())
		}
		assert.Assert(t, oldest < testWatchPeriod+testWatchWait/2, "the view was %v old", oldest)
	})
}

// TestLargeChangesInSuccessionConfirmTheView guards against views that count as old while each change is so large that the store may
// have left out others: other VMs then get no updates, and the VM takes the store for lost.
func TestLargeChangesInSuccessionConfirmTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t, 6, cpfleetwatch.WithWatchTimes(testWatchPeriod, testWatchWait))
		d.store.mu.Lock()
		d.store.partial = true
		d.store.mu.Unlock()
		watchers := d.storeWatchers(t)
		for i := range 40 {
			d.store.add(&clementineport.FleetUpdate{Targets: []clementineport.TargetInstance{targetInstance(clementineport.TargetID(fmt.Sprint(i)))}})
			time.Sleep(testWatchWait / 4)
			for id, w := range d.vms {
				assert.Assert(t, w.Age() < testApplyTime, "%s has a view that is %v old", id, w.Age())
			}
		}
		assert.DeepEqual(t, d.storeCallers(testApplyTime), watchers)
	})
}
