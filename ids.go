package clementineport

import "fmt"

// VMID names an entry VM.
type VMID string

// FailureDomain names a group of VMs and targets that fail or are taken out of service together.
type FailureDomain string

// TargetID names a target, which is a searcher process of the back end.
type TargetID string

// TargetIndex is the position of a target in Table.Targets; it is valid for one revision only.
type TargetIndex int32

// NoTarget is the TargetIndex of no target.
const NoTarget TargetIndex = -1

// ServiceID names a service of the estate.
type ServiceID string

// IndexID names a search index.
type IndexID string

// GroupID names a target group.
type GroupID string

// ShardID is the zero-based number of a shard within one layout.
type ShardID int32

// LayoutID numbers a partition layout of an index.
type LayoutID uint32

// IndexVersion numbers the versions of an index; a higher number is newer.
type IndexVersion uint64

// Revision numbers the accepted configurations; it never decreases.
type Revision uint64

// RequestID is the id that the caller gives a request.
type RequestID string

// StartID identifies one run of a process; a restarted process has a new one.
type StartID string

// SubmissionID identifies one configuration change; every resend of the change carries the same one.
type SubmissionID string

// AttemptID numbers the attempts of one query, starting at one.
type AttemptID int32

// Snapshot is the state of an index from which one answer is computed.
type Snapshot struct {
	Version IndexVersion
	Layout  LayoutID
}

// IsZero reports whether the snapshot is unset.
func (s Snapshot) IsZero() bool { return s == Snapshot{} }

// String returns the snapshot as version/layout.
func (s Snapshot) String() string { return fmt.Sprintf("v%d/l%d", s.Version, s.Layout) }

// Newer reports whether the snapshot is newer than other.
func (s Snapshot) Newer(other Snapshot) bool {
	if s.Version != other.Version {
		return s.Version > other.Version
	}
	return s.Layout > other.Layout
}
