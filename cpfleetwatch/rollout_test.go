package cpfleetwatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetwatch"
	"github.com/clementineport/clementineport/cprollout"
)

// fakeRolloutStore writes states into a fakeSource on condition of their revisions.
type fakeRolloutStore struct {
	source *fakeSource

	mu sync.Mutex
	// lose has the answers of successful writes lost, and down refuses all writes.
	lose, down bool
	writes     int
	conflicts  int
}

// SaveRollout implements clementineport.RolloutStore.
func (s *fakeRolloutStore) SaveRollout(_ context.Context, order, previous clementineport.Revision, status *clementineport.RolloutStatus) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return clementineport.Fail(clementineport.FaultTimeout, "store unavailable")
	}
	err := clementineport.Fail(clementineport.FaultConflict, "another revision")
	s.source.set(func(f *fakeSource) {
		var orderNow, stateNow clementineport.Revision
		if len(f.rollouts) > 0 {
			orderNow = f.rollouts[0].Revision
		}
		if len(f.states) > 0 {
			stateNow = f.states[0].Revision
		}
		if orderNow != order || stateNow != previous {
			s.conflicts++
			return
		}
		stored := *status
		stored.Revision = f.asOf.Revision + 1
		f.states = []clementineport.RolloutStatus{stored}
		s.writes++
		err = nil
	})
	if s.lose && err == nil {
		return clementineport.Fail(clementineport.FaultReset, "the answer was lost")
	}
	if err != nil {
		return err
	}
	return nil
}

