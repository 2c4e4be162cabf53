package cpgather_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cpgather/cpgathertest"
	"github.com/clementineport/clementineport/cpsnapshot"
)

// model runs a query and tracks independently what was sent, run and merged.
type model struct {
	plan      cpgather.Plan
	view      *cpgathertest.View
	m         *cpgather.Machine
	now       time.Time
	calls     []clementineport.Call
	open      map[clementineport.AttemptID]bool
	ran       map[clementineport.AttemptID]bool
	history   []clementineport.CallResult
	merged    map[clementineport.ShardID][]clementineport.Hit
	pinned    clementineport.Snapshot
	violation string
}

// newModel starts a query and returns its model.
func newModel(plan cpgather.Plan, v *cpgathertest.View, opts ...cpgather.Option) *model {
	g := &model{
		plan: plan, view: v, now: cpgathertest.Start, pinned: plan.Choice.Snapshot,
		open: map[clementineport.AttemptID]bool{}, ran: map[clementineport.AttemptID]bool{},
		merged: map[clementineport.ShardID][]clementineport.Hit{},
	}
	g.m = cpgather.New(plan, opts...)
	g.apply(g.m.Start(g.now))
	return g
}

func (g *model) report(format string, args ...any) {
	if g.violation == "" {
		g.violation = fmt.Sprintf(format, args...)
	}
}

// apply executes the actions of the machine.
func (g *model) apply(actions []cpgather.Action) {
	for _, a := range actions {
		switch a.Kind {
		case cpgather.Cancel:
			delete(g.open, a.Attempt)
		case cpgather.Send:
			g.sent(g.m.Call(a), a)
		}
	}
}

func (g *model) sent(c clementineport.Call, a cpgather.Action) {
	if c.Snapshot != g.pinned {
		g.pinned, g.merged = c.Snapshot, map[clementineport.ShardID][]clementineport.Hit{}
	}
	if int(c.Attempt) != len(g.calls)+1 {
		g.report("attempt %d used twice or skipped", c.Attempt)
	}
	if g.view.Unusable[a.Target] {
		g.report("call to a target that is not usable")
	}
	for _, earlier := range g.calls {
		if !g.plan.Query.Idempotent && earlier.Shard == c.Shard && g.ran[earlier.Attempt] {
			g.report("non-idempotent shard %d called again after it may have run", c.Shard)
		}
	}
	g.calls = append(g.calls, c)
	g.open[c.Attempt], g.ran[c.Attempt] = true, true
}

// deliver passes a result to the machine and records its expected effect.
func (g *model) deliver(r clementineport.CallResult) {
	c := &g.calls[r.Attempt-1]
	foreign := r.Shard != c.Shard || r.Reply != nil && r.Reply.Request != c.Request
	if g.open[r.Attempt] && !foreign && !g.m.Finished() {
		delete(g.open, r.Attempt)
		if r.Err != nil && clementineport.VerdictOf(r.Err) == clementineport.NotRun {
			g.ran[r.Attempt] = false
		}
		if r.Err == nil && r.Reply.Shard == c.Shard && r.Reply.Snapshot == g.pinned {
			g.merged[c.Shard] = r.Reply.Hits
		}
	}
	g.history = append(g.history, r)
	g.apply(g.m.Result(g.now, &r))
}

// check compares the answer with the expected one.
func (g *model) check() {
	a, err := g.m.Answer(), g.m.Err()
	var want []clementineport.Hit
	for s := range clementineport.ShardID(a.Shards) {
		hits, ok := g.merged[s]
		if ok != slices.Contains(a.Covered, s) {
			g.report("shard %d merged %v, covered %v", s, ok, a.Covered)
		}
		want = append(want, hits...)
	}
	if len(a.Covered) != len(g.merged) || len(a.Covered)+len(a.Missing) != a.Shards {
		g.report("%d covered, %d missing, %d merged of %d", len(a.Covered), len(a.Missing), len(g.merged), a.Shards)
	}
	slices.SortFunc(want, func(x, y clementineport.Hit) int {
		return cmp.Or(cmp.Compare(y.Score, x.Score), cmp.Compare(x.Record, y.Record))
	})
	want = want[:min(len(want), g.plan.Query.Limit)]
	if err == nil && (a.Snapshot != g.pinned || !slices.Equal(a.Hits, want)) {
		g.report("hits of %v are %v, want %v", a.Snapshot, a.Hits, want)
	}
	service := &g.plan.Service.Service
	short := float64(len(a.Covered)) < service.LeastCoverage*float64(a.Shards)
	switch {
	case a.Complete != (len(a.Missing) == 0 && a.Shards > 0):
		g.report("complete %v with %d missing", a.Complete, len(a.Missing))
	case short && service.BelowLeast == clementineport.BelowRefuse && err == nil:
		g.report("an answer below the least coverage was returned")
	case err != nil && len(a.Hits) > 0:
		g.report("a refused answer has hits")
	}
	notRun := a.Verdict == clementineport.NotRun || clementineport.VerdictOf(err) == clementineport.NotRun
	for id, ran := range g.ran {
		if ran && notRun {
			g.report("verdict not-run, but attempt %d may have run", id)
		}
	}
}

