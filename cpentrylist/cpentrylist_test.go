package cpentrylist_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpentrylist"
)

const ttl = 5 * time.Second

func member(id string, domain clementineport.FailureDomain) clementineport.Member {
	return clementineport.Member{
		VM:     clementineport.VM{ID: clementineport.VMID(id), Domain: domain, Caller: id + ":80"},
		Ticket: "ticket-" + id,
	}
}

// aliveMembers returns n alive VMs in three failure domains.
func aliveMembers(n int) (members []clementineport.Member) {
	for i := range n {
		members = append(members, member(fmt.Sprint("vm", i), clementineport.FailureDomain("abc"[i%3:i%3+1])))
	}
	return members
}

// TestSelect checks the invariants of every list for random members, callers and times.
func TestSelect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []clementineport.Member
		domains := []clementineport.FailureDomain{"a", "b", "c"}
		for i := range rapid.IntRange(1, 12).Draw(t, "VMs") {
			m := member(fmt.Sprint("vm", i), rapid.SampledFrom(domains).Draw(t, "domain"))
			m.State = clementineport.MemberState(rapid.IntRange(0, 3).Draw(t, "state"))
			members = append(members, m)
		}
		out := &clementineport.OutOfService{}
		if rapid.Bool().Draw(t, "out") {
			out.Domains = append(out.Domains, "b")
			out.VMs = append(out.VMs, "vm1")
		}
		selector := cpentrylist.New("vm0", members, out, cpentrylist.WithTTL(ttl), cpentrylist.WithMaxEntries(4))
		c := cpentrylist.Caller{Address: rapid.String().Draw(t, "caller"), Domain: rapid.SampledFrom(domains).Draw(t, "caller's domain")}
		now := time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "now"), 0)
		list := selector.Select(c, now)
		assert.Assert(t, len(list.Entries) >= 1 && len(list.Entries) <= 4)
		assert.Equal(t, list.TTL, ttl)
		assert.DeepEqual(t, list, selector.Select(c, now))
		usable := map[clementineport.VMID]bool{}
		for _, m := range members {
			isOut := len(out.VMs) > 0 && (m.Domain == "b" || m.ID == "vm1")
			usable[m.ID] = m.State == clementineport.MemberAlive && !isOut
		}
		seen := map[clementineport.VMID]bool{}
		for _, e := range list.Entries {
			alone := len(list.Entries) == 1 && e.VM == "vm0"
			assert.Assert(t, usable[e.VM] || alone, "%s must not be listed", e.VM)
			assert.Assert(t, !seen[e.VM], "%s is listed twice", e.VM)
			assert.Equal(t, e.Ticket, "ticket-"+string(e.VM))
			seen[e.VM] = true
		}
	})
}

// imbalance simulates 1,000 callers of unequal load that use the first entry of their lists for ten minutes, while
// each VM is replaced in turn. It returns the maximum relative deviation of a VM's load from an even share.
func imbalance(opts ...cpentrylist.Option) float64 {
	type slot struct {
		member      clementineport.Member
		load, even  float64
		listedSince time.Time
	}
	start := time.Unix(1_700_000_000, 0)
	var slots []*slot
	for i, d := range []clementineport.FailureDomain{"a", "a", "b", "b", "b", "c", "c", "c"} {
		slots = append(slots, &slot{member: member(fmt.Sprint("vm", i), d), listedSince: start})
	}
	r := rand.New(rand.NewPCG(1, 1))
	weights, assigned, expires := make([]float64, 1000), make([]clementineport.VMID, 1000), make([]time.Time, 1000)
	for i := range weights {
		weights[i] = math.Min(1/math.Sqrt(1-r.Float64()), 20)
	}
	opts = append([]cpentrylist.Option{cpentrylist.WithTTL(ttl)}, opts...)
	var selector *cpentrylist.Selector
	for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
		now := start.Add(at)
		second := int(at / time.Second)
		if phase := second % 75; phase == 30 || phase == 40 || selector == nil {
			// A VM leaves, and ten seconds later another one replaces it.
			s := slots[second/75%len(slots)]
			s.member.State = clementineport.MemberAlive
			if phase == 30 {
				s.member.State = clementineport.MemberLeaving
			}
			if phase == 40 {
				s.member = member(string(s.member.ID)+"x", s.member.Domain)
				s.listedSince = now
			}
			var members []clementineport.Member
			for _, s := range slots {
				members = append(members, s.member)
			}
			selector = cpentrylist.New("vm0", members, &clementineport.OutOfService{}, opts...)
		}
		loads, total, alive := map[clementineport.VMID]float64{}, 0.0, 0.0
		for i, w := range weights {
			if !now.Before(expires[i]) {
				c := cpentrylist.Caller{Address: fmt.Sprintf("10.0.%d.%d", i/250, i%250), Domain: []clementineport.FailureDomain{"a", "b", "c"}[i%3]}
				list := selector.Select(c, now)
				assigned[i], expires[i] = list.Entries[0].VM, now.Add(list.TTL)
			}
			loads[assigned[i]] += w
			total += w
		}
		for _, s := range slots {
			if s.member.State == clementineport.MemberAlive {
				alive++
			}
		}
		for _, s := range slots {
			if s.member.State == clementineport.MemberAlive && now.Sub(s.listedSince) >= ttl {
				s.load += loads[s.member.ID]
				s.even += total / alive
			}
		}
	}
	worst := 0.0
	for _, s := range slots {
		worst = math.Max(worst, math.Abs(s.load/s.even-1))
	}
	return worst
}

func TestLoadIsEvenThroughARollingReplacement(t *testing.T) {
	assert.Assert(t, imbalance() < 0.1, "off by %.3f", imbalance())
	fixed := imbalance(cpentrylist.WithRotate(false))
	assert.Assert(t, fixed > 0.1, "without rotation the load must not be even: %.3f", fixed)
	demand := map[clementineport.FailureDomain]float64{"a": 0.25, "b": 0.375, "c": 0.375}
	home := imbalance(cpentrylist.WithDemand(demand))
	assert.Assert(t, home > 0.1, "without callers that use other domains the load must not be even: %.3f", home)
}

func TestOwnDomainFirst(t *testing.T) {
	selector := cpentrylist.New("vm0", aliveMembers(12), &clementineport.OutOfService{}, cpentrylist.WithMaxEntries(4))
	for i := range 100 {
		list := selector.Select(cpentrylist.Caller{Address: fmt.Sprint(i), Domain: "b"}, time.Unix(0, 0))
		assert.Equal(t, len(list.Entries), 4)
		for _, e := range list.Entries[:3] {
			assert.Equal(t, e.Domain, clementineport.FailureDomain("b"))
		}
		assert.Assert(t, list.Entries[3].Domain != "b", "a list must stay usable when one domain is lost")
	}
}
