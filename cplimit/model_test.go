package cplimit_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cpslowstart"
)

// event is something that happens at a time in the model.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// schedule is a queue of events in virtual time.
type schedule []event

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	old := *s
	e := old[len(old)-1]
	*s = old[:len(old)-1]
	return e
}

func (s *schedule) add(at time.Time, run func(now time.Time)) { heap.Push(s, event{at, run}) }

func (s *schedule) runUntil(end time.Time) {
	for s.Len() > 0 && !(*s)[0].at.After(end) {
		e := heap.Pop(s).(event)
		e.run(e.at)
	}
}

// backend is a target whose calls in progress are counted; when cold it bears level calls at a time,
// one more after each step calls, and is slower until it is warm.
type backend struct {
	schedule  schedule
	rng       *rand.Rand
	slots     int
	capacity  int
	stepCalls int
	completed int
	inFlight  int
	peak      int
	overloads int
	// hidesCold hides the cold start from the signals.
	hidesCold bool
	start     clementineport.StartID
	warmedAt  time.Time
}

const (
	serviceTime = 10 * time.Millisecond
	// floodInterval is the time between the calls of a flood, which is more than any target here can do.
	floodInterval = 1500 * time.Microsecond
)

func (b *backend) call(now time.Time, done func(now time.Time, r *clementineport.CallResult)) {
	b.inFlight++
	b.peak = max(b.peak, b.inFlight)
	if b.capacity < b.slots && b.inFlight > b.capacity {
		b.overloads++
	}
	d := time.Duration((0.5 + b.rng.Float64()) * float64(serviceTime))
	if b.slots > 1 {
		d += 3 * d * time.Duration(b.slots-b.capacity) / time.Duration(b.slots-1)
	}
	b.schedule.add(now.Add(d), func(now time.Time) {
		b.inFlight--
		if b.completed++; b.capacity < b.slots && b.completed >= b.stepCalls {
			b.completed = 0
			if b.capacity++; b.capacity == b.slots {
				b.warmedAt = now
			}
		}
		done(now, &clementineport.CallResult{
			Elapsed: d, Reply: &clementineport.Reply{},
			Signals: clementineport.Signals{
				Start: b.start, InFlight: b.inFlight, Cold: b.capacity < b.slots && !b.hidesCold,
			},
		})
	})
}

// owner sends calls to a backend through the limits of one VM.
type owner struct {
	backend *backend
	limits  *cplimit.TargetLimiter
	last    cplimit.Ticket
	warmAt  time.Time
}

// flood offers a call every interval from now on, while active says so.
func (o *owner) flood(from time.Time, interval time.Duration, active func(now time.Time) bool) {
	o.backend.schedule.add(from, func(now time.Time) {
		if active(now) {
			o.last++
			o.start(o.limits.Offer(now, cplimit.Request{Ticket: o.last, Deadline: now.Add(time.Second)}), now)
		}
		o.flood(now.Add(interval), interval, active)
	})
}

func (o *owner) start(grants []cplimit.Decision, now time.Time) {
	var ids []cplimit.Ticket
	for _, g := range grants {
		if g.Err == nil {
			ids = append(ids, g.Ticket)
		}
	}
	for _, id := range ids {
		o.backend.call(now, func(now time.Time, r *clementineport.CallResult) {
			o.start(o.limits.Done(now, id, r), now)
			if o.warmAt.IsZero() && !o.limits.Cold() {
				o.warmAt = now
			}
		})
	}
}

func always(time.Time) bool { return true }

func newBackend(seed uint64, slots, level, step int) *backend {
	return &backend{rng: rand.New(rand.NewPCG(seed, 1)), slots: slots, capacity: level, stepCalls: step, start: "a"}
}

// ownerChange is a change of ownership between two VMs that both flood the target.
type ownerChange struct {
	slots, queue int
	seed         uint64
	// overlap is how long the old owner goes on after the new one has begun.
	overlap time.Duration
}

// run returns the most calls at the target and the bound on them.
func (m ownerChange) run(t testingT, o *cplimit.Options) (peak, bound int) {
	g := &clementineport.Group{Slots: m.slots, Queue: m.queue}
	b := newBackend(m.seed, g.Slots, g.Slots, 1)
	before := &owner{backend: b, limits: cplimit.NewTargetLimiter(o, 1, g, &cpslowstart.Average{}, start.Add(-o.HandoverTime))}
	before.flood(start, floodInterval, always)
	moved := start.Add(2 * time.Second)
	b.schedule.runUntil(moved)
	assert.Equal(t, before.limits.Limit(moved), g.Slots)
	b.peak = 0
	after := &owner{backend: b, limits: cplimit.NewTargetLimiter(o, 2, g, &cpslowstart.Average{}, moved)}
	after.flood(moved, floodInterval, always)
	b.schedule.add(moved.Add(m.overlap), func(now time.Time) {
		before.limits.Close(now, clementineport.FaultNotOwner)
	})
	end := moved.Add(3500 * time.Millisecond)
	b.schedule.runUntil(end)
	assert.Equal(t, after.limits.Limit(end), g.Slots, "the new owner gets all slots")
	return b.peak, g.Slots + max(1, min(g.Slots/2, g.Queue))
}

type testingT interface {
	assert.TestingT
	Helper()
}