// runQuery runs one query with random events and returns the first violated invariant, or "".
func runQuery(t *rapid.T, disabled cpgather.Check) string {
	held := [][]clementineport.Snapshot{{cpgathertest.Old}, {cpgathertest.Old, cpgathertest.New}, {cpgathertest.Old, cpgathertest.Split}, {cpgathertest.New, cpgathertest.Split}, {cpgathertest.Old, cpgathertest.New, cpgathertest.Split}}
	shards, replicas := rapid.IntRange(1, 5).Draw(t, "shards"), rapid.IntRange(1, 3).Draw(t, "replicas")
	plan, v := cpgathertest.NewPlan(shards, shards*replicas)
	for i := range v.Held {
		v.Held[i] = rapid.SampledFrom(held).Draw(t, "held")
	}
	service := &plan.Service.Service
	service.LeastCoverage = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "least")
	service.BelowLeast = rapid.SampledFrom([]clementineport.BelowLeast{"refuse", "mark"}).Draw(t, "below")
	service.Prefer = rapid.SampledFrom([]clementineport.Preference{"tail", "coverage"}).Draw(t, "prefer")
	plan.Query.Idempotent = rapid.Bool().Draw(t, "idempotent")
	plan.Choice, _ = cpsnapshot.Choose(plan.Service, v, cpgathertest.Start)
	g := newModel(plan, v, cpgather.Budgets(&cpgathertest.Budget{Share: 1}, &cpgathertest.Budget{Share: 1}), cpgather.WithoutChecks(disabled))
	for !g.m.Finished() && g.violation == "" {
		g.event(t)
	}
	g.check()
	return g.violation
}

func (g *model) event(t *rapid.T) {
	kind := rapid.IntRange(0, 11).Draw(t, "event")
	if len(g.calls) == 0 {
		kind = 0
	}
	switch kind {
	case 0, 1:
		g.now = g.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
		g.apply(g.m.Tick(g.now))
		return
	case 2:
		i := rapid.IntRange(0, len(g.view.Held)-1).Draw(t, "target")
		g.view.Held[i] = []clementineport.Snapshot{rapid.SampledFrom([]clementineport.Snapshot{cpgathertest.Old, cpgathertest.New, cpgathertest.Split}).Draw(t, "now held")}
		return
	case 3:
		i := rapid.IntRange(0, len(g.view.Unusable)-1).Draw(t, "target")
		g.view.Unusable[i] = !g.view.Unusable[i]
		return
	case 4:
		if len(g.history) > 0 {
			g.deliver(rapid.SampledFrom(g.history).Draw(t, "again"))
		}
		return
	}
	c := &g.calls[rapid.IntRange(0, len(g.calls)-1).Draw(t, "call")]
	r := cpgathertest.ReplyTo(c)
	switch kind {
	case 5:
		r.Reply.Snapshot = rapid.SampledFrom([]clementineport.Snapshot{cpgathertest.Old, cpgathertest.New, cpgathertest.Split}).Draw(t, "answered from")
		r.Reply.Hits = cpgathertest.Hits(c.Request, r.Reply.Snapshot, c.Shard)
	case 6:
		r.Reply.Request = "r2"
	case 7:
		r = cpgathertest.FailureOf(c, rapid.SampledFrom(clementineport.Faults()).Draw(t, "fault"))
	case 8:
		r = cpgathertest.FailureOf(c, clementineport.FaultSnapshot)
		r.Signals.Held = []clementineport.Snapshot{cpgathertest.New}
	case 9:
		r.Shard++
	}
	g.deliver(r)
}

func TestGatherInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runQuery(t, 0); violation != "" {
			t.Fatal(violation)
		}
	})
}

func TestGatherInvariantsNeedChecks(t *testing.T) {
	for _, disabled := range []cpgather.Check{cpgather.CheckAttempt, cpgather.CheckReply, cpgather.CheckVerdict} {
		queries := rapid.Custom(func(t *rapid.T) string { return runQuery(t, disabled) })
		violations := 0
		for seed := range 300 {
			if queries.Example(seed) != "" {
				violations++
			}
		}
		assert.Assert(t, violations > 0, "disabling check %d makes no difference", disabled)
	}
}
