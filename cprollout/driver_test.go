package cprollout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cprollout"
)

// TestStepsByTargets covers targets of the new version that never come, crash, drain, are out of service or cold, and orders
// for versions that nobody or everybody runs.
func TestStepsByTargets(t *testing.T) {
	waiting, completing, back := clementineport.RolloutWaiting, clementineport.RolloutCompleting, clementineport.RolloutRolledBack
	for _, c := range []struct {
		name     string
		phase    clementineport.RolloutPhase
		hasState bool
		elapsed  time.Duration
		change   func(e *cprollout.Evidence)
		next     clementineport.RolloutPhase
	}{
		{"no target yet", waiting, false, time.Second, func(*cprollout.Evidence) {}, waiting},
		{"none until the deadline", waiting, true, minute, func(*cprollout.Evidence) {}, back},
		{"an unknown service", waiting, false, minute, func(e *cprollout.Evidence) { e.OldTargets, e.OldSlots = 0, 0 }, back},
		{"all ran the version when it was ordered", waiting, false, 0, func(e *cprollout.Evidence) {
			e.OldTargets, e.OldSlots, e.NewTargets, e.NewSlots = 0, 0, 3, 9
		}, clementineport.RolloutCompleted},
		{"the old ones have gone later", waiting, true, 0, func(e *cprollout.Evidence) {
			e.OldTargets, e.OldSlots, e.NewTargets, e.NewSlots = 0, 0, 3, 9
		}, clementineport.RolloutCanary},
		{"the new ones come", waiting, true, time.Second, func(e *cprollout.Evidence) { e.NewTargets = 1 }, clementineport.RolloutCanary},
		{"the new ones crash, drain, are out or cold at the end", completing, true, 50 * time.Second, func(e *cprollout.Evidence) {
			e.NewTargets, e.OldEnded = 3, true
		}, back},
		{"a VM still calls old targets at the deadline", completing, true, minute, func(e *cprollout.Evidence) { e.NewSlots = 9 }, back},
		{"a VM has stopped", completing, true, 50 * time.Second, func(e *cprollout.Evidence) {
			e.NewSlots, e.OldEnded, e.Stopped = 9, true, "vm-1"
		}, back},
		{"no answer of the new version", completing, true, 59 * time.Second, func(e *cprollout.Evidence) {
			e.NewSlots, e.OldEnded = 9, true
		}, completing},
	} {
		t.Run(c.name, func(t *testing.T) {
			order := &clementineport.RolloutOrder{Service: service, Version: "v2", Duration: minute, Revision: 5}
			var state *clementineport.RolloutStatus
			if c.hasState {
				state = &clementineport.RolloutStatus{Service: service, Version: "v2", Order: 5, Revision: 6, Phase: c.phase}
				if c.phase == completing {
					state.Share = 1
				}
			}
			now := time.Unix(2000, 0)
			e := &cprollout.Evidence{
				Now: now, Rollout: cprollout.New(order, state), Judge: cprollout.NewJudge(), OldTargets: 3, OldSlots: 9,
			}
			e.Rollout.OrderedAt, e.Rollout.PhaseAt = now.Add(-c.elapsed), now.Add(-min(c.elapsed, 10*time.Second))
			c.change(e)
			next := cprollout.Decide(e, &bounds)
			if next == nil {
				assert.Equal(t, c.phase, c.next)
				return
			}
			assert.Equal(t, next.Phase, c.next, next.Reason)
		})
	}
}

// TestAVMOfAnEarlierBuildMakesNoReports shows what is known of a VM that makes none, and of one whose statement is old.
func TestAVMOfAnEarlierBuildMakesNoReports(t *testing.T) {
	now := time.Unix(2000, 0)
	reports := cprollout.NewReports()
	m := &clementineport.Member{VM: clementineport.VM{ID: "vm"}, Start: "one"}
	ended, recent := reports.OldEnded(now, service, 5, m)
	assert.Assert(t, !ended && !recent)
	report := &clementineport.RolloutReport{VM: "vm", Start: "one", Service: service, Order: 5}
	assert.Assert(t, reports.Set(now, report))
	ended, recent = reports.OldEnded(now, service, 5, m)
	assert.Assert(t, !ended && recent)
	report.OldEnded = true
	assert.Assert(t, reports.Set(now.Add(time.Second), report))
	ended, recent = reports.OldEnded(now.Add(time.Minute), service, 5, m)
	assert.Assert(t, ended && recent, "a promise stays")
	ended, recent = reports.OldEnded(now, service, 5, &clementineport.Member{VM: m.VM, Start: "two"})
	assert.Assert(t, !ended && !recent, "of a process that has ended")
	assert.Assert(t, !reports.Set(now.Add(time.Hour), &clementineport.RolloutReport{VM: "vm", Start: "one", Service: service, Order: 4}), "of an earlier order")
}
