// Package cpview holds what one VM knows of the fleet, as the query path and operators read it.
//
// A View is immutable: the control loop makes a new one for each change, and readers keep theirs as long as they
// need it. The package looks up and decides nothing.
package cpview

import (
	"slices"
	"strings"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpentrylist"
	"github.com/clementineport/clementineport/cpowner"
)

// View is what the query path reads of the control state. It is immutable.
type View struct {
	// Revision is zero, and Config, Table and Targets are nil, until a configuration is known.
	Revision clementineport.Revision
	Config   *clementineport.Config
	Table    *clementineport.Table
	Targets  clementineport.TargetView
	Self     clementineport.VMID
	// Members holds this VM and all others that are known, sorted by id.
	Members []clementineport.Member
	// Owners and Deputies hold, for each target of Table, an index into Members or cpowner.NoMember.
	Owners        []int32
	StandbyOwners []int32
	EntryList     *cpentrylist.Selector
	// Restored is the lower revision that the store answers with, or zero.
	Restored clementineport.Revision
}

// Member returns a member, or nil.
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

// StandbyOwner returns the VM that is asked when the owner of a target does not answer, or nil.
func (v *View) StandbyOwner(t clementineport.TargetIndex) *clementineport.Member {
	return v.at(v.StandbyOwners, t)
}

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

// Row is what an operator sees of one VM.
type Row struct {
	VM       clementineport.VM
	Start    clementineport.StartID
	State    clementineport.MemberState
	Revision clementineport.Revision
	// Confirmed is true when the VM has said that the revision in force here is in force there.
	Confirmed bool
	Out       bool
	// Answered is the time since the VM last answered this one; it is negative if it never has.
	Answered time.Duration
}

// Status is what an operator sees of the control state of one VM.
type Status struct {
	Revision clementineport.Revision
	// Fresh is the time since the revision was last known to be the newest accepted.
	Fresh time.Duration
	// Contact is the time since the store or a peer last answered.
	Contact time.Duration
	Watcher bool
	// Lowered is true while the store holds Restored, a lower revision than the one in force; zero is none.
	Lowered  bool
	Restored clementineport.Revision
	Health   int
	Rows     []Row
}
