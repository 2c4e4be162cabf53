package cplimit_test

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cpslowstart"
)

// event is a scheduled event of the simulation.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// schedule is a priority queue of events in virtual time.
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

// backend is a target that counts its calls in flight. While cold it is slower and overloads above capacity calls at a
// time; the capacity grows by one after each stepCalls calls.
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
	// hidesCold omits the cold start from the signals.
	hidesCold bool
	start     clementineport.StartID
	warmedAt  time.Time
}

const (
	serviceTime = 10 * time.Millisecond
	// floodInterval is the time between the calls of a flood, which is more than any of the targets can serve.
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

// owner sends calls to a backend through the limiter of one VM.
type owner struct {
	backend *backend
	limiter *cplimit.TargetLimiter
	last    cplimit.Ticket
	warmAt  time.Time
}

// flood offers a call every interval, starting at from, while active returns true.
func (o *owner) flood(from time.Time, interval time.Duration, active func(now time.Time) bool) {
	o.backend.schedule.add(from, func(now time.Time) {
		if active(now) {
			o.last++
			o.start(o.limiter.Offer(now, cplimit.Request{Ticket: o.last, Deadline: now.Add(time.Second)}), now)
		}
		o.flood(now.Add(interval), interval, active)
	})
}

func (o *owner) start(decisions []cplimit.Decision, now time.Time) {
	var ids []cplimit.Ticket
	for _, d := range decisions {
		if d.Err == nil {
			ids = append(ids, d.Ticket)
		}
	}
	for _, id := range ids {
		o.backend.call(now, func(now time.Time, r *clementineport.CallResult) {
			o.start(o.limiter.Done(now, id, r), now)
			if o.warmAt.IsZero() && !o.limiter.Cold() {
				o.warmAt = now
			}
		})
	}
}

func always(time.Time) bool { return true }

func newBackend(seed uint64, slots, capacity, stepCalls int) *backend {
	return &backend{rng: rand.New(rand.NewPCG(seed, 1)), slots: slots, capacity: capacity, stepCalls: stepCalls, start: "a"}
}

// ownerChange is a change of ownership between two VMs that both flood the target.
type ownerChange struct {
	slots, queueSize int
	seed             uint64
	// overlap is how long the old owner continues after the new one has started.
	overlap time.Duration
}

// run returns the peak of concurrent calls at the target and its upper bound.
func (c ownerChange) run(t testingT, o *cplimit.Options) (peak, bound int) {
	g := &clementineport.Group{Slots: c.slots, Queue: c.queueSize}
	b := newBackend(c.seed, g.Slots, g.Slots, 1)
	before := &owner{backend: b, limiter: cplimit.NewTargetLimiter(o, 1, g, &cpslowstart.Average{}, start.Add(-o.HandoverTime))}
	before.flood(start, floodInterval, always)
	moved := start.Add(2 * time.Second)
	b.schedule.runUntil(moved)
	assert.Equal(t, before.limiter.Limit(moved), g.Slots)
	b.peak = 0
	after := &owner{backend: b, limiter: cplimit.NewTargetLimiter(o, 2, g, &cpslowstart.Average{}, moved)}
	after.flood(moved, floodInterval, always)
	b.schedule.add(moved.Add(c.overlap), func(now time.Time) {
		before.limiter.Close(now, clementineport.FaultNotOwner)
	})
	end := moved.Add(3500 * time.Millisecond)
	b.schedule.runUntil(end)
	assert.Equal(t, after.limiter.Limit(end), g.Slots, "the new owner should get all slots")
	return b.peak, g.Slots + max(1, min(g.Slots/2, g.Queue))
}

type testingT interface {
	assert.TestingT
	Helper()
}

// TestOverlappingOwners moves ownership from one VM to another while their views differ for less than the
// handover time and both flood the target. Their concurrent calls stay within the slots plus the handover
// limit of a new owner; without a handover time they exceed this bound.
func TestOverlappingOwners(t *testing.T) {
	o := cplimit.NewOptions()
	rapid.Check(t, func(t *rapid.T) {
		change := ownerChange{
			slots:     rapid.SampledFrom([]int{2, 3, 4, 6}).Draw(t, "slots"),
			queueSize: rapid.IntRange(1, 4).Draw(t, "queue"),
			seed:      rapid.Uint64().Draw(t, "seed"),
			overlap:   time.Duration(rapid.IntRange(0, 1900).Draw(t, "overlap")) * time.Millisecond,
		}
		peak, bound := change.run(t, &o)
		assert.Assert(t, peak <= bound, "%d calls of at most %d", peak, bound)
	})
	o.HandoverTime, o.SlowStart.Disabled, o.OtherCallsTTL = 0, true, 0
	peak, bound := ownerChange{6, 2, 1, time.Second}.run(t, &o)
	assert.Assert(t, peak > bound, "without a handover time the bound should be exceeded")
}

// TestTwoPermanentOwners lets two VMs own a target permanently. The in-flight counts that the target reports keep
// their concurrent calls near its number of slots.
func TestTwoPermanentOwners(t *testing.T) {
	for _, c := range []struct {
		otherCallsTTL time.Duration
		maxPeak       int
	}{{time.Second, 8}, {0, 12}} {
		o := cplimit.NewOptions()
		o.OtherCallsTTL = c.otherCallsTTL
		g := &clementineport.Group{Slots: 6, Queue: 4}
		b := newBackend(1, 6, 6, 1)
		for i := range uint64(2) {
			vm := &owner{backend: b, limiter: cplimit.NewTargetLimiter(&o, i, g, &cpslowstart.Average{}, start)}
			vm.flood(start.Add(time.Duration(i)*3*time.Second), floodInterval, always)
		}
		b.schedule.runUntil(start.Add(10 * time.Second))
		if c.otherCallsTTL > 0 {
			assert.Assert(t, b.peak <= c.maxPeak, "%d calls", b.peak)
		} else {
			assert.Equal(t, b.peak, c.maxPeak)
		}
	}
}

// TestOwnersOfColdTarget lets two VMs own a cold target for a second, as happens when ownership moves while their views
// differ. The target must never be overloaded.
func TestOwnersOfColdTarget(t *testing.T) {
	o := cplimit.NewOptions()
	b := newBackend(1, 6, 1, 20)
	for i := range uint64(2) {
		vm := &owner{backend: b, limiter: cplimit.NewTargetLimiter(&o, i, &clementineport.Group{Slots: 6, Queue: 4}, &cpslowstart.Average{}, start)}
		vm.flood(start.Add(time.Duration(i)*100*time.Millisecond), floodInterval, always)
	}
	b.schedule.runUntil(start.Add(time.Second))
	assert.Equal(t, b.overloads, 0)
}

// TestANewOwnerLeavesAColdTargetToTheOldOne has a VM begin to own a cold target. Once it has learned that the target is cold, it refuses
// what would not start before the end of the handover at once, and sends nothing until then.
func TestANewOwnerLeavesAColdTargetToTheOldOne(t *testing.T) {
	o := cplimit.NewOptions()
	l := cplimit.NewTargetLimiter(&o, 1, &clementineport.Group{Slots: 6, Queue: 4}, &cpslowstart.Average{}, start)
	handedOver := start.Add(o.HandoverTime)
	assert.Equal(t, len(l.Offer(start, cplimit.Request{Ticket: 1, Deadline: start.Add(time.Second)})), 1)
	at := start.Add(10 * time.Millisecond)
	l.Done(at, 1, &clementineport.CallResult{
		Elapsed: 10 * time.Millisecond, Reply: &clementineport.Reply{}, Signals: clementineport.Signals{Start: "a", Cold: true},
	})
	refused := l.Offer(at, cplimit.Request{Ticket: 2, Deadline: at.Add(time.Second)})
	assert.Equal(t, len(refused), 1)
	var e *clementineport.Error
	assert.Assert(t, errors.As(refused[0].Err, &e))
	assert.Equal(t, e.Fault, clementineport.FaultShed)
	assert.Assert(t, e.RetryAfter >= handedOver.Sub(at)/2)
	assert.Equal(t, len(l.Offer(at, cplimit.Request{Ticket: 3, Deadline: at.Add(5 * time.Second)})), 0, "it waits in the queue")
	next, ok := l.NextEvent(at)
	assert.Assert(t, ok)
	assert.Equal(t, next, handedOver)
	assert.Equal(t, len(l.Tick(handedOver.Add(-1))), 0)
	started := l.Tick(handedOver)
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Ticket, cplimit.Ticket(3))
	assert.NilError(t, started[0].Err)
}

