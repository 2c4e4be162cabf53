// Package cpcoverage decides what an answer covers, whether its service accepts that, and why it does not.
//
// A Tally is told what became of each shard; it sends nothing, reads no clock and knows no attempt.
package cpcoverage

import (
	"fmt"
	"math"

	"github.com/clementineport/clementineport"
)

// roundOff keeps a least coverage such as 0.9 of 10 shards at 9.
const roundOff = 1e-9

// shard is what is known of one shard; a settled one is covered or given up.
type shard struct {
	state   clementineport.ShardState
	fault   clementineport.Fault
	settled bool
}

// Tally counts the shards of one query, covered and missing.
type Tally struct {
	shards      []shard
	outstanding int
	covered     int
	// lost counts shards given up because no usable target holds the snapshot.
	lost int
	// least is the number of covered shards that the service asks for.
	least  int
	refuse bool
}

// Reset begins again with n outstanding shards and keeps the buffer.
func (t *Tally) Reset(s *clementineport.Service, n int) {
	if cap(t.shards) < n {
		t.shards = make([]shard, n)
	}
	t.shards = t.shards[:n]
	clear(t.shards)
	t.outstanding, t.covered, t.lost = n, 0, 0
	t.least = int(math.Ceil(s.LeastCoverage*float64(n) - roundOff))
	t.refuse = s.BelowLeast == clementineport.BelowRefuse
}

// Len returns the number of shards.
func (t *Tally) Len() int { return len(t.shards) }

// Outstanding returns the number of shards that are not settled.
func (t *Tally) Outstanding() int { return t.outstanding }

// Covered returns the number of covered shards.
func (t *Tally) Covered() int { return t.covered }

// Lost returns the number of shards that no usable target holds in the snapshot.
func (t *Tally) Lost() int { return t.lost }

// Settled reports whether a shard is covered or given up.
func (t *Tally) Settled(s clementineport.ShardID) bool { return t.shards[s].settled }

// Fault returns the last fault of a shard.
func (t *Tally) Fault(s clementineport.ShardID) clementineport.Fault { return t.shards[s].fault }

// RecordFault records the fault of an attempt; the shard stays outstanding.
func (t *Tally) RecordFault(s clementineport.ShardID, fault clementineport.Fault) {
	t.shards[s].fault = fault
}

// MarkCovered settles a shard whose hits are merged and reports whether it was outstanding.
func (t *Tally) MarkCovered(s clementineport.ShardID, hits int) bool {
	sh := &t.shards[s]
	sh.state = clementineport.ShardCovered
	if hits == 0 {
		sh.state = clementineport.ShardEmpty
	}
	t.covered++
	return t.settle(sh)
}

// Abandon settles a shard by its last fault and reports whether it was outstanding; held says whether a usable
// target may still hold it.
func (t *Tally) Abandon(s clementineport.ShardID, held bool) bool {
	t.MarkMissing(s)
	if !held {
		t.lost++
	}
	return t.settle(&t.shards[s])
}

// MarkUnplanned settles a shard for which no target is known and reports whether it was outstanding.
func (t *Tally) MarkUnplanned(s clementineport.ShardID) bool {
	sh := &t.shards[s]
	sh.state, sh.fault = clementineport.ShardUnplanned, clementineport.FaultUnavailable
	t.lost++
	return t.settle(sh)
}

func (t *Tally) settle(sh *shard) bool {
	if sh.settled {
		return false
	}
	sh.settled = true
	t.outstanding--
	return true
}

// MarkMissing sets the state of a shard without a call in progress by its last fault.
func (t *Tally) MarkMissing(s clementineport.ShardID) {
	t.shards[s].state = missingState(t.shards[s].fault)
}

// MarkLate sets the state of a shard whose call was in progress when the answer was closed.
func (t *Tally) MarkLate(s clementineport.ShardID, fault clementineport.Fault) {
	t.shards[s].state, t.shards[s].fault = clementineport.ShardLate, fault
}

// missingState returns the state of a shard whose last attempt ended with a fault.
func missingState(fault clementineport.Fault) clementineport.ShardState {
	switch fault {
	case clementineport.FaultCut:
		return clementineport.ShardCut
	case clementineport.FaultTimeout, clementineport.FaultDeadline:
		return clementineport.ShardLate
	default:
		return clementineport.ShardFailed
	}
}

// Complete reports whether every shard is covered.
func (t *Tally) Complete() bool { return t.covered == len(t.shards) && t.covered > 0 }

// Sufficient reports whether the covered shards are what the service asks for.
func (t *Tally) Sufficient() bool { return t.covered > 0 && t.covered >= t.least }

// LeastUnreachable reports whether the outstanding shards can't bring the coverage to the least any more.
func (t *Tally) LeastUnreachable() bool { return t.covered+t.outstanding < t.least }

// RefusalCertain reports whether the service refuses every answer that can still be reached.
func (t *Tally) RefusalCertain() bool { return t.refuse && t.LeastUnreachable() }

// MaxCoverage returns the share of shards that can still be covered.
func (t *Tally) MaxCoverage() float64 {
	if len(t.shards) == 0 {
		return 0
	}
	return float64(t.covered+t.outstanding) / float64(len(t.shards))
}

// Refused reports whether the covered shards make no answer.
func (t *Tally) Refused() bool { return t.covered == 0 || t.refuse && t.covered < t.least }

// Reason says how much is covered and how much is needed.
func (t *Tally) Reason() string {
	return fmt.Sprintf("%d of %d shards are covered and %d are needed", t.covered, len(t.shards), t.least)
}

// RefusalFault returns the fault of a refused answer; notRun says that no part of the query has run, and
// aborted is the fault of a query that was given up, or FaultUnknown.
func (t *Tally) RefusalFault(notRun bool, aborted clementineport.Fault) clementineport.Fault {
	switch {
	case notRun && t.has(clementineport.FaultShed):
		return clementineport.FaultShed
	case notRun:
		return clementineport.FaultUnavailable
	case aborted != clementineport.FaultUnknown:
		return aborted
	case t.has(clementineport.FaultTimeout):
		return clementineport.FaultTimeout
	}
	return clementineport.FaultCoverage
}

// has reports whether the last fault of any shard is fault.
func (t *Tally) has(fault clementineport.Fault) bool {
	for i := range t.shards {
		if t.shards[i].fault == fault {
			return true
		}
	}
	return false
}

// Fill writes into an answer which shards it covers, and why not the others.
func (t *Tally) Fill(a *clementineport.Answer) {
	a.Shards, a.Complete = len(t.shards), t.Complete()
	a.Covered = make([]clementineport.ShardID, 0, t.covered)
	for i := range t.shards {
		id, sh := clementineport.ShardID(i), &t.shards[i]
		if sh.state.Covered() {
			a.Covered = append(a.Covered, id)
			continue
		}
		a.Missing = append(a.Missing, clementineport.MissingShard{Shard: id, State: sh.state, Fault: sh.fault})
	}
}
