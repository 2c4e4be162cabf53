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

// name returns the id of an assigned member.
func name(m []clementineport.Member, at int32) clementineport.VMID {
	if at == cpowner.NoMember {
		return ""
	}
	return m[at].ID
}

// TestAssign changes the members at random and compares the cached assignment with one that is computed
// anew; only targets of the VMs that changed may move.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		tbl := table(60, domains+rapid.IntRange(0, 1).Draw(t, "empty domains"))
		cached := cpowner.New(cpowner.WithRebuildShare(1))
		now := members(rapid.IntRange(1, 12).Draw(t, "VMs"), domains)
		before := cached.Assign(tbl, now)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			was := now
			now = slices.Clone(was)
			at := rapid.IntRange(0, len(now)-1).Draw(t, "VM")
			changed := now[at].ID
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				now[at].State = rapid.SampledFrom([]clementineport.MemberState{
					clementineport.MemberAlive, clementineport.MemberDead, clementineport.MemberLeaving,
				}).Draw(t, "state")
			case 1:
				if len(now) > 1 {
					now = append(now[:at], now[at+1:]...)
				}
			default:
				added := member(20+rapid.IntRange(0, 9).Draw(t, "new"), domains)
				if !slices.ContainsFunc(now, func(m clementineport.Member) bool { return m.ID == added.ID }) {
					changed = added.ID
					now = append(now, added)
				}
			}
			after := cached.Assign(tbl, now)
			fresh := cpowner.New().Assign(tbl, now)
			for i := range tbl.Targets {
				old, owner := name(was, before.Owners[i]), name(now, after.Owners[i])
				assert.Equal(t, owner, name(now, fresh.Owners[i]))
				assert.Equal(t, name(now, after.Standbys[i]), name(now, fresh.Standbys[i]))
				assert.Assert(t, owner == "" || owner != name(now, after.Standbys[i]))
				check(t, tbl, now, i, after.Owners[i])
				if d := tbl.Targets[i].Domain; owner != old && inhabited(was, d) && inhabited(now, d) {
					assert.Assert(t, old == changed || owner == changed, "target %d moved from %s to %s", i, old, owner)
				}
			}
			before = after
		}
	})
}

func inhabited(m []clementineport.Member, d clementineport.FailureDomain) bool {
	return slices.ContainsFunc(m, func(m clementineport.Member) bool {
		return m.Domain == d && m.State == clementineport.MemberAlive
	})
}

// check asserts that an owner is alive and in the target's own domain if that has any VM.
func check(t *rapid.T, tbl *clementineport.Table, m []clementineport.Member, target int, owner int32) {
	d := tbl.Targets[target].Domain
	assert.Assert(t, owner == cpowner.NoMember || m[owner].State == clementineport.MemberAlive)
	assert.Assert(t, owner != cpowner.NoMember && m[owner].Domain == d || !inhabited(m, d))
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
		// The number of targets of a VM is nearly Poisson distributed.
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
