package cpfanout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// deferShards marks the shards that are not called for now: those whose targets would probably answer after the
// objective, as long as the answer can do without them. Calls to them would not improve this answer and would take
// capacity from requests that need those shards.
func (f *Fanout) deferShards(now time.Time) {
	for i := range f.shards {
		f.shards[i].deferred = false
	}
	if !f.plan.Gathers || f.plan.Objective.IsZero() {
		return
	}
	late := f.lateShards(now)
	for _, l := range late[:min(max(f.spareShards(now), 0), len(late))] {
		f.shards[l.shard].deferred = true
	}
}

// lateShard is a shard that has not been called and whose targets are expected to answer too late.
type lateShard struct {
	shard int
	// order is the sort key; the shards with the lowest ones are deferred.
	order float64
}

// deferLatencyExponent is the power of the expected latency in the weight with which a shard is drawn to be deferred.
const deferLatencyExponent = 2

// lateShards returns the shards that have not been called and would probably answer too late, in the order in which
// they are to be deferred. The order is a weighted random one: if all requests deferred the same shard, the other slow
// shards would be overloaded. Shards under similar load are deferred equally often.
func (f *Fanout) lateShards(now time.Time) (late []lateShard) {
	limit := max(0, time.Duration(f.options.DeferThreshold*float64(f.plan.Objective.Sub(now))))
	for i := range f.shards {
		s := &f.shards[i]
		if s.state != open || len(s.attempts) > 0 {
			continue
		}
		if s.expectedLatency = f.targets.Latency(now, f.plan.Shards[i]); s.expectedLatency > limit {
			sample := -math.Log(1 - f.options.Random())
			late = append(late, lateShard{i, sample / math.Pow(float64(s.expectedLatency), deferLatencyExponent)})
		}
	}
	slices.SortStableFunc(late, func(a, b lateShard) int { return cmp.Compare(a.order, b.order) })
	return late
}

// overdueFactor is the multiple of the expected latency after which a call counts as overdue.
const overdueFactor = 2

// spareShards returns how many more shards the answer can do without, counting shards whose calls have failed or are
// overdue as missing.
func (f *Fanout) spareShards(now time.Time) int {
	n := len(f.shards) - f.failed - f.plan.MinShards
	for i := range f.shards {
		if f.failedOrOverdue(now, &f.shards[i]) {
			n--
		}
	}
	return n
}

// failedOrOverdue reports whether an open shard has been called and its calls have failed or are overdue.
func (f *Fanout) failedOrOverdue(now time.Time, s *shard) bool {
	if s.state != open || len(s.attempts) == 0 {
		return false
	}
	return s.outstanding() == 0 || now.Sub(s.firstSentAt) > max(f.plan.HedgeAfter, overdueFactor*s.expectedLatency)
}

// resumeDeferred calls deferred shards that the answer can no longer do without.
func (f *Fanout) resumeDeferred(now time.Time) {
	if f.deferredCount() == 0 {
		return
	}
	f.deferShards(now)
	for i := range f.shards {
		if s := &f.shards[i]; s.state == open && len(s.attempts) == 0 && !s.deferred {
			f.sendFirst(now, i)
		}
	}
}

// deferredCount returns the number of deferred shards.
func (f *Fanout) deferredCount() (n int) {
	for i := range f.shards {
		if s := &f.shards[i]; s.deferred && s.state == open && len(s.attempts) == 0 {
			n++
		}
	}
	return n
}
