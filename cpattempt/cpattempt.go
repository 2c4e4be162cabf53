// Package cpattempt records the attempts of one query: what was sent, how it ended, and what that proves.
//
// It decides nothing about further attempts, sends nothing and reads no clock.
package cpattempt

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Try says why a call is sent.
type Try uint8

const (
	// First is the first call for a shard.
	First Try = iota
	// Hedge is a second call beside a straggler.
	Hedge
	// Retry is a call after a failed one.
	Retry
)

var tryNames = [...]string{"first", "hedge", "retry"}

// String returns the try as it appears in an explanation.
func (t Try) String() string { return tryNames[t] }

// Ending says how an attempt ended.
type Ending uint8

const (
	// Open means that the attempt is in progress.
	Open Ending = iota
	// Merged means that its hits were merged.
	Merged
	// Failed means that it ended with a fault.
	Failed
	// Canceled means that its result was no longer needed.
	Canceled
	// Withdrawn means that it was planned and not sent.
	Withdrawn
)

var endingNames = [...]string{"open", "merged", "failed", "cancelled", "withdrawn"}

// String returns the ending as it appears in an explanation.
func (e Ending) String() string { return endingNames[e] }

// NoAttempt is the index before the first attempt of a shard.
const NoAttempt int32 = -1

// Attempt is one call for one shard; times are since the start of the query.
type Attempt struct {
	Shard  clementineport.ShardID
	Target clementineport.TargetIndex
	// Prev is the index of the shard's attempt before this one, or None.
	Prev  int32
	Try   Try
	End   Ending
	Fault clementineport.Fault
	// Late is true when a reply came after the attempt had ended.
	Late bool
	Sent time.Duration
	Took time.Duration
}

// Matches reports whether a result that names the attempt belongs to its shard, its target and its request.
func (a *Attempt) Matches(r *clementineport.CallResult, request clementineport.RequestID, target clementineport.TargetID) bool {
	if r.Shard != a.Shard || (r.Target != "" && r.Target != target) {
		return false
	}
	return r.Err != nil || r.Reply == nil || r.Reply.Request == request
}

// Log holds the attempts of one query in the order in which they were made.
type Log struct {
	attempts []Attempt
	epoch    int
}

// ID returns the id of the attempt at an index.
func ID(i int32) clementineport.AttemptID { return clementineport.AttemptID(i + 1) }

// Index returns the index of an id; it may be outside the log.
func Index(id clementineport.AttemptID) int { return int(id) - 1 }

// Reset drops all attempts and keeps the buffer.
func (l *Log) Reset() { l.attempts, l.epoch = l.attempts[:0], 0 }

// Grow makes room for n further attempts.
func (l *Log) Grow(n int) { l.attempts = slices.Grow(l.attempts, n) }

// StartEpoch makes the attempts that follow the current ones.
func (l *Log) StartEpoch() { l.epoch = len(l.attempts) }

// Epoch returns the index of the first current attempt, one made since the last restart.
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

// Current returns the attempts made since the last restart.
func (l *Log) Current() []Attempt { return l.attempts[l.epoch:] }

// Tried appends to targets those of a shard's current attempts that may not be asked now: attempts from index
// from on, those in progress, and those whose target does not hold the snapshot. The newest attempt is last.
func (l *Log) Tried(targets []clementineport.TargetIndex, last, from int32) []clementineport.TargetIndex {
	for i := last; i >= int32(l.epoch); i = l.attempts[i].Prev {
		a := &l.attempts[i]
		if i >= from || a.End == Open || a.Fault == clementineport.FaultSnapshot {
			targets = append(targets, a.Target)
		}
	}
	return targets
}

// RefusedSnapshot reports whether a target has said in a current attempt of the shard whose newest attempt is
// last that it does not hold the snapshot.
func (l *Log) RefusedSnapshot(last int32, t clementineport.TargetIndex) bool {
	for i := last; i >= int32(l.epoch); i = l.attempts[i].Prev {
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