// TestOverlappingOwners lets ownership pass from one VM to another while their views differ for less
// than the handover time. Both flood the target throughout; the sum stays within the slots and the
// part that a new owner may use. Without the handover it does not.
func TestOverlappingOwners(t *testing.T) {
	o := cplimit.NewOptions()
	rapid.Check(t, func(t *rapid.T) {
		m := ownerChange{
			slots:   rapid.SampledFrom([]int{2, 3, 4, 6}).Draw(t, "slots"),
			queue:   rapid.IntRange(1, 4).Draw(t, "queue"),
			seed:    rapid.Uint64().Draw(t, "seed"),
			overlap: time.Duration(rapid.IntRange(0, 1900).Draw(t, "overlap")) * time.Millisecond,
		}
		peak, bound := m.run(t, &o)
		assert.Assert(t, peak <= bound, "%d calls of at most %d", peak, bound)
	})
	o.HandoverTime, o.SlowStart.Disabled, o.OtherCallsTTL = 0, true, 0
	peak, bound := ownerChange{6, 2, 1, time.Second}.run(t, &o)
	assert.Assert(t, peak > bound, "without the handover the bound should break")
}

// TestOwnersThatNeverAgree lets two VMs own a target for good: what the target reports keeps their sum near
// its slots.
func TestOwnersThatNeverAgree(t *testing.T) {
	for _, c := range []struct {
		shared time.Duration
		most   int
	}{{time.Second, 8}, {0, 12}} {
		o := cplimit.NewOptions()
		o.OtherCallsTTL = c.shared
		g := &clementineport.Group{Slots: 6, Queue: 4}
		b := newBackend(1, 6, 6, 1)
		for i := range uint64(2) {
			vm := &owner{backend: b, limits: cplimit.NewTargetLimiter(&o, i, g, &cpslowstart.Average{}, start)}
			vm.flood(start.Add(time.Duration(i)*3*time.Second), floodInterval, always)
		}
		b.schedule.runUntil(start.Add(10 * time.Second))
		if c.shared > 0 {
			assert.Assert(t, b.peak <= c.most, "%d calls", b.peak)
		} else {
			assert.Equal(t, b.peak, c.most)
		}
	}
}

// TestOwnersOfColdTarget lets two VMs own a cold target for a second, as when ownership moves while their views
// differ: the target never gets more than it bears.
func TestOwnersOfColdTarget(t *testing.T) {
	o := cplimit.NewOptions()
	b := newBackend(1, 6, 1, 20)
	for i := range uint64(2) {
		vm := &owner{backend: b, limits: cplimit.NewTargetLimiter(&o, i, &clementineport.Group{Slots: 6, Queue: 4}, &cpslowstart.Average{}, start)}
		vm.flood(start.Add(time.Duration(i)*100*time.Millisecond), floodInterval, always)
	}
	b.schedule.runUntil(start.Add(time.Second))
	assert.Equal(t, b.overloads, 0)
}

// TestColdStart floods a cold target whose slots and steps vary. It never gets more than it bears, whether it
// says that it is cold or shows it by its latency alone, and reaches full service.
func TestColdStart(t *testing.T) {
	o := cplimit.NewOptions()
	flood := func(slots, step int, seed uint64, silent bool) (*backend, *owner) {
		b := newBackend(seed, slots, 1, step)
		b.hidesCold = silent
		warmTime := &cpslowstart.Average{}
		warmTime.Observe(serviceTime)
		g := &clementineport.Group{Slots: slots, Queue: 2}
		vm := &owner{backend: b, limits: cplimit.NewTargetLimiter(&o, 1, g, warmTime, start)}
		vm.flood(start, floodInterval, always)
		b.schedule.runUntil(start.Add(9 * time.Second))
		return b, vm
	}
	rapid.Check(t, func(t *rapid.T) {
		b, vm := flood(rapid.SampledFrom([]int{2, 3, 4, 6}).Draw(t, "slots"), rapid.IntRange(1, 20).Draw(t, "step"),
			rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "silent"))
		assert.Equal(t, b.overloads, 0)
		assert.Assert(t, !vm.warmAt.IsZero(), "level %d of %d", b.capacity, b.slots)
	})
	o.SlowStart.Disabled = true
	b, _ := flood(6, 20, 1, false)
	assert.Assert(t, b.overloads > 0, "without the ramp the target should fall over")
}

// BenchmarkColdStart reports the time to full service in virtual time, beside that of a ramp that knows
// what the target bears at every moment.
func BenchmarkColdStart(b *testing.B) {
	for _, slots := range []int{2, 3, 4, 6} {
		b.Run("Slots="+string(rune('0'+slots)), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(timeToFullService(slots, false).Milliseconds()), "ramp-ms")
				b.ReportMetric(float64(timeToFullService(slots, true).Milliseconds()), "best-ms")
			}
		})
	}
}

// timeToFullService returns the time from a cold start to all slots allowed, or the least that is possible.
func timeToFullService(slots int, best bool) time.Duration {
	target := newBackend(1, slots, 1, 20)
	if best {
		var keep func(now time.Time)
		keep = func(now time.Time) {
			for target.inFlight < target.capacity {
				target.call(now, func(now time.Time, _ *clementineport.CallResult) { keep(now) })
			}
		}
		keep(start)
		target.schedule.runUntil(start.Add(10 * time.Second))
		return target.warmedAt.Sub(start)
	}
	o := cplimit.NewOptions()
	o.HandoverTime = 0
	warmTime := &cpslowstart.Average{}
	warmTime.Observe(serviceTime)
	g := &clementineport.Group{Slots: slots, Queue: 2}
	vm := &owner{backend: target, limits: cplimit.NewTargetLimiter(&o, 1, g, warmTime, start)}
	vm.flood(start, floodInterval, always)
	target.schedule.runUntil(start.Add(30 * time.Second))
	return vm.warmAt.Sub(start)
}
