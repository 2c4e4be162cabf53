// Package cpowner assigns an owner and a standby owner to each target by rendezvous hashing.
//
// The assignment is a pure function of the table and the members; the Assigner only caches scores.
// The package makes no calls and reads no clock. Ownership is not exclusive: two VMs with
// different views may both consider themselves the owner of a target.
package cpowner

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
)

// rebuildSlack is the number of departed VMs that are kept in addition to as many as there are members,
// before they are dropped by a rebuild.
const rebuildSlack = 16

// NoMember is the index used where there is no member.
const NoMember int32 = -1

// Assignment holds, for each target of a table, the indexes of its owner and standby owner in a member list.
type Assignment struct {
	Owners   []int32
	Standbys []int32
}

// Assigner assigns owners and standby owners to targets. It is not safe for concurrent use.
type Assigner struct {
	options Options
	table   *clementineport.Table
	hashes  []uint64
	domains map[clementineport.FailureDomain][]int32
	vms     []vm
	byID    map[clementineport.VMID]int32
	best    []ownerPair
}

// vm is a VM that has been eligible since the last rebuild, even if it no longer is.
type vm struct {
	id       clementineport.VMID
	domain   clementineport.FailureDomain
	hash     uint64
	eligible bool
	member   int32
}

// ownerPair holds the two VMs with the highest scores for a target, as positions in Assigner.vms.
type ownerPair struct {
	owner, standby           int32
	ownerScore, standbyScore uint64
}

var emptyPair = ownerPair{owner: NoMember, standby: NoMember}

// New returns an Assigner.
func New(opts ...Option) *Assigner {
	return &Assigner{options: NewOptions(opts...)}
}

// Eligible reports whether a member may own targets: it is alive or suspect, and in service.
func Eligible(m *clementineport.Member, out *clementineport.OutOfService) bool {
	if m.State != clementineport.MemberAlive && m.State != clementineport.MemberSuspect {
		return false
	}
	return !IsOutOfService(&m.VM, out)
}

// IsOutOfService reports whether operators have taken the VM or its failure domain out of service.
func IsOutOfService(v *clementineport.VM, out *clementineport.OutOfService) bool {
	for _, id := range out.VMs {
		if id == v.ID {
			return true
		}
	}
	for _, d := range out.Domains {
		if d == v.Domain {
			return true
		}
	}
	return false
}

// Assign returns the owner and standby owner of every target of the table.
func (a *Assigner) Assign(table *clementineport.Table, members []clementineport.Member) Assignment {
	joined, left := a.updateVMs(table, members)
	changed := float64(len(joined) + len(left))
	tooManyDeparted := len(a.vms) > 2*len(members)+rebuildSlack
	switch {
	case a.table != table || tooManyDeparted || changed > a.options.RebuildShare*float64(len(a.vms)):
		a.rebuild(table, members)
	case changed > 0:
		a.reassign(joined, left)
	}
	return a.assignment()
}

// updateVMs records which VMs are eligible now and returns the positions of those that joined and left.
func (a *Assigner) updateVMs(table *clementineport.Table, members []clementineport.Member) (joined, left []int32) {
	if a.table == nil {
		a.byID = map[clementineport.VMID]int32{}
	}
	seen := make([]bool, len(a.vms), len(a.vms)+len(members))
	for i := range members {
		m := &members[i]
		if !Eligible(m, &table.OutOfService) {
			continue
		}
		at, known := a.byID[m.ID]
		if known && a.vms[at].domain != m.Domain {
			a.byID[m.ID] = int32(len(a.vms))
			known = false
		}
		if !known {
			at = int32(len(a.vms))
			a.byID[m.ID] = at
			a.vms = append(a.vms, vm{id: m.ID, domain: m.Domain, hash: xxhash.Sum64String(string(m.ID))})
			seen = append(seen, false)
		}
		v := &a.vms[at]
		if !v.eligible {
			joined = append(joined, at)
		}
		v.eligible, v.member = true, int32(i)
		seen[at] = true
	}
	for at := range a.vms {
		if a.vms[at].eligible && !seen[at] {
			a.vms[at].eligible = false
			left = append(left, int32(at))
		}
	}
	return joined, left
}

// rebuild assigns all targets of the table from scratch and forgets departed VMs.
func (a *Assigner) rebuild(table *clementineport.Table, members []clementineport.Member) {
	if a.table != table {
		a.hashes = make([]uint64, len(table.Targets))
		for t := range table.Targets {
			a.hashes[t] = xxhash.Sum64String(string(table.Targets[t].ID))
		}
		a.best = make([]ownerPair, len(table.Targets))
		a.table = table
	}
	a.vms = nil
	clear(a.byID)
	a.updateVMs(table, members)
	a.groupByDomain()
	for t := range a.best {
		a.choose(t)
	}
}

