package clementineport

import (
	"context"
	"time"
)

// PickRequest describes the shard that a target is wanted for.
type PickRequest struct {
	Replicas []TargetIndex
	Snapshot Snapshot
	Tried    []TargetIndex
	Now      time.Time
	// Home is the failure domain that is preferred between targets of equal load.
	Home FailureDomain
}

// SnapshotPresence states whether a target holds a snapshot.
type SnapshotPresence uint8

const (
	// SnapshotUnknown means that the target has not reported its snapshots.
	SnapshotUnknown SnapshotPresence = iota
	// SnapshotPresent means that the target's last response listed the snapshot.
	SnapshotPresent
	// SnapshotAbsent means that the target's last response did not list the snapshot.
	SnapshotAbsent
)

// TargetView is a VM's view of the targets of one Table. Views of different revisions share the state of a
// target, so a target that is taken out of service becomes unusable in older views immediately.
// Its methods are safe for concurrent use.
type TargetView interface {
	// Pick returns a usable target that has not been tried, or false if there is none.
	Pick(r *PickRequest) (TargetIndex, bool)
	// Usable reports whether new work may be sent to the target now.
	Usable(t TargetIndex, now time.Time) bool
	// Holds returns whether the target holds a snapshot according to its responses.
	Holds(t TargetIndex, s Snapshot) SnapshotPresence
	// Snapshots returns the snapshots that the target's last response listed.
	Snapshots(t TargetIndex) []Snapshot
	// HedgeAfter returns the time after which a call to the target counts as a straggler.
	HedgeAfter(t TargetIndex) time.Duration
	// Sent records that a call to the target has been sent.
	Sent(t TargetIndex)
	// Observe records the result of a call that was recorded as sent.
	Observe(t TargetIndex, now time.Time, r *CallResult)
}

// Picker keeps the state of targets from one revision to the next.
type Picker interface {
	// View returns the view of a table. The control goroutine calls it once for each revision.
	View(t *Table) TargetView
}

// Budget limits extra load, such as retries and hedges, to a share of ordinary load.
type Budget interface {
	// Earn credits ordinary calls.
	Earn(calls int)
	// Spend takes one extra call from the budget, or returns false if the budget is exhausted.
	Spend() bool
}

// Limiter bounds the calls in flight and queued at each target that this VM owns.
type Limiter interface {
	// Acquire waits until the call may start. Its error is an *Error with verdict NotRun.
	// The caller must call done exactly once, with the result of the call.
	Acquire(ctx context.Context, c *Call) (done func(*CallResult), err error)
	// Load returns the number of calls in flight and queued at the target.
	Load(t TargetID) int
}

// Admitter performs admission control for the queries of this VM.
type Admitter interface {
	// Admit waits until the query may start. Its error is an *Error with verdict NotRun and RetryAfter.
	// The caller must call done exactly once, when the query has ended.
	Admit(ctx context.Context, s *Service, q *Query) (done func(*Answer), err error)
}
