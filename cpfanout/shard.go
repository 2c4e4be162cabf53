package cpfanout

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
)

// shardState says whether a shard still waits for an answer.
type shardState uint8

const (
	open shardState = iota
	covered
	failed
)

// attempt is one call to a target.
type attempt struct {
	target *cpbalancer.Target
	over   bool
	// ran is false once it is proven that the target did not run the request.
	ran bool
	// refused is true when the target was reached and refused without running.
	refused bool
}

// shard is the state of one shard of a request.
type shard struct {
	state    shardState
	attempts []attempt
	part     *clementineport.OpaqueResponse
	// failure is the target's own failed response.
	failure *clementineport.OpaqueResponse
	fault   clementineport.Fault
	// wake is when the next call is due, or zero.
	wake time.Time
	// asked is when the first call was made, and waited how long that took.
	asked  time.Time
	waited time.Duration
	// latest is when the latest call was made.
	latest time.Time
	// expected is how long the answer to the first call would take, as far as that was known.
	expected time.Duration
	// held is true while the shard is not asked because its targets would answer too late.
	held bool
	// refusals counts calls that proved not to have run.
	refusals int
	// denials counts the calls that the budget did not allow.
	denials int
}

// outstanding returns the number of calls without a result.
func (s *shard) outstanding() (n int) {
	for i := range s.attempts {
		if !s.attempts[i].over {
			n++
		}
	}
	return n
}

// used returns the number of calls that may have run.
func (s *shard) used() (n int) {
	for i := range s.attempts {
		if s.attempts[i].ran {
			n++
		}
	}
	return n
}

// mayHaveRun reports whether a call may have run.
func (s *shard) mayHaveRun() bool { return s.used() > 0 }

// reached returns the number of different targets that were reached.
func (s *shard) reached() int {
	n := 0
	for i := range s.attempts {
		a := &s.attempts[i]
		if !a.ran && !a.refused || s.triedBefore(i) {
			continue
		}
		n++
	}
	return n
}

// triedBefore reports whether an earlier attempt than i went to the same target.
func (s *shard) triedBefore(i int) bool {
	for j := range i {
		if s.attempts[j].target == s.attempts[i].target {
			return true
		}
	}
	return false
}

// tried reports whether a target was asked.
func (s *shard) tried(t *cpbalancer.Target) bool {
	for i := range s.attempts {
		if s.attempts[i].target == t {
			return true
		}
	}
	return false
}

// mayAskAgain reports whether a target was asked and every call to it proved not to have run.
func (s *shard) mayAskAgain(t *cpbalancer.Target) bool {
	asked := false
	for i := range s.attempts {
		if a := &s.attempts[i]; a.target == t {
			if a.ran || !a.refused {
				return false
			}
			asked = true
		}
	}
	return asked
}

