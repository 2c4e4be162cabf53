package cpchangelog_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpchangelog"
)

func target(id string, seq int64) clementineport.TargetInstance {
	return clementineport.TargetInstance{ID: clementineport.TargetID(id), Seq: seq}
}

func TestChangesAreReturnedFromTheRevisionThatAVMHas(t *testing.T) {
	h := cpchangelog.New()
	h.Add(10, &clementineport.FleetUpdate{AsOf: 12, Targets: []clementineport.TargetInstance{target("x", 1), target("y", 1)}})
	h.Add(12, &clementineport.FleetUpdate{AsOf: 15, Gone: []clementineport.TargetID{"x"}, Routes: &clementineport.RouteTable{Version: 3}})
	for after, targets := range map[clementineport.Revision]int{10: 1, 11: 1, 12: 0, 14: 0} {
		update, found := h.Since(after)
		assert.Assert(t, found, "after %d", after)
		assert.Equal(t, update.AsOf, clementineport.Revision(15))
		assert.Equal(t, len(update.Targets), targets, "after %d", after)
		assert.DeepEqual(t, update.Gone, []clementineport.TargetID{"x"})
		assert.Equal(t, update.Routes.Version, clementineport.Revision(3))
	}
	for _, after := range []clementineport.Revision{9, 15} {
		_, found := h.Since(after)
		assert.Assert(t, !found, "after %d", after)
	}
}

func TestAFullUpdateDropsEarlierChanges(t *testing.T) {
	h := cpchangelog.New()
	h.Add(10, &clementineport.FleetUpdate{AsOf: 12})
	h.Add(12, &clementineport.FleetUpdate{AsOf: 20, Whole: true})
	_, found := h.Since(10)
	assert.Assert(t, !found)
	h.Add(20, &clementineport.FleetUpdate{AsOf: 21})
	_, found = h.Since(20)
	assert.Assert(t, found)
}

func TestOnlyTheLatestChangesAreKept(t *testing.T) {
	h := cpchangelog.New(cpchangelog.WithMaxChanges(3))
	for at := range clementineport.Revision(10) {
		h.Add(at, &clementineport.FleetUpdate{AsOf: at + 1})
	}
	_, found := h.Since(6)
	assert.Assert(t, !found)
	_, found = h.Since(7)
	assert.Assert(t, found)
}

// apply applies an update to targets.
func apply(targets map[clementineport.TargetID]int64, update *clementineport.FleetUpdate) {
	for i := range update.Targets {
		targets[update.Targets[i].ID] = update.Targets[i].Seq
	}
	for _, id := range update.Gone {
		delete(targets, id)
	}
}

func TestAVMThatMissedChangesKnowsTheSameAfterwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := cpchangelog.New()
		now := map[clementineport.TargetID]int64{}
		var at clementineport.Revision
		missed := rapid.IntRange(0, 9).Draw(t, "missed")
		var behind map[clementineport.TargetID]int64
		var have clementineport.Revision
		for step := range 10 {
			if step == missed {
				have, behind = at, map[clementineport.TargetID]int64{}
				for id, seq := range now {
					behind[id] = seq
				}
			}
			update := &clementineport.FleetUpdate{AsOf: at + clementineport.Revision(rapid.IntRange(1, 3).Draw(t, "revisions"))}
			for _, n := range slices.Compact(slices.Sorted(slices.Values(rapid.SliceOfN(rapid.IntRange(0, 5), 1, 4).Draw(t, "targets")))) {
				id := fmt.Sprint(n)
				if rapid.Bool().Draw(t, "gone") {
					update.Gone = append(update.Gone, clementineport.TargetID(id))
				} else {
					update.Targets = append(update.Targets, target(id, int64(update.AsOf)))
				}
			}
			h.Add(at, update)
			apply(now, update)
			at = update.AsOf
		}
		update, found := h.Since(have)
		assert.Assert(t, found)
		apply(behind, update)
		assert.DeepEqual(t, behind, now)
	})
}
