package cpcatalog

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// statedLimit is the latest that a run of a target has stated about the requests that it takes.
type statedLimit struct {
	born    int64
	seq     clementineport.StatementSeq
	limited bool
	rate    clementineport.RequestRate
	// at is when the target stated it, and learnedAt when this VM learned the present value.
	at        time.Time
	learnedAt time.Time
}

// StateLimit records what a run of a target has stated to this VM, and reports whether that changes what this VM knows.
func (c *Catalog) StateLimit(now time.Time, l *clementineport.TargetLimit) (changed bool) {
	stated, known := *l, c.knownLimit(l.Run)
	if stated.Seq = known.seq; known.seq == 0 || !known.states(l) {
		stated.Seq = known.seq.Next(now)
	}
	return c.SetLimit(now, &stated)
}

// SetLimit records what a run of a target has stated, and reports whether that changes what this VM knows. The latest statement of the
// latest run holds, whatever the order in which they arrive. Of different ones that VMs have numbered alike, the lower limit holds.
func (c *Catalog) SetLimit(now time.Time, l *clementineport.TargetLimit) (changed bool) {
	if math.IsNaN(float64(l.Rate)) || l.Rate < 0 {
		return false // from a VM of another build
	}
	if t := c.targets[l.Run.ID]; t != nil && t.Born > l.Run.Born || c.limits[l.Run.ID].born > l.Run.Born {
		return false
	}
	known := c.knownLimit(l.Run)
	next := statedLimit{
		born: l.Run.Born, seq: max(l.Seq, known.seq), limited: l.Limited, rate: l.Rate, at: now.Add(-max(l.Age, 0)), learnedAt: known.learnedAt,
	}
	if !known.at.IsZero() && !known.replacedBy(l.Seq, &next) {
		return false
	}
	changed = !known.states(l)
	if !changed && !l.Limited && known.at.IsZero() {
		return false // a target that has never stated a limit needs no record
	}
	if changed {
		next.learnedAt = now
	}
	c.limits[l.Run.ID] = next
	return changed
}

// knownLimit returns the latest statement of a run, or that of one that has stated none.
func (c *Catalog) knownLimit(run clementineport.TargetRun) statedLimit {
	if known := c.limits[run.ID]; known.born == run.Born {
		return known
	}
	return statedLimit{born: run.Born}
}

// states reports whether a statement has the known value.
func (s *statedLimit) states(l *clementineport.TargetLimit) bool {
	return l.Limited == s.limited && (!l.Limited || l.Rate == s.rate)
}

// replacedBy reports whether another statement of the same run, with a number or zero, holds in place of this one.
func (s *statedLimit) replacedBy(seq clementineport.StatementSeq, next *statedLimit) bool {
	if c := seq.Compare(next.at, s.seq, s.at); c != 0 || seq == 0 || s.seq == 0 {
		return c > 0
	}
	return next.limited && (!s.limited || next.rate < s.rate)
}

// Limit returns the number of requests a second that a target takes from all VMs together, and whether it states one.
func (c *Catalog) Limit(t *Target) (_ clementineport.RequestRate, limited bool) {
	known, ok := c.limits[t.ID]
	if !ok || !known.limited || t.Born > known.born {
		return 0, false
	}
	return known.rate, true
}

// LimitsSince returns the limits of targets whose present value this VM learned after a time, the latest first. Limits that
// have ended are among them.
func (c *Catalog) LimitsSince(now, after time.Time) (limits []clementineport.TargetLimit) {
	for id, known := range c.limits {
		if known.learnedAt.After(after) {
			run := clementineport.TargetRun{ID: id, Born: known.born}
			limits = append(limits, clementineport.TargetLimit{Run: run, Limited: known.limited, Rate: known.rate, Age: now.Sub(known.at), Seq: known.seq})
		}
	}
	slices.SortFunc(limits, func(a, b clementineport.TargetLimit) int {
		return cmp.Or(c.limits[b.Run.ID].learnedAt.Compare(c.limits[a.Run.ID].learnedAt), cmp.Compare(a.Run.ID, b.Run.ID))
	})
	return limits
}

// forgetLimits drops the limits of targets that have started again, those of targets that have not been registered for
// EndedRetention, and those that ended so long ago.
func (c *Catalog) forgetLimits(now time.Time) {
	for id, known := range c.limits {
		t := c.targets[id]
		old := now.Sub(known.at) >= c.options.EndedRetention
		if t != nil && t.Born > known.born || old && (t == nil || !known.limited) {
			delete(c.limits, id)
		}
	}
}
