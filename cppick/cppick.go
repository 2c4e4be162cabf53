// Package cppick picks the target for the call of a shard and keeps the state of each target. The state is derived
// only from responses and connections; health endpoints are not read. The package sends no calls and enforces
// no limits; the owner of a target does.
package cppick

import (
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
)

// Picker keeps the state of each target across revisions.
type Picker struct {
	opts   Options
	random random

	mu       sync.Mutex
	revision clementineport.Revision
	states   map[clementineport.TargetID]*targetState
	groups   map[clementineport.GroupID]*group
}

// New returns a Picker without targets.
func New(opts ...Option) *Picker {
	p := &Picker{
		opts:   NewOptions(opts...),
		states: map[clementineport.TargetID]*targetState{},
		groups: map[clementineport.GroupID]*group{},
	}
	p.random.state.Store(p.opts.Seed)
	return p
}

// View implements clementineport.Picker. Targets that are not in the newest table, or are out of service in it,
// immediately become unusable in all views.
func (p *Picker) View(t *clementineport.Table) clementineport.TargetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := t.Revision >= p.revision
	v := &View{picker: p, entries: make([]entry, len(t.Targets))}
	for i := range t.Targets {
		target := &t.Targets[i]
		state := p.targetState(target)
		if newest {
			state.outOfService.Store(target.OutOfService)
		}
		v.entries[i] = entry{state: state, domain: target.Domain}
	}
	if newest {
		p.revision = t.Revision
		p.removeMissing(t)
	}
	return v
}

func (p *Picker) targetState(t *clementineport.TargetRow) *targetState {
	g := p.groups[t.Group.Name]
	if g == nil {
		g = &group{}
		p.groups[t.Group.Name] = g
	}
	state := p.states[t.ID]
	if state == nil {
		state = newTargetState(xxhash.Sum64String(fmt.Sprint(p.opts.Seed, "/", t.ID)), g)
		p.states[t.ID] = state
	}
	if state.group.Load() != g {
		state.endEjection()
		state.group.Store(g)
	}
	return state
}

// removeMissing removes the state of targets that are not in the table, and updates the sizes of the groups.
func (p *Picker) removeMissing(t *clementineport.Table) {
	sizes := map[clementineport.GroupID]int32{}
	for i := range t.Targets {
		sizes[t.Targets[i].Group.Name]++
	}
	for id, state := range p.states {
		if _, ok := t.ByID[id]; ok {
			continue
		}
		state.outOfService.Store(true)
		state.endEjection()
		delete(p.states, id)
	}
	for id, g := range p.groups {
		g.size.Store(sizes[id])
	}
}

type entry struct {
	state  *targetState
	domain clementineport.FailureDomain
}

// View is the state of the targets of one table.
type View struct {
	picker  *Picker
	entries []entry
}

// Pick implements clementineport.TargetView. It prefers targets that are known to hold the snapshot to targets whose
// state is unknown and that already have a call in flight. Among these it prefers the lowest cost, which depends on the
// calls of this VM in flight and on the latency, then the home failure domain, then the lowest reported load. An order
// that differs between VMs and changes over time breaks the remaining ties. A target whose ejection or draining is due
// for a check is picked first, for a single trial call. A target that was ejected as slow is the last choice.
func (v *View) Pick(r *clementineport.PickRequest) (clementineport.TargetIndex, bool) {
	now := r.Now.UnixNano()
	var best candidate
	last := clementineport.NoTarget
	for _, t := range r.Replicas {
		state := v.entries[t].state
		if !state.usable(now) || slices.Contains(r.Tried, t) {
			continue
		}
		presence := state.snapshotRank(now, r.Snapshot, &v.picker.opts)
		if presence == clementineport.SnapshotAbsent {
			continue
		}
		if state.trialOnly() {
			if state.claimTrial(now, &v.picker.opts) {
				return t, true
			}
			if state.slow.Load() {
				last = t
			}
			continue
		}
		c := candidate{t, presence, state.callCost(now), &v.entries[t]}
		if best.entry == nil || c.before(&best, now, r.Home) {
			best = c
		}
	}
	if best.entry == nil {
		return last, last != clementineport.NoTarget
	}
	if state := best.entry.state; state.cold.Load() {
		state.recordWarmupCall(now, best.entry.domain == r.Home, &v.picker.opts)
	}
	return best.target, true
}

// candidate is a target that may be picked.
type candidate struct {
	target   clementineport.TargetIndex
	presence clementineport.SnapshotPresence
	cost     int64
	entry    *entry
}

// tieBreakShift changes the tie-breaking order every 2^30 ns, about once per second, so that every target gets work.
const tieBreakShift = 30

func (c *candidate) before(other *candidate, now int64, home clementineport.FailureDomain) bool {
	switch {
	case c.presence != other.presence:
		return c.presence == clementineport.SnapshotPresent
	case c.cost != other.cost:
		return c.cost < other.cost
	}
	if c.entry.domain != other.entry.domain {
		atHome, otherAtHome := c.entry.domain == home, other.entry.domain == home
		if atHome != otherAtHome {
			return atHome
		}
	}
	x, y := c.entry.state.freshLoad(now), other.entry.state.freshLoad(now)
	if x != y {
		return x < y
	}
	rotation := int(now >> tieBreakShift)
	return bits.RotateLeft64(c.entry.state.tieBreak, rotation) < bits.RotateLeft64(other.entry.state.tieBreak, rotation)
}

// Usable implements clementineport.TargetView.
func (v *View) Usable(t clementineport.TargetIndex, now time.Time) bool {
	return v.entries[t].state.usable(now.UnixNano())
}

// Holds implements clementineport.TargetView.
func (v *View) Holds(t clementineport.TargetIndex, s clementineport.Snapshot) clementineport.SnapshotPresence {
	return v.entries[t].state.holds(s)
}

// Snapshots implements clementineport.TargetView. The result must not be modified.
func (v *View) Snapshots(t clementineport.TargetIndex) []clementineport.Snapshot {
	if held := v.entries[t].state.heldSnapshots.Load(); held != nil {
		return *held
	}
	return nil
}

// HedgeAfter implements clementineport.TargetView. It returns at most twice the high quantile of the group, so that the
// calls to a slow target are still hedged.
func (v *View) HedgeAfter(t clementineport.TargetIndex) time.Duration {
	o := &v.picker.opts
	state := v.entries[t].state
	own, all := state.highQuantile.load(), state.group.Load().highQuantile.load()
	d := own
	switch {
	case all == 0:
		d = o.HedgeDefault
	case int(state.samples.Load()) < o.WarmupCalls:
		d = all
	}
	if all > 0 {
		d = min(d, 2*all)
	}
	return min(max(d, o.HedgeMin), o.HedgeMax)
}

// Sent implements clementineport.TargetView.
func (v *View) Sent(t clementineport.TargetIndex) { v.entries[t].state.inFlight.Add(1) }

// Observe implements clementineport.TargetView.
func (v *View) Observe(t clementineport.TargetIndex, now time.Time, r *clementineport.CallResult) {
	state := v.entries[t].state
	state.inFlight.Add(-1)
	state.observeLoad(now, r.Load, &v.picker.opts)
	state.observe(now, r, &v.picker.opts, &v.picker.random)
}