func (s *fakeRolloutStore) set(change func(*fakeRolloutStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// rolloutSite returns a store with an old and a new target of a service and an order.
func rolloutSite() (*fakeSource, *fakeRolloutStore) {
	old, fresh := targetInstance("x"), targetInstance("y")
	old.Version, fresh.Version = "v1", "v2"
	source := &fakeSource{
		asOf: clementineport.StorePosition{Revision: 9}, version: 5, targets: []clementineport.TargetInstance{old, fresh},
		rollouts: []clementineport.RolloutOrder{{Service: "s", Version: "v2", Duration: time.Minute, Revision: 7}},
	}
	return source, &fakeRolloutStore{source: source}
}

func withRollouts(source *fakeSource, store *fakeRolloutStore) []cpfleetwatch.Option {
	tracker := cprollout.NewTracker(cprollout.WithBounds(cprollout.Bounds{Share: 0.1, Slack: 50, Contact: 5 * time.Second, Outage: 15 * time.Second}))
	return []cpfleetwatch.Option{cpfleetwatch.WithSource(source), cpfleetwatch.WithRollouts(tracker, store)}
}

// phase returns the phase of the rollout in a VM's view.
func phase(w *cpfleetwatch.Watcher) clementineport.RolloutPhase {
	if r := w.View().Rollouts["s"]; r != nil {
		return r.Phase
	}
	return clementineport.RolloutWaiting
}

func stopped(start clementineport.StartID) *clementineport.Digest {
	other := clementineport.Member{VM: clementineport.VM{ID: "other", Peer: "other"}, Start: start}
	return &clementineport.Digest{From: other, TargetNews: clementineport.TargetNews{Rollouts: []clementineport.RolloutReport{
		{VM: "other", Start: start, Service: "s", Order: 7, Stopped: true},
	}}}
}

func TestADriverBeginsTheCanaryAndRollsBackWhenAnotherVMHasStopped(t *testing.T) {
	source, store := rolloutSite()
	w := startWatcher(t, "vm", withRollouts(source, store)...)
	await(t, "the canary", func() bool { return phase(w) == clementineport.RolloutCanary })
	assert.Equal(t, len(w.View().Services["s"]), 2)
	_, err := w.Exchange(t.Context(), stopped("a"))
	assert.NilError(t, err)
	await(t, "the rollback", func() bool { return phase(w) == clementineport.RolloutRolledBack })
	targets := w.View().Services["s"]
	assert.Equal(t, len(targets), 1)
	assert.Equal(t, targets[0].State.ID, clementineport.TargetID("x"))
	assert.Equal(t, w.View().Rollouts["s"].Stored.Driver, clementineport.VMID("vm"))
}

// TestAVMStopsWithoutTheStore guards against a VM that sends requests to a bad version for as long as the store is down.
func TestAVMStopsWithoutTheStore(t *testing.T) {
	source, store := rolloutSite()
	source.states = []clementineport.RolloutStatus{{Service: "s", Order: 7, Version: "v2", Phase: clementineport.RolloutCanary, Share: 1, Revision: 8}}
	opts := withRollouts(source, store)
	tracker := cprollout.NewTracker(cprollout.WithBounds(cprollout.Bounds{Share: 0.1, Slack: 50, Contact: 5 * time.Second}))
	w := startWatcher(t, "vm", append(opts, cpfleetwatch.WithRollouts(tracker, store))...)
	await(t, "the canary", func() bool { return phase(w) == clementineport.RolloutCanary })
	store.set(func(s *fakeRolloutStore) { s.down = true })
	source.set(func(f *fakeSource) { f.unavailable = true })
	_, err := w.Exchange(t.Context(), stopped("a"))
	assert.NilError(t, err)
	r := w.View().Rollouts["s"]
	for range 100 {
		tracker.Arrived("s", "r", r)
		assert.Equal(t, tracker.Plan("s", "r", r, true, 0), cprollout.UseOld)
	}
}

func TestALostAnswerOfTheStoreIsNoSecondStep(t *testing.T) {
	source, store := rolloutSite()
	store.lose = true
	w := startWatcher(t, "vm", withRollouts(source, store)...)
	await(t, "the canary", func() bool { return phase(w) == clementineport.RolloutCanary })
	time.Sleep(2 * time.Second) // longer than the delay before a step is tried again
	store.set(func(s *fakeRolloutStore) { assert.Check(t, s.writes == 1, "%d writes", s.writes) })
}

// TestTwoDriversTakeEachStepOnce runs two VMs that don't know of each other, so that each drives the rollout.
func TestTwoDriversTakeEachStepOnce(t *testing.T) {
	source, store := rolloutSite()
	one, two := startWatcher(t, "one", withRollouts(source, store)...), startWatcher(t, "two", withRollouts(source, store)...)
	await(t, "the canary", func() bool {
		return phase(one) == clementineport.RolloutCanary && phase(two) == clementineport.RolloutCanary
	})
	time.Sleep(2 * time.Second)
	store.set(func(s *fakeRolloutStore) { assert.Check(t, s.writes == 1, "%d writes", s.writes) })
}

func TestAReplacedAndARemovedOrderOnADriver(t *testing.T) {
	source, store := rolloutSite()
	w := startWatcher(t, "vm", withRollouts(source, store)...)
	await(t, "the canary", func() bool { return phase(w) == clementineport.RolloutCanary })
	source.set(func(f *fakeSource) {
		f.rollouts[0] = clementineport.RolloutOrder{Service: "s", Version: "v3", Duration: time.Minute, Revision: 100}
	})
	await(t, "the new order", func() bool {
		r := w.View().Rollouts["s"]
		return r.Version == "v3" && r.Stored.Order == 100
	})
	assert.Equal(t, len(w.View().Services["s"]), 1, "the version that was replaced is not used")
	source.set(func(f *fakeSource) { f.rollouts = nil })
	await(t, "the end", func() bool { return w.View().Rollouts["s"].Stored.Phase == clementineport.RolloutRolledBack })
}

func TestOrdersAreIgnoredWithoutBounds(t *testing.T) {
	source, store := rolloutSite()
	w := startWatcher(t, "vm", cpfleetwatch.WithSource(source), cpfleetwatch.WithRollouts(cprollout.NewTracker(), store))
	await(t, "the routes", func() bool { return routesVersion(w) == 5 })
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, len(w.View().Rollouts), 0)
	assert.Equal(t, len(w.View().Services["s"]), 2)
	store.set(func(s *fakeRolloutStore) { assert.Check(t, s.writes == 0) })
}

func TestAfterACompletedRolloutOldTargetsServeOnlyIfNoneOfTheVersionIsRegistered(t *testing.T) {
	source, store := rolloutSite()
	source.states = []clementineport.RolloutStatus{{Service: "s", Order: 7, Version: "v2", Phase: clementineport.RolloutCompleted, Share: 1, Revision: 8}}
	w := startWatcher(t, "vm", withRollouts(source, store)...)
	await(t, "the new version alone", func() bool {
		targets := w.View().Services["s"]
		return len(targets) == 1 && targets[0].State.ID == "y"
	})
	source.set(func(f *fakeSource) { f.targets = f.targets[:1] })
	await(t, "the other version", func() bool {
		targets := w.View().Services["s"]
		return len(targets) == 1 && targets[0].State.ID == "x"
	})
}
