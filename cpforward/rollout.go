package cpforward

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cprollout"
)

// chooseVersion returns a target of a service whose rollout is under way. The rollout decides which versions the call may use.
// The caller holds f.mu, so that concurrent calls don't exceed the bounds.
func (r *run) chooseVersion(now time.Time, view *cpfleetstate.View, rollout *cprollout.Rollout, service clementineport.ServiceID, purpose cpfanout.Purpose, request *cpbalancer.Request) (*cpbalancer.Target, cpfanout.Availability) {
	rollouts := r.f.options.Rollouts
	if r.arrived == nil {
		r.arrived, r.versions = map[clementineport.ServiceID]bool{}, map[*cpbalancer.Target]*cprollout.Call{}
	}
	if !r.arrived[service] {
		r.arrived[service] = true
		rollouts.Arrived(service, r.route.Name, rollout)
	}
	first := purpose == cpfanout.First || purpose == cpfanout.Late
	try := func(role cprollout.Role) (*cpbalancer.Target, cpfanout.Availability) {
		target, availability := r.f.choose(now, view, withRole(view.Services[service], rollout, role), request)
		if target != nil {
			r.versions[target] = rollouts.Sent(service, r.route.Name, role, isCold(now, view.Services[service], target))
		}
		return target, availability
	}
	use := rollouts.Plan(service, r.route.Name, rollout, first, r.f.options.ViewAge())
	switch use {
	case cprollout.UseNone:
		return nil, cpfanout.Unavailable
	case cprollout.UseNew:
		return try(cprollout.NewVersion)
	case cprollout.UseNewFirst:
		if target, _ := try(cprollout.NewVersion); target != nil {
			return target, cpfanout.Available
		}
		return try(cprollout.OldVersion)
	default:
		target, availability := try(cprollout.OldVersion)
		// A hedge finds no old target if all have been called for the request, although they may be usable.
		if availability == cpfanout.Unavailable && use == cprollout.UseOldFirst && purpose != cpfanout.Hedge {
			return try(cprollout.NewVersion)
		}
		return target, availability
	}
}

// withRole returns the targets whose version is the old one, the new one or one to avoid.
func withRole(targets []cpfleetstate.Target, rollout *cprollout.Rollout, role cprollout.Role) (of []cpfleetstate.Target) {
	for i := range targets {
		if rollout.RoleOf(targets[i].State.Version) == role {
			of = append(of, targets[i])
		}
	}
	return of
}

// usable returns the targets of a service that new requests may be sent to.
func usable(view *cpfleetstate.View, service clementineport.ServiceID) []cpfleetstate.Target {
	rollout := view.Rollouts[service]
	if rollout == nil || rollout.Phase != clementineport.RolloutCompleting {
		return view.Services[service]
	}
	return withRole(view.Services[service], rollout, cprollout.NewVersion)
}

// isCold reports whether a target is in its cold start.
func isCold(now time.Time, targets []cpfleetstate.Target, target *cpbalancer.Target) bool {
	for i := range targets {
		if targets[i].State == target {
			return targets[i].Cold(now)
		}
	}
	return false
}

// takeVersion removes and returns the counted call to a target that has been chosen, or nil if its service has no rollout.
func (r *run) takeVersion(target *cpbalancer.Target) *cprollout.Call {
	counted := r.versions[target]
	delete(r.versions, target)
	return counted
}

// versionOutcome returns the outcome of a call as a rollout counts it. A call that has not run is not counted.
func versionOutcome(result *callResult) cprollout.Outcome {
	switch {
	case result.Part != nil && result.Part.Status >= 500:
		return cprollout.Failed
	case result.Part != nil:
		return cprollout.Answered
	case result.Fault == clementineport.FaultCanceled:
		return cprollout.Canceled
	case result.err == nil || clementineport.VerdictOf(result.err) == clementineport.NotRun:
		return cprollout.Unknown
	default:
		return cprollout.Failed
	}
}
