package cppick

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

// group is the combined state of the targets of one group.
type group struct {
	median       quantile
	highQuantile quantile
	size         atomic.Int32
	ejected      atomic.Int32
}

// targetState is the state of one target. All revisions share it.
type targetState struct {
	// tieBreak orders targets of equal cost and load; it differs between VMs.
	tieBreak     uint64
	group        atomic.Pointer[group]
	outOfService atomic.Bool
	cold         atomic.Bool
	// latencyRatio is the latency as a multiple of that of the group; zero if it is not known.
	latencyRatio atomic.Int64
	// nextWarmupCall is when a cold target is next preferred.
	nextWarmupCall atomic.Int64
	// warmupCallsLeft is the number of answers after which a restarted target is no longer considered cold.
	warmupCallsLeft atomic.Int32
	inFlight        atomic.Int32
	reportedLoad    atomic.Int32
	// loadExpires is when the reported load becomes invalid.
	loadExpires     atomic.Int64
	shedUntil       atomic.Int64
	lastGroupSample atomic.Int64
	samples         atomic.Int32
	failures        atomic.Int32
	median          quantile
	highQuantile    quantile
	// ejectedUntil is when an ejected target may get a trial call; zero means that it is not ejected.
	ejectedUntil atomic.Int64
	backoff      atomic.Int64
	// slow is true for a target that was ejected as slow; it may still be picked when there is no other.
	slow atomic.Bool
	// trialInProgress is true while the trial call to an ejected target is in flight.
	trialInProgress atomic.Bool
	// drainUntil is when a draining target may get a trial call; zero means that it is not draining.
	drainUntil    atomic.Int64
	start         atomic.Pointer[clementineport.StartID]
	heldSnapshots atomic.Pointer[[]clementineport.Snapshot]
	// heldReported is when the target last reported the snapshots that it holds.
	heldReported atomic.Int64
}

func newTargetState(tieBreak uint64, g *group) *targetState {
	t := &targetState{tieBreak: tieBreak}
	t.group.Store(g)
	return t
}

// usable reports whether calls, including trial calls, may be sent to the target.
func (t *targetState) usable(now int64) bool {
	return !t.outOfService.Load() && now >= t.drainUntil.Load() && (now >= t.ejectedUntil.Load() || t.slow.Load())
}

// claimTrial reports whether the caller may make the single trial call to an ejected or draining target.
func (t *targetState) claimTrial(now int64, o *Options) bool {
	if drain := t.drainUntil.Load(); drain != 0 {
		return t.drainUntil.CompareAndSwap(drain, now+int64(o.DrainRecheckInterval))
	}
	until := t.ejectedUntil.Load()
	if until == 0 || now < until ||
		!t.ejectedUntil.CompareAndSwap(until, now+max(t.backoff.Load(), int64(o.BackoffMin))) {
		return false
	}
	t.trialInProgress.Store(true)
	return true
}

// trialOnly reports whether the target gets only trial calls.
func (t *targetState) trialOnly() bool { return t.ejectedUntil.Load() != 0 || t.drainUntil.Load() != 0 }

// callCost returns the cost of a call to the target, which increases with the calls of this VM in flight and with the
// latency. An idle cold target costs nothing once per warm-up interval, since only calls can warm it up.
func (t *targetState) callCost(now int64) int64 {
	own := int64(t.inFlight.Load())
	cold := t.cold.Load()
	if cold && own == 0 && now >= t.nextWarmupCall.Load() {
		return 0
	}
	cost := (own + 1) * max(t.latencyRatio.Load(), 1)
	if now < t.shedUntil.Load() || (own > 0 && cold) {
		cost *= loadedCostFactor
	}
	return cost
}

// recordWarmupCall records that a cold target gets a call.
func (t *targetState) recordWarmupCall(now int64, home bool, o *Options) {
	interval := o.WarmupInterval
	if !home {
		interval *= time.Duration(o.RemoteFactor)
	}
	t.nextWarmupCall.Store(now + int64(interval))
}

// loadedCostFactor multiplies the cost of a target that sheds calls, or that is cold and has calls in flight.
const loadedCostFactor = 8

// updateLatencyRatio stores the median latency as an integer multiple of the median of the group. With a finer ratio,
// small differences would make all VMs prefer the same target.
func (t *targetState) updateLatencyRatio() {
	own, all := int64(t.median.load()), int64(t.group.Load().median.load())
	if all > 0 {
		t.latencyRatio.Store(max((own+all/2)/all, 1))
	}
}

// observeLoad stores the load that the owner has reported.
func (t *targetState) observeLoad(now time.Time, load int, o *Options) {
	t.reportedLoad.Store(int32(load))
	age := o.LoadMaxAge * float64(t.group.Load().median.load())
	t.loadExpires.Store(now.UnixNano() + int64(age))
}

// freshLoad returns the reported load, or zero if it is too old.
func (t *targetState) freshLoad(now int64) int32 {
	if now > t.loadExpires.Load() {
		return 0
	}
	return t.reportedLoad.Load()
}

