package cpbalancer

import (
	"math"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Bounds of what a target's responses show.
const (
	// slowGain is the weight of one answer in the slowness of a target.
	slowGain = 0.25
	// slowHalfLife is how soon a target that was slow is tried again by one of few VMs.
	slowHalfLife = 3 * time.Second
	// leastSlow and mostSlow bound the slowness, a multiple of the usual time.
	leastSlow = 0.5
	mostSlow  = 30
	// failGain is the weight of one answer in the share of failures.
	failGain = 0.25
	// failHalfLife is how soon a failing target is tried again by one of few VMs.
	failHalfLife = 2 * time.Second
	// fewVMs is the number of VMs beyond which each remembers longer: it gets fewer of the requests, and would spend
	// more of them on finding out the same again. mostMemory bounds how much longer.
	fewVMs     = 8
	mostMemory = 4
	// failCost is how many usual times a certain failure costs.
	failCost = 12
	// shedFailure is how much a refusal without running counts as a failure.
	shedFailure = 0.5
	// quietAfter is the multiple of the usual time after which a request without an answer makes a target doubtful.
	quietAfter = 2
	// firstBlock and longestBlock bound how long a target that refuses connections is left alone.
	firstBlock   = 100 * time.Millisecond
	longestBlock = 2 * time.Second
	// darkAfter is how long a target may leave all calls without an answer before it counts as dark: a multiple of the
	// moments for which targets stand still.
	darkAfter = 600 * time.Millisecond
	// darkCalls is the number of calls without an answer that make a target dark.
	darkCalls = 3
	// firstProbe and longestProbe bound the time between two calls to a dark target.
	firstProbe   = 300 * time.Millisecond
	longestProbe = 2 * time.Second
	// unknownUsual stands for the usual time until answers show it.
	unknownUsual = 20 * time.Millisecond
)

// Target is what one VM knows of a target from its responses. Its methods may be called from many goroutines.
type Target struct {
	// Discovered is how the target registered itself first.
	clementineport.TargetInstance

	mu sync.Mutex
	// slow is how long the target takes, as a multiple of the usual time.
	slow float64
	// failing is the share of requests that fail.
	failing  float64
	updated  time.Time
	sends    []time.Time
	refusals int
	blocked  time.Time
	// silent is when the first of the latest calls without an answer was sent, and unanswered their number.
	silent     time.Time
	unanswered int
	// wasDark is what was reported last.
	wasDark bool
	// probe is when a dark target is asked again, and probeWait the time to the call after that.
	probe     time.Time
	probeWait time.Duration
	misplaced bool
}

// NewTarget returns a target that nothing is known of.
func NewTarget(d clementineport.TargetInstance) *Target { return &Target{TargetInstance: d, slow: 1} }

// Sent records that a request is on its way; the same time is given to Done.
func (t *Target) Sent(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends = append(t.sends, now)
}

// Change says what the end of a request changed in what is known of its target.
type Change uint8

const (
	// NoChange means that the target is used as before.
	NoChange Change = iota
	// BecameUnresponsive means that the target has left its calls without an answer and is only asked one at a time.
	BecameUnresponsive
	// BecameResponsive means that a dark target has answered.
	BecameResponsive
)

// Done records what became of the request that was sent at a time.
func (t *Target) Done(now, sent time.Time, o *Outcome) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finish(sent)
	t.decay(now, o.VMs)
	t.observeSilence(now, sent, o)
	t.observeFailure(now, o)
	t.observeTime(o)
	return t.change(now)
}

// change reports whether the target has turned dark or has answered again since the last report.
func (t *Target) change(now time.Time) Change {
	dark := t.dark(now)
	if dark == t.wasDark {
		return NoChange
	}
	t.wasDark = dark
	if dark {
		return BecameUnresponsive
	}
	return BecameResponsive
}

// observeSilence counts calls without any answer.
func (t *Target) observeSilence(now, sent time.Time, o *Outcome) {
	switch o.Fault {
	case clementineport.FaultCanceled, clementineport.FaultTimeout:
		if o.OK || o.Failed {
			break
		}
		if t.unanswered == 0 || sent.Before(t.silent) {
			t.silent = sent
		}
		t.unanswered++
		if t.dark(now) {
			t.probeWait = min(max(firstProbe, 2*t.probeWait), longestProbe)
			t.probe = now.Add(t.probeWait)
		}
		return
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultDeadline:
		return
	}
	t.unanswered, t.probeWait, t.probe = 0, 0, time.Time{}
}

