package cpbalancer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
)

const typical = 20 * time.Millisecond

var start = time.Unix(1000, 0)

// simulation is a service with some targets in virtual time.
type simulation struct {
	chooser    *cpbalancer.Chooser
	candidates []cpbalancer.Candidate
	now        time.Time
}

func newSimulation(targets int) *simulation {
	s := &simulation{chooser: cpbalancer.New(cpbalancer.WithSeed(1)), now: start}
	for i := range targets {
		d := clementineport.TargetInstance{ID: clementineport.TargetID(fmt.Sprint(i)), Slots: 6}
		s.candidates = append(s.candidates, cpbalancer.Candidate{Target: cpbalancer.NewTarget(d), SameDomain: true})
	}
	return s
}

// choose returns the index of the chosen target, or -1.
func (s *simulation) choose() int {
	t, _ := s.chooser.Choose(s.now, s.candidates, &cpbalancer.Request{TypicalLatency: typical, VMs: 6})
	for i := range s.candidates {
		if s.candidates[i].Target == t {
			return i
		}
	}
	return -1
}

// serve sends requests one after the other and returns the number of requests to each target, with -1 for those that
// found none. outcome returns the outcome of a request to a target.
func (s *simulation) serve(requests int, outcome func(target int) cpbalancer.Outcome) (counts map[int]int) {
	counts = map[int]int{}
	for range requests {
		i := s.choose()
		counts[i]++
		if i < 0 {
			s.now = s.now.Add(typical)
			continue
		}
		sent := s.now
		s.candidates[i].Target.Sent(sent)
		o := outcome(i)
		o.TypicalLatency = typical
		s.now = s.now.Add(5 * time.Millisecond)
		s.candidates[i].Target.Done(sent.Add(o.Elapsed), sent, &o)
	}
	return counts
}

func ok(d time.Duration) cpbalancer.Outcome { return cpbalancer.Outcome{OK: true, Elapsed: d} }

func TestEqualTargetsShareTheWork(t *testing.T) {
	counts := newSimulation(3).serve(3000, func(int) cpbalancer.Outcome { return ok(typical) })
	for i := range 3 {
		assert.Assert(t, counts[i] > 800, "target %d got %d of 3000 requests", i, counts[i])
	}
}

func TestASlowTargetIsAvoidedWithinAFewRequests(t *testing.T) {
	s := newSimulation(3)
	counts := s.serve(300, func(i int) cpbalancer.Outcome {
		if i == 0 {
			return ok(8 * typical)
		}
		return ok(typical)
	})
	assert.Assert(t, counts[0] < 20, "the slow target got %d of 300 requests", counts[0])
}

func TestASlowTargetThatRecoversIsUsedAgain(t *testing.T) {
	s := newSimulation(3)
	s.serve(100, func(i int) cpbalancer.Outcome {
		if i == 0 {
			return ok(8 * typical)
		}
		return ok(typical)
	})
	s.now = s.now.Add(10 * time.Second)
	counts := s.serve(300, func(int) cpbalancer.Outcome { return ok(typical) })
	assert.Assert(t, counts[0] > 50, "the recovered target got %d of 300 requests", counts[0])
}

func TestATargetThatPausesGetsNoFurtherRequests(t *testing.T) {
	s := newSimulation(3)
	s.serve(30, func(int) cpbalancer.Outcome { return ok(typical) })
	s.candidates[0].Target.Sent(s.now)
	s.now = s.now.Add(100 * time.Millisecond)
	chosen := 0
	for range 300 {
		if s.choose() == 0 {
			chosen++
		}
	}
	assert.Assert(t, chosen < 10, "the paused target was chosen %d times of 300", chosen)
}

func TestATargetThatFailsPartOfItsRequestsIsCalledLess(t *testing.T) {
	s := newSimulation(3)
	n := 0
	counts := s.serve(600, func(i int) cpbalancer.Outcome {
		if n++; i == 0 && n%2 == 0 {
			return cpbalancer.Outcome{Failed: true, Elapsed: typical}
		}
		return ok(typical)
	})
	assert.Assert(t, counts[0] < 100, "the failing target got %d of 600 requests", counts[0])
}

func TestATargetThatRefusesConnectionsIsRetriedRarely(t *testing.T) {
	s := newSimulation(1)
	counts := s.serve(500, func(int) cpbalancer.Outcome { return cpbalancer.Outcome{Fault: clementineport.FaultRefused} })
	assert.Assert(t, counts[0] < 20, "the target that refuses connections got %d requests", counts[0])
	assert.Assert(t, counts[0] > 3, "the target that refuses connections got %d requests", counts[0])
}

func TestATargetWhoseAddressBelongsToAnotherIsNotCalledAgain(t *testing.T) {
	s := newSimulation(2)
	counts := s.serve(100, func(i int) cpbalancer.Outcome {
		if i == 0 {
			return cpbalancer.Outcome{Fault: clementineport.FaultMisdirected}
		}
		return ok(typical)
	})
	assert.Assert(t, counts[0] <= 1)
	assert.Assert(t, s.candidates[0].Target.Misdirected())
}

func TestTargetsInTheSameDomainArePreferredUnlessTheyAreBusier(t *testing.T) {
	s := newSimulation(2)
	s.candidates[1].SameDomain = false
	counts := s.serve(2000, func(int) cpbalancer.Outcome { return ok(typical) })
	assert.Assert(t, counts[0] > counts[1])
	for range 3 {
		s.candidates[0].Target.Sent(s.now)
	}
	other := 0
	for range 100 {
		if s.choose() == 1 {
			other++
		}
	}
	assert.Assert(t, other > 90)
}