// TestColdStart floods cold targets with different slots and steps. A target is never overloaded, whether it reports
// that it is cold or shows it only by its latency, and it reaches full service.
func TestColdStart(t *testing.T) {
	o := cplimit.NewOptions()
	flood := func(slots, stepCalls int, seed uint64, hidesCold bool) (*backend, *owner) {
		b := newBackend(seed, slots, 1, stepCalls)
		b.hidesCold = hidesCold
		warmLatency := &cpslowstart.Average{}
		warmLatency.Observe(serviceTime)
		g := &clementineport.Group{Slots: slots, Queue: 2}
		vm := &owner{backend: b, limiter: cplimit.NewTargetLimiter(&o, 1, g, warmLatency, start)}
		vm.flood(start, floodInterval, always)
		b.schedule.runUntil(start.Add(9 * time.Second))
		return b, vm
	}
	rapid.Check(t, func(t *rapid.T) {
		b, vm := flood(rapid.SampledFrom([]int{2, 3, 4, 6}).Draw(t, "slots"), rapid.IntRange(1, 20).Draw(t, "step"),
			rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "silent"))
		assert.Equal(t, b.overloads, 0)
		assert.Assert(t, !vm.warmAt.IsZero(), "capacity %d of %d", b.capacity, b.slots)
	})
	o.SlowStart.Disabled = true
	b, _ := flood(6, 20, 1, false)
	assert.Assert(t, b.overloads > 0, "without the slow start the target should be overloaded")
}

// BenchmarkColdStart reports the time to full service in virtual time, and that of an optimal slow start, which always
// uses the whole capacity of the target.
func BenchmarkColdStart(b *testing.B) {
	for _, slots := range []int{2, 3, 4, 6} {
		b.Run("Slots="+string(rune('0'+slots)), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(timeToFullService(slots, false).Milliseconds()), "slow-start-ms")
				b.ReportMetric(float64(timeToFullService(slots, true).Milliseconds()), "best-ms")
			}
		})
	}
}

// timeToFullService returns the time from a cold start until all slots are allowed, or the minimum possible time if optimal
// is set.
func timeToFullService(slots int, optimal bool) time.Duration {
	target := newBackend(1, slots, 1, 20)
	if optimal {
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
	warmLatency := &cpslowstart.Average{}
	warmLatency.Observe(serviceTime)
	g := &clementineport.Group{Slots: slots, Queue: 2}
	vm := &owner{backend: target, limiter: cplimit.NewTargetLimiter(&o, 1, g, warmLatency, start)}
	vm.flood(start, floodInterval, always)
	target.schedule.runUntil(start.Add(30 * time.Second))
	return vm.warmAt.Sub(start)
}
