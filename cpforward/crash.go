package cpforward

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpcrash"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cpreach"
)

const (
	// crashCheckTimeout limits the check whether a target has crashed. A connection to it may be in use for so long.
	crashCheckTimeout = time.Second
	// crashChecksPerSecond and crashChecksBurst bound the checks. Where more connections are lost, the targets or the network
	// have another problem, which further connections would make worse.
	crashChecksPerSecond = 2
	crashChecksBurst     = 5
	// maxReachChecks is the number of other targets that are connected to after a crash.
	maxReachChecks = 3
	// trialDelay is the time from the latest crash to the one trial of a blocked request.
	trialDelay = 10 * time.Second
	// blockedRetryAfter is the time after which a caller may send a blocked request again.
	blockedRetryAfter = time.Minute
)

// refuseBlocked returns the refusal of a request that is blocked because it has crashed targets, or nil. One VM sends a
// blocked request once more, to a single target, in case that the crashes had another cause; trial is then true.
func (f *Forwarder) refuseBlocked(now time.Time, view *cpfleetstate.View, route *clementineport.Route, key clementineport.RequestKey) (trial bool, _ *clementineport.Error) {
	suspect := view.Suspects[key]
	if !suspect.Blocked() {
		return false, nil
	}
	if !route.Gathers() && f.takeTrial(now, view, key, suspect) {
		return true, nil
	}
	e := clementineport.Fail(clementineport.FaultUnavailable, "requests with these contents have crashed %d targets, the latest %v ago",
		suspect.Crashed, now.Sub(suspect.LastCrash))
	e.RetryAfter = blockedRetryAfter
	return false, e
}

// takeTrial reports whether this VM may send a blocked request once more. That is so once, at the VM that ranks first for
// the request, unless the trial of another VM has crashed a target.
func (f *Forwarder) takeTrial(now time.Time, view *cpfleetstate.View, key clementineport.RequestKey, suspect cpcrash.Suspect) bool {
	if suspect.Crashed > cpcrash.MaxCrashes || now.Sub(suspect.LastCrash) < trialDelay {
		return false
	}
	first := cpowner.Rank(key.String(), view.Presumed, 1, func(m *clementineport.Member) bool { return m.State == clementineport.MemberAlive })
	if len(first) == 0 || view.Presumed[first[0]].ID != view.Self {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for tried := range f.trials {
		if _, known := view.Suspects[tried]; !known {
			delete(f.trials, tried)
		}
	}
	if f.trials[key] {
		return false
	}
	f.trials[key] = true
	return true
}

// endTrial allows another trial of a blocked request if this one has reached no target.
func (f *Forwarder) endTrial(key clementineport.RequestKey, answer *Result) {
	if answer.Err == nil || answer.Err.Verdict() != clementineport.NotRun {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.trials, key)
}

// SkippedCrashChecks returns the number of lost connections after which no check for a crash was made, because there were
// too many.
func (f *Forwarder) SkippedCrashChecks() uint64 { return f.skippedChecks.Load() }

// mayCall reports whether a call for the request may be sent. A trial is one call.
func (r *run) mayCall(purpose cpfanout.Purpose) bool {
	if r.unreached || r.stopped {
		return false
	}
	if r.trial {
		return purpose == cpfanout.First || purpose == cpfanout.Late
	}
	return !r.f.options.View().Suspects[r.key].Blocked()
}

// observeCrash reports that the target of a call has crashed while it may have run the request, or that it has served a
// request during which targets had crashed.
func (r *run) observeCrash(s cpfanout.Send, result *callResult) {
	switch {
	case result.Part != nil && result.Part.Success():
		r.served.Store(true)
		if r.f.options.View().Suspects[r.key].Crashed > 0 {
			r.f.options.OnReport(clementineport.RequestReport{Key: r.key, Served: true})
		}
	case result.Fault == clementineport.FaultReset, result.Fault == clementineport.FaultCut:
		now := r.f.options.Clock.Now()
		if !r.f.crashChecks.AllowN(now, 1) {
			r.f.skippedChecks.Add(1)
			return
		}
		go r.checkCrash(s, now)
	}
}

// checkCrash reports a crash if the target of a call that has lost its connection refuses others as well, while further targets
// accept them. A target that was going to end anyway has not crashed, and a request that another target has served is not the
// cause.
func (r *run) checkCrash(s cpfanout.Send, failedAt time.Time) {
	client := r.f.client(s.Target)
	if client == nil || client.Notice().Leaving {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if !client.Refuses(ctx) || r.served.Load() || !r.f.reachesAnother(ctx, s.Target) {
		return
	}
	r.f.options.OnReport(clementineport.RequestReport{Key: r.key, Run: s.Target.Run(), Age: r.f.options.Clock.Now().Sub(failedAt)})
}

// reachesAnother reports whether a target other than the given one accepts connections. If none does, this VM has probably lost
// its path to the targets.
func (f *Forwarder) reachesAnother(ctx context.Context, failed *cpbalancer.Target) bool {
	var others []clementineport.OpaqueTarget
	for _, targets := range f.options.View().Services {
		for i := range targets {
			if targets[i].State != failed {
				others = append(others, targets[i].Client)
			}
		}
	}
	reached, _ := cpreach.ConnectAny(ctx, others, maxReachChecks, 1)
	return reached
}
