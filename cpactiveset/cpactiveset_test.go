package cpactiveset_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpactiveset"
)

var (
	strong = clementineport.VMCapacity{Cores: 0.8, LinkMbps: 200}
	weak   = clementineport.VMCapacity{Cores: 0.192, LinkMbps: 20}
	start  = time.Unix(1000, 0)
)

// usual is the processor time of 100 gathers a second at 10 ms, and busy that of five times as many.
const (
	usual cpactiveset.Millicores = 1000
	busy                         = 5 * usual
)

// fleet returns VMs of several domains, of which the first ones are strong.
func fleet(vms, strongVMs, domains int) []clementineport.Member {
	members := make([]clementineport.Member, vms)
	for i := range members {
		id := fmt.Sprintf("vm-%d", i)
		members[i].VM = clementineport.VM{
			ID: clementineport.VMID(id), Domain: clementineport.FailureDomain(fmt.Sprint("d", i%domains)), Caller: id, Capacity: weak,
		}
		if i < strongVMs {
			members[i].Capacity = strong
		}
	}
	return members
}

// fleetK is the fleet of deployment K in docs/WORKSPACES-AND-ROLLOUTS.md.
func fleetK() []clementineport.Member { return fleet(82, 8, 4) }

func choose(members []clementineport.Member, lost map[clementineport.VMID]bool, demand cpactiveset.Millicores) *cpactiveset.Set {
	return cpactiveset.Choose(members, lost, cpactiveset.Need{Demand: demand})
}

func without(members []clementineport.Member, lost func(i int) bool) []clementineport.Member {
	members = slices.Clone(members)
	for i := range members {
		if lost(i) {
			members[i].State = clementineport.MemberDead
		}
	}
	return members
}

// capacityOf returns the capacity of the VMs of a set that are not lost.
func capacityOf(set *cpactiveset.Set, members []clementineport.Member, lost func(i int) bool) (total cpactiveset.Millicores) {
	for i := range members {
		if !lost(i) {
			total += set.Capacity(members[i].ID)
		}
	}
	return total
}

// Guards against a set that is larger than the usual load needs: its VMs would have too few connections each.
func TestTheUsualLoadOfManyWeakVMsIsCarriedByTheStrongOnes(t *testing.T) {
	members := fleetK()
	for _, need := range []cpactiveset.Need{{}, {Demand: usual}, {Capacity: cpactiveset.StartCapacity(members, nil)}} {
		set := cpactiveset.Choose(members, nil, need)
		assert.Equal(t, set.Size(), 8)
		for i := range members {
			assert.Equal(t, set.Has(members[i].ID), i < 8)
		}
	}
}

// Guards against a set that is overloaded by the loss of a failure domain and two more VMs, before another one is chosen.
func TestADomainAndTwoVMsAreLostAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		members := fleet(rapid.IntRange(1, 300).Draw(t, "VMs"), rapid.IntRange(0, 20).Draw(t, "strong VMs"), domains)
		demand := cpactiveset.Millicores(rapid.IntRange(0, 20_000).Draw(t, "demand"))
		set := choose(members, nil, demand)
		domain := rapid.IntRange(0, domains-1).Draw(t, "lost domain")
		a, b := rapid.IntRange(0, len(members)-1).Draw(t, "a"), rapid.IntRange(0, len(members)-1).Draw(t, "b")
		left := capacityOf(set, members, func(i int) bool { return i%domains == domain || i == a || i == b })
		assert.Assert(t, set.Size() == len(members) || left >= 2*demand, "%d left for %d", left, demand)
	})
}

// Guards against VMs that choose differently although they know the same, and against sets that exchange VMs with the load.
func TestVMsWithTheSameViewChooseTheSameSetAndMoreLoadOnlyAddsVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(1, 120).Draw(t, "VMs"), rapid.IntRange(0, 20).Draw(t, "strong VMs"), 4)
		demand := cpactiveset.Millicores(rapid.IntRange(0, 10_000).Draw(t, "demand"))
		set := choose(members, nil, demand)
		more := choose(members, nil, demand+cpactiveset.Millicores(rapid.IntRange(0, 5000).Draw(t, "more")))
		shuffled := slices.Clone(members)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		same := choose(shuffled, nil, demand)
		inDomain := map[clementineport.FailureDomain]int{}
		for i := range members {
			id := members[i].ID
			assert.Equal(t, set.Has(id), same.Has(id))
			assert.Assert(t, !set.Has(id) || more.Has(id))
			assert.Equal(t, set.Owns(id), more.Owns(id))
			if set.Has(id) {
				inDomain[members[i].Domain]++
			}
		}
		for i := range members {
			if n := len(members); n >= 8 {
				assert.Assert(t, inDomain[members[i].Domain] >= 2, "two of each domain")
			}
		}
	})
}

