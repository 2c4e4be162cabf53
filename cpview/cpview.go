// Package cpview defines one VM's view of the fleet, as it is read by the query path, and the status shown to operators.
//
// A View is immutable: the control loop creates a new one for each change, and readers may keep one for as long as they
// need it. The package holds data and lookups only.
package cpview

import (
	"slices"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpentrylist"
	"github.com/clementineport/clementineport/cpowner"
)

// View is the part of the control state that the query path reads. It is immutable.
type View struct {
	// Revision is zero, and Config, Table and Targets are nil, until a configuration has been received.
	Revision clementineport.Revision
	Config   *clementineport.Config
	Table    *clementineport.Table
	Targets  clementineport.TargetView
	Self     clementineport.VMID
	// Members holds this VM and all other known VMs, sorted by ID.
	Members []clementineport.Member
	// Owners and StandbyOwners hold, for each target of Table, an index into Members or cpowner.NoMember.
	Owners        []int32
	StandbyOwners []int32
	EntryList     *cpentrylist.Selector
	// Restored is the revision in the store if it is lower than Revision, as after a restore of the store, or zero.
	Restored clementineport.Revision
}

// Member returns the member with an ID, or nil.
func (v *View) Member(id clementineport.VMID) *clementineport.Member {
	at, found := slices.BinarySearchFunc(v.Members, id, func(m clementineport.Member, id clementineport.VMID) int {
		return strings.Compare(string(m.ID), string(id))
	})
	if !found {
		return nil
	}
	return &v.Members[at]
}

// Owner returns the owner of a target, or nil.
func (v *View) Owner(t clementineport.TargetIndex) *clementineport.Member {
	return v.at(v.Owners, t)
}

// StandbyOwner returns the VM that stands in for the owner of a target if the owner is unresponsive, or nil.
func (v *View) StandbyOwner(t clementineport.TargetIndex) *clementineport.Member {
	return v.at(v.StandbyOwners, t)
}

// at returns the member whose index is stored for a target, or nil.
func (v *View) at(indexes []int32, t clementineport.TargetIndex) *clementineport.Member {
	if t < 0 || int(t) >= len(indexes) || indexes[t] == cpowner.NoMember {
		return nil
	}
	return &v.Members[indexes[t]]
}

// SelfOutOfService reports whether operators have taken this VM or its failure domain out of service.
func (v *View) SelfOutOfService() bool {
	m := v.Member(v.Self)
	return m != nil && v.Table != nil && cpowner.IsOutOfService(&m.VM, &v.Table.OutOfService)
}

// CountInState returns the number of members in a state.
func (v *View) CountInState(s clementineport.MemberState) int {
	n := 0
	for i := range v.Members {
		if v.Members[i].State == s {
			n++
		}
	}
	return n
}

// Row is the status of one VM of the fleet, as shown to operators.
type Row struct {
	VM       clementineport.VM
	Start    clementineport.StartID
	State    clementineport.MemberState
	Revision clementineport.Revision
	// Confirmed is true if the VM has reported that it uses the same revision as this VM.
	Confirmed bool
	// Out is true if operators have taken the VM or its failure domain out of service.
	Out bool
	// Answered is the time since the VM last answered this one, or negative if it never has.
	Answered time.Duration
}

// Status is the control state of one VM, as shown to operators.
type Status struct {
	Revision clementineport.Revision
	// Fresh is the time since Revision was last confirmed to be the newest accepted revision.
	Fresh time.Duration
	// Contact is the time since the store or a peer last answered.
	Contact time.Duration
	// Watcher is true while this VM watches the store for the fleet.
	Watcher bool
	// Lowered is true while the store holds a lower revision than Revision. Restored is that revision, or zero.
	Lowered  bool
	Restored clementineport.Revision
	// Health is the local health score of the VM; zero is healthy.
	Health int
	Rows   []Row
}
