package cpsimulator

import (
	"math"
	"time"
)

// work spreads the time of a call around its mean.
const serviceTimeSpread = 0.35

// call is one call at a target.
type call struct {
	serviceTime time.Duration
	// done gets the outcome; it is nil once nobody waits for it.
	done func(outcome)
	// slot is true while the call is worked on.
	slot bool
}

// outcome is how a call ended at a target.
type outcome uint8

const (
	answered outcome = iota
	refused
	lost
)

// target is one modelled target.
type target struct {
	m             *Model
	shard, number int
	phase         time.Duration
	busy          int
	queue         []*call
}

func newTarget(m *Model, shard, n int) *target {
	t := &target{m: m, shard: shard, number: n}
	if every := m.cfg.Targets.PauseEvery; every > 0 {
		t.phase = time.Duration(m.random.Int64N(int64(every)))
	}
	return t
}

// receive takes a call.
func (t *target) receive(c *call) {
	dark, refuse, reset := false, 0.0, 0.0
	t.disruptions(func(tr *Disruption) {
		dark = dark || tr.Unresponsive
		refuse, reset = max(refuse, tr.RefusedShare), max(reset, tr.ResetShare)
	})
	switch {
	case dark:
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

// disruptions calls f with the troubles of this target at this moment.
func (t *target) disruptions(f func(*Disruption)) {
	t.m.activeDisruptions(func(tr *Disruption) {
		if tr.Affects != nil && tr.Affects(t.shard, t.number) {
			f(tr)
		}
	})
}

// begin works on a call.
func (t *target) begin(c *call) {
	t.busy++
	c.slot = true
	slow := 1.0
	t.disruptions(func(tr *Disruption) { slow *= max(1, tr.Slowdown) })
	spread := math.Exp(serviceTimeSpread*t.m.random.NormFloat64() - serviceTimeSpread*serviceTimeSpread/2)
	work := time.Duration(float64(c.serviceTime) * slow * spread)
	t.m.at(t.finishAt(work), func() {
		if c.slot {
			t.release(c)
			c.finish(answered)
		}
	})
}

// finishAt returns when work that begins now is done: a target that stands still goes on afterwards.
func (t *target) finishAt(work time.Duration) time.Time {
	pause, every := t.m.cfg.Targets.Pause, t.m.cfg.Targets.PauseEvery
	if every == 0 {
		return t.m.now.Add(work)
	}
	at := t.m.now
	for {
		into := (at.Sub(t.m.start) + t.phase) % every
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

// release frees the slot of a call.
func (t *target) release(c *call) {
	c.slot = false
	t.busy--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.begin(next)
	}
}

// cancel gives a call up.
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

// finish tells how the call ended.
func (c *call) finish(o outcome) {
	if c.done != nil {
		c.done(o)
	}
}