// Guards against a set that keeps VMs that have died, or lacks the capacity for the load, after half of it is lost.
func TestHalfOfTheSetIsLostAtOnce(t *testing.T) {
	members := without(fleetK(), func(i int) bool { return i < 8 && i%2 == 0 })
	before := choose(fleetK(), nil, usual)
	set := choose(members, nil, usual)
	for i := range members {
		dead := members[i].State == clementineport.MemberDead
		assert.Assert(t, !dead || !set.Has(members[i].ID))
		assert.Assert(t, dead || !before.Has(members[i].ID) || set.Has(members[i].ID), "VMs that are left stay in the set")
	}
	assert.Assert(t, capacityOf(set, members, func(i int) bool { return i%4 == 1 }) >= 2*usual)
}

// Guards against two sets that have little in common when some VMs consider a whole domain dead and others don't.
func TestTheFleetIsSplitIntoTwoViewsOfADomain(t *testing.T) {
	all := choose(fleetK(), nil, usual)
	rest := choose(without(fleetK(), func(i int) bool { return i%4 == 0 }), nil, usual)
	for i, m := range fleetK() {
		assert.Assert(t, i%4 == 0 || !all.Has(m.ID) || rest.Has(m.ID), "VMs of other domains are in both sets")
	}
}

// Guards against VMs that callers can't use.
func TestVMsThatLeaveOrReachNoTargetAreNotInTheSet(t *testing.T) {
	members := fleetK()
	members[0].Leaving, members[1].State = true, clementineport.MemberSuspect
	lost := map[clementineport.VMID]bool{members[2].ID: true}
	set := choose(members, lost, busy)
	for i := range 3 {
		assert.Assert(t, !set.Has(members[i].ID))
	}
	for i := range members {
		lost[members[i].ID] = true
	}
	assert.Assert(t, choose(members, lost, usual).Size() >= 8, "if no VM reaches a target, that is no reason to leave it out")
	assert.Equal(t, choose(nil, nil, usual).Size(), 0)
}

// Guards against VMs of an earlier build that are taken to be strong, or to be unable to do anything.
func TestVMsWithUnknownCapacityCountAsTheWeakest(t *testing.T) {
	members := fleetK()
	for i := 8; i < 40; i++ {
		members[i].Capacity = clementineport.VMCapacity{}
	}
	set := choose(members, nil, 2*busy)
	assert.Equal(t, set.Capacity(members[8].ID), cpactiveset.Millicores(192))
	for i := range members {
		members[i].Capacity = clementineport.VMCapacity{}
	}
	assert.Assert(t, choose(members, nil, usual).Size() >= 8)
}

// Guards against a fast processor behind a link that can't feed it.
func TestASlowLinkLimitsTheCapacity(t *testing.T) {
	assert.Equal(t, cpactiveset.CapacityOf(clementineport.VMCapacity{Cores: 4, LinkMbps: 8}), cpactiveset.Millicores(100))
	assert.Equal(t, cpactiveset.CapacityOf(weak), cpactiveset.Millicores(192))
	assert.Equal(t, cpactiveset.CapacityOf(clementineport.VMCapacity{}), cpactiveset.Millicores(0))
}

// Guards against weak VMs that get as many requests as strong ones, since callers choose evenly.
func TestAWeakVMIsNamedInProportionToItsCapacity(t *testing.T) {
	members := fleetK()
	set := choose(members, nil, 2*busy)
	named := map[clementineport.VMCapacity]int{}
	const answers = 4000
	for i := range answers {
		for _, vm := range []int{0, 8} {
			if set.Named(members[vm].ID, float64(i)/answers) {
				named[members[vm].Capacity]++
			}
		}
	}
	assert.Equal(t, named[strong], answers)
	assert.Equal(t, named[weak], answers*192/800)
}

func BenchmarkChoose(b *testing.B) {
	for _, vms := range []int{8, 30, 82, 295, 770} {
		members := fleet(vms, vms/10, 4)
		b.Run(fmt.Sprintf("%d VMs", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				choose(members, nil, cpactiveset.Millicores(vms*20))
			}
		})
	}
}
