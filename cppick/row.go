package cppick

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
)

// group is what is known of all targets of one group together.
type group struct {
	median  quantile
	high    quantile
	size    atomic.Int32
	ejected atomic.Int32
}

// row is what is known of one target; all revisions share it.
type row struct {
	// order breaks ties; it differs from VM to VM.
	order uint64
	group atomic.Pointer[group]
	out   atomic.Bool
	cold  atomic.Bool
	// slowness is the latency as a multiple of the group's; zero if it is not known.
	slowness atomic.Int64
	// warmAt is when a cold target next comes first.
	warmAt atomic.Int64
	// coldCalls is the number of answers after which a restarted target no longer counts as cold.
	coldCalls atomic.Int32
	own       atomic.Int32
	load      atomic.Int32
	// freshUntil is when the reported load is too old.
	freshUntil atomic.Int64
	shed       atomic.Int64
	groupAt    atomic.Int64
	samples    atomic.Int32
	fails      atomic.Int32
	median     quantile
	high       quantile
	// until is when an ejected target may get a trial call; zero means that it is not ejected.
	until   atomic.Int64
	backoff atomic.Int64
	// slow is true for an ejected target that answers, but slowly; it is still the last choice.
	slow atomic.Bool
	// trial is true while a trial call is in progress.
	trial atomic.Bool
	// drain is when a draining target may get a trial call; zero means that it is not draining.
	drain atomic.Int64
	start atomic.Pointer[clementineport.StartID]
	held  atomic.Pointer[[]clementineport.Snapshot]
	// heldAt is when the target last said what it holds.
	heldAt atomic.Int64
}

func newRow(order uint64, g *group) *row {
	w := &row{order: order}
	w.group.Store(g)
	return w
}

// usable reports whether new work may be sent, a trial call included.
func (w *row) usable(now int64) bool {
	return !w.out.Load() && now >= w.drain.Load() && (now >= w.until.Load() || w.slow.Load())
}

// claimTrial reports whether the caller may make the single trial call to an ejected or draining target.
func (w *row) claimTrial(now int64, o *Options) bool {
	if drain := w.drain.Load(); drain != 0 {
		return w.drain.CompareAndSwap(drain, now+int64(o.DrainRecheckInterval))
	}
	until := w.until.Load()
	if until == 0 || now < until ||
		!w.until.CompareAndSwap(until, now+max(w.backoff.Load(), int64(o.BackoffMin))) {
		return false
	}
	w.trial.Store(true)
	return true
}

// onTrial reports whether the target takes trial calls only.
func (w *row) onTrial() bool { return w.until.Load() != 0 || w.drain.Load() != 0 }

// cost rises with the calls that this VM has in progress and with the latency; the lower is better.
// An idle cold target comes first now and then, since it only warms up by work.
func (w *row) cost(now int64) int64 {
	own := int64(w.own.Load())
	cold := w.cold.Load()
	if cold && own == 0 && now >= w.warmAt.Load() {
		return 0
	}
	cost := (own + 1) * max(w.slowness.Load(), 1)
	if now < w.shed.Load() || (own > 0 && cold) {
		cost *= penalty
	}
	return cost
}

// warmed records that a cold target has got a call.
func (w *row) warmed(now int64, home bool, o *Options) {
	interval := o.WarmupInterval
	if !home {
		interval *= time.Duration(o.RemoteFactor)
	}
	w.warmAt.Store(now + int64(interval))
}

// penalty multiplies the cost of a target that sheds or is cold and busy.
const penalty = 8

// updateSlowness stores the latency as a whole multiple of what is typical in the group, so that small
// differences do not draw all VMs to one target.
func (w *row) updateSlowness() {
	own, all := int64(w.median.load()), int64(w.group.Load().median.load())
	if all > 0 {
		w.slowness.Store(max((own+all/2)/all, 1))
	}
}

// report takes in the load that the owner reported.
func (w *row) report(now time.Time, load int, o *Options) {
	w.load.Store(int32(load))
	age := o.LoadMaxAge * float64(w.group.Load().median.load())
	w.freshUntil.Store(now.UnixNano() + int64(age))
}

// freshLoad is the load that the owner reported, while that is recent enough to mean anything.
func (w *row) freshLoad(now int64) int32 {
	if now > w.freshUntil.Load() {
		return 0
	}
	return w.load.Load()
}

func (w *row) typical() time.Duration {
	if d := w.median.load(); d > 0 {
		return d
	}
	return w.group.Load().median.load()
}

