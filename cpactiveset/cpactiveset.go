// Package cpactiveset chooses the active set: the VMs that the directory names to callers where a fleet has more VMs than its
// targets have connections to share. Few VMs that get many requests each notice slow and paused targets sooner, and have
// several connections to each target.
//
// The choice is a pure function of the members, their capacities and the load, so VMs with the same view choose the same set
// without agreement. VMs are added to the set in an order that does not depend on the load, so that sets for different loads
// contain each other. The clock is passed in.
package cpactiveset

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
)

// Millicores is processor time per elapsed time, in thousandths of a core. Integers make sums the same whatever their order.
type Millicores int64

const (
	// unknownCapacity is the capacity of a VM while no VM states one.
	unknownCapacity Millicores = 1000
	// linkMbpsPerCore is the bandwidth, in Mbit/s, with which a VM can use a whole core: a gather from some tens of shards
	// takes about 10 ms of processor time and reads about 100 kB.
	linkMbpsPerCore = 80
)

// CapacityOf returns how much of its processor a VM can use, or zero if that is not known. A slow link limits it.
func CapacityOf(c clementineport.VMCapacity) Millicores {
	cores := c.Cores
	if c.LinkMbps > 0 {
		cores = min(cores, c.LinkMbps/linkMbpsPerCore)
	}
	if cores <= 0 {
		return 0
	}
	return max(1, Millicores(cores*1000))
}

// candidate is a VM that may be in the set.
type candidate struct {
	id       clementineport.VMID
	domain   clementineport.FailureDomain
	capacity Millicores
	hash     uint64
}

// class returns the capacity class. Each class begins at twice the capacity of the one below.
func (c *candidate) class() int { return bits.Len64(uint64(c.capacity)) }

// Set is an active set. It is immutable. Only Has, Size and Named may be called on a nil set.
type Set struct {
	vms map[clementineport.VMID]Millicores
	// owners holds the first VMs of each domain, which are the same for any load.
	owners map[clementineport.VMID]bool
	// capacity is the sum of the capacities of the VMs, and strongest the largest of them.
	capacity, strongest Millicores
}

// Has reports whether a VM is in the set. No VM is in a nil set.
func (s *Set) Has(id clementineport.VMID) bool {
	if s == nil {
		return false
	}
	_, ok := s.vms[id]
	return ok
}

// Size returns the number of VMs in the set, zero for a nil set.
func (s *Set) Size() int {
	if s == nil {
		return 0
	}
	return len(s.vms)
}

// Capacity returns the capacity of a VM of the set, or zero.
func (s *Set) Capacity(id clementineport.VMID) Millicores { return s.vms[id] }

// Total returns the capacity of all VMs in the set together.
func (s *Set) Total() Millicores { return s.capacity }

// Owns reports whether a VM is one of those that may own cold targets. They change only with the members, not with the load.
func (s *Set) Owns(id clementineport.VMID) bool { return s.owners[id] }

// Named reports whether an answer of the directory names a VM. Callers choose evenly among the VMs that an answer names, so a
// weaker VM is left out of some answers, and gets requests in proportion to its capacity. random is from [0, 1).
func (s *Set) Named(id clementineport.VMID, random float64) bool {
	return s.Has(id) && random*float64(s.strongest) < float64(s.vms[id])
}

// equal reports whether two sets have the same VMs.
func (s *Set) equal(other *Set) bool {
	return s != nil && other != nil && maps.Equal(s.vms, other.vms)
}

// Need is what a set must carry.
type Need struct {
	// Demand is the processor time that requests need, of which the set carries headroomFactor times after losses.
	Demand Millicores
	// Capacity is the least capacity of the set.
	Capacity Millicores
}

// Choose returns the smallest set that carries what is needed. It is empty only if there are no candidates.
func Choose(members []clementineport.Member, lost map[clementineport.VMID]bool, need Need) *Set {
	c := newChoice(candidates(members, lost))
	for range minPerDomain {
		c.addToEachDomain()
	}
	for id := range c.set.vms {
		c.set.owners[id] = true
	}
	for enough := false; !enough; {
		enough = c.set.capacity >= need.Capacity && c.afterLoss() >= need.Demand*headroomFactor || !c.addNext()
	}
	return c.set
}

