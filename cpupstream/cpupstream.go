// Package cpupstream chooses the VM from which another VM gets its fleet updates. It has no state: the members are passed
// in, and VMs with the same members make the same choice.
package cpupstream

import (
	"slices"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
)

// Choose returns the VM from which self gets its updates, or false when self watches the store. In each failure domain
// the VMs that rank first watch the store, and each of the others gets its updates from one of them. The number of store
// calls thus grows with the number of failure domains and not with the number of VMs.
func Choose(self *clementineport.Member, members []clementineport.Member, watchers int) (clementineport.VM, bool) {
	ranked := cpowner.Rank("follow", members, watchers, func(m *clementineport.Member) bool {
		return m.Domain == self.Domain && m.State == clementineport.MemberAlive && !m.Leaving && m.Peer != ""
	})
	if len(ranked) < watchers || isWatcher(self.ID, members, ranked) {
		return clementineport.VM{}, false
	}
	nearest := cpowner.Rank(string(self.ID), members, 1, func(m *clementineport.Member) bool {
		return isWatcher(m.ID, members, ranked)
	})
	return members[nearest[0]].VM, true
}

// isWatcher reports whether a VM is one of those that watch the store.
func isWatcher(id clementineport.VMID, members []clementineport.Member, ranked []int32) bool {
	return slices.ContainsFunc(ranked, func(i int32) bool { return members[i].ID == id })
}

// RandomPeer returns a random live VM other than self, or a random seed when there is none. randIntN returns a random
// number below n.
func RandomPeer(self clementineport.VMID, members []clementineport.Member, seeds []clementineport.VM, randIntN func(n int) int) (clementineport.VM, bool) {
	var alive []clementineport.VM
	for i := range members {
		if m := &members[i]; m.ID != self && m.State == clementineport.MemberAlive && m.Peer != "" {
			alive = append(alive, m.VM)
		}
	}
	if len(alive) == 0 {
		alive = seeds
	}
	if len(alive) == 0 {
		return clementineport.VM{}, false
	}
	return alive[randIntN(len(alive))], true
}
