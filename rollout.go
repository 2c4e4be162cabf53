package clementineport

import (
	"context"
	"fmt"
	"time"
)

// TargetVersion is the version of the software of a target.
type TargetVersion string

// RolloutOrder is an operator's order to move the requests for a service to the targets of a version.
type RolloutOrder struct {
	Service  ServiceID
	Version  TargetVersion
	Duration time.Duration
	// Revision is the store's revision of the order, which identifies it.
	Revision Revision
	// Age is the time since the VM that sends the order to another one learned it. It is zero in updates from the store.
	Age time.Duration `json:",omitempty"`
}

// RolloutPhase is a step of a rollout.
type RolloutPhase uint8

const (
	// RolloutWaiting means that no target of the new version is known yet.
	RolloutWaiting RolloutPhase = iota
	// RolloutCanary means that the new version gets a small share of the requests.
	RolloutCanary
	// RolloutWidening means that the new version gets all requests as a trial, before old targets are given up.
	RolloutWidening
	// RolloutCompleting means that old targets get no new requests and end the ones that they have.
	RolloutCompleting
	// RolloutCompleted means that only the new version is used.
	RolloutCompleted
	// RolloutRolledBack means that the new version is not used.
	RolloutRolledBack
)

var rolloutPhaseNames = [...]string{"waiting", "canary", "widening", "completing", "completed", "rolled-back"}

// String returns the phase as it is stored and shown to operators.
func (p RolloutPhase) String() string {
	if int(p) >= len(rolloutPhaseNames) {
		return "unknown"
	}
	return rolloutPhaseNames[p]
}

// MarshalText implements encoding.TextMarshaler.
func (p RolloutPhase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *RolloutPhase) UnmarshalText(text []byte) error {
	for i, name := range rolloutPhaseNames {
		if name == string(text) {
			*p = RolloutPhase(i)
			return nil
		}
	}
	return fmt.Errorf("unknown phase of a rollout %q", text)
}

// Ended reports whether the rollout has ended.
func (p RolloutPhase) Ended() bool { return p >= RolloutCompleted }

// RolloutStatus is the state of a rollout as its driver stores it.
type RolloutStatus struct {
	Service ServiceID
	// Order is the revision of the order.
	Order   Revision
	Version TargetVersion
	Phase   RolloutPhase
	// Share is the share of the requests that the new version gets, from 0 to 1.
	Share float64
	// Driver is the VM that stored the status.
	Driver VMID
	// Elapsed is the time from the order to the write. A driver that learned the order later than that counts from it.
	Elapsed time.Duration
	// Avoid lists the versions of earlier orders that were rolled back or replaced. They are not used as the old version.
	Avoid []TargetVersion `json:",omitempty"`
	// Reason states what led to the phase, for operators.
	Reason string `json:",omitempty"`
	// Revision is the store's revision of the status. It is zero in the stored value and set in updates between VMs.
	Revision Revision `json:",omitempty"`
}

// RolloutStore stores the states of rollouts.
type RolloutStore interface {
	// SaveRollout stores a status on condition that the order and the stored status are still at the given revisions. A
	// revision of zero means that there is none. After a FaultConflict error nothing was stored; after an error without a
	// response the status may have been.
	SaveRollout(ctx context.Context, order, previous Revision, status *RolloutStatus) error
}

// RolloutReport is what one process has seen of a rollout since its order.
type RolloutReport struct {
	VM      VMID
	Start   StartID
	Service ServiceID
	Order   Revision
	// Stopped is true once the VM sends no requests to the new version because it found it to be bad.
	Stopped bool
	// OldEnded is true while the VM sends no requests to old targets and has none under way there.
	OldEnded bool
	Routes   []RolloutCounts
	// Age is the time since the VM made the report.
	Age time.Duration
}

// RolloutCounts counts the requests of a route to the old and the new version.
type RolloutCounts struct {
	Route RouteID
	Old   VersionCounts
	New   VersionCounts
}

// VersionCounts counts the calls to the targets of one version.
type VersionCounts struct {
	Sent int64
	// Answered is the number of calls that have ended without a failure. It includes those that were canceled early.
	Answered int64
	Failed   int64
	// Slow is the number of answers that took several times as long as is usual for the old version.
	Slow int64
	// Elapsed is the total latency of the answers.
	Elapsed time.Duration
}

// Bad returns the number of answers that count against the version.
func (c *VersionCounts) Bad() int64 { return c.Failed + c.Slow }

// Ended returns the number of calls whose outcome is known.
func (c *VersionCounts) Ended() int64 { return c.Answered + c.Failed }

// Add adds the counts of another VM or route.
func (c *VersionCounts) Add(other *VersionCounts) {
	c.Sent += other.Sent
	c.Answered += other.Answered
	c.Failed += other.Failed
	c.Slow += other.Slow
	c.Elapsed += other.Elapsed
}
