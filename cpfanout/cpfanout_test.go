package cpfanout_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfanout"
)

var t0 = time.Unix(1000, 0)

// at returns the time some milliseconds after the start.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// fleet implements cpfanout.Targets with three targets for each service.
type fleet struct {
	targets map[clementineport.ServiceID][]*cpbalancer.Target
	absent  map[clementineport.ServiceID]bool
	busy    bool
	budget  int
	spent   int
	values  []float64
	// purposes records the purpose of each call to Choose.
	purposes []cpfanout.Purpose
	// latency is the expected latency of a service's targets. A service that is not listed has a free target.
	latency map[clementineport.ServiceID]time.Duration
}

func newFleet(shards int) *fleet {
	f := &fleet{
		targets: map[clementineport.ServiceID][]*cpbalancer.Target{},
		absent:  map[clementineport.ServiceID]bool{},
		budget:  100,
	}
	for _, s := range services(shards) {
		for n := range 3 {
			id := clementineport.TargetID(fmt.Sprintf("%s-%d", s, n))
			f.targets[s] = append(f.targets[s], cpbalancer.NewTarget(clementineport.TargetInstance{ID: id, Service: s, Slots: 1}))
		}
	}
	return f
}

func services(n int) (all []clementineport.ServiceID) {
	for i := range n {
		all = append(all, clementineport.ServiceID(fmt.Sprintf("s%d", i)))
	}
	return all
}

// Choose implements cpfanout.Targets.
func (f *fleet) Choose(_ time.Time, s clementineport.ServiceID, purpose cpfanout.Purpose, excluded func(*cpbalancer.Target) bool) (*cpbalancer.Target, cpfanout.Availability) {
	f.purposes = append(f.purposes, purpose)
	if f.busy {
		return nil, cpfanout.Busy
	}
	if f.absent[s] {
		return nil, cpfanout.Unavailable
	}
	for _, t := range f.targets[s] {
		if !excluded(t) {
			return t, cpfanout.Available
		}
	}
	return nil, cpfanout.Unavailable
}

// Latency implements cpfanout.Targets.
func (f *fleet) Latency(_ time.Time, s clementineport.ServiceID) time.Duration { return f.latency[s] }

// SpendExtraCall implements cpfanout.Targets.
func (f *fleet) SpendExtraCall(_ clementineport.ServiceID, value float64) bool {
	f.values = append(f.values, value)
	if f.spent >= f.budget {
		return false
	}
	f.spent++
	return true
}

// gatherPlan returns a plan for a gather with an objective of 100 ms and a deadline of 500 ms.
func gatherPlan(shards int, share float64) cpfanout.Plan {
	return cpfanout.Plan{
		Shards: services(shards), Gathers: true, Idempotent: true, MaxAttempts: 2, MinShards: cpfanout.MinShards(share, shards),
		Objective: at(100), Deadline: at(500), HedgeAfter: 20 * time.Millisecond,
	}
}

// singlePlan returns a plan for a request with one shard and a deadline of 500 ms.
func singlePlan(idempotent bool) cpfanout.Plan {
	return cpfanout.Plan{
		Shards: services(1), Idempotent: idempotent, MaxAttempts: 2, MinShards: 1, Deadline: at(500),
		HedgeAfter: 20 * time.Millisecond,
	}
}

// answered returns the result of a successful call.
func answered(s cpfanout.Send) *cpfanout.Result {
	return &cpfanout.Result{Shard: s.Shard, Attempt: s.Attempt, Part: &clementineport.OpaqueResponse{
		Target: s.Target.ID, Status: 200, Signature: string(s.Target.ID),
	}}
}

// failed returns the result of a failed call.
func failed(s cpfanout.Send, fault clementineport.Fault) *cpfanout.Result {
	return &cpfanout.Result{Shard: s.Shard, Attempt: s.Attempt, Fault: fault}
}

// begin starts a request and returns a copy of the first calls, which the next call to the Fanout overwrites.
func begin(f *cpfanout.Fanout) []cpfanout.Send { return append([]cpfanout.Send(nil), f.Start(t0)...) }