// groupByDomain lists the eligible VMs of each failure domain, and all of them under the empty domain.
func (a *Assigner) groupByDomain() {
	a.domains = map[clementineport.FailureDomain][]int32{}
	for at := range a.vms {
		if !a.vms[at].eligible {
			continue
		}
		d := a.vms[at].domain
		if d != "" {
			a.domains[d] = append(a.domains[d], int32(at))
		}
		a.domains[""] = append(a.domains[""], int32(at))
	}
}

// reassign updates the targets that are affected by the VMs that joined and left.
func (a *Assigner) reassign(joined, left []int32) {
	before := a.domains
	a.groupByDomain()
	gone := make(map[int32]bool, len(left))
	for _, at := range left {
		gone[at] = true
	}
	for t := range a.best {
		d := a.table.Targets[t].Domain
		p := &a.best[t]
		if len(before[d]) < 2 || len(a.domains[d]) < 2 || gone[p.owner] || gone[p.standby] {
			a.choose(t)
			continue
		}
		for _, at := range joined {
			if a.vms[at].domain == d {
				p.consider(at, score(a.hashes[t], a.vms[at].hash))
			}
		}
	}
}

// choose selects the owner and standby owner of one target from the VMs in the target's failure domain.
// If that has fewer than two VMs, the rest come from other failure domains.
func (a *Assigner) choose(t int) {
	p := emptyPair
	own := a.domains[a.table.Targets[t].Domain]
	for _, at := range own {
		p.consider(at, score(a.hashes[t], a.vms[at].hash))
	}
	if len(own) < 2 {
		p = a.fillFromAllDomains(t, p)
	}
	a.best[t] = p
}

// fillFromAllDomains completes a pair that lacks an owner or a standby owner with VMs of any failure domain.
func (a *Assigner) fillFromAllDomains(t int, own ownerPair) ownerPair {
	all := emptyPair
	for _, at := range a.domains[""] {
		if at != own.owner {
			all.consider(at, score(a.hashes[t], a.vms[at].hash))
		}
	}
	if own.owner == NoMember {
		return all
	}
	own.standby, own.standbyScore = all.owner, all.ownerScore
	return own
}

// consider puts a VM into the pair if its score is among the two highest.
func (p *ownerPair) consider(at int32, s uint64) {
	switch {
	case p.owner == NoMember || s > p.ownerScore:
		p.standby, p.standbyScore = p.owner, p.ownerScore
		p.owner, p.ownerScore = at, s
	case p.standby == NoMember || s > p.standbyScore:
		p.standby, p.standbyScore = at, s
	}
}

func (a *Assigner) assignment() Assignment {
	owners := make([]int32, 2*len(a.best))
	r := Assignment{Owners: owners[:len(a.best)], Standbys: owners[len(a.best):]}
	for t := range a.best {
		r.Owners[t] = a.member(a.best[t].owner)
		r.Standbys[t] = a.member(a.best[t].standby)
	}
	return r
}

func (a *Assigner) member(at int32) int32 {
	if at == NoMember {
		return NoMember
	}
	return a.vms[at].member
}

// score combines the hashes of a target and a VM into a rendezvous score.
func score(target, vm uint64) uint64 {
	x := target ^ vm*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Rank returns the indexes of the n eligible members with the highest rendezvous scores for a key, highest first.
func Rank(key string, members []clementineport.Member, n int, eligible func(*clementineport.Member) bool) []int32 {
	h := xxhash.Sum64String(key)
	ranks := make([]int32, 0, n)
	scores := make([]uint64, 0, n)
	for i := range members {
		if !eligible(&members[i]) {
			continue
		}
		s := score(h, xxhash.Sum64String(string(members[i].ID)))
		at := len(scores)
		for at > 0 && scores[at-1] < s {
			at--
		}
		if at >= n {
			continue
		}
		if len(scores) == n {
			ranks, scores = ranks[:n-1], scores[:n-1]
		}
		ranks = append(ranks[:at], append([]int32{int32(i)}, ranks[at:]...)...)
		scores = append(scores[:at], append([]uint64{s}, scores[at:]...)...)
	}
	return ranks
}

// Imbalance returns how far the number of targets of the busiest owner is above the mean, as a fraction of the mean.
func (r *Assignment) Imbalance(members int) float64 {
	counts := make([]int, members)
	total := 0
	for _, m := range r.Owners {
		if m != NoMember {
			counts[m]++
			total++
		}
	}
	highest, owners := 0, 0
	for _, n := range counts {
		highest = max(highest, n)
		owners += min(n, 1)
	}
	if owners == 0 {
		return 0
	}
	return math.Max(0, float64(highest*owners)/float64(total)-1)
}
