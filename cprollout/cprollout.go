// Package cprollout decides how the requests for a service move to the targets of a new version. A Tracker is each VM's
// part: it limits the requests to the new version and counts their outcome. A Judge compares the outcomes of all VMs, and
// Decide returns the next step, which the driver of the rollout stores. The package makes no calls and reads no clock; the
// current time is passed in.
package cprollout

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Rollout is the rollout of a service as one VM knows it. It is immutable.
type Rollout struct {
	// Order is the order, if Ordered is true. Otherwise there is none any more.
	Order   clementineport.RolloutOrder
	Ordered bool
	// Stored is the stored state, which may belong to an earlier order, if HasState is true.
	Stored   clementineport.RolloutStatus
	HasState bool
	// Lost is true if a restore of the store has lost the state, so that it must be written again.
	Lost bool
	// Version is the new version, and Avoid lists versions that count neither as old nor as new.
	Version clementineport.TargetVersion
	Avoid   []clementineport.TargetVersion
	Phase   clementineport.RolloutPhase
	Share   float64
	// OrderedAt is when the order was given, as far as this VM knows, and PhaseAt when it learned the phase.
	OrderedAt time.Time
	PhaseAt   time.Time
}

// New returns the rollout that follows from an order and a stored state, either of which may be nil, or nil if there is none.
// A state of another order holds no longer, unless that order had completed the rollout of the same version. If the order was
// removed before the rollout ended, the new version is not used any more.
func New(order *clementineport.RolloutOrder, stored *clementineport.RolloutStatus) *Rollout {
	if order == nil && stored == nil {
		return nil
	}
	r := &Rollout{}
	if stored != nil {
		r.Stored, r.HasState = *stored, true
		r.Version, r.Phase, r.Share, r.Avoid = stored.Version, stored.Phase, stored.Share, stored.Avoid
	}
	if order == nil {
		if !r.Phase.Ended() {
			r.Phase, r.Share = clementineport.RolloutRolledBack, 0
		}
		return r
	}
	r.Order, r.Ordered = *order, true
	if r.current() {
		return r
	}
	r.Version, r.Phase, r.Share = order.Version, clementineport.RolloutWaiting, 0
	if stored == nil {
		return r
	}
	if stored.Version == order.Version && stored.Phase == clementineport.RolloutCompleted {
		r.Phase, r.Share = clementineport.RolloutCompleted, 1
		return r
	}
	r.Avoid = avoid(stored, order.Version)
	return r
}

// current reports whether the stored state belongs to the order.
func (r *Rollout) current() bool {
	return r.HasState && r.Stored.Order == r.Order.Revision && r.Stored.Version == r.Order.Version
}

// maxAvoid is the number of versions that a rollout avoids. Targets of versions before these have long been stopped.
const maxAvoid = 8

// avoid returns the versions that a rollout avoids after an earlier one: that version, unless it was completed, and those that
// the earlier one avoided.
func avoid(earlier *clementineport.RolloutStatus, version clementineport.TargetVersion) []clementineport.TargetVersion {
	all := slices.Clone(earlier.Avoid)
	if earlier.Phase != clementineport.RolloutCompleted {
		all = append(all, earlier.Version)
	}
	all = slices.DeleteFunc(all, func(v clementineport.TargetVersion) bool { return v == version })
	slices.Sort(all)
	all = slices.Compact(all)
	return all[max(0, len(all)-maxAvoid):]
}

// Active reports whether the rollout has an order and has not ended.
func (r *Rollout) Active() bool { return r.Ordered && !r.Phase.Ended() }

// Role is what a version of targets is to a rollout.
type Role uint8

const (
	// OldVersion is a target of the version that served before.
	OldVersion Role = iota
	// NewVersion is a target of the new version.
	NewVersion
	// AvoidedVersion is a target of a version that was rolled back or replaced earlier.
	AvoidedVersion
)

// RoleOf returns whether a version is the old one, the new one or one to avoid.
func (r *Rollout) RoleOf(v clementineport.TargetVersion) Role {
	switch {
	case v == r.Version:
		return NewVersion
	case slices.Contains(r.Avoid, v):
		return AvoidedVersion
	default:
		return OldVersion
	}
}

// Usable reports whether targets of a version may be used at all. Whether requests go to the old or the new version while
// the rollout is under way is up to the Tracker.
func (r *Rollout) Usable(v clementineport.TargetVersion) bool {
	switch role := r.RoleOf(v); {
	case r.Phase == clementineport.RolloutCompleted:
		return role == NewVersion
	case r.Phase == clementineport.RolloutRolledBack:
		return role == OldVersion
	default:
		return role != AvoidedVersion
	}
}
