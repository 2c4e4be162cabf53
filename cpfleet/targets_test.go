package cpfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfaketarget"
)

// coldFlags make the targets start cold, and crash if they are overloaded while they are cold.
var coldFlags = []string{"--cold-step", fmt.Sprint(coldStep), "--cold-factor", "4", "--fall-over", "2s"}

// coldStep is the number of calls after which the concurrency limit of a cold target rises by one.
const coldStep = 20

// awaitCompleted waits until each of the targets has completed coldStep further calls.
func (f *fleet) awaitCompleted(targets []int) {
	f.t.Helper()
	before := f.stats()
	eventually(f.t, "targets have completed calls", func() error {
		all := f.stats()
		for _, n := range targets {
			if done := all[n].Completed - before[n].Completed; done < coldStep {
				return fmt.Errorf("target %d has completed %d calls", n, done)
			}
		}
		return nil
	})
}

// coldRestart restarts targets cold and waits until they have restarted.
func (f *fleet) coldRestart(targets []int) {
	f.t.Helper()
	f.restart(cpfaketarget.Command{Targets: targets, ColdRestart: true})
}

// newWarmFleet returns a fleet with coldFlags whose targets have been restarted warm.
func newWarmFleet(t *testing.T) *fleet {
	t.Helper()
	f := launch(t, fleetOptions{targetFlags: coldFlags})
	f.restart(cpfaketarget.Command{Targets: allTargets(), WarmRestart: true})
	f.warmUp()
	return f
}

// restart sends a restart command and waits until its targets have restarted.
func (f *fleet) restart(c cpfaketarget.Command) {
	f.t.Helper()
	before, targets := f.stats(), c.Targets
	f.commandTargets(c)
	eventually(f.t, "targets have restarted", func() error {
		all := f.stats()
		for _, n := range targets {
			if all[n].Start == before[n].Start {
				return fmt.Errorf("target %d has not restarted", n)
			}
		}
		return nil
	})
}

func allTargets() []int { return []int{0, 1, 2, 3, 4, 5, 6, 7, 8} }

// settleTime is how long a test continues to observe the fleet after applyDeadline.
const settleTime = 2 * time.Second

// TestFailureDomainMove checks that a failure domain that is taken out of service gets no calls after applyDeadline,
// that no query fails because of the change, and that its cold targets do not crash when it returns to service.
func TestFailureDomainMove(t *testing.T) {
	t.Parallel()
	f := newWarmFleet(t)
	l := f.load("")
	f.awaitCompleted(allTargets())
	accepted := f.changeDomain("take-out", "b")
	time.Sleep(time.Until(accepted.Add(applyDeadline + settleTime)))
	reportFaults(t, "calls to domain b", f.checkNoCalls("b", accepted))
	f.coldRestart(domainTargets("b"))
	f.changeDomain("bring-back", "b")
	f.awaitCompleted(domainTargets("b"))
	l.checkInvariants(true, true)
}

// TestColdTargets checks that targets that restart cold without a warning do not crash under overload: a single one, a
// third of them, and all targets of a failure domain.
func TestColdTargets(t *testing.T) {
	t.Parallel()
	f := newWarmFleet(t)
	l := f.load("")
	f.awaitCompleted(allTargets())
	for _, targets := range [][]int{{4}, {0, 4, 8}, domainTargets("c")} {
		f.coldRestart(targets)
		f.awaitCompleted(targets)
		reportFaults(t, fmt.Sprintf("targets %v", targets), f.checkTargets())
	}
	outcomes := l.finish()
	t.Logf("incomplete: %d idempotent, %d in total, of %d", len(checkComplete(outcomes, false)), len(checkComplete(outcomes, true)), len(outcomes))
	l.checkInvariants(false, false)
}

// TestLostTargets checks that no idempotent query fails when two targets of different shards are lost and each of these
// shards has two replicas left.
func TestLostTargets(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	l := f.load("")
	l.awaitAnswers(100)
	f.commandTargets(cpfaketarget.Command{Targets: []int{0, 4}, WarmRestart: true, PauseMilliseconds: maxWait.Milliseconds()})
	l.awaitAnswers(400)
	l.checkInvariants(true, false)
}

