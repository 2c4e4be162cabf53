package cpfanout_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
)

// loadedFleet returns a fleet in which the targets of some services have no free slot and the given latency.
func loadedFleet(shards int, latency map[clementineport.ServiceID]time.Duration) *fleet {
	f := newFleet(shards)
	f.latency = latency
	return f
}

// calledShards returns the shards of calls.
func calledShards(sends []cpfanout.Send) map[int]bool {
	shards := map[int]bool{}
	for _, s := range sends {
		shards[s.Shard] = true
	}
	return shards
}

func TestAnOverloadedShardIsNotAskedWhenItWouldBeLate(t *testing.T) {
	fan := cpfanout.New(gatherPlan(10, 0.9), loadedFleet(10, map[clementineport.ServiceID]time.Duration{"s4": 90 * time.Millisecond}))
	sends := begin(fan)
	assert.Equal(t, len(sends), 9)
	assert.Assert(t, !calledShards(sends)[4])
	for _, s := range sends {
		fan.Done(at(10), answered(s))
	}
	assert.Assert(t, fan.Ended(), "the request waits although only the deferred shard is missing")
	o := fan.Outcome(at(10))
	assert.Equal(t, o.Missing, 1)
	assert.Assert(t, o.Stats.LeftOut[0].Deferred)
}

func TestAnOverloadedShardIsAskedWhenItWouldBeInTime(t *testing.T) {
	fan := cpfanout.New(gatherPlan(10, 0.9), loadedFleet(10, map[clementineport.ServiceID]time.Duration{"s4": 40 * time.Millisecond}))
	assert.Equal(t, len(begin(fan)), 10)
}

func TestOverloadedShardsAreSharedAmongRequests(t *testing.T) {
	counts := map[int]int{}
	for range 400 {
		fan := cpfanout.New(gatherPlan(10, 0.9), loadedFleet(10, map[clementineport.ServiceID]time.Duration{
			"s2": 90 * time.Millisecond, "s7": 100 * time.Millisecond,
		}))
		sends := calledShards(begin(fan))
		assert.Equal(t, len(sends), 9)
		for _, shard := range []int{2, 7} {
			if sends[shard] {
				counts[shard]++
			}
		}
	}
	assert.Assert(t, counts[2] > 130 && counts[7] > 130, "called %v times in 400 requests", counts)
	assert.Assert(t, counts[2] > counts[7], "the slower shard is called more often: %v", counts)
}

func TestADeferredShardIsCalledOnceAnotherFails(t *testing.T) {
	fan := cpfanout.New(gatherPlan(10, 0.9), loadedFleet(10, map[clementineport.ServiceID]time.Duration{"s4": 90 * time.Millisecond}))
	sends := begin(fan)
	more := fan.Done(at(5), failed(sends[0], clementineport.FaultShed))
	assert.Assert(t, calledShards(more)[4])
}

func TestADeferredShardIsCalledOnceAnotherIsOverdue(t *testing.T) {
	fan := cpfanout.New(gatherPlan(10, 0.9), loadedFleet(10, map[clementineport.ServiceID]time.Duration{"s4": 90 * time.Millisecond}))
	sends := begin(fan)
	for _, s := range sends[1:] {
		fan.Done(at(10), answered(s))
	}
	assert.Assert(t, !fan.Ended())
	var more []cpfanout.Send
	for ms := 11; ms < 50; ms++ {
		if !at(ms).Before(fan.Wake()) {
			more = append(more, fan.Tick(at(ms))...)
		}
	}
	assert.Assert(t, calledShards(more)[4])
}

func TestARequestThatIsLateDoesNotAddToTheLoadOfFurtherShards(t *testing.T) {
	fan := cpfanout.New(gatherPlan(10, 0.9), loadedFleet(10, map[clementineport.ServiceID]time.Duration{
		"s2": 90 * time.Millisecond, "s7": 90 * time.Millisecond,
	}))
	sends := begin(fan)
	assert.Equal(t, len(sends), 9)
	for _, s := range sends {
		if s.Shard != 2 && s.Shard != 7 {
			fan.Done(at(10), answered(s))
		}
	}
	for ms := 11; ms < 170; ms++ {
		if !at(ms).Before(fan.Wake()) {
			for _, s := range fan.Tick(at(ms)) {
				assert.Assert(t, s.Extra, "shard %d is called for the first time after %d ms", s.Shard, ms)
			}
		}
	}
}

func TestAShardThatHasRoomAgainIsAskedAlsoWhenTheRequestIsLate(t *testing.T) {
	latency := map[clementineport.ServiceID]time.Duration{"s2": 90 * time.Millisecond, "s7": 90 * time.Millisecond}
	fan := cpfanout.New(gatherPlan(10, 0.9), loadedFleet(10, latency))
	sends := begin(fan)
	deferred := 2
	for _, s := range sends {
		if s.Shard == deferred {
			deferred = 7
		}
		if s.Shard != 2 && s.Shard != 7 {
			fan.Done(at(10), answered(s))
		}
	}
	latency[services(10)[deferred]] = 0
	more := fan.Tick(at(110))
	first := func(s cpfanout.Send) bool { return s.Shard == deferred && !s.Extra }
	assert.Assert(t, slices.ContainsFunc(more, first), "shard %d has a free target and is not called: %+v", deferred, more)
}

func TestARequestThatIsLateLeavesFullTargetsToOthers(t *testing.T) {
	fleet := newFleet(10)
	fleet.busy = true
	fan := cpfanout.New(gatherPlan(10, 0.9), fleet)
	fan.Start(t0)
	for ms := 8; ms <= 120; ms += 8 {
		fleet.purposes = nil
		fan.Tick(at(ms))
		for _, p := range fleet.purposes {
			assert.Equal(t, p == cpfanout.Late, ms > 100, "after %d ms", ms)
		}
	}
	assert.Assert(t, len(fleet.purposes) > 0)
}
