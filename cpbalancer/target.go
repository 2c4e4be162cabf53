package cpbalancer

import (
	"math"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpquota"
)

// Parameters of the estimates that are derived from a target's responses.
const (
	// slowdownGain is the weight of one response in the slowdown.
	slowdownGain = 0.25
	// slowdownHalfLife is the time in which the excess of the slowdown halves without responses, so that a slow target
	// is tried again. It applies while there are few VMs.
	slowdownHalfLife = 3 * time.Second
	// minSlowdown and maxSlowdown bound the slowdown, a multiple of the typical latency.
	minSlowdown = 0.5
	maxSlowdown = 30
	// failureGain is the weight of one response in the failure rate.
	failureGain = 0.25
	// failureHalfLife is the time in which the failure rate halves without responses, so that a failing target is tried
	// again. It applies while there are few VMs.
	failureHalfLife = 2 * time.Second
	// fewVMs is the number of VMs above which the half-lives grow in proportion. With more VMs, each gets fewer of the
	// requests and would spend more of them on probing the same targets again. maxHalfLifeFactor bounds the growth.
	fewVMs            = 8
	maxHalfLifeFactor = 4
	// failureCost is the cost of a request that is certain to fail, as a multiple of the typical latency.
	failureCost = 12
	// shedFailure is the share of a failure that a shed request counts as.
	shedFailure = 0.5
	// overdueFactor is the multiple of the expected latency after which an unanswered request raises a target's cost.
	overdueFactor = 2
	// minBlock and maxBlock bound the time without requests to a target that refuses connections.
	minBlock = 100 * time.Millisecond
	maxBlock = 2 * time.Second
	// unresponsiveAfter is how long a target must leave all calls unanswered to count as unresponsive. It is a multiple
	// of the short pauses that targets make.
	unresponsiveAfter = 600 * time.Millisecond
	// unresponsiveCalls is the number of consecutive unanswered calls that a target must have to count as unresponsive.
	unresponsiveCalls = 3
	// minProbeInterval and maxProbeInterval bound the time between two calls to an unresponsive target.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// defaultTypicalLatency is used until the typical latency is known.
	defaultTypicalLatency = 20 * time.Millisecond
)

// Target is the state of a target, as one VM observes it from its responses. Its methods are safe for concurrent
// use.
type Target struct {
	// TargetInstance is the first registration of the target.
	clementineport.TargetInstance

	mu sync.Mutex
	// slow is the slowdown of the target: its latency as a multiple of the typical latency.
	slow float64
	// failureRate is the share of requests that fail.
	failureRate float64
	// updated is when slow and failureRate were last decayed.
	updated time.Time
	// inFlight holds the send time of each request in flight.
	inFlight []time.Time
	// refusals counts the refused connections since the last success, and blockedUntil is when the target may be called
	// again.
	refusals     int
	blockedUntil time.Time
	// unansweredSince is the earliest send time of the calls without an answer since the last answer, and unanswered the
	// number of these calls.
	unansweredSince time.Time
	unanswered      int
	// reportedUnresponsive is the state that was reported last.
	reportedUnresponsive bool
	// nextProbe is when an unresponsive target is called again, and probeInterval the time from the previous probe.
	nextProbe     time.Time
	probeInterval time.Duration
	misdirected   bool
	// nextCold is when the next request is due while the target is cold.
	nextCold time.Time
	// requests is this VM's share of the limit that the target states.
	requests cpquota.RequestShare
}

// NewTarget returns a target without any observations.
func NewTarget(d clementineport.TargetInstance) *Target { return &Target{TargetInstance: d, slow: 1} }

// Sent records that a request was sent. The same time must be passed to Done.
func (t *Target) Sent(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight = append(t.inFlight, now)
}

// Change is a change of the state of a target.
type Change uint8

const (
	// NoChange means that the state of the target has not changed.
	NoChange Change = iota
	// BecameUnresponsive means that the target has left its calls unanswered and is called only one request at a time.
	BecameUnresponsive
	// BecameResponsive means that an unresponsive target has answered.
	BecameResponsive
)

// Done records the outcome of the request that was sent at the given time.
func (t *Target) Done(now, sent time.Time, o *Outcome) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeInFlight(sent)
	t.decay(now, o.VMs)
	t.observeUnanswered(now, sent, o)
	t.observeFailure(now, o)
	t.observeLatency(o)
	return t.change(now)
}

// change reports whether the target has become unresponsive or responsive since the last report.
func (t *Target) change(now time.Time) Change {
	unresponsive := t.unresponsive(now)
	if unresponsive == t.reportedUnresponsive {
		return NoChange
	}
	t.reportedUnresponsive = unresponsive
	if unresponsive {
		return BecameUnresponsive
	}
	return BecameResponsive
}

// observeUnanswered counts consecutive calls without an answer and schedules the probes of an unresponsive target.
func (t *Target) observeUnanswered(now, sent time.Time, o *Outcome) {
	switch o.Fault {
	case clementineport.FaultCanceled, clementineport.FaultTimeout:
		if o.OK || o.Failed {
			break
		}
		if t.unanswered == 0 || sent.Before(t.unansweredSince) {
			t.unansweredSince = sent
		}
		t.unanswered++
		if t.unresponsive(now) {
			t.probeInterval = min(max(minProbeInterval, 2*t.probeInterval), maxProbeInterval)
			t.nextProbe = now.Add(t.probeInterval)
		}
		return
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultDeadline:
		return
	}
	t.unanswered, t.probeInterval, t.nextProbe = 0, 0, time.Time{}
}

