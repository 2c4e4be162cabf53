package cppick_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppick"
	"github.com/clementineport/clementineport/cppick/cprandom"
)

var (
	start  = time.Date(2026, 2, 1, 8, 0, 0, 0, time.UTC)
	pinned = clementineport.Snapshot{Version: 3, Layout: 1}
	older  = clementineport.Snapshot{Version: 2, Layout: 1}
)

// newTable returns a table of n targets of one group in alternating failure domains.
func newTable(revision clementineport.Revision, n int, out ...clementineport.TargetIndex) *clementineport.Table {
	t := &clementineport.Table{Revision: revision, ByID: map[clementineport.TargetID]clementineport.TargetIndex{}}
	for i := range n {
		id := clementineport.TargetID(fmt.Sprintf("t%d", i))
		t.ByID[id] = clementineport.TargetIndex(i)
		t.Targets = append(t.Targets, clementineport.TargetRow{
			TargetSpec:   clementineport.TargetSpec{ID: id, Domain: clementineport.FailureDomain(fmt.Sprint(i % 2))},
			Group:        clementineport.Group{Name: "g", Slots: 6},
			OutOfService: slices.Contains(out, clementineport.TargetIndex(i)),
		})
	}
	return t
}

func allTargets(n int) []clementineport.TargetIndex {
	ts := make([]clementineport.TargetIndex, n)
	for i := range ts {
		ts[i] = clementineport.TargetIndex(i)
	}
	return ts
}

func request(now time.Time, replicas ...clementineport.TargetIndex) *clementineport.PickRequest {
	return &clementineport.PickRequest{Replicas: replicas, Snapshot: pinned, Now: now}
}

func newAnswer(elapsed time.Duration) *clementineport.CallResult {
	return &clementineport.CallResult{
		Reply:   &clementineport.Reply{},
		Signals: clementineport.Signals{Start: "a", Held: []clementineport.Snapshot{pinned}},
		Elapsed: elapsed,
	}
}

func newFailure(f clementineport.Fault, elapsed time.Duration) *clementineport.CallResult {
	return &clementineport.CallResult{Err: clementineport.Fail(f, "test"), Elapsed: elapsed}
}

// TestPickRespectsState applies random events and checks every pick against a simple model.
func TestPickRespectsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		p := cppick.New(cppick.Seed(rapid.Uint64().Draw(t, "seed")))
		views := []clementineport.TargetView{p.View(newTable(1, n))}
		now := start
		outOfService, draining := map[clementineport.TargetIndex]bool{}, map[clementineport.TargetIndex]bool{}
		held := map[clementineport.TargetIndex]clementineport.Snapshot{}
		revision := clementineport.Revision(1)
		t.Repeat(map[string]func(*rapid.T){
			"table": func(t *rapid.T) {
				revision++
				clear(outOfService)
				list := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n, rapid.ID).Draw(t, "out")
				var outs []clementineport.TargetIndex
				for _, i := range list {
					outs = append(outs, clementineport.TargetIndex(i))
					outOfService[clementineport.TargetIndex(i)] = true
				}
				views = append(views, p.View(newTable(revision, n, outs...)))
			},
			"answer": func(t *rapid.T) {
				i := clementineport.TargetIndex(rapid.IntRange(0, n-1).Draw(t, "target"))
				r := newAnswer(10 * time.Millisecond)
				r.Signals.Draining = rapid.Bool().Draw(t, "draining")
				r.Signals.Held[0] = rapid.SampledFrom([]clementineport.Snapshot{pinned, older}).Draw(t, "held")
				views[0].Sent(i)
				views[0].Observe(i, now, r)
				draining[i], held[i] = r.Signals.Draining, r.Signals.Held[0]
			},
			"pick": func(t *rapid.T) {
				v := rapid.SampledFrom(views).Draw(t, "view")
				r := request(now, allTargets(n)...)
				r.Tried = []clementineport.TargetIndex{clementineport.TargetIndex(rapid.IntRange(0, n-1).Draw(t, "tried"))}
				got, ok := v.Pick(r)
				eligibleFound := false
				for _, i := range r.Replicas {
					s, reported := held[i]
					eligible := !outOfService[i] && !draining[i] && i != r.Tried[0] && (!reported || s == pinned)
					eligibleFound = eligibleFound || eligible
					assert.Assert(t, !ok || i != got || eligible, "picked %d", i)
				}
				assert.Equal(t, ok, eligibleFound)
			},
		})
	})
}

func TestRemovedTargetIsUnusableInOlderViews(t *testing.T) {
	p := cppick.New()
	v := p.View(newTable(1, 3))
	p.View(newTable(2, 2))
	assert.Assert(t, !v.Usable(2, start))
	_, ok := v.Pick(request(start, 2))
	assert.Assert(t, !ok)
	p.View(newTable(1, 3))
	assert.Assert(t, !v.Usable(2, start), "an older table must not make a removed target usable")
	v = p.View(newTable(3, 3))
	assert.Assert(t, v.Usable(2, start))
}

