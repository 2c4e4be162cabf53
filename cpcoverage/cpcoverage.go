// Package cpcoverage computes the coverage of an answer, decides whether it is enough for the service, and gives
// the reason if it is not.
//
// A Tally counts the outcomes of shards, not single attempts. It does no I/O and reads no clock.
package cpcoverage

import (
	"fmt"
	"math"

	"github.com/clementineport/clementineport"
)

// roundingTolerance makes a least coverage such as 0.9 of 10 shards require 9 shards, despite rounding errors.
const roundingTolerance = 1e-9

// shard is the state of one shard. A settled shard is covered or abandoned.
type shard struct {
	state   clementineport.ShardState
	fault   clementineport.Fault
	settled bool
}

// Tally counts the covered and missing shards of one query.
type Tally struct {
	shards      []shard
	outstanding int
	covered     int
	// lost counts the abandoned shards whose snapshot no usable target holds.
	lost int
	// least is the number of covered shards that the service requires.
	least            int
	refuseBelowLeast bool
}

// Reset prepares the tally for n outstanding shards and reuses its buffer.
func (t *Tally) Reset(s *clementineport.Service, n int) {
	if cap(t.shards) < n {
		t.shards = make([]shard, n)
	}
	t.shards = t.shards[:n]
	clear(t.shards)
	t.outstanding, t.covered, t.lost = n, 0, 0
	t.least = int(math.Ceil(s.LeastCoverage*float64(n) - roundingTolerance))
	t.refuseBelowLeast = s.BelowLeast == clementineport.BelowRefuse
}

// Len returns the number of shards.
func (t *Tally) Len() int { return len(t.shards) }

// Outstanding returns the number of shards that are not settled.
func (t *Tally) Outstanding() int { return t.outstanding }

// Covered returns the number of covered shards.
func (t *Tally) Covered() int { return t.covered }

// Lost returns the number of shards that no usable target holds in the snapshot.
func (t *Tally) Lost() int { return t.lost }

// Settled reports whether a shard is covered or abandoned.
func (t *Tally) Settled(s clementineport.ShardID) bool { return t.shards[s].settled }

// Fault returns the last fault of a shard.
func (t *Tally) Fault(s clementineport.ShardID) clementineport.Fault { return t.shards[s].fault }

// SetFault records the fault of an attempt; the shard stays outstanding.
func (t *Tally) SetFault(s clementineport.ShardID, f clementineport.Fault) { t.shards[s].fault = f }

// MarkCovered settles a shard whose hits are merged. It reports whether the shard was outstanding.
func (t *Tally) MarkCovered(s clementineport.ShardID, hits int) bool {
	sh := &t.shards[s]
	sh.state = clementineport.ShardCovered
	if hits == 0 {
		sh.state = clementineport.ShardEmpty
	}
	t.covered++
	return t.settle(sh)
}

// Abandon settles a shard as missing with its last fault and reports whether it was outstanding. hasHolder states
// whether a usable target may still hold the shard.
func (t *Tally) Abandon(s clementineport.ShardID, hasHolder bool) bool {
	t.MarkMissing(s)
	if !hasHolder {
		t.lost++
	}
	return t.settle(&t.shards[s])
}

// MarkUnplanned settles a shard without a known target. It reports whether the shard was outstanding.
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

// MarkMissing derives the state of a shard without a call in flight from its last fault.
func (t *Tally) MarkMissing(s clementineport.ShardID) {
	t.shards[s].state = missingState(t.shards[s].fault)
}

// MarkLate sets the state of a shard whose call was in flight when the answer was closed.
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

// Sufficient reports whether the covered shards reach the least coverage of the service.
func (t *Tally) Sufficient() bool { return t.covered > 0 && t.covered >= t.least }

// LeastUnreachable reports whether the least coverage can't be reached any more.
func (t *Tally) LeastUnreachable() bool { return t.covered+t.outstanding < t.least }

// RefusalCertain reports whether the service will refuse the answer even if all outstanding shards are covered.
func (t *Tally) RefusalCertain() bool { return t.refuseBelowLeast && t.LeastUnreachable() }

// MaxCoverage returns the share of shards that can still be covered.
func (t *Tally) MaxCoverage() float64 {
	if len(t.shards) == 0 {
		return 0
	}
	return float64(t.covered+t.outstanding) / float64(len(t.shards))
}

// Refused reports whether an answer with the covered shards must be refused.
func (t *Tally) Refused() bool { return t.covered == 0 || t.refuseBelowLeast && t.covered < t.least }

// Reason describes how many shards are covered and how many are needed.
func (t *Tally) Reason() string {
	return fmt.Sprintf("%d of %d shards are covered and %d are needed", t.covered, len(t.shards), t.least)
}

// RefusalFault returns the fault of a refused answer. notRun states that no part of the query has run; aborted
// is the fault of an aborted query, or FaultUnknown.
func (t *Tally) RefusalFault(notRun bool, aborted clementineport.Fault) clementineport.Fault {
	switch {
	case notRun && t.hasFault(clementineport.FaultShed):
		return clementineport.FaultShed
	case notRun:
		return clementineport.FaultUnavailable
	case aborted != clementineport.FaultUnknown:
		return aborted
	case t.hasFault(clementineport.FaultTimeout):
		return clementineport.FaultTimeout
	}
	return clementineport.FaultCoverage
}

// hasFault reports whether the last fault of any shard is fault.
func (t *Tally) hasFault(fault clementineport.Fault) bool {
	for i := range t.shards {
		if t.shards[i].fault == fault {
			return true
		}
	}
	return false
}

// Fill sets the covered and missing shards of an answer.
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
