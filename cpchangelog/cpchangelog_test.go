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

// at returns a position in the first era of a store.
func at(r clementineport.Revision) clementineport.StorePosition {
	return clementineport.StorePosition{Revision: r}
}

func TestChangesAreReturnedFromTheRevisionThatAVMHas(t *testing.T) {
	h := cpchangelog.New()
	h.Add(at(10), &clementineport.FleetUpdate{AsOf: at(12), Targets: []clementineport.TargetInstance{target("x", 1), target("y", 1)}})
	h.Add(at(12), &clementineport.FleetUpdate{AsOf: at(15), Gone: []clementineport.TargetID{"x"}, Routes: &clementineport.RouteTable{Version: 3}})
	for after, targets := range map[clementineport.Revision]int{10: 1, 11: 1, 12: 0, 14: 0} {
		update, found := h.Since(at(after))
		assert.Assert(t, found, "after %d", after)
		assert.Equal(t, update.AsOf, at(15))
		assert.Equal(t, len(update.Targets), targets, "after %d", after)
		assert.DeepEqual(t, update.Gone, []clementineport.TargetID{"x"})
		assert.Equal(t, update.Routes.Version, clementineport.Revision(3))
	}
	for _, after := range []clementineport.Revision{9, 15} {
		_, found := h.Since(at(after))
		assert.Assert(t, !found, "after %d", after)
	}
}

func TestAFullUpdateDropsEarlierChanges(t *testing.T) {
	h := cpchangelog.New()
	h.Add(at(10), &clementineport.FleetUpdate{AsOf: at(12)})
	h.Add(at(12), &clementineport.FleetUpdate{AsOf: at(20), Whole: true})
	_, found := h.Since(at(10))
	assert.Assert(t, !found)
	h.Add(at(20), &clementineport.FleetUpdate{AsOf: at(21)})
	_, found = h.Since(at(20))
	assert.Assert(t, found)
}

func TestOnlyTheLatestChangesAreKept(t *testing.T) {
	h := cpchangelog.New(cpchangelog.WithMaxChanges(3))
	for r := range clementineport.Revision(10) {
		h.Add(at(r), &clementineport.FleetUpdate{AsOf: at(r + 1)})
	}
	_, found := h.Since(at(6))
	assert.Assert(t, !found)
	_, found = h.Since(at(7))
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
		var revision clementineport.Revision
		missed := rapid.IntRange(0, 9).Draw(t, "missed")
		var behind map[clementineport.TargetID]int64
		var have clementineport.Revision
		for step := range 10 {
			if step == missed {
				have, behind = revision, map[clementineport.TargetID]int64{}
				for id, seq := range now {
					behind[id] = seq
				}
			}
			update := &clementineport.FleetUpdate{AsOf: at(revision + clementineport.Revision(rapid.IntRange(1, 3).Draw(t, "revisions")))}
			for _, n := range slices.Compact(slices.Sorted(slices.Values(rapid.SliceOfN(rapid.IntRange(0, 5), 1, 4).Draw(t, "targets")))) {
				id := fmt.Sprint(n)
				if rapid.Bool().Draw(t, "gone") {
					update.Gone = append(update.Gone, clementineport.TargetID(id))
				} else {
					update.Targets = append(update.Targets, target(id, int64(update.AsOf.Revision)))
				}
			}
			h.Add(at(revision), update)
			apply(now, update)
			revision = update.AsOf.Revision
		}
		update, found := h.Since(at(have))
		assert.Assert(t, found)
		apply(behind, update)
		assert.DeepEqual(t, behind, now)
	})
}

func TestChangesOfAnEarlierEraAreNotServed(t *testing.T) {
	position := func(era clementineport.StoreEra, r clementineport.Revision) clementineport.StorePosition {
		return clementineport.StorePosition{Era: era, Revision: r}
	}
	h := cpchangelog.New()
	h.Add(position(1, 100), &clementineport.FleetUpdate{AsOf: position(1, 101)})
	h.Add(position(1, 101), &clementineport.FleetUpdate{AsOf: position(2, 90), Whole: true})
	h.Add(position(2, 90), &clementineport.FleetUpdate{AsOf: position(2, 102)})
	for _, after := range []clementineport.StorePosition{position(1, 100), position(1, 101), position(1, 200), position(2, 89), position(3, 1)} {
		_, found := h.Since(after)
		assert.Assert(t, !found, "after %v", after)
	}
	update, found := h.Since(position(2, 95))
	assert.Assert(t, found)
	assert.Equal(t, update.AsOf, position(2, 102))
}