// TestFailingTargetIsAvoided compares picking with and without ejection when a target fails immediately and
// therefore has no calls in flight.
func TestFailingTargetIsAvoided(t *testing.T) {
	for _, c := range []struct {
		name     string
		after    int
		maxCalls int
	}{{"ejection", 3, 10}, {"no ejection", 0, 1000}} {
		t.Run(c.name, func(t *testing.T) {
			v := cppick.New(cppick.Eject(c.after, 0.5)).View(newTable(1, 4))
			now, calls := start, 0
			bad, _ := v.Pick(request(now, allTargets(4)...))
			for range 1000 {
				now = now.Add(time.Millisecond)
				got, ok := v.Pick(request(now, allTargets(4)...))
				assert.Assert(t, ok)
				v.Sent(got)
				if got == bad {
					calls++
					v.Observe(got, now, newFailure(clementineport.FaultRefused, 0))
				} else {
					v.Observe(got, now, newAnswer(10*time.Millisecond))
				}
			}
			if c.after > 0 {
				assert.Assert(t, calls <= c.maxCalls, "%d calls", calls)
			} else {
				assert.Assert(t, calls > 100, "%d calls", calls)
			}
		})
	}
}

// TestTrialIsSingle checks that a failed target gets a single trial call after its backoff.
func TestTrialIsSingle(t *testing.T) {
	v := cppick.New().View(newTable(1, 4))
	for range 3 {
		v.Sent(0)
		v.Observe(0, start, newFailure(clementineport.FaultReset, time.Millisecond))
	}
	assert.Assert(t, !v.Usable(0, start.Add(time.Millisecond)))
	now := start.Add(time.Second)
	trials := 0
	for range 50 {
		if got, _ := v.Pick(request(now, 0, 1, 2)); got == 0 {
			trials++
		}
	}
	assert.Equal(t, trials, 1)
	v.Observe(0, now, newAnswer(10*time.Millisecond))
	assert.Assert(t, v.Usable(0, now))
}

// TestEjectionIsBounded checks that half of the group stays usable when every target fails.
func TestEjectionIsBounded(t *testing.T) {
	v := cppick.New().View(newTable(1, 10))
	for range 5 {
		for i := range 10 {
			v.Sent(clementineport.TargetIndex(i))
			v.Observe(clementineport.TargetIndex(i), start, newFailure(clementineport.FaultTimeout, time.Second))
		}
	}
	usable := 0
	for i := range 10 {
		if v.Usable(clementineport.TargetIndex(i), start) {
			usable++
		}
	}
	assert.Equal(t, usable, 5)
}

// TestSlowTargetIsAvoided checks that a target ten times slower than its busy group is ejected, rarely gets a trial call,
// is picked when there is no other, and does not delay its own hedges.
func TestSlowTargetIsAvoided(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor float64
	}{{"outliers", 3}, {"no outliers", 0}} {
		t.Run(c.name, func(t *testing.T) {
			v := cppick.New(cppick.EjectSlow(c.factor)).View(newTable(1, 8))
			now, slow := start, 0
			for range 20 {
				for i := 1; i < 8; i++ {
					v.Sent(clementineport.TargetIndex(i))
				}
			}
			for i := range 3000 {
				now = now.Add(time.Millisecond)
				got, _ := v.Pick(request(now, 0, clementineport.TargetIndex(1+i%7)))
				v.Sent(got)
				r := newAnswer(10 * time.Millisecond)
				if got == 0 {
					r = newAnswer(100 * time.Millisecond)
					if i >= 1000 {
						slow++
					}
				} else {
					r.Load = 20
				}
				v.Observe(got, now, r)
				other := clementineport.TargetIndex(1 + (i+1)%7)
				v.Sent(other)
				v.Observe(other, now, newAnswer(10*time.Millisecond))
			}
			assert.Assert(t, v.HedgeAfter(0) <= 30*time.Millisecond, "%v", v.HedgeAfter(0))
			_, ok := v.Pick(request(now, 0))
			assert.Assert(t, ok)
			if c.factor > 0 {
				assert.Assert(t, slow <= 3, "%d calls", slow)
			} else {
				assert.Assert(t, slow > 500, "%d calls", slow)
			}
		})
	}
}