func (w *row) holds(s clementineport.Snapshot) clementineport.SnapshotPresence {
	held := w.held.Load()
	switch {
	case held == nil:
		return clementineport.SnapshotUnknown
	case slices.Contains(*held, s):
		return clementineport.SnapshotPresent
	default:
		return clementineport.SnapshotAbsent
	}
}

// rank orders candidates by what is known of their possession. A target that has not said for long, or
// never, may be asked by one call at a time, so that a target nobody asks is not left out for good.
func (w *row) rank(now int64, s clementineport.Snapshot, o *Options) clementineport.SnapshotPresence {
	known := w.holds(s)
	switch {
	case known == clementineport.SnapshotPresent:
		return known
	case known == clementineport.SnapshotAbsent && now-w.heldAt.Load() < int64(o.SnapshotRecheckInterval):
		return known
	case w.own.Load() == 0:
		return clementineport.SnapshotPresent
	default:
		return known
	}
}

func (w *row) signal(now time.Time, s *clementineport.Signals, o *Options) {
	if s.Start == "" {
		return
	}
	if old := w.start.Load(); old == nil || *old != s.Start {
		w.restarted(s.Start, o.WarmupCalls)
	}
	w.heldAt.Store(now.UnixNano())
	if old := w.held.Load(); old == nil || !slices.Equal(*old, s.Held) {
		held := slices.Clone(s.Held)
		w.held.Store(&held)
	}
	switch {
	case s.Draining:
		w.drain.CompareAndSwap(0, now.Add(o.DrainRecheckInterval).UnixNano())
	default:
		w.drain.Store(0)
	}
	w.cold.Store(s.Cold || w.coldCalls.Load() > 0)
}

// restarted forgets what was measured of an earlier process.
func (w *row) restarted(start clementineport.StartID, coldCalls int) {
	if w.start.Swap(&start) != nil {
		w.coldCalls.Store(int32(coldCalls))
	}
	w.samples.Store(0)
	w.median.reset()
	w.high.reset()
	w.updateSlowness()
}

// sample takes in a time. One target counts in the group at most once per interval, so that a target
// with many calls does not decide what is typical, and a cold one not at all. A target that is slow as a whole does not count in
// the high quantile of its group, which times hedges.
func (w *row) sample(now time.Time, x time.Duration, o *Options) {
	g := w.group.Load()
	w.samples.Add(1)
	w.median.observe(x, g.median.load(), 0.5)
	w.high.observe(x, g.high.load(), o.HedgeQuantile)
	w.updateSlowness()
	at := now.UnixNano()
	if w.cold.Load() || at-w.groupAt.Load() < int64(o.GroupSampleInterval) {
		return
	}
	w.groupAt.Store(at)
	g.median.observe(x, 0, 0.5)
	if w.median.load() <= 2*g.median.load() {
		g.high.observe(x, 0, o.HedgeQuantile)
	}
}

// isSlow reports whether a time is out of line with the group.
func (w *row) isSlow(x time.Duration, o *Options) bool {
	typical := w.group.Load().median.load()
	return o.SlowFactor > 0 && typical > 0 &&
		float64(x) > o.SlowFactor*float64(typical) && x-typical > o.SlowMargin
}

// eject takes the target out of choice for a while, unless too much of the group is out already.
func (w *row) eject(now time.Time, slow bool, o *Options, rng *random) {
	backoff := min(max(2*time.Duration(w.backoff.Load()), o.BackoffMin), o.BackoffMax)
	if slow {
		backoff = o.SlowBackoff
	}
	until := now.Add(rng.jitter(backoff)).UnixNano()
	if w.until.Load() != 0 {
		w.slow.Store(slow)
		w.backoff.Store(int64(backoff))
		w.until.Store(until)
		return
	}
	g := w.group.Load()
	if float64(g.ejected.Load()+1) > o.MaxEjectedShare*float64(g.size.Load()) {
		return
	}
	if w.until.CompareAndSwap(0, until) {
		w.slow.Store(slow)
		w.backoff.Store(int64(backoff))
		g.ejected.Add(1)
	}
}

func (w *row) readmit() {
	until := w.until.Load()
	if until == 0 || !w.until.CompareAndSwap(until, 0) {
		return
	}
	w.group.Load().ejected.Add(-1)
	w.backoff.Store(0)
	w.slow.Store(false)
	w.trial.Store(false)
	w.median.reset()
	w.updateSlowness()
}
