// Package cpplan plans forwarded requests: when the answer must be sent, when calls are hedged and in which class the
// request waits for admission. Its functions are pure: the statistics of the route and the request are passed in.
package cpplan

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
)

// RouteStats holds statistics of the requests of a route.
type RouteStats struct {
	// HighLatency is the latency that most calls stay below, or zero if there were no calls.
	HighLatency time.Duration
	// TypicalLatency is about the median latency of calls, or zero if there were no calls.
	TypicalLatency time.Duration
	// MaxWait is the longest time that a caller of the route was willing to wait. It belongs to a first attempt: callers
	// wait less for a retry.
	MaxWait time.Duration
}

// Planner plans requests.
type Planner struct {
	options Options
}

// New returns a planner.
func New(opts ...Option) *Planner { return &Planner{options: NewOptions(opts...)} }

// Plan returns the plan of a request on a route. services holds all shards of the route, or the one service that was
// chosen for the request.
func (p *Planner) Plan(route *clementineport.Route, services []clementineport.ServiceID, r *clementineport.OpaqueRequest, s RouteStats) cpfanout.Plan {
	plan := cpfanout.Plan{
		Shards: services, Gathers: route.Gathers(), Idempotent: route.Idempotent, MaxAttempts: route.MaxAttempts, MinShards: 1,
		FinalAttempt: TimeSpent(r, s) > 0, Deadline: r.Deadline.Add(-p.options.DeadlineMargin), HedgeAfter: p.hedgeAfter(route, s),
	}
	if route.Gathers() {
		plan.MinShards = cpfanout.MinShards(route.LeastCoverage, len(services))
		plan.Objective = p.Objective(route, r, s)
	}
	return plan
}

// TimeSpent returns the time that a caller has spent on earlier attempts. Callers of a route are assumed to wait equally
// long in total, so that a caller with less time left than others has spent the difference.
func TimeSpent(r *clementineport.OpaqueRequest, s RouteStats) time.Duration {
	if r.MaxWait == 0 {
		return 0
	}
	return max(0, s.MaxWait-r.MaxWait)
}

// Objective returns the time at which the answer must be sent to meet the objective of the route, or the zero time if
// earlier attempts have used up the objective.
func (p *Planner) Objective(route *clementineport.Route, r *clementineport.OpaqueRequest, s RouteStats) time.Time {
	spent := TimeSpent(r, s)
	if spent >= route.Objective {
		return time.Time{}
	}
	return r.Arrived.Add(route.Objective - spent - p.objectiveMargin(route))
}

// objectiveMargin returns how long before the objective of a route an answer must be sent.
func (p *Planner) objectiveMargin(route *clementineport.Route) time.Duration {
	return p.options.ObjectiveMargin + time.Duration(float64(route.Objective)*p.options.ObjectiveMarginShare)
}

// SoftDeadline returns the objective of the request, or its deadline if that is earlier or if earlier attempts have used
// up the objective.
func (p *Planner) SoftDeadline(route *clementineport.Route, r *clementineport.OpaqueRequest, s RouteStats) time.Time {
	if o := p.Objective(route, r, s); !o.IsZero() && o.Before(r.Deadline) {
		return o
	}
	return r.Deadline
}

// Class returns the class in which a request waits for admission. A retry that can still meet the objective goes first,
// so that it is not refused again, and one that cannot goes last. Other requests have the class of their route.
func Class(route *clementineport.Route, routeClass clementineport.Class, r *clementineport.OpaqueRequest, s RouteStats) clementineport.Class {
	switch spent := TimeSpent(r, s); {
	case spent >= route.Objective && spent > 0:
		return clementineport.NumClasses - 1
	case spent > 0:
		return clementineport.ClassInteractive
	default:
		return routeClass
	}
}

// hedgeAfter returns the delay after which a call is hedged. It exceeds the latency of most calls, and is bounded by a
// multiple of the typical latency so that it stays short if many targets are slow. For a gather it also leaves time for
// the answer to the hedge before the objective, as far as that is possible without hedging ordinary calls: an answer
// without a late shard is worth less, and an urgent route may have an objective of only a few times the typical latency.
func (p *Planner) hedgeAfter(route *clementineport.Route, s RouteStats) time.Duration {
	if s.HighLatency == 0 {
		return time.Duration(float64(route.Objective) * p.options.InitialHedgeShare)
	}
	after := time.Duration(float64(s.HighLatency) * p.options.HedgeFactor)
	if s.TypicalLatency > 0 {
		after = min(after, time.Duration(float64(s.TypicalLatency)*p.options.MaxHedgeFactor))
	}
	if s.TypicalLatency > 0 && route.Gathers() {
		answer := time.Duration(float64(s.TypicalLatency) * p.options.HedgeAnswerFactor)
		after = min(after, max(route.Objective-p.objectiveMargin(route)-answer, answer))
	}
	return max(after, p.options.MinHedgeDelay)
}
