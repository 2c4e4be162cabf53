package cprollout

import (
	"fmt"
	"math"
	"time"

	"github.com/clementineport/clementineport"
)

// Judge compares the answers of the new version with those of the old one over the same time, route by route, and failures
// apart from slow answers.
//
// Two one-sided sequential tests (CUSUM) for a larger and a smaller difference detect a version that is bad or turns bad at any
// time: their sums never fall below zero, so earlier good answers don't hide later bad ones. A likelihood ratio accepts a
// version once it has enough answers on each route. All tests are relative to the recent rate of bad answers of the old version.
type Judge struct {
	routes map[clementineport.RouteID]*routeJudge
	// ended and bad count the answers of the new version, and all those of both.
	ended, bad, all int64
	// failed and slow are the logarithms of the likelihood ratios of the answers on all routes.
	failed, slow float64
}

// routeJudge holds the tests of one route.
type routeJudge struct {
	seen         clementineport.RolloutCounts
	failed, slow test
}

// test compares the rate of one kind of bad answers.
type test struct {
	smallGap, largeGap, acceptGap float64
	// recent and long average the outcomes of the old version.
	recent, long         average
	small, large, accept float64
	// expected is the number of bad answers that the new version would have at the old one's rate.
	expected float64
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge { return &Judge{routes: map[clementineport.RouteID]*routeJudge{}} }

// Observe updates the tests with the counts of all VMs since the order. Counts that have fallen, because reports of an ended
// VM were dropped, add no evidence.
func (j *Judge) Observe(now time.Time, totals map[clementineport.RouteID]clementineport.RolloutCounts) {
	for route, total := range totals {
		r := j.routes[route]
		if r == nil {
			r = &routeJudge{
				failed: test{smallGap: failSmall, largeGap: failLarge, acceptGap: failAccept},
				slow:   test{smallGap: slowSmall, largeGap: slowLarge, acceptGap: slowAccept},
			}
			j.routes[route] = r
		}
		old, fresh := growth(&r.seen.Old, &total.Old), growth(&r.seen.New, &total.New)
		r.seen = total
		j.failed = floor(j.failed + r.failed.observe(now, old.Ended(), old.Failed, fresh.Ended(), fresh.Failed))
		j.slow = floor(j.slow + r.slow.observe(now, old.Ended(), old.Slow, fresh.Ended(), fresh.Slow))
		j.ended += fresh.Ended()
		j.bad += fresh.Bad()
		j.all += old.Ended() + fresh.Ended()
	}
}

// growth returns by how much counts have grown.
func growth(before, now *clementineport.VersionCounts) clementineport.VersionCounts {
	return clementineport.VersionCounts{
		Answered: max(0, now.Answered-before.Answered), Failed: max(0, now.Failed-before.Failed), Slow: max(0, now.Slow-before.Slow),
	}
}

// floor limits how strongly good answers accept a version, so that later bad ones undo it.
func floor(accept float64) float64 { return max(2*math.Log(maxAcceptError), accept) }

// observe updates the test with answers of both versions, and returns the likelihood ratio of those of the new one.
func (t *test) observe(now time.Time, oldEnded, oldBad, ended, bad int64) float64 {
	t.recent.add(now, recentTime, oldEnded, oldBad)
	t.long.add(now, longTime, oldEnded, oldBad)
	if ended == 0 {
		return 0
	}
	base := t.base()
	t.small = max(0, t.small+likelihood(base, t.smallGap, ended, bad))
	t.large = max(0, t.large+likelihood(base, t.largeGap, ended, bad))
	t.expected += base * float64(ended)
	accept := likelihood(base, t.acceptGap, ended, bad)
	t.accept = floor(t.accept + accept)
	return accept
}

// base returns the rate of bad answers up to which the new version is as good as the old one.
func (t *test) base() float64 {
	const (
		// margin allows for chance in the old version's rate, and least for bad answers that are rare at any version.
		margin = 1.3
		least  = 0.01
		most   = 0.9
	)
	return min(most, least+margin*max(t.recent.rate(), t.long.rate()))
}

// alarm reports whether the sums of the test have reached a part of the limit.
func (t *test) alarm(part float64) bool {
	return max(t.small, t.large) >= part*math.Log(1/maxRejectError)
}

// likelihood returns the logarithm of the likelihood ratio of outcomes, between a rate of bad ones that is higher by a gap and a
// rate of base.
func likelihood(base, gap float64, ended, bad int64) float64 {
	higher := base + gap*(1-base)
	return float64(bad)*math.Log(higher/base) + float64(ended-bad)*math.Log((1-higher)/(1-base))
}

// Alarm reports whether the new version is worse than the old one, with the counts that show it.
func (j *Judge) Alarm() (reason string, bad bool) {
	expected := 0.0
	for route, r := range j.routes {
		expected += r.failed.expected + r.slow.expected
		if r.failed.alarm(1) || r.slow.alarm(1) {
			return fmt.Sprintf("route %s: of %d answers of the new version %d failed and %d were slow, of %d of the old one %d and %d",
				route, r.seen.New.Ended(), r.seen.New.Failed, r.seen.New.Slow, r.seen.Old.Ended(), r.seen.Old.Failed, r.seen.Old.Slow), true
		}
	}
	if j.bad >= maxBadAnswers && float64(j.bad) >= 2*expected {
		return fmt.Sprintf("%d of %d answers of the new version are bad", j.bad, j.ended), true
	}
	return "", false
}

// Accepted reports whether each route with a relevant part of the requests has enough good answers of the new version, and no
// test is close to an alarm.
func (j *Judge) Accepted() bool {
	if j.all == 0 || max(j.failed, j.slow) > math.Log(maxAcceptError) || !j.Holds() {
		return false
	}
	for _, r := range j.routes {
		relevant := float64(r.seen.Old.Ended()+r.seen.New.Ended()) >= minRouteShare*float64(j.all)
		if relevant && (r.seen.New.Ended() < minAnswers || max(r.failed.accept, r.slow.accept) > math.Log(maxRouteError)) {
			return false
		}
	}
	return true
}

// Holds reports whether a version that was accepted before still is: no test is close to an alarm.
func (j *Judge) Holds() bool {
	const closeToAlarm = 0.8
	for _, r := range j.routes {
		if r.failed.alarm(closeToAlarm) || r.slow.alarm(closeToAlarm) {
			return false
		}
	}
	return max(j.failed, j.slow) <= math.Log(maxRouteError)
}

// Ended returns the number of answers of the new version, and All that of both versions.
func (j *Judge) Ended() int64 { return j.ended }

// All returns the number of answers of both versions.
func (j *Judge) All() int64 { return j.all }