func TestEachShardIsCalledOnceAndTheAnswerIsComplete(t *testing.T) {
	fan := cpfanout.New(gatherPlan(10, 0.9), newFleet(10))
	sends := begin(fan)
	assert.Equal(t, len(sends), 10)
	for i, s := range sends {
		assert.Assert(t, !fan.Ended())
		assert.Equal(t, len(fan.Done(at(10+i), answered(s))), 0)
	}
	assert.Assert(t, fan.Ended())
	o := fan.Outcome(at(500))
	assert.Equal(t, len(o.Parts), 10)
	assert.Equal(t, o.Missing, 0)
	assert.Equal(t, o.Stats.Sends, 10)
}

func TestATargetThatPausesIsHedged(t *testing.T) {
	fleet := newFleet(10)
	fan := cpfanout.New(gatherPlan(10, 0.9), fleet)
	sends := begin(fan)
	for _, s := range sends[1:] {
		fan.Done(at(10), answered(s))
	}
	assert.Assert(t, fan.Wake().Equal(at(20)))
	hedges := fan.Tick(at(20))
	assert.Equal(t, len(hedges), 1)
	assert.Equal(t, hedges[0].Shard, 0)
	assert.Assert(t, hedges[0].Extra)
	assert.Assert(t, hedges[0].Target != sends[0].Target)
	fan.Done(at(30), answered(hedges[0]))
	assert.Assert(t, fan.Ended())
	assert.Equal(t, fleet.spent, 1)
	assert.Equal(t, len(fan.Outcome(at(500)).Parts), 10)
}

func TestAHedgeWaitsForTheBudget(t *testing.T) {
	fleet := newFleet(1)
	fleet.budget = 0
	fan := cpfanout.New(singlePlan(true), fleet)
	begin(fan)
	assert.Equal(t, len(fan.Tick(at(20))), 0)
	fleet.budget = 1
	assert.Equal(t, len(fan.Tick(fan.Wake())), 1)
}

func TestARequestThatIsNotIdempotentIsNotHedged(t *testing.T) {
	fan := cpfanout.New(singlePlan(false), newFleet(1))
	begin(fan)
	for ms := range 499 {
		assert.Equal(t, len(fan.Tick(at(ms))), 0)
	}
}

func TestARequestThatIsNotIdempotentIsNotSentAgainOnceItMayHaveRun(t *testing.T) {
	for _, fault := range []clementineport.Fault{
		clementineport.FaultReset, clementineport.FaultCut, clementineport.FaultTimeout, clementineport.FaultMismatched,
		clementineport.FaultMalformed, clementineport.FaultCanceled,
	} {
		t.Run(fault.String(), func(t *testing.T) {
			fan := cpfanout.New(singlePlan(false), newFleet(1))
			sends := begin(fan)
			assert.Equal(t, len(fan.Done(at(5), failed(sends[0], fault))), 0)
			assert.Assert(t, fan.Ended())
			assert.Equal(t, fan.Outcome(at(500)).Verdict, clementineport.MayHaveRun)
		})
	}
}

func TestARequestThatIsNotIdempotentIsSentAgainAfterItWasRefused(t *testing.T) {
	for _, fault := range []clementineport.Fault{
		clementineport.FaultShed, clementineport.FaultMisdirected, clementineport.FaultRefused, clementineport.FaultUnsent,
	} {
		t.Run(fault.String(), func(t *testing.T) {
			fan := cpfanout.New(singlePlan(false), newFleet(1))
			sends := begin(fan)
			retries := fan.Done(at(5), failed(sends[0], fault))
			assert.Equal(t, len(retries), 1)
			assert.Assert(t, retries[0].Target != sends[0].Target)
			fan.Done(at(9), answered(retries[0]))
			assert.Assert(t, fan.Ended())
			assert.Equal(t, len(fan.Outcome(at(500)).Parts), 1)
		})
	}
}

func TestTargetsThatAllRefuseAreAskedAgainAndNoFurtherOneIs(t *testing.T) {
	fan := cpfanout.New(singlePlan(true), newFleet(1))
	sends := begin(fan)
	calls := map[clementineport.TargetID]int{sends[0].Target.ID: 1}
	for ms := 5; !fan.Ended() && ms < 500; ms += 5 {
		for _, s := range sends {
			next := fan.Done(at(ms), failed(s, clementineport.FaultShed))
			sends = append([]cpfanout.Send(nil), next...)
		}
		if len(sends) == 0 {
			sends = append(sends, fan.Tick(at(ms))...)
		}
		for _, s := range sends {
			calls[s.Target.ID]++
		}
	}
	assert.Assert(t, fan.Ended())
	assert.Equal(t, len(calls), 2)
	assert.Equal(t, fan.Outcome(at(500)).Verdict, clementineport.NotRun)
}