func TestExcludedTargetsAreNotChosen(t *testing.T) {
	s := newSimulation(2)
	chosen, busy := s.chooser.Choose(s.now, s.candidates, &cpbalancer.Request{
		TypicalLatency: typical, Excluded: func(*cpbalancer.Target) bool { return true },
	})
	assert.Assert(t, chosen == nil && !busy)
}

func TestATargetAtItsLimitIsBusy(t *testing.T) {
	s := newSimulation(1)
	s.candidates[0].InFlightLimit = 1
	request := &cpbalancer.Request{TypicalLatency: typical}
	chosen, busy := s.chooser.Choose(s.now, s.candidates, request)
	assert.Assert(t, chosen != nil && !busy)
	chosen.Sent(s.now)
	chosen, busy = s.chooser.Choose(s.now, s.candidates, request)
	assert.Assert(t, chosen == nil && busy)
}

func TestCallsBeyondTheFirstGoToTheBestTarget(t *testing.T) {
	s := newSimulation(3)
	s.serve(30, func(i int) cpbalancer.Outcome { return ok(time.Duration(2-i) * typical) })
	for range 100 {
		chosen, _ := s.chooser.Choose(s.now, s.candidates, &cpbalancer.Request{TypicalLatency: typical, PickBest: true})
		assert.Assert(t, chosen == s.candidates[2].Target)
	}
}

func TestAHedgeGoesOnlyWhereSlotsAreFree(t *testing.T) {
	s := newSimulation(1)
	hedge := &cpbalancer.Request{TypicalLatency: typical, VMs: 6, FreeSlotOnly: true}
	chosen, _ := s.chooser.Choose(s.now, s.candidates, hedge)
	assert.Assert(t, chosen != nil)
	chosen.Sent(s.now)
	chosen, busy := s.chooser.Choose(s.now, s.candidates, hedge)
	assert.Assert(t, chosen == nil && busy)
	hedge.VMs = 2
	chosen, _ = s.chooser.Choose(s.now, s.candidates, hedge)
	assert.Assert(t, chosen != nil)
}

func TestAnUnresponsiveTargetIsProbedOneCallAtATime(t *testing.T) {
	s := newSimulation(1)
	target := s.candidates[0].Target
	counts := 0
	for range 1000 {
		s.now = s.now.Add(10 * time.Millisecond)
		if s.choose() < 0 {
			continue
		}
		counts++
		sent := s.now
		target.Sent(sent)
		s.now = s.now.Add(100 * time.Millisecond)
		target.Done(s.now, sent, &cpbalancer.Outcome{Fault: clementineport.FaultCanceled, Elapsed: 100 * time.Millisecond, TypicalLatency: typical})
	}
	assert.Assert(t, counts > 8 && counts < 30, "the unresponsive target got %d calls", counts)
	sent := s.now
	target.Sent(sent)
	target.Done(s.now, sent, &cpbalancer.Outcome{OK: true, Elapsed: typical, TypicalLatency: typical})
	assert.Equal(t, s.choose(), 0)
}

func TestATargetThatPausesBrieflyIsNotUnresponsive(t *testing.T) {
	s := newSimulation(1)
	target := s.candidates[0].Target
	for range 5 {
		sent := s.now
		target.Sent(sent)
		s.now = s.now.Add(50 * time.Millisecond)
		target.Done(s.now, sent, &cpbalancer.Outcome{Fault: clementineport.FaultCanceled, Elapsed: 50 * time.Millisecond, TypicalLatency: typical})
	}
	assert.Equal(t, s.choose(), 0)
}

func TestATargetThatBecomesUnresponsiveAndResponsiveIsReportedOnceEach(t *testing.T) {
	target := cpbalancer.NewTarget(clementineport.TargetInstance{ID: "x", Slots: 6})
	var changes []cpbalancer.Change
	done := func(ms int, o cpbalancer.Outcome) {
		sent := start.Add(time.Duration(ms) * time.Millisecond)
		target.Sent(sent)
		o.Elapsed, o.TypicalLatency = 200*time.Millisecond, typical
		if c := target.Done(sent.Add(o.Elapsed), sent, &o); c != cpbalancer.NoChange {
			changes = append(changes, c)
		}
	}
	for ms := 0; ms < 2000; ms += 100 {
		done(ms, cpbalancer.Outcome{Fault: clementineport.FaultTimeout})
	}
	assert.DeepEqual(t, changes, []cpbalancer.Change{cpbalancer.BecameUnresponsive})
	done(2500, ok(typical))
	done(2600, ok(typical))
	assert.DeepEqual(t, changes, []cpbalancer.Change{cpbalancer.BecameUnresponsive, cpbalancer.BecameResponsive})
}

func TestOneOfManyVMsTriesASlowTargetAgainLessOften(t *testing.T) {
	tries := func(vms int) (n int) {
		s := newSimulation(3)
		for range 40 { // two requests a second, the share of one of many VMs
			target, _ := s.chooser.Choose(s.now, s.candidates, &cpbalancer.Request{TypicalLatency: typical, VMs: vms})
			o := ok(typical)
			if target == s.candidates[0].Target {
				o = ok(8 * typical)
				n++
			}
			o.TypicalLatency, o.VMs = typical, vms
			target.Sent(s.now)
			target.Done(s.now.Add(o.Elapsed), s.now, &o)
			s.now = s.now.Add(500 * time.Millisecond)
		}
		return n
	}
	few, many := tries(6), tries(59)
	assert.Assert(t, many < few, "%d tries by one of many VMs, %d by one of few", many, few)
	assert.Assert(t, many > 0)
}
