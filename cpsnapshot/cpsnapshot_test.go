package cpsnapshot_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather/cpgathertest"
	"github.com/clementineport/clementineport/cpsnapshot"
)

// replaceSnapshot moves all targets from one snapshot to the next within 15 minutes. The replicas of a shard move
// five minutes apart, and each target holds both snapshots for a minute. It returns the choice at every five seconds.
func replaceSnapshot(prefer clementineport.Preference, next clementineport.Snapshot, opts ...cpsnapshot.Option) []cpsnapshot.Choice {
	const length, overlap, step = 15 * time.Minute, time.Minute, 5 * time.Second
	plan, v := cpgathertest.NewPlan(35, 105)
	service := plan.Service
	service.Service.Prefer, service.Service.LeastCoverage = prefer, 0.9
	chooser := cpsnapshot.New(opts...)
	var choices []cpsnapshot.Choice
	for at := time.Duration(0); at <= length+overlap; at += step {
		for i := range v.Held {
			begin := length * time.Duration(i*37%len(v.Held)) / time.Duration(len(v.Held))
			v.Held[i] = v.Held[i][:0]
			if at < begin+overlap {
				v.Held[i] = append(v.Held[i], cpgathertest.Old)
			}
			if at >= begin {
				v.Held[i] = append(v.Held[i], next)
			}
		}
		choice, _ := chooser.Choose(service, v, cpgathertest.Start)
		choices = append(choices, choice)
	}
	return choices
}

func TestChangeOfVersionOrLayoutKeepsCoverage(t *testing.T) {
	for name, next := range map[string]clementineport.Snapshot{"roll-out": cpgathertest.New, "repartition": cpgathertest.Split} {
		for _, prefer := range []clementineport.Preference{clementineport.PreferCoverage, clementineport.PreferTail} {
			t.Run(fmt.Sprintf("%s/%s", name, prefer), func(t *testing.T) {
				choices := replaceSnapshot(prefer, next)
				least, switches := 1.0, 0
				for i := range choices {
					least = min(least, choices[i].Coverage())
					if i > 0 && choices[i].Snapshot != choices[i-1].Snapshot {
						switches++
					}
				}
				assert.Equal(t, least, 1.0)
				assert.Equal(t, switches, 1)
				assert.Equal(t, choices[len(choices)-1].Snapshot, next)
				plain := replaceSnapshot(prefer, next, cpsnapshot.NewestOnly())
				assert.Assert(t, slices.ContainsFunc(plain, func(c cpsnapshot.Choice) bool { return c.Coverage() < 0.1 }))
			})
		}
	}
}

func TestChoiceCountsHolders(t *testing.T) {
	all := []clementineport.Snapshot{cpgathertest.Old, cpgathertest.New, cpgathertest.Split}
	rapid.Check(t, func(t *rapid.T) {
		prefer := rapid.SampledFrom([]clementineport.Preference{"tail", "coverage"}).Draw(t, "prefer")
		plan, v := cpgathertest.NewPlan(rapid.IntRange(1, 6).Draw(t, "shards"), rapid.IntRange(6, 18).Draw(t, "targets"))
		service := plan.Service
		service.Service.Prefer, service.Service.LeastCoverage = prefer, 0.9
		for i := range v.Held {
			v.Unusable[i] = rapid.Float64Range(0, 1).Draw(t, "out") < 0.2
			if rapid.Bool().Draw(t, "known") {
				v.Held[i] = rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 3, rapid.ID).Draw(t, "held")
			}
		}
		avoid := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 2, rapid.ID).Draw(t, "avoid")
		choice, ok := cpsnapshot.Choose(service, v, cpgathertest.Start, avoid...)
		best := 0.0
		for _, s := range all {
			covered, probe := countCovered(service, v, s)
			if slices.Contains(avoid, s) {
				continue
			}
			coverage := float64(covered) / float64(len(service.Layout(s.Layout).Replicas))
			best = max(best, coverage)
			if ok && s == choice.Snapshot {
				assert.Equal(t, choice.Covered, covered)
				assert.Equal(t, choice.NeedsProbe, probe)
			}
		}
		assert.Equal(t, ok, best > 0)
		assert.Assert(t, !slices.Contains(avoid, choice.Snapshot))
		if prefer == clementineport.PreferCoverage || choice.Coverage() < 0.9 {
			assert.Equal(t, choice.Coverage(), best)
		}
	})
}