func TestAShardWithoutTargetsIsLeftOut(t *testing.T) {
	fleet := newFleet(10)
	fleet.absent["s3"] = true
	fan := cpfanout.New(gatherPlan(10, 0.9), fleet)
	sends := begin(fan)
	assert.Equal(t, len(sends), 9)
	for _, s := range sends {
		fan.Done(at(10), answered(s))
	}
	assert.Assert(t, fan.Ended())
	assert.Equal(t, fan.Outcome(at(500)).Missing, 1)
}

func TestARequestThatCannotReachItsLeastShareIsRefusedBeforeAnythingIsSent(t *testing.T) {
	fleet := newFleet(10)
	fleet.absent["s3"], fleet.absent["s9"] = true, true
	fan := cpfanout.New(gatherPlan(10, 0.9), fleet)
	assert.Equal(t, len(fan.Start(t0)), 0)
	assert.Assert(t, fan.Ended())
	assert.Equal(t, fan.Outcome(at(500)).Verdict, clementineport.NotRun)
}

func TestAnAnswerIsClosedAtItsObjectiveFromTheLeastShareOn(t *testing.T) {
	fan := cpfanout.New(gatherPlan(10, 0.8), newFleet(10))
	sends := begin(fan)
	for _, s := range sends[2:] {
		fan.Done(at(50), answered(s))
	}
	fan.Tick(at(99))
	assert.Assert(t, !fan.Ended())
	fan.Tick(at(100))
	assert.Assert(t, fan.Ended())
	assert.Equal(t, fan.Outcome(at(500)).Missing, 2)
}

func TestAnAnswerBelowTheLeastShareWaitsBeyondItsObjective(t *testing.T) {
	fan := cpfanout.New(gatherPlan(10, 0.9), newFleet(10))
	sends := begin(fan)
	for _, s := range sends[2:] {
		fan.Done(at(50), answered(s))
	}
	fan.Tick(at(100))
	assert.Assert(t, !fan.Ended())
	fan.Done(at(150), answered(sends[0]))
	assert.Assert(t, fan.Ended())
	assert.Equal(t, fan.Outcome(at(500)).Missing, 1)
}

func TestARequestEndsAtItsDeadline(t *testing.T) {
	fan := cpfanout.New(gatherPlan(3, 1), newFleet(3))
	begin(fan)
	fan.Tick(at(499))
	assert.Assert(t, !fan.Ended())
	fan.Tick(at(500))
	assert.Assert(t, fan.Ended())
	assert.Equal(t, fan.Outcome(at(500)).Verdict, clementineport.MayHaveRun)
}

func TestTheFailureOfATargetIsReturnedWhenThereIsNothingBetter(t *testing.T) {
	fan := cpfanout.New(singlePlan(true), newFleet(1))
	sends := begin(fan)
	bad := &clementineport.OpaqueResponse{Status: 500, Signature: "x"}
	retries := fan.Done(at(5), &cpfanout.Result{Part: bad})
	assert.Equal(t, len(retries), 1)
	assert.Assert(t, retries[0].Target != sends[0].Target)
	fan.Done(at(9), &cpfanout.Result{Attempt: 1, Part: bad})
	assert.Assert(t, fan.Ended())
	assert.Equal(t, fan.Outcome(at(500)).Failure, bad)
}

// randomRun runs a request with random results and records what was sent.
type randomRun struct {
	fan         *cpfanout.Fanout
	plan        cpfanout.Plan
	outstanding []cpfanout.Send
	// mayRun counts the calls to each shard that may have run.
	mayRun map[int]int
	notRun int
	sent   int
}

func (c *randomRun) record(sends []cpfanout.Send) {
	for _, s := range sends {
		c.outstanding = append(c.outstanding, s)
		c.mayRun[s.Shard]++
		c.sent++
	}
}

