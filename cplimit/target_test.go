package cplimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cpslowstart"
)

var start = time.Date(2026, 2, 1, 8, 0, 0, 0, time.UTC)

func answer(elapsed time.Duration) *clementineport.CallResult {
	return &clementineport.CallResult{
		Reply: &clementineport.Reply{}, Elapsed: elapsed,
		Signals: clementineport.Signals{Start: "a", Held: []clementineport.Snapshot{{}}},
	}
}

func failure(f clementineport.Fault, elapsed time.Duration) *clementineport.CallResult {
	return &clementineport.CallResult{Err: clementineport.Fail(f, "test"), Elapsed: elapsed}
}

// newWarmTarget returns the limiter of a target that has completed its slow start.
func newWarmTarget(t testing.TB, o *cplimit.Options, g *clementineport.Group) (*cplimit.TargetLimiter, time.Time) {
	t.Helper()
	target := cplimit.NewTargetLimiter(o, 1, g, &cpslowstart.Average{}, start)
	now := start.Add(o.HandoverTime)
	ticket := cplimit.Ticket(1 << 40)
	for range 1000 {
		var running []cplimit.Ticket
		for range target.Limit(now) {
			ticket++
			target.Offer(now, cplimit.Request{Ticket: ticket, Deadline: now.Add(time.Second)})
			running = append(running, ticket)
		}
		now = now.Add(10 * time.Millisecond)
		for _, id := range running {
			target.Done(now, id, answer(10*time.Millisecond))
		}
	}
	assert.Equal(t, target.Limit(now), g.Slots)
	assert.Equal(t, target.InUse(), 0)
	return target, now
}

// TestTargetLimiterStaysWithinBounds checks, with random calls, results and closings, that the calls in use stay within
// the limit plus one probe, that the queue stays within its size, and that every call gets exactly one decision.
func TestTargetLimiterStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := cplimit.NewOptions()
		g := &clementineport.Group{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Queue: rapid.IntRange(0, 4).Draw(t, "queue")}
		target := cplimit.NewTargetLimiter(&o, 1, g, &cpslowstart.Average{}, start)
		now, last := start, cplimit.Ticket(0)
		waiting, running := map[cplimit.Ticket]cplimit.Request{}, map[cplimit.Ticket]bool{}
		take := func(decisions []cplimit.Decision) {
			for _, d := range decisions {
				w, ok := waiting[d.Ticket]
				assert.Assert(t, ok, "a second decision on %d", d.Ticket)
				delete(waiting, d.Ticket)
				if d.Err != nil {
					assert.Equal(t, clementineport.VerdictOf(d.Err), clementineport.NotRun)
					continue
				}
				running[d.Ticket] = true
				assert.Assert(t, w.Deadline.After(now), "started after its deadline")
				for _, other := range waiting {
					assert.Assert(t, other.Class >= w.Class, "a call of a lower class waits")
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				assert.Assert(t, target.InUse() <= g.Slots+1)
				assert.Assert(t, target.Queued() <= g.Queue)
				assert.Equal(t, target.Queued(), len(waiting))
			},
			"offer": func(t *rapid.T) {
				last++
				w := cplimit.Request{
					Ticket: last, Class: clementineport.Class(rapid.IntRange(0, 2).Draw(t, "class")),
					Deadline: now.Add(time.Duration(rapid.IntRange(-5, 200).Draw(t, "left")) * time.Millisecond),
				}
				waiting[last] = w
				before := target.Limit(now)
				take(target.Offer(now, w))
				assert.Assert(t, !running[last] || target.InUse() <= before+1)
			},
			"done": func(t *rapid.T) {
				for id := range running {
					delete(running, id)
					f := rapid.SampledFrom([]clementineport.Fault{
						clementineport.FaultUnknown, clementineport.FaultShed, clementineport.FaultCold,
						clementineport.FaultReset, clementineport.FaultCanceled, clementineport.FaultTimeout,
					}).Draw(t, "fault")
					res := failure(f, 10*time.Millisecond)
					if f == clementineport.FaultUnknown {
						res = answer(10 * time.Millisecond)
					}
					take(target.Done(now, id, res))
					return
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond)
				take(target.Tick(now))
			},
			"close": func(*rapid.T) {
				take(target.Close(now, clementineport.FaultTakenOut))
				assert.Equal(t, target.Queued(), 0)
			},
			"open": func(*rapid.T) { target.Open(now) },
		})
	})
}

// TestRefusals checks which calls are refused while all slots of the target are in use.
func TestRefusals(t *testing.T) {
	o := cplimit.NewOptions()
	g := &clementineport.Group{Slots: 2, Queue: 2}
	target, now := newWarmTarget(t, &o, g)
	offer := func(id cplimit.Ticket, class clementineport.Class, left time.Duration) []cplimit.Decision {
		return target.Offer(now, cplimit.Request{Ticket: id, Class: class, Deadline: now.Add(left)})
	}
	for id := range cplimit.Ticket(2) {
		assert.NilError(t, offer(id, 0, time.Second)[0].Err)
	}
	refused := offer(3, 0, 3*time.Millisecond)
	assert.Equal(t, clementineport.FaultOf(refused[0].Err), clementineport.FaultShed, "would start too late")
	assert.Equal(t, len(offer(4, clementineport.ClassBatch, time.Second)), 0)
	assert.Equal(t, len(offer(5, clementineport.ClassBatch, 500*time.Millisecond)), 0)
	displaced := offer(6, clementineport.ClassInteractive, time.Second)
	assert.Equal(t, displaced[0].Ticket, cplimit.Ticket(4), "the last call in the queue should be displaced")
	e := displaced[0].Err.(*clementineport.Error)
	assert.Equal(t, e.Fault, clementineport.FaultShed)
	assert.Assert(t, e.RetryAfter > 0)
	now = now.Add(600 * time.Millisecond)
	late := target.Tick(now)
	assert.Equal(t, late[0].Ticket, cplimit.Ticket(5))
	assert.Equal(t, clementineport.FaultOf(late[0].Err), clementineport.FaultDeadline)
	out := target.Close(now, clementineport.FaultTakenOut)
	assert.Equal(t, out[0].Ticket, cplimit.Ticket(6))
	assert.Equal(t, clementineport.FaultOf(out[0].Err), clementineport.FaultTakenOut)
}

