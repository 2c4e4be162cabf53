package cpfleetwatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpmembership"
	"github.com/clementineport/clementineport/cppeer"
	"github.com/clementineport/clementineport/cpregistration"
)

// restore replaces the contents of a store by those of an earlier copy in its next era.
func (f *fakeSource) restore(revision clementineport.Revision, targets ...clementineport.TargetInstance) {
	f.set(func(s *fakeSource) {
		s.asOf = clementineport.StorePosition{Era: s.asOf.Era + 1, Revision: revision}
		s.targets = targets
		s.historyDropped = true
	})
}

// hasTargets reports whether the view of a VM holds exactly the given targets.
func hasTargets(w *cpfleetwatch.Watcher, ids ...clementineport.TargetID) bool {
	found := map[clementineport.TargetID]bool{}
	for _, target := range w.View().Services["s"] {
		found[target.State.ID] = true
	}
	for _, id := range ids {
		if !found[id] {
			return false
		}
	}
	return len(found) == len(ids)
}

func TestTheViewFollowsARestoredStore(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	store := &fakeSource{asOf: clementineport.StorePosition{Era: 1, Revision: 100}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x"), targetInstance("lost")}}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store), cpfleetwatch.WithLog(zap.New(core)))
	await(t, "the first state", func() bool { return hasTargets(w, "x", "lost") })
	store.restore(60, targetInstance("x"), targetInstance("new"))
	await(t, "the target that the restored store lists", func() bool { return w.StoreEra() == 2 && hasTargets(w, "x", "lost", "new") })
	await(t, "the target that did not register again is gone", func() bool { return hasTargets(w, "x", "new") })
	assert.Equal(t, lines.FilterMessage(string(cplogevent.StoreRestored)).Len(), 1)
	store.restore(50, targetInstance("new"), targetInstance("y"))
	await(t, "the state of the second restore", func() bool { return w.StoreEra() == 3 && hasTargets(w, "new", "y") })
}

func TestAVMThatTheStoreTurnsAwayLearnsOfARestoreFromAnother(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Era: 1, Revision: 100}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x")}}
	cut := &fakeSource{asOf: clementineport.StorePosition{Era: 1, Revision: 100}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x")}}
	connected := startWatcher(t, "well", cpfleetwatch.WithSource(store))
	disconnected := startWatcher(t, "cut", cpfleetwatch.WithSource(cut),
		cpfleetwatch.WithSeeds(clementineport.VM{ID: "seed", Peer: "well"}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(connected)) }))
	await(t, "both have the first state", func() bool { return hasTargets(connected, "x") && hasTargets(disconnected, "x") })
	cut.set(func(s *fakeSource) { s.unavailable = true })
	store.restore(60, targetInstance("x"), targetInstance("new"))
	await(t, "the new era reaches the VM without the store", func() bool {
		return disconnected.StoreEra() == 2 && hasTargets(disconnected, "x", "new")
	})
	// The store answers this VM again, at first from before the restore: an answer that was delayed on the way.
	cut.set(func(s *fakeSource) { s.unavailable, s.asOf.Revision, s.targets = false, 200, nil })
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, disconnected.StoreEra(), clementineport.StoreEra(2))
	assert.Assert(t, hasTargets(disconnected, "x", "new"))
}

func TestAVMOfAnEarlierEraServesNoUpdates(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Era: 1, Revision: 100}, version: 5}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store))
	await(t, "the first state", func() bool { return routesVersion(w) == 5 })
	_, err := w.Config(t.Context(), clementineport.StorePosition{Era: 2, Revision: 50})
	assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultStale)
}

func TestAVMThatIsBehindARestoreGetsTheFullState(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Era: 2, Revision: 100}, version: 5}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store))
	await(t, "the first state", func() bool { return routesVersion(w) == 5 })
	cfg, err := w.Config(t.Context(), clementineport.StorePosition{Era: 1, Revision: 300})
	assert.NilError(t, err)
	var update struct {
		Era   uint64
		AsOf  uint64
		Whole bool
	}
	assert.NilError(t, json.Unmarshal(cfg.Text, &update))
	assert.Assert(t, update.Whole)
	assert.Equal(t, update.Era, uint64(2))
	assert.Equal(t, update.AsOf, uint64(100), "earlier builds read the revision under this name")
}

