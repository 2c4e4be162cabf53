package cpforward

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpfleetstate"
)

// refuseClosed returns the refusal of a request that can't be served by its deadline, or nil: all targets of too many shards
// have asked for no requests, or take none from this VM before the deadline because of their limits.
func (f *Forwarder) refuseClosed(now time.Time, view *cpfleetstate.View, route *clementineport.Route, shards []clementineport.ServiceID, deadline time.Time) *clementineport.Error {
	opening := openingTimes(now, view, shards, deadline)
	open, needed := len(shards)-len(opening), cpfanout.MinShards(route.LeastCoverage, len(shards))
	if open >= needed {
		return nil
	}
	e := clementineport.Fail(clementineport.FaultUnavailable, "the targets of %d of %d shards accept no requests for now", len(opening), len(shards))
	e.RetryAfter = max(f.options.RetryAfter, opening[needed-open-1].Sub(now))
	return e
}

// openingTimes returns, in order, when each of the shards that accept no requests by the deadline has a target that does.
// A shard whose targets are all shutting down counts as open at once when the next ones register.
func openingTimes(now time.Time, view *cpfleetstate.View, shards []clementineport.ServiceID, deadline time.Time) (opening []time.Time) {
	for _, s := range shards {
		if at, closed := openingTime(now, view.Services[s], deadline); closed {
			opening = append(opening, at)
		}
	}
	slices.SortFunc(opening, time.Time.Compare)
	return opening
}

// openingTime returns when the first of the targets of a service accepts requests again, and whether none of them does now
// or by the deadline. A target that has asked for no requests counts as closed even if its time ends before the deadline.
func openingTime(now time.Time, targets []cpfleetstate.Target, deadline time.Time) (at time.Time, closed bool) {
	for i := range targets {
		notice := targets[i].Client.Notice()
		opens := now
		if targets[i].Limited {
			opens = now.Add(targets[i].State.LimitWait(now))
		}
		if !notice.Closed(now) && opens.Before(deadline) {
			return now, false
		}
		if notice.ClosedUntil.After(opens) {
			opens = notice.ClosedUntil
		}
		if !notice.Leaving && (at.IsZero() || opens.Before(at)) {
			at = opens
		}
	}
	if at.IsZero() {
		at = now
	}
	return at, len(targets) > 0
}