// first chooses the first target of a shard. A request that is late leaves full targets to those that can still be in time.
func (f *Fanout) first(now time.Time, i int) {
	s := &f.shards[i]
	if s.held {
		s.wake = now.Add(f.options.DeferRecheckDelay)
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
	f.wait(now, s, availability)
}

// wait looks for a target again soon, or gives the shard up when there is none.
func (f *Fanout) wait(now time.Time, s *shard, availability Availability) {
	if availability == Unavailable && s.outstanding() == 0 {
		f.fail(s, clementineport.FaultUnavailable)
		return
	}
	s.wake = now.Add(f.options.RecheckDelay)
}

// send adds a call.
func (f *Fanout) send(now time.Time, i int, target *cpbalancer.Target, extra bool) {
	s := &f.shards[i]
	s.attempts = append(s.attempts, attempt{target: target, ran: true})
	f.stats.Sends++
	if !extra && len(s.attempts) == 1 {
		s.asked, s.waited = now, now.Sub(f.began)
	}
	f.sends = append(f.sends, Send{Shard: i, Attempt: len(s.attempts) - 1, Target: target, Extra: extra})
	s.wake, s.latest = time.Time{}, now
	if f.mayHedge(s) {
		s.wake = now.Add(f.plan.HedgeAfter)
	}
}

// mayHedge reports whether another target may be asked beside the one that was asked.
func (f *Fanout) mayHedge(s *shard) bool {
	return f.plan.Idempotent && f.plan.HedgeAfter > 0 && s.outstanding() == 1 && s.used() < f.plan.MaxAttempts &&
		s.reached() < f.plan.MaxAttempts
}

// fail gives a shard up.
func (f *Fanout) fail(s *shard, fault clementineport.Fault) {
	if s.fault == clementineport.FaultUnknown {
		s.fault = fault
	}
	s.state = failed
	s.wake = time.Time{}
	f.failed++
}

// due sends the call of a shard whose time has come.
func (f *Fanout) due(now time.Time, i int) {
	s := &f.shards[i]
	if s.state != open || s.wake.IsZero() || now.Before(s.wake) {
		return
	}
	s.wake = time.Time{}
	switch {
	case s.outstanding() > 0:
		f.hedge(now, i)
	case len(s.attempts) == 0:
		f.first(now, i)
	default:
		f.again(now, i)
	}
}

// hedge asks another target beside one that is slow.
func (f *Fanout) hedge(now time.Time, i int) {
	s := &f.shards[i]
	if !f.mayHedge(s) {
		return
	}
	target, _ := f.targets.Choose(now, f.plan.Shards[i], Hedge, s.tried)
	if target == nil || !f.targets.SpendExtraCall(f.plan.Shards[i], f.value(now, i)) {
		s.wake = now.Add(f.options.RecheckDelay)
		return
	}
	f.stats.Hedges++
	f.send(now, i, target, true)
}

// again asks a target after all earlier calls of the shard have failed. A call that never reached its target costs
// nothing there, so it needs no budget to be made elsewhere.
func (f *Fanout) again(now time.Time, i int) {
	s := &f.shards[i]
	target, availability := f.further(now, i)
	if target == nil {
		f.wait(now, s, availability)
		return
	}
	extra := s.reached() > 0
	if extra && !f.targets.SpendExtraCall(f.plan.Shards[i], f.value(now, i)) {
		f.denied(now, s)
		return
	}
	f.stats.Retries++
	f.send(now, i, target, extra)
}

// denied tries again soon, a few times. A shard that has nothing under way and gets no further call is given up, so
// that the caller is not held for an answer that will not come. A caller that can come back is told at once: its next
// attempt asks each shard anew and may still be in time.
func (f *Fanout) denied(now time.Time, s *shard) {
	s.denials++
	if s.denials > f.options.MaxBudgetDenials || f.plan.Gathers && !f.plan.FinalAttempt {
		f.fail(s, s.fault)
		return
	}
	s.wake = now.Add(f.options.BudgetRecheckDelay)
}

// value returns what one more call for a shard is worth to the answer, as a share of a whole answer. An answer is
// worth the square of the share of its shards, and nothing below the least share; a shard counts as certain while its
// latest call takes no longer than most.
func (f *Fanout) value(now time.Time, i int) float64 {
	certain := f.covered
	for j := range f.shards {
		if s := &f.shards[j]; j != i && s.state == open && s.outstanding() > 0 && now.Sub(s.latest) < f.plan.HedgeAfter {
			certain++
		}
	}
	all, least := float64(len(f.shards)), float64(f.plan.MinShards)
	if lacking := f.plan.MinShards - certain; lacking > 0 {
		return least * least / (all * all) / float64(lacking)
	}
	return float64(2*certain+1) / (all * all)
}

// further chooses a target that was not asked, or, when no further one may be reached or is usable, one that refused
// without running.
func (f *Fanout) further(now time.Time, i int) (*cpbalancer.Target, Availability) {
	s := &f.shards[i]
	if s.reached() < f.plan.MaxAttempts {
		target, availability := f.targets.Choose(now, f.plan.Shards[i], Retry, s.tried)
		if availability != Unavailable {
			return target, availability
		}
	}
	return f.targets.Choose(now, f.plan.Shards[i], Retry, func(t *cpbalancer.Target) bool { return !s.mayAskAgain(t) })
}

// settle takes the result of a call of an open shard.
func (f *Fanout) settle(now time.Time, r *Result, s *shard, a *attempt) {
	switch {
	case r.Part != nil && r.Part.Success():
		s.state, s.part, s.wake = covered, r.Part, time.Time{}
		f.covered++
	case r.Part != nil:
		s.failure, s.fault = r.Part, clementineport.FaultInternal
		f.afterRun(now, s)
	case r.Fault.Verdict() == clementineport.NotRun:
		a.ran = false
		a.refused = r.Fault == clementineport.FaultShed || r.Fault == clementineport.FaultMisdirected
		f.afterRefusal(now, r.Fault, s)
	default:
		s.fault = r.Fault
		f.afterRun(now, s)
	}
}

// afterRun decides what follows a call that may have run and brought no answer.
func (f *Fanout) afterRun(now time.Time, s *shard) {
	if s.outstanding() > 0 {
		return
	}
	if !f.plan.Idempotent || s.used() >= f.plan.MaxAttempts {
		f.fail(s, s.fault)
		return
	}
	s.wake = now
}

// afterRefusal decides what follows a call that proved not to have run.
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
	if s.used() >= f.plan.MaxAttempts || len(s.attempts) >= f.options.MaxSends {
		f.fail(s, fault)
		return
	}
	s.wake = now.Add(f.refusalDelay(s))
}

// refusalDelay returns how long a shard waits after a refusal. Shards of one request wait until the others have been
// refused too, if they are, so that the budget goes to requests that can still be answered.
func (f *Fanout) refusalDelay(s *shard) time.Duration {
	switch {
	case s.refusals > 1:
		return f.options.RefusalBackoff * time.Duration(s.refusals-1)
	case s.refusals == 1 && f.plan.Gathers:
		return f.options.RefusalDelay
	default:
		return 0
	}
}
