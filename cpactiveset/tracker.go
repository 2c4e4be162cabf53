package cpactiveset

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpquota"
)

// Input is what the set is chosen from.
type Input struct {
	Members []clementineport.Member
	// Lost holds the VMs that state that they reach no target.
	Lost map[clementineport.VMID]bool
	// Demand is the processor time that requests need now.
	Demand Millicores
	// EqualShare is the number of connections to a target that each VM would get if all VMs shared them equally, for the
	// targets with the fewest, or zero if that is not known.
	EqualShare float64
}

// Tracker keeps the active set of one VM. The set grows at once and shrinks slowly. A Tracker is not safe for concurrent use.
type Tracker struct {
	options Options
	// inEffect is true while there is a set, and enoughSince is when the equal share became high enough to end it.
	inEffect    bool
	enoughSince time.Time
	// endedAt is when the set ended.
	endedAt time.Time
	// need is what the set is chosen for, and neededAt when it was last needed or lowered by a step.
	need     Need
	neededAt time.Time
	set      *Set
	// joinedAt is when this VM came into the set, and leftAt when it left it after it had used the share of a VM of the set.
	joinedAt, leftAt time.Time
	capacity         Millicores
	totals           cpquota.VMCount
	total            Millicores
}

// NewTracker returns a tracker without a set.
func NewTracker(opts ...Option) *Tracker { return &Tracker{options: NewOptions(opts...)} }

// Update returns the set, or nil while it is not in effect, and reports whether it has changed.
func (t *Tracker) Update(now time.Time, in *Input) (set *Set, changed bool) {
	before := t.set
	if !t.updateInEffect(now, in) {
		t.set, t.joinedAt, t.leftAt = nil, time.Time{}, time.Time{}
		return nil, before != nil
	}
	t.updateNeed(now, in)
	t.set = Choose(in.Members, in.Lost, t.need)
	t.updateSelf(now)
	return t.set, !t.set.equal(before)
}

// updateInEffect reports whether the set is in effect.
func (t *Tracker) updateInEffect(now time.Time, in *Input) bool {
	switch {
	case in.EqualShare <= 0: // the routes are not known, or have no shards
		if t.inEffect {
			t.endedAt = now
		}
		t.inEffect = false
	case in.EqualShare < minEqualShare:
		t.inEffect, t.enoughSince = true, time.Time{}
	case in.EqualShare < endEqualShare || !t.inEffect:
		t.enoughSince = time.Time{}
	case t.enoughSince.IsZero():
		t.enoughSince = now
	case now.Sub(t.enoughSince) >= t.options.EndDelay:
		t.inEffect, t.endedAt = false, now
	}
	return t.inEffect
}

// updateNeed raises what is needed at once and lowers it in steps. It begins at the capacity of a start.
func (t *Tracker) updateNeed(now time.Time, in *Input) {
	if t.set == nil {
		t.need, t.neededAt = Need{Capacity: StartCapacity(in.Members, in.Lost)}, now
	}
	if in.Demand > t.need.Demand {
		t.need.Demand, t.neededAt = scale(in.Demand, growMargin), now
	}
	lower := Need{Demand: scale(t.need.Demand, shrinkStep), Capacity: scale(t.need.Capacity, shrinkStep)}
	if now.Sub(t.neededAt) < t.options.ShrinkPeriod {
		return
	}
	t.need.Capacity, t.neededAt = lower.Capacity, now
	if scale(in.Demand, growMargin) <= lower.Demand {
		t.need.Demand = lower.Demand
	}
}

// scale returns a multiple of a capacity.
func scale(m Millicores, factor float64) Millicores { return Millicores(float64(m) * factor) }

// updateSelf records whether this VM is in the set.
func (t *Tracker) updateSelf(now time.Time) {
	t.total = Millicores(t.totals.Observe(now, int(t.set.Total())))
	if t.set.Has(t.options.Self) {
		t.capacity = t.set.Capacity(t.options.Self)
		if t.joinedAt.IsZero() {
			t.joinedAt = now
		}
		return
	}
	if !t.joinedAt.IsZero() && now.Sub(t.joinedAt) >= t.options.SettleTime {
		t.leftAt = now
	}
	t.joinedAt = time.Time{}
}

// EqualShare returns the number of connections that each of a number of VMs gets to a target of a shard if they share them
// equally, for the shard whose targets accept the fewest, or zero if there are no shards.
func EqualShare(table *clementineport.RouteTable, vms int) float64 {
	least := 0
	if table == nil {
		return 0
	}
	for i := range table.Routes {
		for _, shard := range table.Routes[i].Shards {
			if s, ok := table.Services[shard]; ok && (least == 0 || s.Connections < least) {
				least = s.Connections
			}
		}
	}
	return float64(least) / float64(max(vms, 0)+1)
}
