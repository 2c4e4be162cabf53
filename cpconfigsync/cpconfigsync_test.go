package cpconfigsync_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
)

// TestRevisionOnlyRises offers configurations from the store and from peers in random order.
func TestRevisionOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		s := cpconfigsync.New("a")
		highest := clementineport.Revision(0)
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			began := now.Add(time.Millisecond)
			now = now.Add(time.Second)
			r := clementineport.Revision(rapid.IntRange(0, 9).Draw(t, "revision"))
			a := cpconfigsync.Action{Kind: cpconfigsync.KindRead, Peer: "b", Began: began}
			var v cpconfigsync.Outcome
			switch rapid.IntRange(0, 3).Draw(t, "source") {
			case 0:
				v = s.HandleStored(now, a, uint64(rapid.IntRange(1, 9).Draw(t, "version")), r)
				assert.Equal(t, s.Lowered(), r < highest)
			case 1:
				v = s.HandleFetched(now, a, max(r, 1))
				r = max(r, 1)
			case 2:
				v = s.Accept(now, r)
			default:
				s.ObserveRevision(now, "b", r)
			}
			assert.Assert(t, v != cpconfigsync.OutcomeNewer || r > highest)
			if v == cpconfigsync.OutcomeNewer {
				highest = r
			}
			assert.Equal(t, s.Revision(), highest)
		}
	})
}

// storeCalls returns the store calls per VM and minute, the store calls of the fleet in the five seconds after a change,
// and the longest time until a change was in force on all VMs.
func storeCalls(size int, opts ...cpconfigsync.Option) (perMinute, perChange float64, last time.Duration) {
	f := newFleet(size, 3, opts...)
	f.revision = 1
	f.run(2*time.Minute, never)
	f.calls = 0
	f.run(5*time.Minute, never)
	idle, changes := f.calls, 0
	for r := range clementineport.Revision(5) {
		f.revision = r + 2
		f.calls = 0
		took := f.run(5*time.Second, f.reached(r+2))
		f.run(5*time.Second-took, never)
		changes += f.calls
		last = max(last, took)
		f.run(30*time.Second, never)
	}
	return float64(idle) / 5 / float64(size), float64(changes) / 5, last
}

func TestStoreCallsGrowSlowerThanTheFleet(t *testing.T) {
	small, smallChange, _ := storeCalls(8)
	large, largeChange, last := storeCalls(128)
	assert.Assert(t, large*128 < 4*small*8, "%.1f calls per minute and VM with 128 VMs, %.1f with 8", large, small)
	assert.Assert(t, largeChange < 3*max(smallChange, 8), "%.1f calls per change with 128 VMs, %.1f with 8", largeChange, smallChange)
	assert.Assert(t, last < 2*time.Second, "in force on all VMs after %v", last)
	all, _, _ := storeCalls(128, cpconfigsync.WithWatchers(128))
	assert.Assert(t, all*128 > 4*small*8, "the store calls are bounded even if all VMs watch the store")
}

func TestSilentWatchIsNoticed(t *testing.T) {
	for _, reads := range []bool{true, false} {
		opts := []cpconfigsync.Option{}
		if !reads {
			opts = append(opts, cpconfigsync.WithReadPeriod(0))
		}
		f := newFleet(8, 5, opts...)
		f.revision = 1
		f.run(time.Minute, f.reached(1))
		f.watchRevision = 1
		f.revision = 2
		took := f.run(45*time.Second, f.reached(2))
		assert.Equal(t, f.reached(2)(), reads, "after %v", took)
	}
}

