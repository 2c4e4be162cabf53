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

// newTable has n targets of one group in alternating failure domains.
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

func all(n int) []clementineport.TargetIndex {
	ts := make([]clementineport.TargetIndex, n)
	for i := range ts {
		ts[i] = clementineport.TargetIndex(i)
	}
	return ts
}

func request(now time.Time, replicas ...clementineport.TargetIndex) *clementineport.PickRequest {
	return &clementineport.PickRequest{Replicas: replicas, Snapshot: pinned, Now: now}
}

func good(elapsed time.Duration) *clementineport.CallResult {
	return &clementineport.CallResult{
		Reply:   &clementineport.Reply{},
		Signals: clementineport.Signals{Start: "a", Held: []clementineport.Snapshot{pinned}},
		Elapsed: elapsed,
	}
}

func failed(f clementineport.Fault, elapsed time.Duration) *clementineport.CallResult {
	return &clementineport.CallResult{Err: clementineport.Fail(f, "test"), Elapsed: elapsed}
}

// TestPickRespectsState draws random events and checks every choice against a plain model.
func TestPickRespectsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 6
		p := cppick.New(cppick.Seed(rapid.Uint64().Draw(t, "seed")))
		views := []clementineport.TargetView{p.View(newTable(1, n))}
		now := start
		out, draining := map[clementineport.TargetIndex]bool{}, map[clementineport.TargetIndex]bool{}
		held := map[clementineport.TargetIndex]clementineport.Snapshot{}
		revision := clementineport.Revision(1)
		t.Repeat(map[string]func(*rapid.T){
			"table": func(t *rapid.T) {
				revision++
				clear(out)
				list := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n, rapid.ID).Draw(t, "out")
				var outs []clementineport.TargetIndex
				for _, i := range list {
					outs = append(outs, clementineport.TargetIndex(i))
					out[clementineport.TargetIndex(i)] = true
				}
				views = append(views, p.View(newTable(revision, n, outs...)))
			},
			"answer": func(t *rapid.T) {
				i := clementineport.TargetIndex(rapid.IntRange(0, n-1).Draw(t, "target"))
				r := good(10 * time.Millisecond)
				r.Signals.Draining = rapid.Bool().Draw(t, "draining")
				r.Signals.Held[0] = rapid.SampledFrom([]clementineport.Snapshot{pinned, older}).Draw(t, "held")
				views[0].Sent(i)
				views[0].Observe(i, now, r)
				draining[i], held[i] = r.Signals.Draining, r.Signals.Held[0]
			},
			"pick": func(t *rapid.T) {
				v := rapid.SampledFrom(views).Draw(t, "view")
				r := request(now, all(n)...)
				r.Tried = []clementineport.TargetIndex{clementineport.TargetIndex(rapid.IntRange(0, n-1).Draw(t, "tried"))}
				got, ok := v.Pick(r)
				fit := false
				for _, i := range r.Replicas {
					s, said := held[i]
					can := !out[i] && !draining[i] && i != r.Tried[0] && (!said || s == pinned)
					fit = fit || can
					assert.Assert(t, !ok || i != got || can, "picked %d", i)
				}
				assert.Equal(t, ok, fit)
			},
		})
	})
}

func TestRemovedTargetLeavesOlderViews(t *testing.T) {
	p := cppick.New()
	v := p.View(newTable(1, 3))
	p.View(newTable(2, 2))
	assert.Assert(t, !v.Usable(2, start))
	_, ok := v.Pick(request(start, 2))
	assert.Assert(t, !ok)
	p.View(newTable(1, 3))
	assert.Assert(t, !v.Usable(2, start), "an older table brings nothing back")
	v = p.View(newTable(3, 3))
	assert.Assert(t, v.Usable(2, start))
}

// TestFailingTargetIsLeft compares the choice with and without ejection when a target fails at once and
// so looks idle.
func TestFailingTargetIsLeft(t *testing.T) {
	for _, c := range []struct {
		name  string
		after int
		most  int
	}{{"ejection", 3, 10}, {"no ejection", 0, 1000}} {
		t.Run(c.name, func(t *testing.T) {
			v := cppick.New(cppick.Eject(c.after, 0.5)).View(newTable(1, 4))
			now, calls := start, 0
			bad, _ := v.Pick(request(now, all(4)...))
			for range 1000 {
				now = now.Add(time.Millisecond)
				got, ok := v.Pick(request(now, all(4)...))
				assert.Assert(t, ok)
				v.Sent(got)
				if got == bad {
					calls++
					v.Observe(got, now, failed(clementineport.FaultRefused, 0))
				} else {
					v.Observe(got, now, good(10*time.Millisecond))
				}
			}
			if c.after > 0 {
				assert.Assert(t, calls <= c.most, "%d calls", calls)
			} else {
				assert.Assert(t, calls > 100, "%d calls", calls)
			}
		})
	}
}

