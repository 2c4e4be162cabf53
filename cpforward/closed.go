package cpforward

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpfleetstate"
)

// refuseClosed returns the refusal of a request that can't be served now because all targets of too many shards have
// asked for no requests, or nil.
func (f *Forwarder) refuseClosed(now time.Time, view *cpfleetstate.View, route *clementineport.Route, shards []clementineport.ServiceID) *clementineport.Error {
	opening := openingTimes(now, view, shards)
	open, needed := len(shards)-len(opening), cpfanout.MinShards(route.LeastCoverage, len(shards))
	if open >= needed {
		return nil
	}
	e := clementineport.Fail(clementineport.FaultUnavailable, "the targets of %d of %d shards accept no requests for now", len(opening), len(shards))
	e.RetryAfter = max(f.options.RetryAfter, opening[needed-open-1].Sub(now))
	return e
}

// openingTimes returns, in order, when each of the shards whose targets all accept no requests now has a target that does.
// A shard whose targets are all shutting down counts as open at once when the next ones register.
func openingTimes(now time.Time, view *cpfleetstate.View, shards []clementineport.ServiceID) (opening []time.Time) {
	for _, s := range shards {
		if at, closed := openingTime(now, view.Services[s]); closed {
			opening = append(opening, at)
		}
	}
	slices.SortFunc(opening, time.Time.Compare)
	return opening
}

// openingTime returns when the first of the targets of a service accepts requests again, and whether none of them does now.
func openingTime(now time.Time, targets []cpfleetstate.Target) (at time.Time, closed bool) {
	for i := range targets {
		notice := targets[i].Client.Notice()
		if !notice.Closed(now) {
			return now, false
		}
		if !notice.Leaving && (at.IsZero() || notice.ClosedUntil.Before(at)) {
			at = notice.ClosedUntil
		}
	}
	if at.IsZero() {
		at = now
	}
	return at, len(targets) > 0
}