// TestWarmUp checks that cold targets become warm under constant load.
func TestWarmUp(t *testing.T) {
	t.Parallel()
	f := launch(t, fleetOptions{targetFlags: coldFlags})
	l := f.load("")
	eventually(t, "all targets are warm", func() error {
		for n, s := range f.stats() {
			if s.Cold {
				return fmt.Errorf("target %d has a concurrency limit of %d", n, s.Level)
			}
		}
		return nil
	})
	l.checkInvariants(true, true)
}

// TestColdBaseline checks that checkTargets detects crashes of cold targets: the baseline policy calls targets without
// limits and overloads them.
func TestColdBaseline(t *testing.T) {
	t.Parallel()
	f := launch(t, fleetOptions{targetFlags: coldFlags})
	f.load("baseline")
	eventually(t, "a target has crashed", func() error {
		if len(f.checkTargets()) == 0 {
			return fmt.Errorf("no target has crashed")
		}
		return nil
	})
}

// TestDrainingTarget checks that a target that reports that it is draining gets no calls after applyDeadline, and that
// no query fails because of it.
func TestDrainingTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	l := f.load("")
	l.awaitAnswers(100)
	drain := true
	f.commandTargets(cpfaketarget.Command{Targets: []int{0, 4}, Drain: &drain})
	time.Sleep(applyDeadline + settleTime)
	for _, n := range []int{0, 4} {
		if s := f.stats()[n]; s.LastCallAfterDrainMilliseconds > applyDeadline.Milliseconds() {
			t.Errorf("target %d got a call %d ms after the start of its drain", n, s.LastCallAfterDrainMilliseconds)
		}
	}
	l.checkInvariants(true, true)
}

// setSnapshots makes targets hold only the given snapshots, one target after the other.
func (f *fleet) setSnapshots(l *load, targets []int, held ...clementineport.Snapshot) {
	f.t.Helper()
	for _, n := range targets {
		f.commandTargets(cpfaketarget.Command{Targets: []int{n}, Held: held})
		l.awaitAnswers(30)
	}
}

// countSnapshots counts the answers from each snapshot.
func countSnapshots(outcomes []outcome) map[clementineport.Snapshot]int {
	seen := make(map[clementineport.Snapshot]int)
	for i := range outcomes {
		if outcomes[i].answer != nil {
			seen[outcomes[i].answer.Snapshot]++
		}
	}
	return seen
}

// TestVersionRollout checks that each answer is from a single version while a new version replaces the old one, and that
// every answer is complete if targets hold both versions in between.
func TestVersionRollout(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	v1, v2 := clementineport.Snapshot{Version: 1, Layout: 1}, clementineport.Snapshot{Version: 2, Layout: 1}
	l := f.load("")
	l.awaitAnswers(50)
	f.setSnapshots(l, allTargets(), v1, v2)
	f.setSnapshots(l, allTargets(), v2)
	l.checkInvariants(true, true)
	if seen := countSnapshots(l.outcomes); seen[v1] == 0 || seen[v2] == 0 {
		t.Errorf("answers by snapshot: %v", seen)
	}
}

// TestVersionSwap checks that idempotent queries of a service that prefers coverage have complete answers while the
// targets change to a new version without holding both, since at any time one version covers all shards.
func TestVersionSwap(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	v1, v2 := clementineport.Snapshot{Version: 1, Layout: 1}, clementineport.Snapshot{Version: 2, Layout: 1}
	l := f.load("")
	l.awaitAnswers(50)
	f.setSnapshots(l, allTargets(), v2)
	l.checkInvariants(true, false)
	if seen := countSnapshots(l.outcomes); seen[v1] == 0 || seen[v2] == 0 {
		t.Errorf("answers by snapshot: %v", seen)
	}
}

// TestRepartition checks that each answer is from a single layout, and complete, while the index is repartitioned.
func TestRepartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{})
	l1, l2 := clementineport.Snapshot{Version: 1, Layout: 1}, clementineport.Snapshot{Version: 1, Layout: 2}
	l := f.load("")
	l.awaitAnswers(50)
	f.submit(f.estate([]int{shards, shards + 1}))
	f.setSnapshots(l, allTargets(), l1, l2)
	f.setSnapshots(l, allTargets(), l2)
	f.submit(f.estate([]int{0, shards + 1}))
	l.awaitAnswers(100)
	l.checkInvariants(true, true)
	if seen := countSnapshots(l.outcomes); seen[l1] == 0 || seen[l2] == 0 {
		t.Errorf("answers by snapshot: %v", seen)
	}
}
