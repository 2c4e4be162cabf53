package cpfailover_test

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
	"github.com/clementineport/clementineport/cpfailover"
)

// send is one send of the request under test, as far as the sender knows its outcome.
type send struct {
	id      clementineport.RequestID
	pending bool
	proven  bool
}

// runRequest runs a request with random outcomes. It reports whether every new id of a non-idempotent request was
// assigned only after all earlier sends were proven not to have run, and whether the final verdict was true.
func runRequest(t *rapid.T, policy cpfailover.Policy) (idsSafe, verdictTrue bool) {
	now := time.Unix(0, 0)
	entries := make([]cpfailover.Entry, rapid.IntRange(1, 4).Draw(t, "entries"))
	for i := range entries {
		entries[i] = cpfailover.Entry{Address: fmt.Sprint("e", i), Ticket: fmt.Sprint("t", i)}
	}
	q := &clementineport.Query{Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: now.Add(time.Second)}
	ids := 0
	newID := func(ticket string) clementineport.RequestID {
		ids++
		return clementineport.RequestID(fmt.Sprint(ticket, "-", ids))
	}
	r := cpfailover.NewRequest(policy, q, now, newID, func() float64 { return 0.5 })
	var sends []send
	idsSafe = true
	for {
		a := r.Next(now, entries)
		switch a.Kind {
		case cpfailover.ActionFinish:
			proven := true
			for _, s := range sends {
				proven = proven && s.proven
			}
			assert.Assert(t, len(sends) <= policy.MaxSends)
			return idsSafe, proven || a.Err.Verdict() == clementineport.MayHaveRun
		case cpfailover.ActionSend:
			for _, s := range sends {
				idsSafe = idsSafe && (q.Idempotent || s.id == a.Request || s.proven)
			}
			sends = append(sends, send{id: a.Request, pending: true})
			continue
		}
		assert.Assert(t, a.Until.After(now), "a wait must end later")
		open := -1
		for i := range sends {
			if sends[i].pending && (open < 0 || rapid.Bool().Draw(t, "later")) {
				open = i
			}
		}
		if open < 0 || rapid.Bool().Draw(t, "unanswered") {
			now = a.Until
			continue
		}
		fault := rapid.SampledFrom(clementineport.Faults()).Draw(t, "fault")
		sends[open].pending, sends[open].proven = false, fault.Verdict() == clementineport.NotRun
		r.Failed(now, clementineport.Fail(fault, "random fault"))
	}
}

func TestNewIDsOnlyAfterProvenNotRun(t *testing.T) {
	broken := false
	rapid.Check(t, func(t *rapid.T) {
		safe, verdictTrue := runRequest(t, cpfailover.DefaultPolicy())
		assert.Assert(t, safe, "a request got a new id after a send that may have run")
		assert.Assert(t, verdictTrue, "a request was reported as not run after a send that may have run")
		alwaysNewID := cpfailover.DefaultPolicy()
		alwaysNewID.AlwaysNewID = true
		safe, _ = runRequest(t, alwaysNewID)
		broken = broken || !safe
	})
	assert.Assert(t, broken, "the property must fail when every resend takes a new id")
}