// dark reports whether the target has answered nothing for a while.
func (t *Target) dark(now time.Time) bool {
	return t.unanswered >= darkCalls && now.Sub(t.silent) >= darkAfter
}

// finish removes a request from those on their way.
func (t *Target) finish(sent time.Time) {
	for i := range t.sends {
		if t.sends[i].Equal(sent) {
			t.sends = append(t.sends[:i], t.sends[i+1:]...)
			return
		}
	}
}

// memory returns how many times as long as one of few VMs each of some VMs remembers.
func memory(vms int) float64 { return min(max(float64(vms)/fewVMs, 1), mostMemory) }

// decay moves what is known toward what is usual as it gets old.
func (t *Target) decay(now time.Time, vms int) {
	if elapsed := float64(now.Sub(t.updated)) / memory(vms); elapsed > 0 && !t.updated.IsZero() {
		t.slow = 1 + (t.slow-1)*math.Exp2(-elapsed/float64(slowHalfLife))
		t.failing *= math.Exp2(-elapsed / float64(failHalfLife))
	}
	t.updated = now
}

// observeFailure counts an outcome in the share of failures.
func (t *Target) observeFailure(now time.Time, o *Outcome) {
	failed := 0.0
	switch {
	case o.OK:
		t.refusals = 0
		t.blocked = time.Time{}
	case o.Failed:
		failed = 1
	case o.Fault == clementineport.FaultRefused:
		failed = 1
		t.refusals++
		t.blocked = now.Add(min(longestBlock, firstBlock<<min(t.refusals, 8)))
	case o.Fault == clementineport.FaultMisdirected:
		t.misplaced = true
	case o.Fault == clementineport.FaultShed:
		failed = shedFailure
	case o.Fault == clementineport.FaultCanceled, o.Fault == clementineport.FaultUnsent, o.Fault == clementineport.FaultDeadline:
		return
	default:
		failed = 1
	}
	t.failing += failGain * (failed - t.failing)
}

// observeTime counts an outcome in the slowness. A request that was given up after a while took at least as long.
func (t *Target) observeTime(o *Outcome) {
	if o.TypicalLatency <= 0 {
		return
	}
	ratio := min(float64(o.Elapsed)/float64(o.TypicalLatency), mostSlow)
	switch {
	case o.OK:
	case o.Fault == clementineport.FaultCanceled, o.Fault == clementineport.FaultTimeout:
		if ratio < t.slow {
			return
		}
	default:
		return
	}
	t.slow = max(leastSlow, t.slow+slowGain*(ratio-t.slow))
}

// Cost returns the time that the target is expected to take, as a multiple of the usual time; it is infinite while
// the target must not be asked.
func (t *Target) Cost(now time.Time, usual time.Duration, vms int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable(now) {
		return math.Inf(1)
	}
	if usual <= 0 {
		usual = unknownUsual
	}
	t.decay(now, vms)
	load := float64(len(t.sends)*max(vms, 1)) / float64(max(t.Slots, 1))
	cost := t.slow*(1+load) + failCost*t.failing
	if quiet := t.quiet(now); quiet > time.Duration(quietAfter*t.slow*float64(usual)) {
		cost += float64(quiet) / float64(usual)
	}
	return cost
}

// expected returns how long the target probably takes to answer, which is zero while it has free slots as far as the
// requests of one of some VMs tell, and false while it must not be asked.
func (t *Target) expected(now time.Time, usual time.Duration, vms int) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.usable(now) {
		return 0, false
	}
	if len(t.sends)*max(vms, 1) < t.Slots {
		return 0, true
	}
	t.decay(now, vms)
	return max(time.Duration(t.slow*float64(usual)), t.quiet(now)), true
}

// usable reports whether the target may be asked.
func (t *Target) usable(now time.Time) bool {
	if t.misplaced || now.Before(t.blocked) {
		return false
	}
	return !t.dark(now) || !now.Before(t.probe) && len(t.sends) == 0
}

// quiet returns how long the oldest request on its way has waited.
func (t *Target) quiet(now time.Time) time.Duration {
	if len(t.sends) == 0 {
		return 0
	}
	return now.Sub(t.sends[0])
}

// Misdirected reports that another process answers at the target's address.
func (t *Target) Misdirected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.misplaced
}

// InFlight returns the number of requests on their way.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sends)
}