// TestUnknownTargetsGetOneCallAtATime checks that a target which has not reported its snapshots, or not recently, gets one
// call at a time although other replicas hold the snapshot.
func TestUnknownTargetsGetOneCallAtATime(t *testing.T) {
	v := cppick.New().View(newTable(1, 3))
	v.Sent(0)
	v.Observe(0, start, newAnswer(10*time.Millisecond))
	old := newAnswer(10 * time.Millisecond)
	old.Signals.Held = []clementineport.Snapshot{older}
	v.Sent(1)
	v.Observe(1, start, old)
	counts := func(now time.Time) (n [3]int) {
		for range 50 {
			got, ok := v.Pick(request(now, allTargets(3)...))
			assert.Assert(t, ok)
			n[got]++
			v.Sent(got)
		}
		return n
	}
	n := counts(start)
	assert.Assert(t, n[1] == 0 && n[2] == 1, "%v", n)
	n = counts(start.Add(time.Minute))
	assert.Assert(t, n[1] == 1 && n[2] == 0, "%v", n)
}

func TestRestartResetsLatency(t *testing.T) {
	v := cppick.New().View(newTable(1, 2))
	for range 100 {
		v.Sent(0)
		v.Observe(0, start, newAnswer(10*time.Millisecond))
		v.Sent(1)
		v.Observe(1, start, newAnswer(12*time.Millisecond))
	}
	restarted := newAnswer(10 * time.Millisecond)
	restarted.Signals.Start = "b"
	v.Sent(0)
	v.Observe(0, start, restarted)
	v.Sent(0)
	for range 20 {
		got, _ := v.Pick(request(start, 0, 1))
		assert.Equal(t, got, clementineport.TargetIndex(1), "a cold target with a call in flight should be avoided")
	}
}

// TestColdTargetWarmsUp checks that a target that is slow because it is cold gets occasional calls and is not ejected as
// slow.
func TestColdTargetWarmsUp(t *testing.T) {
	v := cppick.New().View(newTable(1, 4))
	now, calls := start, 0
	first := newAnswer(60 * time.Millisecond)
	first.Signals.Cold = true
	v.Sent(0)
	v.Observe(0, now, first)
	for range 1000 {
		now = now.Add(time.Millisecond)
		got, _ := v.Pick(request(now, 0, 1, 2, 3))
		v.Sent(got)
		r := newAnswer(10 * time.Millisecond)
		if got == 0 {
			calls++
			r.Elapsed, r.Signals.Cold = 60*time.Millisecond, true
		}
		v.Observe(got, now, r)
	}
	assert.Assert(t, calls >= 2 && calls <= 4, "%d calls in a second outside the home failure domain", calls)
}

func TestHomeDecidesWhenLoadIsEqual(t *testing.T) {
	v := cppick.New().View(newTable(1, 2))
	r := request(start, 0, 1)
	r.Home = "1"
	for range 20 {
		got, _ := v.Pick(r)
		assert.Equal(t, got, clementineport.TargetIndex(1))
	}
	for range 5 {
		v.Sent(1)
	}
	got, _ := v.Pick(r)
	assert.Equal(t, got, clementineport.TargetIndex(0))
}

func TestRandomBaseline(t *testing.T) {
	v := cprandom.New(1, 40*time.Millisecond).View(newTable(1, 4, 3))
	counts := map[clementineport.TargetIndex]int{}
	for range 3000 {
		got, ok := v.Pick(request(start, allTargets(4)...))
		assert.Assert(t, ok)
		counts[got]++
	}
	for i := range 3 {
		assert.Assert(t, counts[clementineport.TargetIndex(i)] > 900)
	}
	assert.Equal(t, counts[3], 0)
	assert.Equal(t, v.HedgeAfter(0), 40*time.Millisecond)
}

func ExampleNew() {
	p := cppick.New(cppick.Seed(7))
	v := p.View(newTable(1, 2))
	v.Sent(0)
	v.Observe(0, start, newFailure(clementineport.FaultDraining, time.Millisecond))
	t, ok := v.Pick(&clementineport.PickRequest{
		Replicas: []clementineport.TargetIndex{0, 1}, Snapshot: pinned, Now: start,
	})
	fmt.Println(t, ok)
	// Output: 1 true
}

func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{2, 3, 6} {
		b.Run(fmt.Sprintf("Replicas=%d", replicas), func(b *testing.B) {
			v := cppick.New().View(newTable(1, replicas))
			for i := range replicas {
				v.Sent(clementineport.TargetIndex(i))
				v.Observe(clementineport.TargetIndex(i), start, newAnswer(10*time.Millisecond))
			}
			r := request(start, allTargets(replicas)...)
			b.ReportAllocs()
			for b.Loop() {
				v.Pick(r)
			}
		})
	}
}

func BenchmarkView(b *testing.B) {
	for _, n := range []int{97, 3900} {
		b.Run(fmt.Sprintf("Targets=%d", n), func(b *testing.B) {
			p, t := cppick.New(), newTable(1, n)
			b.ReportAllocs()
			for b.Loop() {
				p.View(t)
			}
		})
	}
}
