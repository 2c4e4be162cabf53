package cpfleet_test

import (
	"testing"
	"time"

	"github.com/clementineport/clementineport"
)

// disruption is a fault or a change of the fleet; begin starts it and returns the function that ends it.
type disruption struct {
	name  string
	begin func(f *fleet, l *load) (end func())
}

// disruptions returns the disruptions that TestPairs combines. The entry VM that is killed is in another failure domain
// than the one that is taken out of service.
func disruptions() []disruption {
	return []disruption{
		{"domain", func(f *fleet, _ *load) func() {
			accepted := f.changeDomain("take-out", "b")
			return func() {
				time.Sleep(time.Until(accepted.Add(applyDeadline + settleTime)))
				reportFaults(f.t, "calls to domain b", f.checkNoCalls("b", accepted))
				f.clearStoreFaults()
				f.changeDomain("bring-back", "b")
			}
		}},
		{"entry", func(f *fleet, _ *load) func() {
			killed := f.entries[2]
			f.entries = f.entries[:2]
			killed.kill()
			return func() {
				f.unregister(killed)
				f.awaitReady(f.startEntry("vm-new", "c"))
			}
		}},
		{"store", func(f *fleet, _ *load) func() {
			f.setStoreFault("down", 0, false, false)
			return f.clearStoreFaults
		}},
		{"cold", func(f *fleet, _ *load) func() {
			f.coldRestart([]int{0, 4, 8})
			return func() {}
		}},
		{"version", func(f *fleet, l *load) func() {
			v1, v2 := clementineport.Snapshot{Version: 1, Layout: 1}, clementineport.Snapshot{Version: 2, Layout: 1}
			f.setSnapshots(l, allTargets(), v1, v2)
			return func() { f.setSnapshots(l, allTargets(), v2) }
		}},
	}
}

// TestPairs checks that the invariants hold and idempotent queries have complete answers while two disruptions overlap.
// It runs all ten pairs of a failure domain out of service, a killed entry VM, an unavailable store, a third of the
// targets restarted cold, and a version rollout.
func TestPairs(t *testing.T) {
	t.Parallel()
	all := disruptions()
	for i, first := range all {
		for _, second := range all[i+1:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				f := newWarmFleet(t)
				l := f.load("")
				f.awaitCompleted(allTargets())
				endFirst := first.begin(f, l)
				endSecond := second.begin(f, l)
				l.awaitAnswers(100)
				endFirst()
				endSecond()
				l.awaitAnswers(100)
				f.awaitRevision(f.config().Revision, 0)
				l.checkInvariants(true, false)
			})
		}
	}
}
