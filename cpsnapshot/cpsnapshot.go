// Package cpsnapshot chooses the snapshot of an index that a query reads.
//
// The choice depends on which snapshots the usable targets report, not only on which one is newest. The package
// reads a TargetView, does no I/O, and keeps no state except for the short-lived Cache.
package cpsnapshot

import (
	"iter"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// maxCandidates is the maximum number of snapshots of one layout that are compared; further ones are ignored.
const maxCandidates = 8

// Choice is the snapshot chosen for a query and the coverage that it allows.
type Choice struct {
	Snapshot clementineport.Snapshot
	// Layout is the layout of the snapshot; it is nil when no snapshot is known.
	Layout *clementineport.LayoutTable
	// Shards is the number of shards in the layout.
	Shards int
	// Covered is the number of shards with at least one usable holder.
	Covered int
	// SingleHolder is the number of covered shards that depend on one usable holder.
	SingleHolder int
	// Replicas is the total number of usable holders over all shards.
	Replicas int
	// NewerExists is true when some target holds a newer version.
	NewerExists bool
	// NeedsProbe is true when usable targets whose snapshots are unknown could raise the coverage.
	NeedsProbe bool
}

// Coverage returns the share of shards that can be covered.
func (c *Choice) Coverage() float64 {
	if c.Shards == 0 {
		return 0
	}
	return float64(c.Covered) / float64(c.Shards)
}

// ChooseFunc is the signature of Choose and of the Choose methods of Chooser and Cache.
type ChooseFunc func(
	service *clementineport.ServiceTable, view clementineport.TargetView, now time.Time, avoid ...clementineport.Snapshot,
) (Choice, bool)

// Choose returns the best snapshot for the preference of the service, or false if no target is known to hold one.
// Snapshots in avoid are skipped.
func Choose(
	service *clementineport.ServiceTable, view clementineport.TargetView, now time.Time, avoid ...clementineport.Snapshot,
) (Choice, bool) {
	return New().Choose(service, view, now, avoid...)
}

// Chooser chooses snapshots according to its options.
type Chooser struct {
	opts Options
}

// New returns a Chooser.
func New(opts ...Option) *Chooser { return &Chooser{opts: newOptions(opts...)} }

// Choose returns the best snapshot for the preference of the service, or false if no target is known to hold one.
// Snapshots in avoid are skipped.
func (c *Chooser) Choose(
	service *clementineport.ServiceTable, view clementineport.TargetView, now time.Time, avoid ...clementineport.Snapshot,
) (Choice, bool) {
	var best Choice
	var newest clementineport.IndexVersion
	found, needsProbe := false, false
	for i := range service.Layouts {
		var t holderCounts
		t.count(&service.Layouts[i], view, now, avoid)
		needsProbe = needsProbe || t.unknownShards > 0
		for k := range t.candidates[:t.n] {
			choice := t.choice(k)
			newest = max(newest, choice.Snapshot.Version)
			if !found || c.better(&service.Service, &choice, &best) {
				best, found = choice, true
			}
		}
	}
	if !found {
		best.NeedsProbe = needsProbe
	}
	best.NewerExists = best.Snapshot.Version < newest
	return best, found
}

func (c *Chooser) better(service *clementineport.Service, a, b *Choice) bool {
	if c.opts.NewestOnly {
		return a.Snapshot.Newer(b.Snapshot)
	}
	if service.Prefer == clementineport.PreferTail {
		safeA, safeB := c.sufficient(service, a), c.sufficient(service, b)
		if safeA != safeB {
			return safeA
		}
		if safeA {
			return a.Snapshot.Newer(b.Snapshot)
		}
	}
	if covA, covB := a.Covered*b.Shards, b.Covered*a.Shards; covA != covB {
		return covA > covB
	}
	if repA, repB := a.Replicas*b.Shards, b.Replicas*a.Shards; repA != repB {
		return repA > repB
	}
	return a.Snapshot.Newer(b.Snapshot)
}

// sufficient reports whether a snapshot reaches the least coverage and only few of its shards depend on one holder.
func (c *Chooser) sufficient(service *clementineport.Service, a *Choice) bool {
	return a.Covered > 0 && a.Coverage() >= service.LeastCoverage &&
		float64(a.SingleHolder) <= c.opts.SingleHolderShare*float64(a.Shards)
}

// holderCounts counts the usable holders of every snapshot of one layout in one pass.
type holderCounts struct {
	layout        *clementineport.LayoutTable
	candidates    [maxCandidates]candidate
	n             int
	unknownShards int
}

type candidate struct {
	version      clementineport.IndexVersion
	covered      int
	singleHolder int
	replicas     int
	// holders counts the holders of the current shard.
	holders int
	// probeShards counts the shards without a known holder that have a usable target with unknown snapshots.
	probeShards int
}

func (t *holderCounts) count(
	layout *clementineport.LayoutTable, view clementineport.TargetView, now time.Time, avoid []clementineport.Snapshot,
) {
	t.layout = layout
	for _, replicas := range layout.Replicas {
		hasUnknown := false
		for _, target := range replicas {
			if !view.Usable(target, now) {
				continue
			}
			held := view.Snapshots(target)
			if len(held) == 0 {
				hasUnknown = hasUnknown || view.Holds(target, clementineport.Snapshot{}) == clementineport.SnapshotUnknown
			}
			for _, s := range held {
				if s.Layout == layout.Layout {
					t.add(s, avoid)
				}
			}
		}
		t.finishShard(hasUnknown)
	}
}

func (t *holderCounts) add(s clementineport.Snapshot, avoid []clementineport.Snapshot) {
	for k := range t.candidates[:t.n] {
		if t.candidates[k].version == s.Version {
			t.candidates[k].holders++
			return
		}
	}
	for _, a := range avoid {
		if a == s {
			return
		}
	}
	if t.n < maxCandidates {
		// Earlier shards with a target whose snapshots are unknown may also have a holder of this candidate.
		t.candidates[t.n] = candidate{version: s.Version, holders: 1, probeShards: t.unknownShards}
		t.n++
	}
}

func (t *holderCounts) finishShard(hasUnknown bool) {
	for k := range t.candidates[:t.n] {
		c := &t.candidates[k]
		switch {
		case c.holders > 0:
			c.covered++
			c.replicas += c.holders
			if c.holders == 1 {
				c.singleHolder++
			}
		case hasUnknown:
			c.probeShards++
		}
		c.holders = 0
	}
	if hasUnknown {
		t.unknownShards++
	}
}

func (t *holderCounts) choice(k int) Choice {
	c := &t.candidates[k]
	return Choice{
		Snapshot:     clementineport.Snapshot{Version: c.version, Layout: t.layout.Layout},
		Layout:       t.layout,
		Shards:       len(t.layout.Replicas),
		Covered:      c.covered,
		SingleHolder: c.singleHolder,
		Replicas:     c.replicas,
		NeedsProbe:   c.probeShards > 0,
	}
}

// AppendUnknown appends to dst up to limit usable targets whose snapshots are unknown, spread over the shards of
// every layout.
func AppendUnknown(
	dst []clementineport.TargetIndex, service *clementineport.ServiceTable, view clementineport.TargetView,
	now time.Time, limit int,
) []clementineport.TargetIndex {
	for i := range service.Layouts {
		shards := service.Layouts[i].Replicas
		step := max(1, len(shards)/max(1, limit))
		for s := 0; s < len(shards) && limit > 0; s += step {
			if t, ok := firstUnknown(shards[s], view, now); ok {
				dst = append(dst, t)
				limit--
			}
		}
	}
	return dst
}

func firstUnknown(
	replicas []clementineport.TargetIndex, view clementineport.TargetView, now time.Time,
) (clementineport.TargetIndex, bool) {
	for _, t := range replicas {
		if view.Usable(t, now) && view.Holds(t, clementineport.Snapshot{}) == clementineport.SnapshotUnknown {
			return t, true
		}
	}
	return clementineport.NoTarget, false
}

// AppendOutdated appends usable targets to dst, until it has limit targets, that are not known to hold the newest
// version that any target of the service holds. Their last reports may be outdated.
func AppendOutdated(
	dst []clementineport.TargetIndex, service *clementineport.ServiceTable, view clementineport.TargetView,
	now time.Time, limit int,
) []clementineport.TargetIndex {
	seen := make(map[clementineport.TargetIndex]bool)
	var newest clementineport.IndexVersion
	for t := range targetsOf(service) {
		seen[t] = true
		for _, s := range view.Snapshots(t) {
			newest = max(newest, s.Version)
		}
	}
	holds := func(s clementineport.Snapshot) bool { return s.Version == newest }
	for t := range seen {
		if len(dst) >= limit {
			break
		}
		if view.Usable(t, now) && !slices.ContainsFunc(view.Snapshots(t), holds) && !slices.Contains(dst, t) {
			dst = append(dst, t)
		}
	}
	return dst
}

// targetsOf yields the targets of a service, once for each shard that they hold.
func targetsOf(service *clementineport.ServiceTable) iter.Seq[clementineport.TargetIndex] {
	return func(yield func(clementineport.TargetIndex) bool) {
		for i := range service.Layouts {
			for _, replicas := range service.Layouts[i].Replicas {
				for _, t := range replicas {
					if !yield(t) {
						return
					}
				}
			}
		}
	}
}
