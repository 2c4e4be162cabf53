package cprollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Evidence is what the driver of a rollout knows when it decides.
type Evidence struct {
	Now     time.Time
	Rollout *Rollout
	Judge   *Judge
	// OldTargets and NewTargets are the numbers of registered targets, and OldSlots and NewSlots the slots of those that may be
	// called and are warm.
	OldTargets, NewTargets int
	OldSlots, NewSlots     int
	// Stopped is a VM that found the new version to be bad, or empty.
	Stopped clementineport.VMID
	// OldEnded is true if no VM may send requests to old targets or have any under way there.
	OldEnded bool
	// TrialAnswers is the number of answers of the new version since the present phase began.
	TrialAnswers int64
}

// Decide returns the state to store next, or nil if the stored one holds. The result has no driver.
func Decide(e *Evidence, b *Bounds) *clementineport.RolloutStatus {
	r := e.Rollout
	elapsed := e.Now.Sub(r.OrderedAt)
	next := &clementineport.RolloutStatus{
		Service: r.service(), Order: r.Order.Revision, Version: r.Version, Avoid: slices.Clone(r.Avoid), Elapsed: elapsed,
	}
	if !r.Ordered {
		return abandon(r, next)
	}
	if r.Phase.Ended() {
		if r.current() && !r.Lost {
			return nil
		}
		next.Phase, next.Share, next.Reason = r.Phase, r.Share, "the state was lost, or the version was rolled out before"
		return next
	}
	next.Phase, next.Share, next.Reason = step(e, b, elapsed)
	if next.Phase == r.Phase && next.Share == r.Share && r.current() && !r.Lost {
		if elapsed-r.Stored.Elapsed < max(minSaveInterval, time.Duration(saveInterval*float64(r.Order.Duration))) {
			return nil
		}
		next.Reason = r.Stored.Reason
	}
	return next
}

// service returns the service of the rollout.
func (r *Rollout) service() clementineport.ServiceID {
	if r.Ordered {
		return r.Order.Service
	}
	return r.Stored.Service
}

// abandon returns the state after the order was removed, or nil if the rollout had ended and the store has its state.
func abandon(r *Rollout, next *clementineport.RolloutStatus) *clementineport.RolloutStatus {
	next.Order, next.Elapsed = r.Stored.Order, r.Stored.Elapsed
	switch {
	case r.Stored.Phase.Ended() && !r.Lost:
		return nil
	case r.Stored.Phase.Ended():
		next.Phase, next.Share, next.Reason = r.Stored.Phase, r.Stored.Share, r.Stored.Reason
		return next
	}
	next.Phase, next.Reason = clementineport.RolloutRolledBack, "the order was removed"
	return next
}

// step returns the phase and the share that follow from the evidence, and why.
func step(e *Evidence, b *Bounds, elapsed time.Duration) (clementineport.RolloutPhase, float64, string) {
	r := e.Rollout
	if reason, bad := e.verdict(); bad {
		return clementineport.RolloutRolledBack, 0, reason
	}
	if r.Phase == clementineport.RolloutCompleting && e.OldEnded && e.NewSlots > 0 && e.triedFully(elapsed) && e.Judge.Holds() && elapsed < r.Order.Duration+b.Outage {
		return clementineport.RolloutCompleted, 1, fmt.Sprintf("the calls to old targets have ended; %d answers of the new version since, %d since the order", e.TrialAnswers, e.Judge.Ended())
	}
	if elapsed >= r.Order.Duration {
		return clementineport.RolloutRolledBack, 0, fmt.Sprintf("the deadline has passed in phase %v after %d answers of the new version", r.Phase, e.Judge.Ended())
	}
	switch r.Phase {
	case clementineport.RolloutWaiting:
		return e.fromWaiting(b)
	case clementineport.RolloutCanary:
		return e.fromCanary(b, elapsed)
	case clementineport.RolloutWidening:
		return e.fromWidening()
	default:
		if e.NewSlots == 0 {
			return clementineport.RolloutRolledBack, 0, "no target of the new version is usable"
		}
		return r.Phase, 1, r.Stored.Reason
	}
}

// verdict reports whether the new version is bad, and why.
func (e *Evidence) verdict() (reason string, bad bool) {
	if e.Stopped != "" {
		return fmt.Sprintf("VM %s found the new version to be bad", e.Stopped), true
	}
	return e.Judge.Alarm()
}

