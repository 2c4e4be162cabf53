package cpowner_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
)

func table(targets, domains int) *clementineport.Table {
	t := &clementineport.Table{}
	for i := range targets {
		t.Targets = append(t.Targets, clementineport.TargetRow{TargetSpec: clementineport.TargetSpec{
			ID: clementineport.TargetID(fmt.Sprintf("searcher-%d", i)), Domain: domain(i % domains),
		}})
	}
	return t
}

func domain(i int) clementineport.FailureDomain {
	return clementineport.FailureDomain(fmt.Sprintf("zone-%d", i))
}

func member(i, domains int) clementineport.Member {
	return clementineport.Member{VM: clementineport.VM{
		ID: clementineport.VMID(fmt.Sprintf("entry-%d", i)), Domain: domain(i % domains),
	}}
}

func members(n, domains int) []clementineport.Member {
	var m []clementineport.Member
	for i := range n {
		m = append(m, member(i, domains))
	}
	return m
}

// name returns the id of the member at an index, or an empty id for NoMember.
func name(m []clementineport.Member, at int32) clementineport.VMID {
	if at == cpowner.NoMember {
		return ""
	}
	return m[at].ID
}

// TestAssign changes the members at random and compares the incremental assignment with one computed from
// scratch. Only targets of the changed VM may move.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		tbl := table(60, domains+rapid.IntRange(0, 1).Draw(t, "empty domains"))
		cached := cpowner.New(cpowner.WithRebuildShare(1))
		current := members(rapid.IntRange(1, 12).Draw(t, "VMs"), domains)
		before := cached.Assign(tbl, current)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			previous := current
			current = slices.Clone(previous)
			at := rapid.IntRange(0, len(current)-1).Draw(t, "VM")
			changed := current[at].ID
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				current[at].State = rapid.SampledFrom([]clementineport.MemberState{
					clementineport.MemberAlive, clementineport.MemberDead, clementineport.MemberLeaving,
				}).Draw(t, "state")
			case 1:
				if len(current) > 1 {
					current = append(current[:at], current[at+1:]...)
				}
			default:
				added := member(20+rapid.IntRange(0, 9).Draw(t, "new"), domains)
				if !slices.ContainsFunc(current, func(m clementineport.Member) bool { return m.ID == added.ID }) {
					changed = added.ID
					current = append(current, added)
				}
			}
			after := cached.Assign(tbl, current)
			fresh := cpowner.New().Assign(tbl, current)
			for i := range tbl.Targets {
				old, owner := name(previous, before.Owners[i]), name(current, after.Owners[i])
				assert.Equal(t, owner, name(current, fresh.Owners[i]))
				assert.Equal(t, name(current, after.Standbys[i]), name(current, fresh.Standbys[i]))
				assert.Assert(t, owner == "" || owner != name(current, after.Standbys[i]))
				checkOwner(t, tbl, current, i, after.Owners[i])
				if d := tbl.Targets[i].Domain; owner != old && hasLiveVM(previous, d) && hasLiveVM(current, d) {
					assert.Assert(t, old == changed || owner == changed, "target %d moved from %s to %s", i, old, owner)
				}
			}
			before = after
		}
	})
}

func hasLiveVM(m []clementineport.Member, d clementineport.FailureDomain) bool {
	return slices.ContainsFunc(m, func(m clementineport.Member) bool {
		return m.Domain == d && m.State == clementineport.MemberAlive
	})
}

// checkOwner asserts that an owner is alive, and that it is in the target's failure domain if that has a live VM.
func checkOwner(t *rapid.T, tbl *clementineport.Table, m []clementineport.Member, target int, owner int32) {
	d := tbl.Targets[target].Domain
	assert.Assert(t, owner == cpowner.NoMember || m[owner].State == clementineport.MemberAlive)
	assert.Assert(t, owner != cpowner.NoMember && m[owner].Domain == d || !hasLiveVM(m, d))
}

func TestTakenOutVMsOwnNothing(t *testing.T) {
	tbl := table(200, 4)
	tbl.OutOfService = clementineport.OutOfService{VMs: []clementineport.VMID{"entry-1"}, Domains: []clementineport.FailureDomain{domain(2)}}
	m := members(12, 4)
	a := cpowner.New().Assign(tbl, m)
	for i, owner := range a.Owners {
		assert.Assert(t, m[owner].ID != "entry-1" && m[owner].Domain != domain(2), "target %d", i)
		assert.Assert(t, m[a.Standbys[i]].Domain != domain(2))
	}
}

func TestOwnersAreEven(t *testing.T) {
	for _, size := range []struct{ targets, vms int }{{127, 8}, {3900, 32}, {3900, 770}} {
		a := cpowner.New().Assign(table(size.targets, 4), members(size.vms, 4))
		mean := float64(size.targets) / float64(size.vms)
		// The number of targets per VM is approximately Poisson distributed.
		bound := (5*math.Sqrt(mean) + 4) / mean
		assert.Assert(t, a.Imbalance(size.vms) <= bound, "%+v: the busiest owner is %.2f above the mean", size, a.Imbalance(size.vms))
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ targets, vms int }{{127, 8}, {3900, 8}, {3900, 128}, {3900, 770}} {
		for _, cached := range []bool{false, true} {
			b.Run(fmt.Sprintf("Targets=%d/VMs=%d/Cached=%t", size.targets, size.vms, cached), func(b *testing.B) {
				tbl := table(size.targets, 4)
				m := members(size.vms, 4)
				share := 0.0
				if cached {
					share = 1
				}
				a := cpowner.New(cpowner.WithRebuildShare(share))
				a.Assign(tbl, m)
				b.ReportAllocs()
				for i := range b.N {
					m[1].State = clementineport.MemberState(2 * ((i + 1) % 2))
					a.Assign(tbl, m)
				}
			})
		}
	}
}
