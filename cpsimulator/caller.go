package cpsimulator

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Result is what became of the requests of one kind.
type Result struct {
	Kind     string
	Requests int
	// InTime, Late, Refused and Failed count requests by how their last attempt ended.
	InTime  int
	Late    int
	Refused int
	Failed  int
	// ScoreSum is the sum of the squares of the shares of shards of the answers in time.
	ScoreSum float64
	// Calls are all calls to targets, and Extra those beyond the first one of a shard.
	Calls int
	Extra int
}

// Score returns the credit as a share of what was asked.
func (r *Result) Score() float64 { return r.ScoreSum / float64(max(r.Requests, 1)) }

// Bounds of a caller's patience.
const (
	// maxAttempts is the number of maxAttempts of a caller.
	maxAttempts = 2
	// maxRetryDelayShare is the part of the time left for which a caller waits after a refusal.
	maxRetryDelayShare = 0.3
)

// caller is one request with its retries.
type caller struct {
	m        *Model
	kind     int
	began    time.Time
	deadline time.Time
	attempts int
}

// attempt sends the request to a random VM.
func (c *caller) attempt() {
	m := c.m
	c.attempts++
	v := m.vms[m.random.IntN(len(m.vms))]
	left := c.deadline.Sub(m.now)
	m.after(m.cfg.NetworkDelay, func() {
		f := &clementineport.OpaqueRequest{Arrived: m.now, Deadline: m.now.Add(left), MaxWait: left}
		v.receive(c.kind, f, func(r reply) { m.after(m.cfg.NetworkDelay, func() { c.handleReply(r) }) })
	})
}

// handleReply takes the answer of an attempt.
func (c *caller) handleReply(r reply) {
	m := c.m
	result := &m.results[c.kind]
	left := c.deadline.Sub(m.now)
	switch {
	case r.ok && m.now.Sub(c.began) <= m.cfg.Kinds[c.kind].Objective:
		result.InTime++
		result.ScoreSum += r.share * r.share
	case r.ok:
		result.Late++
	case c.attempts < maxAttempts && left > 0:
		wait := time.Duration(0)
		if r.refused {
			wait = min(r.retryAfter, time.Duration(maxRetryDelayShare*float64(left)))
		}
		m.after(wait, c.attempt)
	case r.refused:
		result.Refused++
	default:
		result.Failed++
	}
}