// unresponsive reports whether the target has left enough calls unanswered for long enough.
func (t *Target) unresponsive(now time.Time) bool {
	return t.unanswered >= unresponsiveCalls && now.Sub(t.unansweredSince) >= unresponsiveAfter
}

// removeInFlight removes a request from those in flight.
func (t *Target) removeInFlight(sent time.Time) {
	for i := range t.inFlight {
		if t.inFlight[i].Equal(sent) {
			t.inFlight = append(t.inFlight[:i], t.inFlight[i+1:]...)
			return
		}
	}
}

// halfLifeFactor returns the factor by which the half-lives grow with the number of VMs.
func halfLifeFactor(vms int) float64 { return min(max(float64(vms)/fewVMs, 1), maxHalfLifeFactor) }

// decay moves the slowdown toward one and the failure rate toward zero as they age.
func (t *Target) decay(now time.Time, vms int) {
	if elapsed := float64(now.Sub(t.updated)) / halfLifeFactor(vms); elapsed > 0 && !t.updated.IsZero() {
		t.slow = 1 + (t.slow-1)*math.Exp2(-elapsed/float64(slowdownHalfLife))
		t.failureRate *= math.Exp2(-elapsed / float64(failureHalfLife))
	}
	t.updated = now
}

// observeFailure updates the failure rate, and blocks a target that refuses connections.
func (t *Target) observeFailure(now time.Time, o *Outcome) {
	failed := 0.0
	switch {
	case o.OK:
		t.refusals = 0
		t.blockedUntil = time.Time{}
	case o.Failed:
		failed = 1
	case o.Fault == clementineport.FaultRefused:
		failed = 1
		t.refusals++
		t.blockedUntil = now.Add(min(maxBlock, minBlock<<min(t.refusals, 8)))
	case o.Fault == clementineport.FaultMisdirected:
		t.misdirected = true
	case o.Fault == clementineport.FaultShed:
		failed = shedFailure
	case o.Fault == clementineport.FaultCanceled, o.Fault == clementineport.FaultUnsent, o.Fault == clementineport.FaultDeadline:
		return
	default:
		failed = 1
	}
	t.failureRate += failureGain * (failed - t.failureRate)
}

// observeLatency updates the slowdown. The elapsed time of a canceled or timed-out request is a lower bound of its
// latency, so it can only raise the slowdown.
func (t *Target) observeLatency(o *Outcome) {
	if o.TypicalLatency <= 0 {
		return
	}
	ratio := min(float64(o.Elapsed)/float64(o.TypicalLatency), maxSlowdown)
	switch {
	case o.OK:
	case o.Fault == clementineport.FaultCanceled, o.Fault == clementineport.FaultTimeout:
		if ratio < t.slow {
			return
		}
	default:
		return
	}
	t.slow = max(minSlowdown, t.slow+slowdownGain*(ratio-t.slow))
}

// Cost returns the expected latency of the target as a multiple of the typical one. It is infinite while the target is
// not eligible.
func (t *Target) Cost(now time.Time, typical time.Duration, vms int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.eligible(now) {
		return math.Inf(1)
	}
	if typical <= 0 {
		typical = defaultTypicalLatency
	}
	t.decay(now, vms)
	load := float64(len(t.inFlight)*max(vms, 1)) / float64(max(t.Slots, 1))
	cost := t.slow*(1+load) + failureCost*t.failureRate
	if age := t.oldestInFlight(now); age > time.Duration(overdueFactor*t.slow*float64(typical)) {
		cost += float64(age) / float64(typical)
	}
	return cost
}

// expectedLatency returns the expected latency of the target and whether it is eligible. The latency is zero while the
// target has a free slot, as estimated from the requests of this VM. It includes the wait that the limit of the target
// causes.
func (t *Target) expectedLatency(now time.Time, typical time.Duration, vms int) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.eligible(now) {
		return 0, false
	}
	wait := t.requests.Wait(now)
	if len(t.inFlight)*max(vms, 1) < t.Slots {
		return wait, true
	}
	t.decay(now, vms)
	return wait + max(time.Duration(t.slow*float64(typical)), t.oldestInFlight(now)), true
}

// eligible reports whether the target may be called. An unresponsive target gets one probe at a time.
func (t *Target) eligible(now time.Time) bool {
	if t.misdirected || now.Before(t.blockedUntil) {
		return false
	}
	return !t.unresponsive(now) || !now.Before(t.nextProbe) && len(t.inFlight) == 0
}

// oldestInFlight returns how long the oldest request in flight has waited.
func (t *Target) oldestInFlight(now time.Time) time.Duration {
	if len(t.inFlight) == 0 {
		return 0
	}
	return now.Sub(t.inFlight[0])
}

// ColdDue reports whether the next request to the target is due while it is cold.
func (t *Target) ColdDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.nextCold)
}

// SentCold records that a request is sent while the target is cold, and that the next one is due after an interval.
func (t *Target) SentCold(now time.Time, interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextCold = now.Add(interval)
}

// Misdirected reports whether another process answers at the target's address.
func (t *Target) Misdirected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.misdirected
}

// InFlight returns the number of requests in flight.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inFlight)
}
