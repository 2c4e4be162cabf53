// Package cpgathertest provides a fake target view, a budget and replies for tests of queries.
//
// It is for use in tests only.
package cpgathertest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cpsnapshot"
)

// Start is the start time of the queries.
var Start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// Snapshots of the index of NewPlan: an old version, a new version, and the new version in another layout.
var (
	Old   = clementineport.Snapshot{Version: 7, Layout: 1}
	New   = clementineport.Snapshot{Version: 8, Layout: 1}
	Split = clementineport.Snapshot{Version: 8, Layout: 2}
)

// View is a fake target view whose state is set by the test. It picks the replica with the fewest calls sent.
type View struct {
	// Held lists the snapshots that each target holds; nil means that the target has not reported any.
	Held     [][]clementineport.Snapshot
	Unusable []bool
	// HedgeDelay is the result of HedgeAfter for every target.
	HedgeDelay time.Duration

	mu       sync.Mutex
	sent     []int
	sends    int
	observed []clementineport.CallResult
}

// Pick implements clementineport.TargetView.
func (v *View) Pick(r *clementineport.PickRequest) (clementineport.TargetIndex, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	best := clementineport.NoTarget
	for _, t := range r.Replicas {
		if v.Unusable[t] || v.Holds(t, r.Snapshot) == clementineport.SnapshotAbsent || slices.Contains(r.Tried, t) {
			continue
		}
		if best == clementineport.NoTarget || v.sent[t] < v.sent[best] {
			best = t
		}
	}
	return best, best != clementineport.NoTarget
}

// Usable implements clementineport.TargetView.
func (v *View) Usable(t clementineport.TargetIndex, _ time.Time) bool { return !v.Unusable[t] }

// Holds implements clementineport.TargetView.
func (v *View) Holds(t clementineport.TargetIndex, s clementineport.Snapshot) clementineport.SnapshotPresence {
	switch {
	case v.Held[t] == nil:
		return clementineport.SnapshotUnknown
	case slices.Contains(v.Held[t], s):
		return clementineport.SnapshotPresent
	}
	return clementineport.SnapshotAbsent
}

// Snapshots implements clementineport.TargetView.
func (v *View) Snapshots(t clementineport.TargetIndex) []clementineport.Snapshot { return v.Held[t] }

// HedgeAfter implements clementineport.TargetView.
func (v *View) HedgeAfter(clementineport.TargetIndex) time.Duration { return v.HedgeDelay }

// Sent implements clementineport.TargetView.
func (v *View) Sent(t clementineport.TargetIndex) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sent[t]++
	v.sends++
}

// Observe implements clementineport.TargetView.
func (v *View) Observe(_ clementineport.TargetIndex, _ time.Time, r *clementineport.CallResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed = append(v.observed, *r)
}

// Calls returns the number of calls sent and the results observed.
func (v *View) Calls() (sent int, observed []clementineport.CallResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sends, slices.Clone(v.observed)
}

// ResetSent resets the counts of sent calls that Pick compares.
func (v *View) ResetSent() {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.sent)
}

// NewPlan returns the plan of an idempotent query over targets that hold the snapshots, and its view. Target i
// holds shard i modulo shards of layout 1, and the two shards of layout 2 into which that shard is split.
func NewPlan(shards, targets int, held ...clementineport.Snapshot) (cpgather.Plan, *View) {
	v := &View{
		Held: make([][]clementineport.Snapshot, targets), Unusable: make([]bool, targets),
		HedgeDelay: 10 * time.Millisecond, sent: make([]int, targets),
	}
	rows := make([]clementineport.TargetRow, targets)
	one, two := make([][]clementineport.TargetIndex, shards), make([][]clementineport.TargetIndex, 2*shards)
	for i := range rows {
		rows[i].ID = clementineport.TargetID(fmt.Sprintf("t%d", i))
		v.Held[i] = slices.Clone(held)
		s, t := i%shards, clementineport.TargetIndex(i)
		one[s], two[2*s], two[2*s+1] = append(one[s], t), append(two[2*s], t), append(two[2*s+1], t)
	}
	service := &clementineport.ServiceTable{
		Service: clementineport.Service{
			Name: "invoice-desk", Index: "invoices", Deadline: time.Second,
			LeastCoverage: 1, BelowLeast: clementineport.BelowRefuse, Prefer: clementineport.PreferCoverage,
		},
		Layouts: []clementineport.LayoutTable{{Layout: 1, Replicas: one}, {Layout: 2, Replicas: two}},
	}
	query := &clementineport.Query{
		Request: "r1", Service: "invoice-desk", Limit: 5, Deadline: Start.Add(time.Second), Idempotent: true,
	}
	choice, _ := cpsnapshot.Choose(service, v, Start)
	return cpgather.Plan{Query: query, Service: service, View: v, Targets: rows, Choice: choice}, v
}

// Budget is a budget of a share of the ordinary calls, with a maximum of 100.
type Budget struct {
	Share float64
	left  float64
}

// Earn implements clementineport.Budget.
func (b *Budget) Earn(calls int) { b.left = min(b.left+b.Share*float64(calls), 100) }

// Spend implements clementineport.Budget.
func (b *Budget) Spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Hits returns the hits of a shard; each record names the request, snapshot and shard that it comes from.
func Hits(r clementineport.RequestID, s clementineport.Snapshot, shard clementineport.ShardID) []clementineport.Hit {
	var hits []clementineport.Hit
	for i := range int(shard) % 3 {
		hits = append(hits, clementineport.Hit{Record: fmt.Sprintf("%s/%v/s%d/%d", r, s, shard, i), Score: float64(i)})
	}
	return hits
}

// ReplyTo returns the result of a call with a complete reply.
func ReplyTo(c *clementineport.Call) clementineport.CallResult {
	return clementineport.CallResult{
		Attempt: c.Attempt, Shard: c.Shard, Target: c.Target,
		Reply: &clementineport.Reply{
			Request: c.Request, Shard: c.Shard, Snapshot: c.Snapshot, Hits: Hits(c.Request, c.Snapshot, c.Shard),
		},
	}
}

// FailureOf returns a failed result of a call.
func FailureOf(c *clementineport.Call, fault clementineport.Fault) clementineport.CallResult {
	return clementineport.CallResult{
		Attempt: c.Attempt, Shard: c.Shard, Target: c.Target, Err: clementineport.Fail(fault, "test"),
	}
}
