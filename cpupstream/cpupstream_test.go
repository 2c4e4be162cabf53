package cpupstream_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpupstream"
)

const storeWatchers = 3

// fleet returns a number of VMs spread evenly over failure domains.
func fleet(vms, domains int) []clementineport.Member {
	var members []clementineport.Member
	for n := range vms {
		id := fmt.Sprintf("vm-%d", n)
		members = append(members, clementineport.Member{
			VM:    clementineport.VM{ID: clementineport.VMID(id), Domain: clementineport.FailureDomain(fmt.Sprint(n % domains)), Peer: id},
			State: clementineport.MemberAlive,
		})
	}
	return members
}

// downstreams returns how many VMs get updates from each VM; the empty id stands for the store.
func downstreams(members []clementineport.Member) map[clementineport.VMID]int {
	n := map[clementineport.VMID]int{}
	for i := range members {
		vm, _ := cpupstream.Choose(&members[i], members, storeWatchers)
		n[vm.ID]++
	}
	return n
}

func TestSomeVMsOfEachDomainFollowTheStore(t *testing.T) {
	for vms, store := range map[int]int{3: 3, 8: 8, 9: 9, 59: 9, 770: 9} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			n := downstreams(fleet(vms, 3))
			assert.Equal(t, n[""], store)
			for id, count := range n {
				assert.Assert(t, id == "" || count < vms/4, "%d VMs get updates from %s", count, id)
			}
		})
	}
}

func TestAVMThatLeavesOrDiesIsNotFollowed(t *testing.T) {
	members := fleet(30, 3)
	for id := range downstreams(members) {
		for i := range members {
			if members[i].ID == id {
				members[i].Leaving = i%2 == 0
				if !members[i].Leaving {
					members[i].State = clementineport.MemberDead
				}
			}
		}
	}
	n := downstreams(members)
	for i := range members {
		if m := &members[i]; m.Leaving || m.State == clementineport.MemberDead {
			assert.Equal(t, n[m.ID], 0, "VMs get updates from %s", m.ID)
		}
	}
}

func TestAVMOfAnotherDomainIsNotFollowed(t *testing.T) {
	members := fleet(59, 3)
	domains := map[clementineport.VMID]clementineport.FailureDomain{}
	for i := range members {
		domains[members[i].ID] = members[i].Domain
	}
	for i := range members {
		if vm, ok := cpupstream.Choose(&members[i], members, storeWatchers); ok {
			assert.Equal(t, domains[vm.ID], members[i].Domain)
		}
	}
}

func TestASeedIsChosenWhenNoPeerIsKnown(t *testing.T) {
	first := func(int) int { return 0 }
	seed := clementineport.VM{ID: "seed"}
	vm, ok := cpupstream.RandomPeer("vm-0", fleet(1, 1), []clementineport.VM{seed}, first)
	assert.Assert(t, ok && vm == seed)
	vm, ok = cpupstream.RandomPeer("vm-0", fleet(2, 1), []clementineport.VM{seed}, first)
	assert.Assert(t, ok && vm.ID == "vm-1")
	_, ok = cpupstream.RandomPeer("vm-0", nil, nil, first)
	assert.Assert(t, !ok)
}
