package cpsimulator

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Result holds the outcome of the requests of one kind.
type Result struct {
	Kind     string
	Requests int
	// InTime, Late, Refused and Failed count requests by the outcome of their last attempt. InTime counts those that
	// succeeded within their objective, Late those that succeeded after it.
	InTime  int
	Late    int
	Refused int
	Failed  int
	// ScoreSum is the sum of the scores of the answers in time; a score is the square of the share of shards covered.
	ScoreSum float64
	// Calls is the number of calls to targets, and Extra the number of hedges and retries among them.
	Calls int
	Extra int
}

// Score returns the mean score of all requests, from 0 to 1.
func (r *Result) Score() float64 { return r.ScoreSum / float64(max(r.Requests, 1)) }

// Retry policy of a caller.
const (
	// maxAttempts is the maximum number of attempts for one request.
	maxAttempts = 2
	// maxRetryDelayShare is the share of the remaining time up to which a caller delays a retry after a refusal.
	maxRetryDelayShare = 0.3
)

// caller sends one request and its retry.
type caller struct {
	m        *Model
	kind     int
	started  time.Time
	deadline time.Time
	attempts int
}

// attempt sends the request to a random VM.
func (c *caller) attempt() {
	m := c.m
	c.attempts++
	v := m.vms[m.random.IntN(len(m.vms))]
	left := c.deadline.Sub(m.now)
	m.after(m.callerDelay(), func() {
		f := &clementineport.OpaqueRequest{Arrived: m.now, Deadline: m.now.Add(left), MaxWait: left}
		v.receive(c.kind, f, func(r reply) { m.after(m.callerDelay(), func() { c.handleReply(r) }) })
	})
}

// handleReply records the outcome of an attempt, or schedules a retry.
func (c *caller) handleReply(r reply) {
	m := c.m
	result := &m.results[c.kind]
	left := c.deadline.Sub(m.now)
	switch {
	case r.ok && m.now.Sub(c.started) <= m.cfg.Kinds[c.kind].Objective:
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