func TestCallsAfterAnOutageAreSpreadOut(t *testing.T) {
	peak := func(opts ...cpconfigsync.Option) int {
		f := newFleet(128, 7, opts...)
		f.revision = 1
		f.run(2*time.Minute, never)
		f.down = true
		f.run(10*time.Minute, never)
		clear(f.perSecond)
		f.down = false
		f.run(30*time.Second, never)
		return slices.Max(slices.Collect(maps.Values(f.perSecond)))
	}
	assert.Assert(t, peak() <= 16, "%d calls in the busiest second", peak())
	together := peak(cpconfigsync.WithBackoff(10*time.Millisecond, 20*time.Millisecond), cpconfigsync.WithReadPeriod(time.Second), cpconfigsync.WithWatchers(128))
	assert.Assert(t, together > 64, "the calls are spread out even without the backoff: %d in the busiest second", together)
}

func TestPushSpeedsUpTheSpread(t *testing.T) {
	last := func(fanOut int) time.Duration {
		f := newFleet(128, 9, cpconfigsync.WithFanOut(fanOut))
		f.revision = 1
		f.run(time.Minute, f.reached(1))
		f.run(5*time.Second, never)
		f.revision = 2
		f.run(time.Second, func() bool { return f.nodes[f.ids[0]].Revision() == 2 })
		f.down = true
		return f.run(time.Minute, f.reached(2))
	}
	assert.Assert(t, last(4) < time.Second, "with pushes: %v", last(4))
	assert.Assert(t, last(0) > time.Second, "without pushes: %v", last(0))
}

func TestFreshVMWithoutStore(t *testing.T) {
	f := newFleet(8, 11)
	f.revision = 1
	f.run(time.Minute, f.reached(1))
	f.down = true
	f.nodes[f.ids[3]] = cpconfigsync.New(f.ids[3])
	took := f.run(time.Minute, f.reached(1))
	assert.Assert(t, took < 3*time.Second, "%v", took)
}

func TestMaySend(t *testing.T) {
	const staleAfter = 3 * time.Second
	// at records a contact whose call starts now and is answered after the duration before, and then advances the clock by
	// the duration after.
	at := func(before, after time.Duration) func(*clockwork.FakeClock, *cpconfigsync.Freshness) {
		return func(c *clockwork.FakeClock, f *cpconfigsync.Freshness) {
			began := c.Now()
			c.Advance(before)
			f.RecordContact(began)
			c.Advance(after)
		}
	}
	tests := []struct {
		name  string
		do    func(c *clockwork.FakeClock, f *cpconfigsync.Freshness)
		fault clementineport.Fault
	}{
		{"never any contact", func(*clockwork.FakeClock, *cpconfigsync.Freshness) {}, clementineport.FaultStale},
		{"contact just now", at(0, 0), 0},
		{"contact 3 s ago", at(0, staleAfter), 0},
		{"paused for 30 s", at(0, 30*time.Second), clementineport.FaultStale},
		{"paused, and an answer from before is read now", at(30*time.Second, 0), clementineport.FaultStale},
		{"a late answer does not undo a newer one", func(c *clockwork.FakeClock, f *cpconfigsync.Freshness) {
			c.Advance(30 * time.Second)
			f.RecordContact(c.Now())
			f.RecordContact(c.Now().Add(-30 * time.Second))
		}, 0},
		{"the only VM", func(_ *clockwork.FakeClock, f *cpconfigsync.Freshness) { f.SetSingleVM(true) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := clockwork.NewFakeClock()
			f := cpconfigsync.NewFreshness(c, staleAfter)
			tt.do(c, f)
			assert.Equal(t, clementineport.FaultOf(f.MaySend()) == clementineport.FaultStale, tt.fault == clementineport.FaultStale)
		})
	}
}

func BenchmarkStoreCalls(b *testing.B) {
	for _, size := range []int{8, 32, 128, 770} {
		b.Run(fmt.Sprintf("VMs=%d", size), func(b *testing.B) {
			for range b.N {
				perMinute, perChange, last := storeCalls(size)
				b.ReportMetric(perMinute, "calls/min/node")
				b.ReportMetric(perMinute*float64(size)/60, "calls/s")
				b.ReportMetric(perChange, "calls/5s-of-change")
				b.ReportMetric(last.Seconds(), "s-last")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
