package cpsnapshot_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsnapshot"
)

var (
	now   = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)
	old   = clementineport.Snapshot{Version: 7, Layout: 1}
	fresh = clementineport.Snapshot{Version: 8, Layout: 1}
	split = clementineport.Snapshot{Version: 7, Layout: 2}
)

// fakeView knows what targets hold; a target with nil has not said.
type fakeView struct {
	clementineport.TargetView
	held [][]clementineport.Snapshot
	out  []bool
}

func (v *fakeView) Usable(t clementineport.TargetIndex, _ time.Time) bool { return !v.out[t] }

func (v *fakeView) Held(t clementineport.TargetIndex) []clementineport.Snapshot { return v.held[t] }

func (v *fakeView) Holds(t clementineport.TargetIndex, s clementineport.Snapshot) clementineport.Possession {
	switch {
	case v.held[t] == nil:
		return clementineport.PossessionUnknown
	case slices.Contains(v.held[t], s):
		return clementineport.PossessionYes
	}
	return clementineport.PossessionNo
}

// newService spreads targets over the shards of layout 1; layout 2 splits each shard in two.
func newService(shards, targets int, prefer clementineport.Preference) (*clementineport.ServiceTable, *fakeView) {
	one, two := make([][]clementineport.TargetIndex, shards), make([][]clementineport.TargetIndex, 2*shards)
	for i := range targets {
		s := i % shards
		t := clementineport.TargetIndex(i)
		one[s], two[2*s], two[2*s+1] = append(one[s], t), append(two[2*s], t), append(two[2*s+1], t)
	}
	return &clementineport.ServiceTable{
		Service: clementineport.Service{Name: "quay-portal", LeastCoverage: 0.9, Prefer: prefer},
		Layouts: []clementineport.LayoutTable{{Layout: 1, Replicas: one}, {Layout: 2, Replicas: two}},
	}, &fakeView{held: make([][]clementineport.Snapshot, targets), out: make([]bool, targets)}
}

// change moves every target from one snapshot to the next over 15 minutes, in an order that does not
// respect replicas; each holds both for a minute. It returns the choice at every five seconds.
func change(prefer clementineport.Preference, next clementineport.Snapshot, opts ...cpsnapshot.Option) []cpsnapshot.Choice {
	const length, overlap, step = 15 * time.Minute, time.Minute, 5 * time.Second
	service, v := newService(35, 105, prefer)
	chooser := cpsnapshot.New(opts...)
	var choices []cpsnapshot.Choice
	for at := time.Duration(0); at <= length+overlap; at += step {
		for i := range v.held {
			begin := length * time.Duration(i*37%len(v.held)) / time.Duration(len(v.held))
			v.held[i] = v.held[i][:0]
			if at < begin+overlap {
				v.held[i] = append(v.held[i], old)
			}
			if at >= begin {
				v.held[i] = append(v.held[i], next)
			}
		}
		choice, _ := chooser.Choose(service, v, now)
		choices = append(choices, choice)
	}
	return choices
}

func TestChangeOfVersionOrLayoutKeepsCoverage(t *testing.T) {
	for name, next := range map[string]clementineport.Snapshot{"roll-out": fresh, "repartition": split} {
		for _, prefer := range []clementineport.Preference{clementineport.PreferCoverage, clementineport.PreferTail} {
			t.Run(fmt.Sprintf("%s/%s", name, prefer), func(t *testing.T) {
				choices := change(prefer, next)
				least, switches := 1.0, 0
				for i := range choices {
					least = min(least, choices[i].Coverage())
					if i > 0 && choices[i].Snapshot != choices[i-1].Snapshot {
						switches++
					}
				}
				assert.Assert(t, least >= 0.9, "coverage falls to %v", least)
				assert.Equal(t, switches, 1)
				assert.Equal(t, choices[len(choices)-1].Snapshot, next)
				plain := change(prefer, next, cpsnapshot.NewestOnly())
				assert.Assert(t, slices.ContainsFunc(plain, func(c cpsnapshot.Choice) bool { return c.Coverage() < 0.1 }))
			})
		}
	}
}