// TestCanceledCallsHoldTheirSlot checks that a canceled call uses a slot until an answer to a later call shows
// that it has stopped, or its deadline passes.
func TestCanceledCallsHoldTheirSlot(t *testing.T) {
	o := cplimit.NewOptions()
	target, now := newWarmTarget(t, &o, &clementineport.Group{Slots: 2, Queue: 2})
	offer := func(id cplimit.Ticket) bool {
		return len(target.Offer(now, cplimit.Request{Ticket: id, Deadline: now.Add(time.Second)})) == 1
	}
	assert.Assert(t, offer(1) && offer(2))
	target.Done(now, 1, failure(clementineport.FaultCanceled, time.Millisecond))
	now = now.Add(time.Millisecond)
	assert.Assert(t, !offer(3), "the canceled call may still run")
	assert.Equal(t, len(target.Done(now, 2, answer(10*time.Millisecond))), 1, "3 should start when 2 ends")
	assert.Assert(t, !offer(4), "2 was sent before the cancellation, so its answer does not show that 1 has stopped")
	now = now.Add(10 * time.Millisecond)
	assert.Equal(t, len(target.Done(now, 3, answer(10*time.Millisecond))), 1)
	assert.Equal(t, target.InUse(), 1, "the answer to 3 shows that 1 has stopped")

	assert.Assert(t, offer(5))
	for _, id := range []cplimit.Ticket{4, 5} {
		target.Done(now, id, failure(clementineport.FaultCanceled, time.Millisecond))
	}
	assert.Assert(t, !offer(6))
	now = now.Add(o.CancelGrace)
	assert.Equal(t, len(target.Tick(now)), 1, "one probe call should start after the grace period")
	assert.Assert(t, !offer(7))
}

// TestSignalsOfColdTarget checks which results lower the limit of a warm target, and that none does when slow
// start is disabled.
func TestSignalsOfColdTarget(t *testing.T) {
	restarted, cold, jump := answer(10*time.Millisecond), answer(10*time.Millisecond), answer(90*time.Millisecond)
	restarted.Signals.Start = "b"
	cold.Signals.Cold = true
	for _, c := range []struct {
		name   string
		result *clementineport.CallResult
		times  int
		want   int
	}{
		{"restarted", restarted, 1, 1},
		{"reports cold", cold, 1, 1},
		{"refuses as cold", failure(clementineport.FaultCold, 0), 1, 1},
		{"sheds once", failure(clementineport.FaultShed, 0), 1, 3},
		{"sheds in a burst", failure(clementineport.FaultShed, 0), 3, 1},
		{"connection fails", failure(clementineport.FaultReset, 0), 1, 1},
		{"straggler", jump, 1, 6},
		{"latency jump", jump, 8, 3},
	} {
		for _, off := range []bool{false, true} {
			o := cplimit.NewOptions()
			o.SlowStart.Disabled = off
			target, now := newWarmTarget(t, &o, &clementineport.Group{Slots: 6, Queue: 4})
			for i := range c.times {
				id := cplimit.Ticket(i + 1)
				target.Offer(now, cplimit.Request{Ticket: id, Deadline: now.Add(50 * time.Millisecond)})
				now = now.Add(50 * time.Millisecond)
				target.Done(now, id, c.result)
			}
			want := c.want
			if off {
				want = 6
			}
			assert.Equal(t, target.Limit(now), want, "%s, slow start disabled: %v", c.name, off)
		}
	}
}

// TestConfirmation checks that a target which has not responded for MaxResponseAge gets one call at a time until it
// responds, and that the limit recovers from a failed or closed connection when the same process answers a later call.
func TestConfirmation(t *testing.T) {
	o := cplimit.NewOptions()
	target, now := newWarmTarget(t, &o, &clementineport.Group{Slots: 6, Queue: 4})
	now = now.Add(time.Minute)
	assert.Equal(t, target.Limit(now), 1)
	call := func(id cplimit.Ticket, res *clementineport.CallResult, limit int) {
		target.Offer(now, cplimit.Request{Ticket: id, Deadline: now.Add(time.Second)})
		now = now.Add(time.Millisecond)
		target.Done(now, id, res)
		assert.Equal(t, target.Limit(now), limit)
		now = now.Add(time.Millisecond)
	}
	call(1, failure(clementineport.FaultRefused, 0), 1)
	call(2, answer(10*time.Millisecond), 6)
	target.Offer(now, cplimit.Request{Ticket: 3, Deadline: now.Add(time.Second)})
	target.SuspectRestart(now)
	target.Done(now, 3, answer(10*time.Millisecond))
	assert.Equal(t, target.Limit(now), 1, "call 3 was sent before the connection was closed")
	now = now.Add(time.Millisecond)
	call(4, answer(10*time.Millisecond), 6)
}
