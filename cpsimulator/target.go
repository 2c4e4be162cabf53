package cpsimulator

import (
	"math"
	"time"
)

// serviceTimeSpread is the standard deviation of the logarithm of the service time.
const serviceTimeSpread = 0.35

// call is one call at a target.
type call struct {
	serviceTime time.Duration
	// done receives the outcome; it is nil after the call was canceled.
	done func(outcome)
	// slot is true while the call occupies a slot.
	slot bool
}

// outcome is the outcome of a call at a target.
type outcome uint8

const (
	answered outcome = iota
	refused
	lost
)

// target simulates one target.
type target struct {
	m              *Model
	shard, replica int
	pauseOffset    time.Duration
	busy           int
	queue          []*call
}

func newTarget(m *Model, shard, n int) *target {
	t := &target{m: m, shard: shard, replica: n}
	if every := m.cfg.Targets.PauseEvery; every > 0 {
		t.pauseOffset = time.Duration(m.random.Int64N(int64(every)))
	}
	return t
}

// receive starts, queues, refuses or loses a call. An unresponsive target never finishes it.
func (t *target) receive(c *call) {
	unresponsive, refuse, reset := false, 0.0, 0.0
	t.disruptions(func(d *Disruption) {
		unresponsive = unresponsive || d.Unresponsive
		refuse, reset = max(refuse, d.RefusedShare), max(reset, d.ResetShare)
	})
	switch {
	case unresponsive:
	case t.m.random.Float64() < refuse, t.busy >= t.m.cfg.Targets.Slots && len(t.queue) >= t.m.cfg.Targets.Queue:
		c.finish(refused)
	case t.m.random.Float64() < reset:
		c.finish(lost)
	case t.busy >= t.m.cfg.Targets.Slots:
		t.queue = append(t.queue, c)
	default:
		t.begin(c)
	}
}

// disruptions calls f for each disruption that affects the target now.
func (t *target) disruptions(f func(*Disruption)) {
	t.m.activeDisruptions(func(d *Disruption) {
		if d.Affects != nil && d.Affects(t.shard, t.replica) {
			f(d)
		}
	})
}

// begin processes a call in a slot.
func (t *target) begin(c *call) {
	t.busy++
	c.slot = true
	slow := 1.0
	t.disruptions(func(d *Disruption) { slow *= max(1, d.Slowdown) })
	spread := math.Exp(serviceTimeSpread*t.m.random.NormFloat64() - serviceTimeSpread*serviceTimeSpread/2)
	work := time.Duration(float64(c.serviceTime) * slow * spread)
	t.m.at(t.finishAt(work), func() {
		if c.slot {
			t.release(c)
			c.finish(answered)
		}
	})
}

// finishAt returns when work that begins now is done. A pause suspends the work.
func (t *target) finishAt(work time.Duration) time.Time {
	pause, every := t.m.cfg.Targets.Pause, t.m.cfg.Targets.PauseEvery
	if every == 0 {
		return t.m.now.Add(work)
	}
	at := t.m.now
	for {
		into := (at.Sub(t.m.start) + t.pauseOffset) % every
		if into < pause {
			at = at.Add(pause - into)
			into = pause
		}
		left := every - into
		if work <= left {
			return at.Add(work)
		}
		at, work = at.Add(left), work-left
	}
}

// release frees the slot of a call and begins the next call in the queue.
func (t *target) release(c *call) {
	c.slot = false
	t.busy--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.begin(next)
	}
}

// cancel aborts a call that is running or queued.
func (t *target) cancel(c *call) {
	c.done = nil
	if c.slot {
		t.release(c)
		return
	}
	for i, w := range t.queue {
		if w == c {
			t.queue = append(t.queue[:i:i], t.queue[i+1:]...)
			return
		}
	}
}

// finish reports the outcome of the call, unless it was canceled.
func (c *call) finish(o outcome) {
	if c.done != nil {
		c.done(o)
	}
}
