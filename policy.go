package clementineport

import (
	"context"
	"time"
)

// PickRequest asks for a target for one shard.
type PickRequest struct {
	Replicas []TargetIndex
	Snapshot Snapshot
	Tried    []TargetIndex
	Now      time.Time
	// Home is the failure domain to prefer when load is equal.
	Home FailureDomain
}

// SnapshotPresence says whether a target holds a snapshot.
type SnapshotPresence uint8

const (
	// SnapshotUnknown means that the target has not said.
	SnapshotUnknown SnapshotPresence = iota
	// SnapshotPresent means that the target's last response listed the snapshot.
	SnapshotPresent
	// SnapshotAbsent means that the target's last response did not list the snapshot.
	SnapshotAbsent
)

// TargetView is what a VM knows of the targets of one Table.
// Its rows are shared between revisions, so a target taken out disappears from older views at once.
// All methods may be called from many goroutines.
type TargetView interface {
	// Pick chooses a usable target that has not been tried, or reports that there is none.
	Pick(r *PickRequest) (TargetIndex, bool)
	// Usable reports whether new work may be sent to the target now.
	Usable(t TargetIndex, now time.Time) bool
	// Holds reports whether the target holds a snapshot, as its responses say.
	Holds(t TargetIndex, s Snapshot) SnapshotPresence
	// HeldSnapshots returns the snapshots that the target's last response listed.
	HeldSnapshots(t TargetIndex) []Snapshot
	// HedgeAfter returns how long a call to the target may take before it counts as a straggler.
	HedgeAfter(t TargetIndex) time.Duration
	// Sent records that a call to the target has been sent.
	Sent(t TargetIndex)
	// Observe records the result of a call that was recorded as sent.
	Observe(t TargetIndex, now time.Time, r *CallResult)
}

// Picker keeps what is known of targets from one revision to the next.
type Picker interface {
	// View returns the view of a table; the control goroutine calls it once for each revision.
	View(t *Table) TargetView
}

// Budget bounds extra load as a share of ordinary load.
type Budget interface {
	// Earn credits ordinary calls.
	Earn(calls int)
	// Spend takes one extra call from the budget, or reports that there is none.
	Spend() bool
}

// Limiter bounds the calls in progress and queued at each target that this VM owns.
type Limiter interface {
	// Acquire waits until the call may start; the error is an *Error with verdict NotRun.
	// The caller calls done exactly once with the result of the call.
	Acquire(ctx context.Context, c *Call) (done func(*CallResult), err error)
	// Load returns the number of calls in progress and queued at the target.
	Load(t TargetID) int
}

// Admitter decides which queries this VM starts.
type Admitter interface {
	// Admit waits until the query may start; the error is an *Error with verdict NotRun and RetryAfter.
	// The caller calls done exactly once when the query has ended.
	Admit(ctx context.Context, s *Service, q *Query) (done func(*Answer), err error)
}
