// Package cpchoice keeps what the responses of targets show and chooses a target for a request. It sends nothing;
// the time and the source of chance are passed in.
package cpchoice

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
)

// Candidate is a target with the state that the choice reads.
type Candidate struct {
	Target *Target
	// Near is true when the target is in the failure domain of this VM.
	Near bool
}

// Chooser chooses among the targets of a service. It is not safe for concurrent use; the targets are.
type Chooser struct {
	options Options
	random  *rand.Rand
	weights []float64
}

// New returns a chooser.
func New(opts ...Option) *Chooser {
	options := NewOptions(opts...)
	return &Chooser{options: options, random: rand.New(rand.NewPCG(options.Seed, 0))}
}

// Request is what a target is chosen for.
type Request struct {
	// Usual is how long targets of the service usually take, or zero if that is not known.
	Usual time.Duration
	// VMs is the number of VMs that send to the targets.
	VMs int
	// Excluded reports targets that must not be chosen.
	Excluded func(*Target) bool
}

// Choose returns a target, or nil when none is usable now. Targets that are expected to answer sooner are chosen
// more often, by a power of the expected time, so that a slow one is still asked now and then.
func (c *Chooser) Choose(now time.Time, candidates []Candidate, r *Request) *Target {
	c.weights = c.weights[:0]
	total := 0.0
	for i := range candidates {
		w := c.weight(now, &candidates[i], r)
		total += w
		c.weights = append(c.weights, w)
	}
	if total <= 0 {
		return nil
	}
	point := c.random.Float64() * total
	for i, w := range c.weights {
		if point -= w; point < 0 {
			return candidates[i].Target
		}
	}
	return c.last(candidates)
}

// last returns the last candidate that may be chosen, when rounding left the point beyond all weights.
func (c *Chooser) last(candidates []Candidate) *Target {
	for i := len(candidates) - 1; i >= 0; i-- {
		if c.weights[i] > 0 {
			return candidates[i].Target
		}
	}
	return nil
}

// weight returns how often a candidate is chosen in proportion to others; zero means never.
func (c *Chooser) weight(now time.Time, candidate *Candidate, r *Request) float64 {
	t := candidate.Target
	if r.Excluded != nil && r.Excluded(t) {
		return 0
	}
	cost := t.Cost(now, r.Usual, r.VMs)
	if math.IsInf(cost, 1) {
		return 0
	}
	if !candidate.Near {
		cost *= c.options.FarCost
	}
	return math.Pow(cost, -c.options.Sharpness)
}

// Outcome is what became of one request at a target.
type Outcome struct {
	Fault clementineport.Fault
	// OK means that the target answered the request.
	OK bool
	// Failed means that the target answered with a failure of its own.
	Failed  bool
	Elapsed time.Duration
	// Usual is how long targets of the service usually take for such a request.
	Usual time.Duration
}
