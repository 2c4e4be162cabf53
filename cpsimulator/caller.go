package cpsimulator

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Result is what became of the requests of one kind.
type Result struct {
	Kind  string
	Asked int
	// InTime, Late, Refused and Failed count requests by how their last attempt ended.
	InTime  int
	Late    int
	Refused int
	Failed  int
	// Credit is the sum of the squares of the shares of shards of the answers in time.
	Credit float64
	// Calls are all calls to targets, and Extra those beyond the first one of a shard.
	Calls int
	Extra int
}

// Worth returns the credit as a share of what was asked.
func (r *Result) Worth() float64 { return r.Credit / float64(max(r.Asked, 1)) }

// Bounds of a caller's patience.
const (
	// attempts is the number of attempts of a caller.
	attempts = 2
	// patientShare is the part of the time left for which a caller waits after a refusal.
	patientShare = 0.3
)

// caller is one request with its retries.
type caller struct {
	m        *Model
	kind     int
	began    time.Time
	deadline time.Time
	tries    int
}

// attempt sends the request to a random VM.
func (c *caller) attempt() {
	m := c.m
	c.tries++
	v := m.vms[m.random.IntN(len(m.vms))]
	left := c.deadline.Sub(m.now)
	m.after(m.cfg.Way, func() {
		f := &clementineport.OpaqueRequest{Arrived: m.now, Deadline: m.now.Add(left), MaxWait: left}
		v.receive(c.kind, f, func(r reply) { m.after(m.cfg.Way, func() { c.answered(r) }) })
	})
}

// answered takes the answer of an attempt.
func (c *caller) answered(r reply) {
	m := c.m
	result := &m.results[c.kind]
	left := c.deadline.Sub(m.now)
	switch {
	case r.ok && m.now.Sub(c.began) <= m.cfg.Kinds[c.kind].Objective:
		result.InTime++
		result.Credit += r.share * r.share
	case r.ok:
		result.Late++
	case c.tries < attempts && left > 0:
		wait := time.Duration(0)
		if r.refused {
			wait = min(r.after, time.Duration(patientShare*float64(left)))
		}
		m.after(wait, c.attempt)
	case r.refused:
		result.Refused++
	default:
		result.Failed++
	}
}
