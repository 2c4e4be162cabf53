package cpfanout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// hold decides which shards are not asked: those whose targets would probably answer too late, as long as the answer
// can be given without them. Their calls would win nothing for this request, and would keep the targets from requests
// that need them.
func (f *Fanout) hold(now time.Time) {
	for i := range f.shards {
		f.shards[i].held = false
	}
	if !f.plan.Gathers || f.plan.Objective.IsZero() {
		return
	}
	late := f.lateShards(now)
	for _, l := range late[:min(max(f.spare(now), 0), len(late))] {
		f.shards[l.shard].held = true
	}
}

// lateShard is a shard that has not been asked and whose targets are expected to answer too late.
type lateShard struct {
	shard int
	// order decides which of them are held.
	order float64
}

// holdSharpness is the power of the expected time by which slower shards are held more often.
const holdSharpness = 2

// lateShards returns the shards that have not been asked and would probably be late, those to be held first. Chance
// takes part, since requests that all spare the same shard would overload the others: shards of a like load are held
// alike.
func (f *Fanout) lateShards(now time.Time) (late []lateShard) {
	within := max(0, time.Duration(f.options.DeferThreshold*float64(f.plan.Objective.Sub(now))))
	for i := range f.shards {
		s := &f.shards[i]
		if s.state != open || len(s.attempts) > 0 {
			continue
		}
		if s.expected = f.targets.Latency(now, f.plan.Shards[i]); s.expected > within {
			chance := -math.Log(1 - f.options.Random())
			late = append(late, lateShard{i, chance / math.Pow(float64(s.expected), holdSharpness)})
		}
	}
	slices.SortStableFunc(late, func(a, b lateShard) int { return cmp.Compare(a.order, b.order) })
	return late
}

// overdueFactor is the multiple of the expected time after which a shard is not counted on any more.
const overdueFactor = 2

// spare returns how many shards the answer can do without, beyond those that failed and those that are doubtful.
func (f *Fanout) spare(now time.Time) int {
	n := len(f.shards) - f.failed - f.plan.MinShards
	for i := range f.shards {
		if f.doubtful(now, &f.shards[i]) {
			n--
		}
	}
	return n
}

// doubtful reports whether a shard was asked and its calls have failed or are overdue.
func (f *Fanout) doubtful(now time.Time, s *shard) bool {
	if s.state != open || len(s.attempts) == 0 {
		return false
	}
	return s.outstanding() == 0 || now.Sub(s.asked) > max(f.plan.HedgeAfter, overdueFactor*s.expected)
}

// release asks the shards that the answer can do without no longer.
func (f *Fanout) release(now time.Time) {
	if f.held() == 0 {
		return
	}
	f.hold(now)
	for i := range f.shards {
		if s := &f.shards[i]; s.state == open && len(s.attempts) == 0 && !s.held {
			f.first(now, i)
		}
	}
}

// held returns the number of shards that are not asked.
func (f *Fanout) held() (n int) {
	for i := range f.shards {
		if s := &f.shards[i]; s.held && s.state == open && len(s.attempts) == 0 {
			n++
		}
	}
	return n
}