func TestTheUpdateOfAnEarlierBuildDoesNotUndoARestore(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Era: 1, Revision: 100}, version: 5, targets: []clementineport.TargetInstance{targetInstance("x")}}
	earlier := earlierBuild{text: `{"AsOf":900,"Whole":true,"Routes":{"Version":9},"Targets":[{"ID":"old","Service":"s","Address":"127.0.0.1:1"}]}`}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store), cpfleetwatch.WithSeeds(clementineport.VM{ID: "seed", Peer: "earlier"}),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return &earlier }))
	await(t, "the first state", func() bool { return hasTargets(w, "x") })
	store.set(func(s *fakeSource) { s.unavailable = true })
	await(t, "the VM turns to the other one", func() bool { return earlier.calls.Load() > 2 })
	assert.Assert(t, hasTargets(w, "x"))
	assert.Equal(t, routesVersion(w), clementineport.Revision(5))
}

// earlierBuild is a VM of a build that knows no eras.
type earlierBuild struct {
	clementineport.Peer
	text  string
	calls atomic.Int64
}

// Config implements clementineport.Peer.
func (e *earlierBuild) Config(context.Context, clementineport.StorePosition) (*clementineport.Config, error) {
	e.calls.Add(1)
	return &clementineport.Config{Text: []byte(e.text)}, nil
}

// Exchange implements clementineport.Peer.
func (e *earlierBuild) Exchange(context.Context, *clementineport.Digest) (*clementineport.Digest, error) {
	return nil, clementineport.Fail(clementineport.FaultTimeout, "no answer")
}

// Close implements clementineport.Peer.
func (e *earlierBuild) Close() error { return nil }

func TestAVMRegistersAgainAtOnceAfterARestore(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Era: 1, Revision: 100}, version: 5, vms: []clementineport.VM{{ID: "vm", Caller: "vm"}}}
	r := &fakeRegistrar{}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store), cpfleetwatch.WithRegistration(cpregistration.WithRegistrar(r), cpregistration.WithRenewPeriod(time.Hour)))
	await(t, "the first registration", func() bool { return r.registrations() == 1 && w.View().Listed })
	store.restore(60)
	await(t, "another registration, long before a renewal is due", func() bool { return r.registrations() == 2 })
}

func TestAVMWhoseRegistrationLapsedRegistersAtOnce(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5, vms: []clementineport.VM{{ID: "vm", Caller: "vm"}}}
	r := &fakeRegistrar{}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store), cpfleetwatch.WithRegistration(cpregistration.WithRegistrar(r), cpregistration.WithRenewPeriod(time.Hour)))
	await(t, "the first registration", func() bool { return r.registrations() == 1 && w.View().Listed })
	store.set(func(s *fakeSource) { s.vms = nil })
	await(t, "another registration, long before a renewal is due", func() bool { return r.registrations() == 2 })
}

// TestRegistrationsThatTheStoreLosesTogetherCauseNoProbes has a store that lists none of 40 VMs any more.
func TestRegistrationsThatTheStoreLosesTogetherCauseNoProbes(t *testing.T) {
	const vms = 40
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}
	for i := range vms {
		id := fmt.Sprintf("vm-%d", i)
		store.vms = append(store.vms, clementineport.VM{ID: clementineport.VMID(id), Domain: "a", Caller: id, Peer: id})
	}
	var exchanges atomic.Int64
	unlimited := func(o *cpmembership.Options) { o.UrgentPerSecond = 1000 }
	w := startWatcher(t, "self", cpfleetwatch.WithSource(store), func(o *cpfleetwatch.Options) { o.Membership = append(o.Membership, unlimited) },
		cpfleetwatch.WithDial(func(vm clementineport.VM) clementineport.Peer {
			return &answeringPeer{vm: vm, exchanges: &exchanges}
		}))
	await(t, "all VMs are members", func() bool { return len(w.View().Members) > vms })
	time.Sleep(500 * time.Millisecond)
	exchanges.Store(0)
	store.set(func(s *fakeSource) { s.vms = nil })
	time.Sleep(2 * time.Second)
	assert.Assert(t, exchanges.Load() <= 6, "%d exchanges in two seconds", exchanges.Load())
}