// StartCapacity returns the capacity that a set needs while no load is known: a quarter of the capacity of all VMs, and all of
// the strongest class if that is no more than a half.
func StartCapacity(members []clementineport.Member, lost map[clementineport.VMID]bool) Millicores {
	all := candidates(members, lost)
	strongest, total, ofStrongest := 0, Millicores(0), Millicores(0)
	for i := range all {
		total += all[i].capacity
		switch class := all[i].class(); {
		case class > strongest:
			strongest, ofStrongest = class, all[i].capacity
		case class == strongest:
			ofStrongest += all[i].capacity
		}
	}
	start := (total + startDivisor - 1) / startDivisor
	if ofStrongest <= total/maxStartDivisor {
		start = max(start, ofStrongest)
	}
	return start
}

// candidates returns the VMs that callers may connect to. VMs that reach no target are left out, unless none reaches any.
func candidates(members []clementineport.Member, lost map[clementineport.VMID]bool) []candidate {
	var serving, unreaching []candidate
	weakest := Millicores(0)
	for i := range members {
		m := &members[i]
		if m.State != clementineport.MemberAlive || m.Leaving || m.Caller == "" {
			continue
		}
		c := candidate{id: m.ID, domain: m.Domain, capacity: CapacityOf(m.Capacity), hash: xxhash.Sum64String(string(m.ID))}
		if c.capacity > 0 && (weakest == 0 || c.capacity < weakest) {
			weakest = c.capacity
		}
		if lost[m.ID] {
			unreaching = append(unreaching, c)
		} else {
			serving = append(serving, c)
		}
	}
	if len(serving) == 0 {
		serving = unreaching
	}
	for i := range serving {
		if serving[i].capacity == 0 {
			serving[i].capacity = cmp.Or(weakest, unknownCapacity)
		}
	}
	return serving
}

// choice is a set that is being chosen.
type choice struct {
	domains []domain
	set     *Set
}

// domain holds the VMs of a failure domain, the strongest class first, of which the first taken ones are in the set.
type domain struct {
	ranked []candidate
	taken  int
	sum    Millicores
	// strongest holds the capacities of the strongest VMs that are in the set, in descending order.
	strongest [toleratedVMs]Millicores
}

// newChoice returns a choice with an empty set.
func newChoice(all []candidate) *choice {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(b.class(), a.class()), cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	c := &choice{set: &Set{vms: map[clementineport.VMID]Millicores{}, owners: map[clementineport.VMID]bool{}}}
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].domain == all[0].domain {
			n++
		}
		c.domains, all = append(c.domains, domain{ranked: all[:n]}), all[n:]
	}
	return c
}

// addToEachDomain adds the next VM of each domain.
func (c *choice) addToEachDomain() {
	for i := range c.domains {
		if d := &c.domains[i]; d.taken < len(d.ranked) {
			c.take(d)
		}
	}
}

// addNext adds the VM that adds the most to what is left after the loss of the largest domain, and reports whether there was
// one to add. If that is equal, it is one of the smallest domain.
func (c *choice) addNext() bool {
	largest := Millicores(0)
	for i := range c.domains {
		largest = max(largest, c.domains[i].sum)
	}
	var best *domain
	bestGain := Millicores(0)
	for i := range c.domains {
		d := &c.domains[i]
		if d.taken == len(d.ranked) {
			continue
		}
		capacity := d.ranked[d.taken].capacity
		gain := capacity - max(0, d.sum+capacity-largest)
		if best == nil || gain > bestGain || gain == bestGain && d.sum < best.sum {
			best, bestGain = d, gain
		}
	}
	if best == nil {
		return false
	}
	c.take(best)
	return true
}

// take adds the next VM of a domain to the set.
func (c *choice) take(d *domain) {
	vm := &d.ranked[d.taken]
	d.taken++
	d.sum += vm.capacity
	capacity := vm.capacity
	for i := range d.strongest {
		if capacity > d.strongest[i] {
			capacity, d.strongest[i] = d.strongest[i], capacity
		}
	}
	c.set.vms[vm.id] = vm.capacity
	c.set.capacity += vm.capacity
	c.set.strongest = max(c.set.strongest, vm.capacity)
}

// afterLoss returns the capacity that is left after the loss of any domain and of the strongest other VMs.
func (c *choice) afterLoss() Millicores {
	worst := Millicores(0)
	for i := range c.domains {
		loss := c.domains[i].sum
		var strongest [toleratedVMs]Millicores
		for j := range c.domains {
			if j == i {
				continue
			}
			for _, capacity := range c.domains[j].strongest {
				for k := range strongest {
					if capacity > strongest[k] {
						capacity, strongest[k] = strongest[k], capacity
					}
				}
			}
		}
		for _, capacity := range strongest {
			loss += capacity
		}
		worst = max(worst, loss)
	}
	return c.set.capacity - worst
}
