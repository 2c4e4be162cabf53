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
	// joinedAt is when this VM came into the set for the present demand, and leftAt when it left that after it had used the
	// share of a VM of the set.
	joinedAt, leftAt time.Time
	// capacity is that of this VM when it was last in that set. total is the highest capacity of that set in the last seconds,
	// which totals finds as it finds the highest number of VMs.
	capacity Millicores
	totals   cpquota.VMCount
	total    Millicores
	// stating is the number of VMs that state their capacity, and so share by the set.
	stating int
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
	t.updateSelf(now, Choose(in.Members, in.Lost, Need{Demand: scale(in.Demand, growMargin)}))
	t.stating = 0
	for i := range in.Members {
		if m := &in.Members[i]; m.State != clementineport.MemberDead && CapacityOf(m.Capacity) > 0 {
			t.stating++
		}
	}
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
	case !t.inEffect:
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

// updateSelf records whether this VM is in the set for the present demand. Shares follow that one: the set that the directory
// names depends on the past as well, which VMs that have started lately don't know.
func (t *Tracker) updateSelf(now time.Time, present *Set) {
	t.total = Millicores(t.totals.Observe(now, int(present.Total())))
	if present.Has(t.options.Self) {
		t.capacity = present.Capacity(t.options.Self)
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

// Share returns this VM's share of bounds that apply to all VMs together, of which vms may send requests.
//
// The parts of all VMs add up to one at most. A VM that comes into the set begins to use its part when the VMs that have left
// have given up theirs, so those that use one at any time were all in one earlier set, as long as all VMs learn of a change
// within SettleTime less Retention; the highest total of the last seconds covers that set. Two views that differ for longer are
// allowed for by viewsAllowance. If the fleet is split into any number of views without common VMs, each has the part of
// the VMs that it sees.
func (t *Tracker) Share(now time.Time, vms int) cpquota.Share {
	if !t.inEffect {
		// Other VMs may still use their parts.
		ending := !t.endedAt.IsZero() && now.Sub(t.endedAt) < t.options.SettleTime
		return cpquota.Share{VMs: vms, Set: ending}
	}
	share := cpquota.Share{VMs: vms, Set: true}
	settled := !t.joinedAt.IsZero() && now.Sub(t.joinedAt) >= t.options.SettleTime
	retained := !t.leftAt.IsZero() && now.Sub(t.leftAt) < t.options.Retention
	if settled || retained {
		inView := min(1, float64(t.stating)/float64(max(vms, 1)))
		share.Part = inView * float64(t.capacity) / float64(t.total) / viewsAllowance
	}
	return share
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
