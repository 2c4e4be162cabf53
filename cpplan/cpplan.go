// Package cpplan decides how a request is run: by when its answer must leave, when its calls are hedged, and who may
// start first. It is pure: what routes have shown and the request are passed in.
package cpplan

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
)

// RouteStats is what the requests of a route have shown.
type RouteStats struct {
	// HighLatency is the time within which most calls were answered, or zero if there were none.
	HighLatency time.Duration
	// TypicalLatency is the time within which about half of the calls were answered, or zero if there were none.
	TypicalLatency time.Duration
	// MaxWait is the longest time that a caller of the route has given, which is that of a first attempt.
	MaxWait time.Duration
}

// Planner makes plans.
type Planner struct {
	options Options
}

// New returns a planner.
func New(opts ...Option) *Planner { return &Planner{options: NewOptions(opts...)} }

// Plan returns what a request on a route needs of some services: of all of them, or of the one that takes it.
func (p *Planner) Plan(route *clementineport.Route, services []clementineport.ServiceID, f *clementineport.OpaqueRequest, s RouteStats) cpfanout.Plan {
	plan := cpfanout.Plan{
		Shards: services, Gathers: route.Gathers(), Idempotent: route.Idempotent, MaxAttempts: route.MaxAttempts, MinShards: 1,
		FinalAttempt: TimeSpent(f, s) > 0, Deadline: f.Deadline.Add(-p.options.DeadlineMargin), HedgeAfter: p.hedgeAfter(route, s),
	}
	if route.Gathers() {
		plan.MinShards = cpfanout.MinShards(route.LeastCoverage, len(services))
		plan.Objective = p.Objective(route, f, s)
	}
	return plan
}

// TimeSpent returns how much of its time a caller has spent on earlier attempts: one that gives less time than others has
// used the rest.
func TimeSpent(f *clementineport.OpaqueRequest, s RouteStats) time.Duration {
	if f.MaxWait == 0 {
		return 0
	}
	return max(0, s.MaxWait-f.MaxWait)
}

// Objective returns when the answer must leave to be in time, or the zero time when that has passed.
func (p *Planner) Objective(route *clementineport.Route, f *clementineport.OpaqueRequest, s RouteStats) time.Time {
	used := TimeSpent(f, s)
	if used >= route.Objective {
		return time.Time{}
	}
	margin := p.options.ObjectiveMargin + time.Duration(float64(route.Objective)*p.options.ObjectiveMarginShare)
	return f.Arrived.Add(route.Objective - used - margin)
}

// SoftDeadline returns when the answer is best given: at the objective, or at the deadline of a request that is late.
func (p *Planner) SoftDeadline(route *clementineport.Route, f *clementineport.OpaqueRequest, s RouteStats) time.Time {
	if o := p.Objective(route, f, s); !o.IsZero() && o.Before(f.Deadline) {
		return o
	}
	return f.Deadline
}

// Class returns the class in which a request waits for its start: that of its route, but a caller that comes back in
// time goes first, so that it is not refused again, and one whose objective has passed goes last.
func Class(route *clementineport.Route, own clementineport.Class, f *clementineport.OpaqueRequest, s RouteStats) clementineport.Class {
	switch used := TimeSpent(f, s); {
	case used >= route.Objective && used > 0:
		return clementineport.NumClasses - 1
	case used > 0:
		return clementineport.ClassInteractive
	default:
		return own
	}
}

// hedgeAfter returns how long a call may take before another target is asked: longer than most calls, but not as long
// as slow targets take, however many there are.
func (p *Planner) hedgeAfter(route *clementineport.Route, s RouteStats) time.Duration {
	if s.HighLatency == 0 {
		return time.Duration(float64(route.Objective) * p.options.InitialHedgeShare)
	}
	after := time.Duration(float64(s.HighLatency) * p.options.HedgeFactor)
	if s.TypicalLatency > 0 {
		after = min(after, time.Duration(float64(s.TypicalLatency)*p.options.MaxHedgeFactor))
	}
	return max(after, p.options.MinHedgeDelay)
}