func (t *targetState) typicalLatency() time.Duration {
	if d := t.median.load(); d > 0 {
		return d
	}
	return t.group.Load().median.load()
}

func (t *targetState) holds(s clementineport.Snapshot) clementineport.SnapshotPresence {
	held := t.heldSnapshots.Load()
	switch {
	case held == nil:
		return clementineport.SnapshotUnknown
	case slices.Contains(*held, s):
		return clementineport.SnapshotPresent
	default:
		return clementineport.SnapshotAbsent
	}
}

// snapshotRank returns whether the target holds the snapshot, for ordering candidates. A target that has not reported its
// snapshots recently, or never has, ranks as holding it while it has no call in flight. It thus gets one call at a
// time and is not excluded permanently.
func (t *targetState) snapshotRank(now int64, s clementineport.Snapshot, o *Options) clementineport.SnapshotPresence {
	known := t.holds(s)
	switch {
	case known == clementineport.SnapshotPresent:
		return known
	case known == clementineport.SnapshotAbsent && now-t.heldReported.Load() < int64(o.SnapshotRecheckInterval):
		return known
	case t.inFlight.Load() == 0:
		return clementineport.SnapshotPresent
	default:
		return known
	}
}

func (t *targetState) observeSignals(now time.Time, s *clementineport.Signals, o *Options) {
	if s.Start == "" {
		return
	}
	if old := t.start.Load(); old == nil || *old != s.Start {
		t.resetAfterRestart(s.Start, o.WarmupCalls)
	}
	t.heldReported.Store(now.UnixNano())
	if old := t.heldSnapshots.Load(); old == nil || !slices.Equal(*old, s.Held) {
		held := slices.Clone(s.Held)
		t.heldSnapshots.Store(&held)
	}
	switch {
	case s.Draining:
		t.drainUntil.CompareAndSwap(0, now.Add(o.DrainRecheckInterval).UnixNano())
	default:
		t.drainUntil.Store(0)
	}
	t.cold.Store(s.Cold || t.warmupCallsLeft.Load() > 0)
}

// resetAfterRestart discards the measurements of the previous process.
func (t *targetState) resetAfterRestart(start clementineport.StartID, warmupCalls int) {
	if t.start.Swap(&start) != nil {
		t.warmupCallsLeft.Store(int32(warmupCalls))
	}
	t.samples.Store(0)
	t.median.reset()
	t.highQuantile.reset()
	t.updateLatencyRatio()
}

// sample adds a latency to the quantiles of the target and of its group. The group takes at most one sample per target and
// interval, so that a target with many calls does not dominate it, and none from cold targets. Slow targets are excluded
// from the high quantile of the group, which determines when calls are hedged.
func (t *targetState) sample(now time.Time, x time.Duration, o *Options) {
	g := t.group.Load()
	t.samples.Add(1)
	t.median.observe(x, g.median.load(), 0.5)
	t.highQuantile.observe(x, g.highQuantile.load(), o.HedgeQuantile)
	t.updateLatencyRatio()
	at := now.UnixNano()
	if t.cold.Load() || at-t.lastGroupSample.Load() < int64(o.GroupSampleInterval) {
		return
	}
	t.lastGroupSample.Store(at)
	g.median.observe(x, 0, 0.5)
	if t.median.load() <= 2*g.median.load() {
		g.highQuantile.observe(x, 0, o.HedgeQuantile)
	}
}

// isOutlier reports whether a latency is too high in comparison with the group.
func (t *targetState) isOutlier(x time.Duration, o *Options) bool {
	typical := t.group.Load().median.load()
	return o.SlowFactor > 0 && typical > 0 &&
		float64(x) > o.SlowFactor*float64(typical) && x-typical > o.SlowMargin
}

// eject makes the target ineligible until its backoff ends, unless too many targets of the group are ejected already. For
// an ejected target it sets a new backoff.
func (t *targetState) eject(now time.Time, slow bool, o *Options, rng *random) {
	backoff := min(max(2*time.Duration(t.backoff.Load()), o.BackoffMin), o.BackoffMax)
	if slow {
		backoff = o.SlowBackoff
	}
	until := now.Add(rng.jitter(backoff)).UnixNano()
	if t.ejectedUntil.Load() != 0 {
		t.slow.Store(slow)
		t.backoff.Store(int64(backoff))
		t.ejectedUntil.Store(until)
		return
	}
	g := t.group.Load()
	if float64(g.ejected.Load()+1) > o.MaxEjectedShare*float64(g.size.Load()) {
		return
	}
	if t.ejectedUntil.CompareAndSwap(0, until) {
		t.slow.Store(slow)
		t.backoff.Store(int64(backoff))
		g.ejected.Add(1)
	}
}

func (t *targetState) endEjection() {
	until := t.ejectedUntil.Load()
	if until == 0 || !t.ejectedUntil.CompareAndSwap(until, 0) {
		return
	}
	t.group.Load().ejected.Add(-1)
	t.backoff.Store(0)
	t.slow.Store(false)
	t.trialInProgress.Store(false)
	t.median.reset()
	t.updateLatencyRatio()
}
