package cpgather_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cpsnapshot"
)

var (
	start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	old   = clementineport.Snapshot{Version: 7, Layout: 1}
	fresh = clementineport.Snapshot{Version: 8, Layout: 1}
	split = clementineport.Snapshot{Version: 8, Layout: 2}
)

// fakeView picks the first usable replica, by fewest calls sent, that has not been tried.
type fakeView struct {
	held  [][]clementineport.Snapshot
	out   []bool
	sent  []int
	after time.Duration
}

func (v *fakeView) Pick(r *clementineport.PickRequest) (clementineport.TargetIndex, bool) {
	best := clementineport.NoTarget
	for _, t := range r.Replicas {
		if v.out[t] || v.Holds(t, r.Snapshot) == clementineport.PossessionNo || slices.Contains(r.Tried, t) {
			continue
		}
		if best == clementineport.NoTarget || v.sent[t] < v.sent[best] {
			best = t
		}
	}
	return best, best != clementineport.NoTarget
}

func (v *fakeView) Usable(t clementineport.TargetIndex, _ time.Time) bool { return !v.out[t] }

func (v *fakeView) Holds(t clementineport.TargetIndex, s clementineport.Snapshot) clementineport.Possession {
	if slices.Contains(v.held[t], s) {
		return clementineport.PossessionYes
	}
	return clementineport.PossessionNo
}

func (v *fakeView) Held(t clementineport.TargetIndex) []clementineport.Snapshot { return v.held[t] }

func (v *fakeView) HedgeAfter(clementineport.TargetIndex) time.Duration { return v.after }

func (v *fakeView) Sent(t clementineport.TargetIndex) { v.sent[t]++ }

func (v *fakeView) Observe(clementineport.TargetIndex, time.Time, *clementineport.CallResult) {}

// tokens is a budget that earns a share of the calls.
type tokens struct {
	share float64
	left  float64
}

func (b *tokens) Earn(calls int) { b.left = min(b.left+b.share*float64(calls), 100) }

func (b *tokens) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

func newTokens(share float64) *tokens { return &tokens{share: share} }

// newPlan returns a plan over two layouts whose targets hold the given snapshots.
func newPlan(shards, replicas int, held ...clementineport.Snapshot) (cpgather.Plan, *fakeView) {
	v := &fakeView{after: 10 * time.Millisecond}
	table := &clementineport.ServiceTable{Service: clementineport.Service{
		Name: "invoice-desk", Index: "invoices", Deadline: time.Second,
		LeastCoverage: 1, BelowLeast: clementineport.BelowRefuse, Prefer: clementineport.PreferCoverage,
	}}
	table.Layouts = []clementineport.LayoutTable{{Layout: 1}, {Layout: 2}}
	var rows []clementineport.TargetRow
	for s := range shards {
		var targets []clementineport.TargetIndex
		for r := range replicas {
			targets = append(targets, clementineport.TargetIndex(len(rows)))
			id := clementineport.TargetID(fmt.Sprintf("t%d-%d", s, r))
			rows = append(rows, clementineport.TargetRow{TargetSpec: clementineport.TargetSpec{ID: id}})
			v.held = append(v.held, slices.Clone(held))
		}
		table.Layouts[0].Replicas = append(table.Layouts[0].Replicas, targets)
		// The second layout splits every shard in two.
		table.Layouts[1].Replicas = append(table.Layouts[1].Replicas, targets, targets)
	}
	v.out, v.sent = make([]bool, len(rows)), make([]int, len(rows))
	query := &clementineport.Query{
		Request: "r1", Service: "invoice-desk", Limit: 5, Deadline: start.Add(time.Second), Idempotent: true,
	}
	plan := cpgather.Plan{Query: query, Service: table, View: v, Targets: rows}
	plan.Choice, _ = cpsnapshot.Choose(table, v, start)
	return plan, v
}

// hitsOf returns the hits of a shard; their records name the snapshot that they come from.
func hitsOf(s clementineport.Snapshot, shard clementineport.ShardID) []clementineport.Hit {
	var hits []clementineport.Hit
	for i := range int(shard) % 3 {
		hits = append(hits, clementineport.Hit{Record: fmt.Sprintf("%v/s%d/%d", s, shard, i), Score: float64(i)})
	}
	return hits
}

// replyTo returns the whole reply to a call.
func replyTo(c *clementineport.Call) clementineport.CallResult {
	return clementineport.CallResult{
		Attempt: c.Attempt, Shard: c.Shard, Target: c.Target,
		Reply: &clementineport.Reply{
			Request: c.Request, Shard: c.Shard, Snapshot: c.Snapshot, Hits: hitsOf(c.Snapshot, c.Shard),
		},
	}
}

// failureOf returns a failed result of a call.
func failureOf(c *clementineport.Call, fault clementineport.Fault) clementineport.CallResult {
	return clementineport.CallResult{
		Attempt: c.Attempt, Shard: c.Shard, Target: c.Target, Err: clementineport.Fail(fault, "test"),
	}
}

func chooseAt(p cpgather.Plan, v *fakeView) cpsnapshot.Choice {
	choice, _ := cpsnapshot.Choose(p.Service, v, start)
	return choice
}