// finish ends a random outstanding call with a random result.
func (c *randomRun) finish(t *rapid.T, now time.Time) {
	i := rapid.IntRange(0, len(c.outstanding)-1).Draw(t, "call")
	s := c.outstanding[i]
	c.outstanding = append(c.outstanding[:i:i], c.outstanding[i+1:]...)
	r := answered(s)
	if rapid.IntRange(0, 2).Draw(t, "outcome") > 0 {
		r = failed(s, rapid.SampledFrom([]clementineport.Fault{
			clementineport.FaultReset, clementineport.FaultShed, clementineport.FaultRefused, clementineport.FaultMisdirected,
			clementineport.FaultCut, clementineport.FaultUnsent,
		}).Draw(t, "fault"))
	}
	if r.Part == nil && r.Fault.Verdict() == clementineport.NotRun {
		c.mayRun[s.Shard]--
		c.notRun++
	}
	c.record(c.fan.Done(now, r))
}

func TestRandomResultsStayWithinTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 5).Draw(t, "shards")
		plan := gatherPlan(shards, rapid.Float64Range(0, 1).Draw(t, "share"))
		if shards == 1 && rapid.Bool().Draw(t, "single") {
			plan = singlePlan(rapid.Bool().Draw(t, "idempotent"))
		}
		c := &randomRun{fan: cpfanout.New(plan, newFleet(shards)), plan: plan, mayRun: map[int]int{}}
		c.record(c.fan.Start(t0))
		for ms := 1; !c.fan.Ended(); ms += rapid.IntRange(1, 40).Draw(t, "step") {
			now := at(min(ms, 500))
			if len(c.outstanding) > 0 && rapid.Bool().Draw(t, "result") {
				c.finish(t, now)
			} else {
				c.record(c.fan.Tick(now))
			}
			for shard, n := range c.mayRun {
				limit := plan.MaxAttempts
				if !plan.Idempotent {
					limit = 1
				}
				assert.Assert(t, n <= limit, "shard %d may have run %d times", shard, n)
			}
		}
		o := c.fan.Outcome(at(500))
		if len(o.Parts) == 0 && o.Verdict == clementineport.NotRun {
			assert.Equal(t, c.sent, c.notRun)
		}
		if len(o.Parts) > 0 {
			assert.Assert(t, len(o.Parts) >= plan.MinShards)
			assert.Equal(t, len(o.Parts)+o.Missing, shards)
		}
	})
}

func TestAnExtraCallIsWorthMostWhenItAloneDecidesTheAnswer(t *testing.T) {
	for _, row := range []struct {
		name   string
		failed int
		share  float64
		least  float64
		most   float64
	}{
		{"one decides", 1, 1, 0.99, 1},
		{"two decide", 2, 1, 0.49, 0.51},
		{"above the least share", 1, 0.5, 0.18, 0.2},
	} {
		t.Run(row.name, func(t *testing.T) {
			fleet := newFleet(10)
			fleet.budget = 0
			plan := gatherPlan(10, row.share)
			plan.FinalAttempt = true
			fan := cpfanout.New(plan, fleet)
			sends := begin(fan)
			for _, s := range sends[:row.failed] {
				fan.Done(at(5), failed(s, clementineport.FaultReset))
			}
			value := fleet.values[len(fleet.values)-1]
			assert.Assert(t, value >= row.least && value <= row.most, "%v", value)
		})
	}
}

func TestARequestThatGetsNoFurtherCallDoesNotWaitForItsDeadline(t *testing.T) {
	fleet := newFleet(2)
	fleet.budget = 0
	fan := cpfanout.New(gatherPlan(2, 1), fleet)
	sends := begin(fan)
	fan.Done(at(5), answered(sends[0]))
	fan.Done(at(5), failed(sends[1], clementineport.FaultReset))
	for now := fan.Wake(); !fan.Ended() && now.Before(at(200)); now = fan.Wake() {
		fan.Tick(now)
	}
	assert.Assert(t, fan.Ended())
	assert.Equal(t, fan.Outcome(at(500)).Verdict, clementineport.MayHaveRun)
}

func TestARequestWithoutTimeIsNotSent(t *testing.T) {
	for name, plan := range map[string]cpfanout.Plan{"gather": gatherPlan(3, 1), "single": singlePlan(true)} {
		t.Run(name, func(t *testing.T) {
			fan := cpfanout.New(plan, newFleet(3))
			assert.Equal(t, len(fan.Start(at(500))), 0)
			assert.Assert(t, fan.Ended())
			assert.Equal(t, fan.Outcome(at(500)).Verdict, clementineport.NotRun)
			assert.Equal(t, fan.Outcome(at(500)).Fault, clementineport.FaultDeadline)
		})
	}
}
