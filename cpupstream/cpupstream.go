// Package cpupstream decides from which VM another one gets the news of the fleet. It is pure: the members are passed in,
// and VMs that see the same members decide alike.
package cpupstream

import (
	"slices"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
)

// Choose returns the VM whose news a VM follows, or false when it follows the store itself. In each failure domain some
// VMs, those that rank first, follow the store, and each of the others follows one of them: so the calls to the store
// grow with the failure domains and not with the VMs.
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

// leads reports whether a VM is one of those that follow the store.
func isWatcher(id clementineport.VMID, members []clementineport.Member, ranked []int32) bool {
	return slices.ContainsFunc(ranked, func(i int32) bool { return members[i].ID == id })
}

// Any returns a VM that is expected to answer, chosen by a source of chance that returns a number below n; or one of the
// seeds when none is known.
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
