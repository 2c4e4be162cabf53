// Package cpattempt records the attempts of one query: what was sent, how it ended, and whether it is proven not
// to have run.
//
// It does not decide about further attempts, does no I/O and reads no clock.
package cpattempt

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Try is the reason for an attempt.
type Try uint8

const (
	// First is the first call for a shard.
	First Try = iota
	// Hedge is an additional call for a shard whose call is a straggler.
	Hedge
	// Retry is a call that follows a failed one.
	Retry
)

var tryNames = [...]string{"first", "hedge", "retry"}

// String returns the name of the try in an Explanation.
func (t Try) String() string { return tryNames[t] }

// Ending is the way in which an attempt ended.
type Ending uint8

const (
	// Open means that the attempt is in flight.
	Open Ending = iota
	// Merged means that the hits of the attempt were merged.
	Merged
	// Failed means that the attempt ended with a fault.
	Failed
	// Canceled means that the attempt was cancelled because its result was no longer needed.
	Canceled
	// Withdrawn means that the attempt was planned but not sent.
	Withdrawn
)

var endingNames = [...]string{"open", "merged", "failed", "cancelled", "withdrawn"}

// String returns the name of the ending in an Explanation.
func (e Ending) String() string { return endingNames[e] }

// NoAttempt is the index before the first attempt of a shard.
const NoAttempt int32 = -1

// Attempt is one call for one shard.
type Attempt struct {
	Shard  clementineport.ShardID
	Target clementineport.TargetIndex
	// Prev is the index of the previous attempt on the shard, or NoAttempt.
	Prev  int32
	Try   Try
	End   Ending
	Fault clementineport.Fault
	// Late is true when a reply arrived after the attempt had ended.
	Late bool
	// Sent is relative to the start of the query.
	Sent time.Duration
	Took time.Duration
}

// Matches reports whether a result with the id of the attempt has its shard, target and request.
func (a *Attempt) Matches(r *clementineport.CallResult, request clementineport.RequestID, target clementineport.TargetID) bool {
	if r.Shard != a.Shard || (r.Target != "" && r.Target != target) {
		return false
	}
	return r.Err != nil || r.Reply == nil || r.Reply.Request == request
}

// Log holds the attempts of one query in the order in which they were added.
type Log struct {
	attempts []Attempt
	epoch    int
}

// ID returns the id of the attempt at an index.
func ID(i int32) clementineport.AttemptID { return clementineport.AttemptID(i + 1) }

// Index returns the index of an attempt id. It does not check that the log has such an attempt.
func Index(id clementineport.AttemptID) int { return int(id) - 1 }

// Reset removes all attempts and keeps the buffer.
func (l *Log) Reset() { l.attempts, l.epoch = l.attempts[:0], 0 }

// Grow allocates space for n further attempts.
func (l *Log) Grow(n int) { l.attempts = slices.Grow(l.attempts, n) }

// StartEpoch starts a new epoch; the attempts added from now on are the current ones.
func (l *Log) StartEpoch() { l.epoch = len(l.attempts) }

// Epoch returns the index of the first attempt of the current epoch.
func (l *Log) Epoch() int32 { return int32(l.epoch) }

// Len returns the number of attempts.
func (l *Log) Len() int { return len(l.attempts) }

// At returns the attempt at an index; it is valid until the next Add.
func (l *Log) At(i int32) *Attempt { return &l.attempts[i] }

// Add records an attempt and returns its index.
func (l *Log) Add(a Attempt) int32 {
	l.attempts = append(l.attempts, a)
	return int32(len(l.attempts) - 1)
}

// Current returns the attempts of the current epoch.
func (l *Log) Current() []Attempt { return l.attempts[l.epoch:] }

// Tried appends to targets the targets of a shard's current attempts that must not be called now: those of
// attempts from index firstTried on, of attempts in flight, and of attempts that failed because the target does
// not hold the snapshot. newest is the index of the shard's newest attempt.
func (l *Log) Tried(targets []clementineport.TargetIndex, newest, firstTried int32) []clementineport.TargetIndex {
	for i := newest; i >= int32(l.epoch); i = l.attempts[i].Prev {
		a := &l.attempts[i]
		if i >= firstTried || a.End == Open || a.Fault == clementineport.FaultSnapshot {
			targets = append(targets, a.Target)
		}
	}
	return targets
}

// RefusedSnapshot reports whether a target has refused a current attempt on a shard because it does not hold the
// snapshot. newest is the index of the shard's newest attempt.
func (l *Log) RefusedSnapshot(newest int32, t clementineport.TargetIndex) bool {
	for i := newest; i >= int32(l.epoch); i = l.attempts[i].Prev {
		if a := &l.attempts[i]; a.Target == t && a.Fault == clementineport.FaultSnapshot {
			return true
		}
	}
	return false
}

// Calls returns the number of calls that were sent.
func (l *Log) Calls() int {
	n := 0
	for i := range l.attempts {
		if l.attempts[i].End != Withdrawn {
			n++
		}
	}
	return n
}

// NotRun reports whether every attempt is proven not to have run.
func (l *Log) NotRun() bool {
	for i := range l.attempts {
		a := &l.attempts[i]
		notRun := a.End == Withdrawn || a.End == Failed && a.Fault.Verdict() == clementineport.NotRun
		if !notRun {
			return false
		}
	}
	return true
}
