package cpfanout

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
)

// shardState is the state of a shard of a request.
type shardState uint8

const (
	open shardState = iota
	covered
	failed
)

// attempt is one call to a target.
type attempt struct {
	target *cpbalancer.Target
	done   bool
	// mayHaveRun is true until it is proven that the target did not run the request.
	mayHaveRun bool
	// refused is true if the target was reached and refused the request without running it.
	refused bool
}

// shard is the state of one shard of a request.
type shard struct {
	state    shardState
	attempts []attempt
	part     *clementineport.OpaqueResponse
	// failure is the latest response in which a target reported a failure.
	failure *clementineport.OpaqueResponse
	fault   clementineport.Fault
	// wakeAt is when the next call is due, or zero.
	wakeAt time.Time
	// firstSentAt is when the first call was sent, and queuedFor the time from the start of the request until then.
	firstSentAt time.Time
	queuedFor   time.Duration
	// lastSentAt is when the latest call was sent.
	lastSentAt time.Time
	// expectedLatency is the expected latency of the first call, or zero if it is not known.
	expectedLatency time.Duration
	// deferred is true while the shard is not called because its targets would answer too late.
	deferred bool
	// refusals counts the calls that a target shed.
	refusals int
	// denials counts the extra calls that the budget denied.
	denials int
}

// outstanding returns the number of calls without a result.
func (s *shard) outstanding() (n int) {
	for i := range s.attempts {
		if !s.attempts[i].done {
			n++
		}
	}
	return n
}

// possibleRuns returns the number of calls that may have run.
func (s *shard) possibleRuns() (n int) {
	for i := range s.attempts {
		if s.attempts[i].mayHaveRun {
			n++
		}
	}
	return n
}

// mayHaveRun reports whether a call may have run.
func (s *shard) mayHaveRun() bool { return s.possibleRuns() > 0 }

// targetsReached returns the number of different targets that were reached.
func (s *shard) targetsReached() int {
	n := 0
	for i := range s.attempts {
		a := &s.attempts[i]
		if !a.mayHaveRun && !a.refused || s.triedBefore(i) {
			continue
		}
		n++
	}
	return n
}

// triedBefore reports whether an attempt before attempt i went to the same target.
func (s *shard) triedBefore(i int) bool {
	for j := range i {
		if s.attempts[j].target == s.attempts[i].target {
			return true
		}
	}
	return false
}

// tried reports whether a target was called.
func (s *shard) tried(t *cpbalancer.Target) bool {
	for i := range s.attempts {
		if s.attempts[i].target == t {
			return true
		}
	}
	return false
}

// refusedAll reports whether a target was called and refused every call without running it.
func (s *shard) refusedAll(t *cpbalancer.Target) bool {
	called := false
	for i := range s.attempts {
		if a := &s.attempts[i]; a.target == t {
			if a.mayHaveRun || !a.refused {
				return false
			}
			called = true
		}
	}
	return called
}

// sendFirst sends the first call to a shard, unless the shard is deferred. After its objective, a request leaves busy
// targets to requests that can still meet theirs.
func (f *Fanout) sendFirst(now time.Time, i int) {
	s := &f.shards[i]
	if s.deferred {
		s.wakeAt = now.Add(f.options.DeferRecheckDelay)
		return
	}
	purpose := First
	if f.plan.Gathers && now.After(f.plan.Objective) {
		purpose = Late
	}
	target, availability := f.targets.Choose(now, f.plan.Shards[i], purpose, s.tried)
	if target != nil {
		f.send(now, i, target, false)
		return
	}
	f.waitForTarget(now, s, availability)
}

// waitForTarget schedules another attempt to choose a target, or fails the shard if none is eligible.
func (f *Fanout) waitForTarget(now time.Time, s *shard, availability Availability) {
	if availability == Unavailable && s.outstanding() == 0 {
		f.failShard(s, clementineport.FaultUnavailable)
		return
	}
	s.wakeAt = now.Add(f.options.RecheckDelay)
}

// send adds a call to those to be sent.
func (f *Fanout) send(now time.Time, i int, target *cpbalancer.Target, extra bool) {
	s := &f.shards[i]
	s.attempts = append(s.attempts, attempt{target: target, mayHaveRun: true})
	f.stats.Sends++
	if !extra && len(s.attempts) == 1 {
		s.firstSentAt, s.queuedFor = now, now.Sub(f.startedAt)
	}
	f.sends = append(f.sends, Send{Shard: i, Attempt: len(s.attempts) - 1, Target: target, Extra: extra})
	s.wakeAt, s.lastSentAt = time.Time{}, now
	if f.mayHedge(s) {
		s.wakeAt = now.Add(f.plan.HedgeAfter)
	}
}

// mayHedge reports whether the outstanding call to a shard may be hedged.
func (f *Fanout) mayHedge(s *shard) bool {
	return f.plan.Idempotent && f.plan.HedgeAfter > 0 && s.outstanding() == 1 && s.possibleRuns() < f.plan.MaxAttempts &&
		s.targetsReached() < f.plan.MaxAttempts
}

// failShard marks a shard as failed. The fault recorded first is kept.
func (f *Fanout) failShard(s *shard, fault clementineport.Fault) {
	if s.fault == clementineport.FaultUnknown {
		s.fault = fault
	}
	s.state = failed
	s.wakeAt = time.Time{}
	f.failed++
}

// sendIfDue sends the next call to a shard if its time has come.
func (f *Fanout) sendIfDue(now time.Time, i int) {
	s := &f.shards[i]
	if s.state != open || s.wakeAt.IsZero() || now.Before(s.wakeAt) {
		return
	}
	s.wakeAt = time.Time{}
	switch {
	case s.outstanding() > 0:
		f.hedge(now, i)
	case len(s.attempts) == 0:
		f.sendFirst(now, i)
	default:
		f.retry(now, i)
	}
}

