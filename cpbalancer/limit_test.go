package cpbalancer_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpbalancer"
)

// limitFirst gives the first target of a simulation a limit.
func (s *simulation) limitFirst() *simulation {
	s.candidates[0].Limited, s.candidates[0].Limit = true, 8
	return s
}

// chosen returns how often each target is chosen while many requests come within a time.
func (s *simulation) chosen(d time.Duration, r *cpbalancer.Request) map[*cpbalancer.Target]int {
	counts := map[*cpbalancer.Target]int{}
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		t, _ := s.chooser.Choose(s.now, s.candidates, r)
		counts[t]++
	}
	return counts
}

func TestATargetWithALimitIsChosenNoMoreOftenThanItsLimitAllows(t *testing.T) {
	s := newSimulation(2).limitFirst()
	counts := s.chosen(10*time.Second, &cpbalancer.Request{TypicalLatency: typical, VMs: 1, Senders: 4})
	limited := counts[s.candidates[0].Target]
	assert.Assert(t, limited > 8 && limited <= 10*8/4+4, "%d", limited)
	assert.Equal(t, limited+counts[s.candidates[1].Target], 10_000, "the other target gets the rest")
}

func TestATargetWithoutARequestLeftIsBusy(t *testing.T) {
	s := newSimulation(1).limitFirst()
	r := &cpbalancer.Request{TypicalLatency: typical, VMs: 4, Senders: 4}
	chosen, busy := s.chooser.Choose(s.now, s.candidates, r)
	assert.Assert(t, chosen == nil && busy)
	wait := s.candidates[0].Target.LimitWait(s.now)
	assert.Assert(t, wait > 0)
	assert.Equal(t, cpbalancer.ExpectedLatency(s.now, s.candidates, r), wait)
	s.now = s.now.Add(wait)
	chosen, _ = s.chooser.Choose(s.now, s.candidates, r)
	assert.Assert(t, chosen != nil)
}

func TestATargetWithALimitGetsNoHedges(t *testing.T) {
	s := newSimulation(1).limitFirst()
	counts := s.chosen(10*time.Second, &cpbalancer.Request{TypicalLatency: typical, VMs: 4, Senders: 4, FreeSlotOnly: true})
	assert.Equal(t, counts[s.candidates[0].Target], 0)
}

// Guards against a data race between a choice and the expected latency, which callers read without a lock of the chooser.
func TestLimitsAreSafeForConcurrentUse(t *testing.T) {
	s := newSimulation(3).limitFirst()
	r := &cpbalancer.Request{TypicalLatency: typical, VMs: 295, Senders: 295}
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := range 2000 {
			s.chooser.Choose(s.now.Add(time.Duration(i)*time.Minute), s.candidates, r)
		}
	})
	for range 4 {
		wg.Go(func() {
			for i := range 2000 {
				cpbalancer.ExpectedLatency(s.now.Add(time.Duration(i)*time.Minute), s.candidates, r)
			}
		})
	}
	wg.Wait()
	assert.Assert(t, s.candidates[0].Target.LimitWait(s.now) >= 0)
}