// countCovered returns the number of shards with a known usable holder, and whether another shard has a usable
// target whose snapshots are unknown.
func countCovered(service *clementineport.ServiceTable, v *cpgathertest.View, s clementineport.Snapshot) (covered int, probe bool) {
	for _, replicas := range service.Layout(s.Layout).Replicas {
		var seen [3]bool
		for _, t := range replicas {
			if !v.Unusable[t] {
				seen[v.Holds(t, s)] = true
			}
		}
		switch {
		case seen[clementineport.SnapshotPresent]:
			covered++
		case seen[clementineport.SnapshotUnknown]:
			probe = true
		}
	}
	return covered, probe
}

func TestNothingKnownAsksForProbe(t *testing.T) {
	plan, v := cpgathertest.NewPlan(10, 30)
	service := plan.Service
	choice, ok := cpsnapshot.Choose(service, v, cpgathertest.Start)
	assert.Assert(t, !ok && choice.NeedsProbe)
	targets := cpsnapshot.AppendUnknown(nil, service, v, cpgathertest.Start, 4)
	assert.Equal(t, len(targets), 4)
	v.Held[targets[0]] = []clementineport.Snapshot{cpgathertest.Old}
	choice, ok = cpsnapshot.Choose(service, v, cpgathertest.Start)
	assert.Assert(t, ok && choice.NeedsProbe && choice.Covered == 1)
}

func TestCacheKeepsOnlyCompleteChoices(t *testing.T) {
	plan, v := cpgathertest.NewPlan(2, 4)
	service := plan.Service
	cache := cpsnapshot.NewCache(cpsnapshot.New(), time.Second)
	covered := func(at time.Duration) int {
		choice, _ := cache.Choose(service, v, cpgathertest.Start.Add(at))
		return choice.Covered
	}
	v.Held[0] = []clementineport.Snapshot{cpgathertest.Old}
	assert.Equal(t, covered(0), 1)
	v.Held[1] = []clementineport.Snapshot{cpgathertest.Old}
	assert.Equal(t, covered(0), 2, "an incomplete choice was cached")
	v.Held[1] = []clementineport.Snapshot{cpgathertest.New}
	assert.Equal(t, covered(500*time.Millisecond), 2)
	assert.Equal(t, covered(time.Second), 1, "a choice was cached too long")
	v.Held[1] = []clementineport.Snapshot{cpgathertest.Old}
	assert.Equal(t, covered(time.Second), 2)
	revised := *service
	v.Held[1] = []clementineport.Snapshot{cpgathertest.New}
	choice, _ := cache.Choose(&revised, v, cpgathertest.Start.Add(time.Second))
	assert.Equal(t, choice.Covered, 1, "a choice of another revision was used")
	cache.Invalidate(service)
	assert.Equal(t, covered(time.Second), 1)
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ shards, targets int }{{3, 30}, {35, 105}, {1100, 3900}} {
		plan, v := cpgathertest.NewPlan(size.shards, size.targets, cpgathertest.Old, cpgathertest.New)
		service := plan.Service
		service.Layouts = service.Layouts[:1]
		cache := cpsnapshot.NewCache(cpsnapshot.New(), time.Second)
		for name, choose := range map[string]func(
			*clementineport.ServiceTable, clementineport.TargetView, time.Time, ...clementineport.Snapshot,
		) (cpsnapshot.Choice, bool){"Cache=off": cpsnapshot.Choose, "Cache=on": cache.Choose} {
			b.Run(fmt.Sprintf("Shards=%d/Targets=%d/%s", size.shards, size.targets, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					choose(service, v, cpgathertest.Start)
				}
			})
		}
	}
}
