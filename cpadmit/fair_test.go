package cpadmit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpplan"
)

const (
	fairVMs = 4
	// keptShare is the share of its answers that a workspace keeps beside the flood of another.
	keptShare = 0.9
	// leastServed is the lowest share of its requests that a workspace or kind is served, as a share of that of all.
	leastServed = 0.25
)

// runFair runs VMs with fair gates and the settings of the users' platform.
func runFair(seed uint64, slowdown float64, flows ...flow) *sim {
	s := newSim(seed, fairVMs, cpplan.AdmissionOptions()...)
	for _, g := range s.gates {
		g.SetFair(simStart, true)
	}
	return s.run(phase{2 * simLength, slowdown, flows})
}

// workspaceFlow returns the requests of a workspace. All workspaces use the same route.
func workspaceFlow(name string, share float64) flow {
	return flow{service: clementineport.ServiceID(name), route: "r", share: share, workspace: clementineport.WorkspaceID(name)}
}

// Guards against a workspace that sends seven times its usual load, or whose callers retry at once, at the expense of others.
func TestAFloodOfOneWorkspaceLeavesOthersTheirs(t *testing.T) {
	for _, insistent := range []bool{false, true} {
		for _, seed := range simSeeds {
			t.Run(fmt.Sprintf("insistent=%t/seed=%d", insistent, seed), func(t *testing.T) {
				flood := workspaceFlow("large", 7*0.3)
				flood.insistent = insistent
				others := []flow{workspaceFlow("a", 0.25), workspaceFlow("b", 0.2)}
				alone, beside := runFair(seed, 1, others...), runFair(seed, 1, append(others, flood)...)
				for _, f := range others {
					had, kept := alone.goodput(f.service, simWarmup, 2*simLength), beside.goodput(f.service, simWarmup, 2*simLength)
					assert.Assert(t, kept >= keptShare*had, "%s has %.3f of the capacity, alone %.3f", f.service, kept, had)
				}
				large := beside.goodput("large", simWarmup, 2*simLength)
				assert.Assert(t, large >= 0.3, "the large workspace gets %.3f, less than its usual load", large)
			})
		}
	}
}

// served returns the shares of their requests that the kinds get answered, and that of all together.
func (s *sim) served() (kinds map[clementineport.ServiceID]float64, all float64) {
	kinds = map[clementineport.ServiceID]float64{}
	demand, answered := 0, 0
	for id, n := range s.demand {
		kinds[id] = float64(len(s.answered[id])) / float64(n)
		demand, answered = demand+n, answered+len(s.answered[id])
	}
	return kinds, float64(answered) / float64(demand)
}

// Guards against a kind of request, or a workspace, that is hardly served while there are few targets, whichever kind there is a
// flood of: across classes, workspaces and routes of a workspace.
func TestNoKindIsServedLessThanAQuarterAsOftenAsAll(t *testing.T) {
	flows := []flow{workspaceFlow("a", 0.3), workspaceFlow("b", 0.3), workspaceFlow("last", 0.2), workspaceFlow("kind", 0.2), workspaceFlow("next", 0.2)}
	flows[0].class, flows[1].class, flows[2].class = clementineport.ClassStandard, clementineport.ClassInteractive, clementineport.ClassBatch
	flows[0].work = 0.5
	flows[4].route = "s"
	flows[3].workspace, flows[4].workspace, flows[4].rank = "kinds", "kinds", 1
	for flood := range flows {
		for _, slowdown := range []float64{1, 2} {
			for _, seed := range simSeeds {
				t.Run(fmt.Sprintf("flood=%s/slowdown=%g/seed=%d", flows[flood].service, slowdown, seed), func(t *testing.T) {
					all := slices.Clone(flows)
					all[flood].share *= 7
					s := runFair(seed, slowdown, all...)
					kinds, mean := s.served()
					for id, share := range kinds {
						assert.Check(t, share >= leastServed*mean, "%s is served %.3f of its requests, all %.3f", id, share, mean)
					}
					assert.Check(t, float64(s.delayedRefusals) <= 0.05*float64(s.refusals), "%d of %d refusals were delayed", s.delayedRefusals, s.refusals)
				})
			}
		}
	}
}

// Guards against the same Retry-After for all: callers of a workspace with a flood are told to wait until the queue has room for
// it, those of others hardly at all.
func TestRetryAfterIsThatOfTheWorkspace(t *testing.T) {
	s := runFair(1, 1, workspaceFlow("large", 4), workspaceFlow("a", 0.2))
	middle := func(id clementineport.ServiceID) time.Duration {
		all := slices.Sorted(slices.Values(s.retryAfterOf[id]))
		return all[len(all)/2]
	}
	large := slices.Sorted(slices.Values(s.retryAfterOf["large"]))
	assert.Assert(t, large[len(large)*9/10] >= large[len(large)/10]*3/2, "no jitter")
	assert.Assert(t, large[len(large)-1] <= cpadmit.DefaultMaxRetryAfter)
	assert.Assert(t, len(s.retryAfterOf["a"]) == 0 || middle("large") > 2*middle("a"))
}

// Guards against memory that grows with the workspaces that have ever sent a request.
func TestWorkspacesThatAreGoneAreForgotten(t *testing.T) {
	now := simStart
	g := cpadmit.NewGate(cpadmit.NewOptions())
	g.SetFair(now, true)
	for i := range 10_000 {
		now = now.Add(10 * time.Millisecond)
		d := g.Offer(now, cpadmit.Arrival{Workspace: clementineport.WorkspaceID(fmt.Sprint(i)), Cost: 1, Deadline: now.Add(simDeadline)})
		g.Done(now, d.Ticket, cpadmit.Outcome{})
	}
	assert.Assert(t, g.Workspaces() <= 2_000, "%d workspaces are kept, of which 100 a second came for one request", g.Workspaces())
}

// Guards against a log line for each refusal, and against none at all: only the begin and the end of an overload are reported.
func TestOnlyTheBeginAndEndOfAnOverloadAreReported(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var reports []bool
	a := cpadmit.New(cpadmit.WithClock(clock), cpadmit.WithLimits(1, 1, 1), cpadmit.WithMaxWaitShare(0),
		cpadmit.WithOnOverload(func(overloaded bool) { reports = append(reports, overloaded) }))
	a.SetFair(true)
	offer := func() (func(*clementineport.Answer), error) {
		return a.AdmitArrival(t.Context(), cpadmit.Arrival{Workspace: "w", Cost: 1, Deadline: clock.Now().Add(time.Second)})
	}
	done, err := offer()
	assert.NilError(t, err)
	clock.Advance(2 * time.Second) // the latency is known once a window has ended
	done(&clementineport.Answer{})
	done, err = offer()
	assert.NilError(t, err)
	for range 3 {
		_, err := offer()
		assert.Equal(t, clementineport.FaultOf(err), clementineport.FaultShed)
	}
	assert.Equal(t, a.Stats().Refusals[cpadmit.ReasonQueue], uint64(3))
	assert.DeepEqual(t, reports, []bool{true})
	done(nil)
	clock.Advance(10 * time.Second)
	_, err = offer()
	assert.NilError(t, err)
	assert.DeepEqual(t, reports, []bool{true, false})
}