// hedge calls another target while the outstanding call is slow.
func (f *Fanout) hedge(now time.Time, i int) {
	s := &f.shards[i]
	if !f.mayHedge(s) {
		return
	}
	target, _ := f.targets.Choose(now, f.plan.Shards[i], Hedge, s.tried)
	if target == nil || !f.targets.SpendExtraCall(f.plan.Shards[i], f.extraCallValue(now, i)) {
		s.wakeAt = now.Add(f.options.RecheckDelay)
		return
	}
	f.stats.Hedges++
	f.send(now, i, target, true)
}

// retry calls a target after all earlier calls to the shard have failed. As long as no target has been reached, a retry
// needs no budget: the earlier calls have caused no load.
func (f *Fanout) retry(now time.Time, i int) {
	s := &f.shards[i]
	target, availability := f.chooseForRetry(now, i)
	if target == nil {
		f.waitForTarget(now, s, availability)
		return
	}
	extra := s.targetsReached() > 0
	if extra && !f.targets.SpendExtraCall(f.plan.Shards[i], f.extraCallValue(now, i)) {
		f.budgetDenied(now, s)
		return
	}
	f.stats.Retries++
	f.send(now, i, target, extra)
}

// budgetDenied schedules another attempt to get budget for a retry, up to MaxBudgetDenials times. After that it fails
// the shard, which has no outstanding call, so that the caller does not wait for an answer that will not come. If the
// caller can still retry, the shard of a gather fails at once: the caller's next attempt calls each shard anew and may
// still be in time.
func (f *Fanout) budgetDenied(now time.Time, s *shard) {
	s.denials++
	if s.denials > f.options.MaxBudgetDenials || f.plan.Gathers && !f.plan.FinalAttempt {
		f.failShard(s, s.fault)
		return
	}
	s.wakeAt = now.Add(f.options.BudgetRecheckDelay)
}

// extraCallValue returns the value of one more call to a shard, as a share of the value of a complete answer. An answer
// is worth the square of the share of shards that it covers, and nothing if it covers fewer than MinShards. A shard
// counts as covered while its latest call has been outstanding for less than HedgeAfter.
func (f *Fanout) extraCallValue(now time.Time, i int) float64 {
	certain := f.covered
	for j := range f.shards {
		if s := &f.shards[j]; j != i && s.state == open && s.outstanding() > 0 && now.Sub(s.lastSentAt) < f.plan.HedgeAfter {
			certain++
		}
	}
	all, minimum := float64(len(f.shards)), float64(f.plan.MinShards)
	if lacking := f.plan.MinShards - certain; lacking > 0 {
		return minimum * minimum / (all * all) / float64(lacking)
	}
	return float64(2*certain+1) / (all * all)
}

// chooseForRetry chooses a target that has not been called. If MaxAttempts targets have been reached or no other target
// is eligible, it chooses one that has refused all its calls without running them.
func (f *Fanout) chooseForRetry(now time.Time, i int) (*cpbalancer.Target, Availability) {
	s := &f.shards[i]
	if s.targetsReached() < f.plan.MaxAttempts {
		target, availability := f.targets.Choose(now, f.plan.Shards[i], Retry, s.tried)
		if availability != Unavailable {
			return target, availability
		}
	}
	return f.targets.Choose(now, f.plan.Shards[i], Retry, func(t *cpbalancer.Target) bool { return !s.refusedAll(t) })
}

// recordResult records the result of a call to an open shard.
func (f *Fanout) recordResult(now time.Time, r *Result, s *shard, a *attempt) {
	switch {
	case r.Part != nil && r.Part.Success():
		s.state, s.part, s.wakeAt = covered, r.Part, time.Time{}
		f.covered++
	case r.Part != nil:
		s.failure, s.fault = r.Part, clementineport.FaultInternal
		f.afterRun(now, s)
	case r.Fault.Verdict() == clementineport.NotRun:
		a.mayHaveRun = false
		a.refused = r.Fault == clementineport.FaultShed || r.Fault == clementineport.FaultMisdirected
		f.afterRefusal(now, r.Fault, s)
	default:
		s.fault = r.Fault
		f.afterRun(now, s)
	}
}

// afterRun retries or fails a shard after a failed call that may have run.
func (f *Fanout) afterRun(now time.Time, s *shard) {
	if s.outstanding() > 0 {
		return
	}
	if !f.plan.Idempotent || s.possibleRuns() >= f.plan.MaxAttempts {
		f.failShard(s, s.fault)
		return
	}
	s.wakeAt = now
}

// afterRefusal retries or fails a shard after a call that is proven not to have run.
func (f *Fanout) afterRefusal(now time.Time, fault clementineport.Fault, s *shard) {
	if fault == clementineport.FaultShed {
		f.stats.Refused++
		s.refusals++
	}
	if s.outstanding() > 0 {
		return
	}
	if s.fault == clementineport.FaultUnknown {
		s.fault = fault
	}
	if s.possibleRuns() >= f.plan.MaxAttempts || len(s.attempts) >= f.options.MaxSends {
		f.failShard(s, fault)
		return
	}
	s.wakeAt = now.Add(f.retryDelay(s))
}

// retryDelay returns the delay before a shard is retried after a refusal. After its first refusal, a shard of a gather
// waits until other shards may have been refused too, so that the budget goes to requests that can still be answered.
func (f *Fanout) retryDelay(s *shard) time.Duration {
	switch {
	case s.refusals > 1:
		return f.options.RefusalBackoff * time.Duration(s.refusals-1)
	case s.refusals == 1 && f.plan.Gathers:
		return f.options.RefusalDelay
	default:
		return 0
	}
}
