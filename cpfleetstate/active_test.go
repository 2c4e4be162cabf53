package cpfleetstate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpactiveset"
	"github.com/clementineport/clementineport/cpfleetstate"
)

// Guards against a directory that names VMs outside the set, or no VM once those of the set have failed, and against answers
// that differ from earlier builds where no set is in effect.
func TestTheDirectoryNamesTheVMsOfTheSet(t *testing.T) {
	view := &cpfleetstate.View{}
	for i, id := range []clementineport.VMID{"a", "b", "c", "d"} {
		capacity := clementineport.VMCapacity{Cores: 0.8}
		if i >= 2 {
			capacity.Cores = 0.2
		}
		view.Members = append(view.Members, clementineport.Member{VM: clementineport.VM{ID: id, Caller: string(id), Capacity: capacity}})
	}
	named := func() (ids []clementineport.VMID) {
		for _, m := range view.NamedVMs(func() float64 { return 0 }) {
			ids = append(ids, m.ID)
		}
		return ids
	}
	assert.DeepEqual(t, named(), []clementineport.VMID{"a", "b", "c", "d"})
	view.Active = cpactiveset.Choose(view.Members, nil, cpactiveset.Need{})
	assert.DeepEqual(t, named(), []clementineport.VMID{"a", "b"})
	view.Members[0].State = clementineport.MemberDead
	assert.DeepEqual(t, named(), []clementineport.VMID{"b"})
	view.Members[1].State = clementineport.MemberDead
	assert.DeepEqual(t, named(), []clementineport.VMID{"c", "d"})
}