func TestChoiceCountsHolders(t *testing.T) {
	all := []clementineport.Snapshot{old, fresh, split}
	rapid.Check(t, func(t *rapid.T) {
		prefer := rapid.SampledFrom([]clementineport.Preference{"tail", "coverage"}).Draw(t, "prefer")
		service, v := newService(rapid.IntRange(1, 6).Draw(t, "shards"), rapid.IntRange(6, 18).Draw(t, "targets"), prefer)
		for i := range v.held {
			v.out[i] = rapid.Float64Range(0, 1).Draw(t, "out") < 0.2
			if rapid.Bool().Draw(t, "known") {
				v.held[i] = rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 3, rapid.ID).Draw(t, "held")
			}
		}
		avoid := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 2, rapid.ID).Draw(t, "avoid")
		choice, ok := cpsnapshot.Choose(service, v, now, avoid...)
		best := 0.0
		for _, s := range all {
			covered, probe := count(service, v, s)
			if slices.Contains(avoid, s) {
				continue
			}
			coverage := float64(covered) / float64(len(service.Layout(s.Layout).Replicas))
			best = max(best, coverage)
			if ok && s == choice.Snapshot {
				assert.Equal(t, choice.Covered, covered)
				assert.Equal(t, choice.Probe, probe)
			}
		}
		assert.Equal(t, ok, best > 0)
		assert.Assert(t, !slices.Contains(avoid, choice.Snapshot))
		if prefer == clementineport.PreferCoverage || choice.Coverage() < 0.9 {
			assert.Equal(t, choice.Coverage(), best)
		}
	})
}

// count returns the shards with a known usable holder, and whether another has a usable target that has not said.
func count(service *clementineport.ServiceTable, v *fakeView, s clementineport.Snapshot) (covered int, probe bool) {
	for _, replicas := range service.Layout(s.Layout).Replicas {
		var seen [3]bool
		for _, t := range replicas {
			if !v.out[t] {
				seen[v.Holds(t, s)] = true
			}
		}
		switch {
		case seen[clementineport.PossessionYes]:
			covered++
		case seen[clementineport.PossessionUnknown]:
			probe = true
		}
	}
	return covered, probe
}

func TestNothingKnownAsksForProbe(t *testing.T) {
	service, v := newService(10, 30, clementineport.PreferCoverage)
	choice, ok := cpsnapshot.Choose(service, v, now)
	assert.Assert(t, !ok && choice.Probe)
	targets := cpsnapshot.Ask(nil, service, v, now, 4)
	assert.Equal(t, len(targets), 4)
	v.held[targets[0]] = []clementineport.Snapshot{old}
	choice, ok = cpsnapshot.Choose(service, v, now)
	assert.Assert(t, ok && choice.Probe && choice.Covered == 1)
}

func TestCacheKeepsOnlyWholeChoices(t *testing.T) {
	service, v := newService(2, 4, clementineport.PreferCoverage)
	cache := cpsnapshot.NewCache(cpsnapshot.New(), time.Second)
	covered := func(at time.Duration) int {
		choice, _ := cache.Choose(service, v, now.Add(at))
		return choice.Covered
	}
	v.held[0] = []clementineport.Snapshot{old}
	assert.Equal(t, covered(0), 1)
	v.held[1] = []clementineport.Snapshot{old}
	assert.Equal(t, covered(0), 2, "an incomplete choice was kept")
	v.held[1] = []clementineport.Snapshot{fresh}
	assert.Equal(t, covered(500*time.Millisecond), 2)
	assert.Equal(t, covered(time.Second), 1, "a choice was kept too long")
	v.held[1] = []clementineport.Snapshot{old}
	assert.Equal(t, covered(time.Second), 2)
	v.held[1] = []clementineport.Snapshot{fresh}
	cache.Invalidate(service)
	assert.Equal(t, covered(time.Second), 1)
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ shards, targets int }{{3, 30}, {35, 105}, {1100, 3900}} {
		service, v := newService(size.shards, size.targets, clementineport.PreferCoverage)
		service.Layouts = service.Layouts[:1]
		for i := range v.held {
			v.held[i] = []clementineport.Snapshot{old, fresh}
		}
		cache := cpsnapshot.NewCache(cpsnapshot.New(), time.Second)
		for name, choose := range map[string]func(
			*clementineport.ServiceTable, clementineport.TargetView, time.Time, ...clementineport.Snapshot,
		) (cpsnapshot.Choice, bool){"Cache=off": cpsnapshot.Choose, "Cache=on": cache.Choose} {
			b.Run(fmt.Sprintf("Branches=%d/Targets=%d/%s", size.shards, size.targets, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					choose(service, v, now)
				}
			})
		}
	}
}