func TestListSpreadsRequests(t *testing.T) {
	now := time.Unix(0, 0)
	l := cpfailover.NewEntryList(2 * time.Second)
	usable, refresh := l.State(now)
	assert.Assert(t, !usable && refresh, "an empty list must not be used and must be fetched")
	l.Set(now, []cpfailover.Entry{{Address: "a1", Domain: "a"}, {Address: "b1", Domain: "b"}, {Address: "a2", Domain: "a"}}, 20*time.Second, 0.5)
	first := make(map[string]int)
	for range 300 {
		order := l.Order(now, "a")
		first[order[0].Address]++
		assert.Equal(t, order[2].Address, "b1", "another failure domain must come last")
	}
	assert.DeepEqual(t, first, map[string]int{"a1": 150, "a2": 150})
	first = make(map[string]int)
	for range 300 {
		first[l.Order(now, "")[0].Address]++
	}
	assert.DeepEqual(t, first, map[string]int{"a1": 100, "b1": 100, "a2": 100})
	assert.Equal(t, l.Order(now, "b")[2].Address, "b1", "a list that begins with another domain means that the caller's own domain has too few VMs")

	l.Suspect(now, "b1")
	for range 10 {
		assert.Equal(t, l.Order(now, "")[2].Address, "b1", "a suspect entry must come last")
	}
	now = now.Add(2 * time.Second)
	l.Suspect(now, "b1")
	now = now.Add(3 * time.Second)
	assert.Equal(t, l.Order(now, "")[2].Address, "b1", "a second failure must count for longer")
	l.ClearSuspect("b1")
	first = make(map[string]int)
	for range 3 {
		first[l.Order(now, "")[0].Address]++
	}
	assert.Equal(t, first["b1"], 1, "an entry that answered must be used again")
	usable, refresh = l.State(now)
	assert.Assert(t, usable && refresh, "a suspect entry must cause a new list to be fetched")
	usable, _ = l.State(now.Add(20 * time.Second))
	assert.Assert(t, !usable, "a list must not be used after its TTL")
}

func TestUnresponsiveAfterFollowsLatency(t *testing.T) {
	l := cpfailover.NewLatencyEstimator()
	assert.Equal(t, l.UnresponsiveAfter("desk"), time.Duration(0))
	for range 100 {
		l.Observe("desk", 20*time.Millisecond)
	}
	assert.Equal(t, l.UnresponsiveAfter("desk"), 50*time.Millisecond)
	for i := range 100 {
		l.Observe("desk", time.Duration(50+i%2*100)*time.Millisecond)
	}
	assert.Assert(t, l.UnresponsiveAfter("desk") > 400*time.Millisecond)
	assert.Assert(t, l.UnresponsiveAfter("desk") < 600*time.Millisecond)
}

// imbalance simulates callers of unequal weight that use their entry lists. It returns the maximum relative
// deviation of a VM's load from the mean over any period of ttls list TTLs. Without spread, every caller uses only
// the first entry of its list.
func imbalance(spread bool, ttls int) float64 {
	const ttl, callers, vms = 10 * time.Second, 1000, 8
	var members []clementineport.Member
	for i := range vms {
		name := clementineport.VMID(fmt.Sprint("vm", i))
		members = append(members, clementineport.Member{VM: clementineport.VM{
			ID: name, Caller: string(name), Domain: clementineport.FailureDomain("aabbbccc"[i : i+1]),
		}})
	}
	builder := cpentrylist.New("vm0", members, &clementineport.OutOfService{}, cpentrylist.WithTTL(ttl))
	r := rand.New(rand.NewPCG(1, 1))
	lists, weights := make([]*cpfailover.EntryList, callers), make([]int, callers)
	for i := range lists {
		lists[i] = cpfailover.NewEntryList(time.Second)
		weights[i] = int(10 * min(1/math.Sqrt(1-r.Float64()), 20))
	}
	worst := 0.0
	loads, total := make(map[string]float64), 0.0
	for n := range 36 {
		now := time.Unix(0, 0).Add(time.Duration(n) * ttl)
		for i, l := range lists {
			home := clementineport.FailureDomain("abc"[i%3 : i%3+1])
			var entries []cpfailover.Entry
			for _, e := range builder.Select(cpentrylist.Caller{Address: fmt.Sprint(i), Domain: home}, now).Entries {
				entries = append(entries, cpfailover.Entry(e))
			}
			l.Set(now, entries, ttl, 0)
			for range weights[i] {
				used := entries[0]
				if spread {
					used = l.Order(now, home)[0]
				}
				loads[used.Address]++
				total++
			}
		}
		if n%ttls != ttls-1 {
			continue
		}
		for _, load := range loads {
			worst = max(worst, load/total*vms-1, 1-load/total*vms)
		}
		clear(loads)
		total = 0
	}
	return worst
}

func TestLoadIsEvenWithinFourListTTLs(t *testing.T) {
	spread, first := imbalance(true, 4), imbalance(false, 4)
	assert.Assert(t, spread < 0.1, "off by %.3f", spread)
	assert.Assert(t, first > 0.1, "spreading makes no difference: %.3f", first)
}