// TestTrialIsSingle fails a target, waits for its backoff and asks many times at once.
func TestTrialIsSingle(t *testing.T) {
	v := cppick.New().View(newTable(1, 4))
	for range 3 {
		v.Sent(0)
		v.Observe(0, start, failed(clementineport.FaultReset, time.Millisecond))
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
	v.Observe(0, now, good(10*time.Millisecond))
	assert.Assert(t, v.Usable(0, now))
}

// TestEjectionIsBounded fails every target; at least half of the group stays in choice.
func TestEjectionIsBounded(t *testing.T) {
	v := cppick.New().View(newTable(1, 10))
	for range 5 {
		for i := range 10 {
			v.Sent(clementineport.TargetIndex(i))
			v.Observe(clementineport.TargetIndex(i), start, failed(clementineport.FaultTimeout, time.Second))
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

// TestSlowTargetIsLeft makes one target ten times slower than its group, which is busy. It is left, tried
// again rarely, taken as the last choice, and does not delay its own hedges.
func TestSlowTargetIsLeft(t *testing.T) {
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
				r := good(10 * time.Millisecond)
				if got == 0 {
					r = good(100 * time.Millisecond)
					if i >= 1000 {
						slow++
					}
				} else {
					r.Load = 20
				}
				v.Observe(got, now, r)
				other := clementineport.TargetIndex(1 + (i+1)%7)
				v.Sent(other)
				v.Observe(other, now, good(10*time.Millisecond))
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

// TestUnknownTargetsAreAskedOnce shows that a target which has not said what it holds, or said so long
// ago, gets one call at a time beside siblings that hold the snapshot.
func TestUnknownTargetsAreAskedOnce(t *testing.T) {
	v := cppick.New().View(newTable(1, 3))
	v.Sent(0)
	v.Observe(0, start, good(10*time.Millisecond))
	old := good(10 * time.Millisecond)
	old.Signals.Held = []clementineport.Snapshot{older}
	v.Sent(1)
	v.Observe(1, start, old)
	counts := func(now time.Time) (n [3]int) {
		for range 50 {
			got, ok := v.Pick(request(now, all(3)...))
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

func TestRestartForgetsLatency(t *testing.T) {
	v := cppick.New().View(newTable(1, 2))
	for range 100 {
		v.Sent(0)
		v.Observe(0, start, good(10*time.Millisecond))
		v.Sent(1)
		v.Observe(1, start, good(12*time.Millisecond))
	}
	restarted := good(10 * time.Millisecond)
	restarted.Signals.Start = "b"
	v.Sent(0)
	v.Observe(0, start, restarted)
	v.Sent(0)
	for range 20 {
		got, _ := v.Pick(request(start, 0, 1))
		assert.Equal(t, got, clementineport.TargetIndex(1), "a cold target with a call in progress is left")
	}
}

// TestColdTargetWarmsUp shows that a target that is slow because it is cold gets a call now and then, and
// is not ejected as slow.
func TestColdTargetWarmsUp(t *testing.T) {
	v := cppick.New().View(newTable(1, 4))
	now, calls := start, 0
	first := good(60 * time.Millisecond)
	first.Signals.Cold = true
	v.Sent(0)
	v.Observe(0, now, first)
	for range 1000 {
		now = now.Add(time.Millisecond)
		got, _ := v.Pick(request(now, 0, 1, 2, 3))
		v.Sent(got)
		r := good(10 * time.Millisecond)
		if got == 0 {
			calls++
			r.Elapsed, r.Signals.Cold = 60*time.Millisecond, true
		}
		v.Observe(got, now, r)
	}
	assert.Assert(t, calls >= 2 && calls <= 4, "%d calls in a second, away from home", calls)
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
		got, ok := v.Pick(request(start, all(4)...))
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
	v.Observe(0, start, failed(clementineport.FaultDraining, time.Millisecond))
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
				v.Observe(clementineport.TargetIndex(i), start, good(10*time.Millisecond))
			}
			r := request(start, all(replicas)...)
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
