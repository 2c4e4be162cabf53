package cpcatalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
)

func rolloutUpdate(era clementineport.StoreEra, revision clementineport.Revision, whole bool) *clementineport.FleetUpdate {
	return &clementineport.FleetUpdate{AsOf: clementineport.StorePosition{Era: era, Revision: revision}, Whole: whole}
}

func order(v clementineport.TargetVersion, revision clementineport.Revision) clementineport.RolloutOrder {
	return clementineport.RolloutOrder{Service: "s", Version: v, Duration: time.Minute, Revision: revision}
}

func state(v clementineport.TargetVersion, order, revision clementineport.Revision, p clementineport.RolloutPhase) clementineport.RolloutStatus {
	return clementineport.RolloutStatus{Service: "s", Version: v, Order: order, Revision: revision, Phase: p, Elapsed: 5 * time.Second}
}

// TestOrdersAndStatesDecideTheRollout covers orders that are replaced, removed, repeated and known late.
func TestOrdersAndStatesDecideTheRollout(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		updates func(u *clementineport.FleetUpdate, step int)
		phase   clementineport.RolloutPhase
		version clementineport.TargetVersion
		avoid   int
	}{
		{"ordered", func(u *clementineport.FleetUpdate, step int) {
			if step == 0 {
				u.Rollouts = append(u.Rollouts, order("v2", 2))
			}
		}, clementineport.RolloutWaiting, "v2", 0},
		{"replaced during the canary", func(u *clementineport.FleetUpdate, step int) {
			switch step {
			case 0:
				u.Rollouts = append(u.Rollouts, order("v2", 2))
				u.RolloutStates = append(u.RolloutStates, state("v2", 2, 3, clementineport.RolloutCanary))
			case 1:
				u.Rollouts = append(u.Rollouts, order("v3", 4))
			}
		}, clementineport.RolloutWaiting, "v3", 1},
		{"removed during the canary", func(u *clementineport.FleetUpdate, step int) {
			switch step {
			case 0:
				u.Rollouts = append(u.Rollouts, order("v2", 2))
				u.RolloutStates = append(u.RolloutStates, state("v2", 2, 3, clementineport.RolloutCanary))
			case 1:
				u.GoneRollouts = append(u.GoneRollouts, "s")
			}
		}, clementineport.RolloutRolledBack, "v2", 0},
		{"removed after its end", func(u *clementineport.FleetUpdate, step int) {
			switch step {
			case 0:
				u.Rollouts = append(u.Rollouts, order("v2", 2))
				u.RolloutStates = append(u.RolloutStates, state("v2", 2, 3, clementineport.RolloutCompleted))
			case 1:
				u.GoneRollouts = append(u.GoneRollouts, "s")
			}
		}, clementineport.RolloutCompleted, "v2", 0},
		{"repeated after it was completed", func(u *clementineport.FleetUpdate, step int) {
			switch step {
			case 0:
				u.Rollouts = append(u.Rollouts, order("v2", 2))
				u.RolloutStates = append(u.RolloutStates, state("v2", 2, 3, clementineport.RolloutCompleted))
			case 1:
				u.Rollouts = append(u.Rollouts, order("v2", 4))
			}
		}, clementineport.RolloutCompleted, "v2", 0},
		{"repeated after it was rolled back", func(u *clementineport.FleetUpdate, step int) {
			switch step {
			case 0:
				u.Rollouts = append(u.Rollouts, order("v2", 2))
				u.RolloutStates = append(u.RolloutStates, state("v2", 2, 3, clementineport.RolloutRolledBack))
			case 1:
				u.Rollouts = append(u.Rollouts, order("v2", 4))
			}
		}, clementineport.RolloutWaiting, "v2", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			catalog := cpcatalog.New()
			for step := range 2 {
				u := rolloutUpdate(1, clementineport.Revision(10+step), step == 0)
				c.updates(u, step)
				catalog.Apply(now, now, u)
			}
			r := catalog.Rollouts()["s"]
			assert.Equal(t, r.Phase, c.phase)
			assert.Equal(t, r.Version, c.version)
			assert.Equal(t, len(r.Avoid), c.avoid)
		})
	}
}

// TestAVMThatStartsLateKnowsHowLongARolloutHasRun guards against a driver that counts the duration from its own start.
func TestAVMThatStartsLateKnowsHowLongARolloutHasRun(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := cpcatalog.New(), cpcatalog.New()
	u := rolloutUpdate(1, 9, true)
	u.Rollouts = append(u.Rollouts, order("v2", 2))
	u.RolloutStates = append(u.RolloutStates, state("v2", 2, 3, clementineport.RolloutCanary))
	first.Apply(now, now, u)
	assert.Equal(t, first.Rollouts()["s"].OrderedAt, now.Add(-5*time.Second), "from the state")
	later := now.Add(10 * time.Second)
	second.Apply(later, later, first.FullUpdate(later))
	assert.Equal(t, second.Rollouts()["s"].OrderedAt, now.Add(-5*time.Second), "from the other VM")
}

// TestARestoreOfTheStoreDoesntUndoARollback guards against an older copy of the store that brings a bad version back.
func TestARestoreOfTheStoreDoesntUndoARollback(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, listed := range []bool{true, false} {
		catalog := cpcatalog.New()
		u := rolloutUpdate(1, 9, true)
		u.Rollouts = append(u.Rollouts, order("v2", 2))
		u.RolloutStates = append(u.RolloutStates, state("v2", 2, 8, clementineport.RolloutRolledBack))
		catalog.Apply(now, now, u)
		restored := rolloutUpdate(2, 7, true)
		if listed {
			restored.Rollouts = append(restored.Rollouts, order("v2", 2))
			restored.RolloutStates = append(restored.RolloutStates, state("v2", 2, 3, clementineport.RolloutCanary))
		}
		catalog.Apply(now, now, restored)
		r := catalog.Rollouts()["s"]
		assert.Equal(t, r.Phase, clementineport.RolloutRolledBack)
		assert.Assert(t, r.Ordered && r.Lost)
		if listed {
			assert.Equal(t, r.Stored.Revision, clementineport.Revision(3), "the condition of the write")
		}
		again := rolloutUpdate(2, 10, false)
		again.Rollouts = append(again.Rollouts, order("v2", 10))
		catalog.Apply(now, now, again)
		if !listed {
			assert.Equal(t, catalog.Rollouts()["s"].Phase, clementineport.RolloutRolledBack, "the order is written again")
		}
		catalog.Tick(now.Add(time.Minute))
		assert.Assert(t, catalog.Rollouts()["s"] != nil)
	}
}