// fromWaiting begins the canary once there is a target of the new version.
func (e *Evidence) fromWaiting(b *Bounds) (clementineport.RolloutPhase, float64, string) {
	r := e.Rollout
	switch {
	case e.NewTargets == 0:
		return r.Phase, 0, "no target of the new version is registered"
	case e.OldTargets == 0 && !r.HasState:
		// There is nothing to move, and bounding the requests to the only version would refuse the others.
		return clementineport.RolloutCompleted, 1, "all targets ran the version when it was ordered"
	default:
		return clementineport.RolloutCanary, canaryPart * b.Share, fmt.Sprintf("%d targets of the new version are registered", e.NewTargets)
	}
}

// fromCanary begins the trial late, so that most of what a version that turns bad may get is left until then.
func (e *Evidence) fromCanary(b *Bounds, elapsed time.Duration) (clementineport.RolloutPhase, float64, string) {
	r := e.Rollout
	trialAt := TrialAt(r.Order.Duration, b)
	accepted := e.Judge.Accepted()
	switch {
	case elapsed >= trialAt && accepted && e.NewSlots > 0 && 2*e.NewSlots >= e.OldSlots:
		next := clementineport.RolloutWidening
		if elapsed >= r.Order.Duration-2*b.Contact { // the rest is needed until the calls to old targets have ended
			next = clementineport.RolloutCompleting
		}
		return next, 1, fmt.Sprintf("%d answers of the new version are as good as those of the old one", e.Judge.Ended())
	case r.Share < scarceShare && !accepted && e.scarce(elapsed, trialAt):
		return r.Phase, scarceShare, fmt.Sprintf("%d answers of the new version are too few", e.Judge.Ended())
	case r.Share >= scarceShare && accepted && elapsed < trialAt:
		return r.Phase, canaryPart * b.Share, fmt.Sprintf("%d answers of the new version are enough for now", e.Judge.Ended())
	default:
		return r.Phase, r.Share, r.Stored.Reason
	}
}

// scarce reports whether the canary share gives too few answers by the time of the trial.
func (e *Evidence) scarce(elapsed, trialAt time.Duration) bool {
	if elapsed < trialAt/4 {
		return false
	}
	expected := float64(e.Judge.Ended()) * float64(trialAt) / float64(elapsed)
	return expected < enoughAnswers || elapsed >= 3*trialAt/4
}

// fromWidening ends the trial in which the new version gets as many requests as the bound allows at once.
func (e *Evidence) fromWidening() (clementineport.RolloutPhase, float64, string) {
	r := e.Rollout
	lasted := e.Now.Sub(r.PhaseAt)
	switch tried := e.TrialAnswers >= trialAnswers && lasted >= minTrialTime || lasted >= trialTime; {
	case tried && e.Judge.Holds() && e.NewSlots > 0:
		return clementineport.RolloutCompleting, 1, fmt.Sprintf("%d answers in the trial, %d since the order", e.TrialAnswers, e.Judge.Ended())
	case lasted >= trialTime:
		// Each VM has used up what it may send in this phase.
		return clementineport.RolloutCanary, scarceShare, fmt.Sprintf("%d answers in the trial are too few to tell", e.TrialAnswers)
	default:
		return r.Phase, 1, r.Stored.Reason
	}
}

// triedFully reports whether the new version has had as many answers since it gets all requests as the service usually has in
// fullTime, or some if it has got all requests for long.
func (e *Evidence) triedFully(elapsed time.Duration) bool {
	lasted := e.Now.Sub(e.Rollout.PhaseAt)
	full := min(fullTime.Seconds(), fullPart*e.Rollout.Order.Duration.Seconds())
	usual := float64(e.Judge.All()) / elapsed.Seconds() * full
	return lasted >= minTrialTime && float64(e.TrialAnswers) >= max(trialAnswers, usual) || lasted >= maxFullTime && e.TrialAnswers >= fewAnswers
}

// TrialAt returns the time from the order to the trial of the new version with all requests.
func TrialAt(duration time.Duration, b *Bounds) time.Duration {
	before := time.Duration(trialBeforeEnd * float64(duration))
	return duration - min(before, contactsBeforeEnd*b.Contact)
}

// MayPromise reports whether a VM may promise to send no more requests to old targets: it has known for a while that they get none,
// and its view is recent enough to use the new version.
func MayPromise(now time.Time, r *Rollout, viewAge time.Duration, b *Bounds) bool {
	return r.Phase == clementineport.RolloutCompleting && now.Sub(r.PhaseAt) >= settleTime && viewAge <= b.Contact
}