// answeringPeer is a VM that answers exchanges and nothing else.
type answeringPeer struct {
	earlierBuild
	vm        clementineport.VM
	exchanges *atomic.Int64
}

// Exchange implements clementineport.Peer.
func (p *answeringPeer) Exchange(context.Context, *clementineport.Digest) (*clementineport.Digest, error) {
	p.exchanges.Add(1)
	return &clementineport.Digest{From: clementineport.Member{VM: p.vm, Start: clementineport.StartID(p.vm.ID), Incarnation: 1}}, nil
}

func TestAVMThatLeavesDoesNotRegisterAgain(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Revision: 1}, version: 5}
	r := &fakeRegistrar{}
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(store), cpfleetwatch.WithRegistration(cpregistration.WithRegistrar(r), cpregistration.WithRenewPeriod(20*time.Millisecond)))
	await(t, "registrations, since the store does not list the VM", func() bool { return r.registrations() >= 2 })
	w.Leave()
	time.Sleep(50 * time.Millisecond)
	before := r.registrations()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, r.registrations(), before)
}

// TestAVMThatStartsAfterARestoreLearnsTheRoutesThatTheStoreHasLost guards against a key that was revoked and is valid again at a VM
// that knows only the restored store.
func TestAVMThatStartsAfterARestoreLearnsTheRoutesThatTheStoreHasLost(t *testing.T) {
	store := &fakeSource{asOf: clementineport.StorePosition{Era: 1, Revision: 100}, version: 9}
	connected := startWatcher(t, "early", cpfleetwatch.WithSource(store))
	await(t, "the first state", func() bool { return routesVersion(connected) == 9 })
	store.restore(60)
	store.set(func(s *fakeSource) { s.version = 5 })
	await(t, "the restore", func() bool { return connected.StoreEra() == 2 })
	restored := &fakeSource{asOf: clementineport.StorePosition{Era: 2, Revision: 900}, version: 5, vms: []clementineport.VM{{ID: "early", Caller: "early", Peer: "early"}}}
	late := startWatcher(t, "late", cpfleetwatch.WithSource(restored),
		cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(connected)) }))
	await(t, "the routes that the store has lost", func() bool { return routesVersion(late) == 9 })
	assert.Equal(t, late.StoreEra(), clementineport.StoreEra(2))
}

// TestAVMCatchesUpAtOnceWithOneThatHasNewerRoutes guards against requests that are handled by newer routes at another VM, and by
// earlier ones here until the next update.
func TestAVMCatchesUpAtOnceWithOneThatHasNewerRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		newer := startWatcher(t, "newer", cpfleetwatch.WithSource(&fakeSource{asOf: clementineport.StorePosition{Revision: 9}, version: 6}))
		w := startWatcher(t, "vm", cpfleetwatch.WithSource(&fakeSource{asOf: clementineport.StorePosition{Revision: 8}, version: 5}),
			cpfleetwatch.WithWatchTimes(time.Hour, time.Hour),
			cpfleetwatch.WithDial(func(clementineport.VM) clementineport.Peer { return cppeer.New(cppeer.WithHandler(newer)) }))
		await(t, "the first states", func() bool { return routesVersion(w) == 5 && routesVersion(newer) == 6 })
		w.NewerRoutes(clementineport.VM{ID: "newer", Peer: "newer"}, 6)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, routesVersion(w), clementineport.Revision(6))
	})
}
