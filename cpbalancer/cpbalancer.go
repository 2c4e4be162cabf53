// Package cpbalancer tracks the latency, failures and load of targets from the responses to one VM, and chooses targets
// for requests. It performs no I/O; the current time and the random seed are passed in.
package cpbalancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
)

// Candidate is a target that may be chosen.
type Candidate struct {
	Target *Target
	// SameDomain is true if the target is in the failure domain of this VM.
	SameDomain bool
	// InFlightLimit is the maximum number of requests that this VM may have in flight to the target; zero means no
	// limit.
	InFlightLimit int
	// Limited is true while the target states how many requests a second it takes from all VMs together, which is Limit.
	Limited bool
	Limit   clementineport.RequestRate
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

// Request holds the parameters of a choice.
type Request struct {
	// TypicalLatency is the typical latency of the service's targets, or zero if it is not known.
	TypicalLatency time.Duration
	// VMs is the number of VMs that send to the targets.
	VMs int
	// Senders is the number of VMs that share the limits of targets. It is VMs or, if this VM has not reached all others,
	// more.
	Senders int
	// Excluded reports whether a target must not be chosen.
	Excluded func(*Target) bool
	// PickBest chooses the target with the lowest expected latency instead of a random one. It is meant for hedges and
	// retries, which are too few to probe targets with.
	PickBest bool
	// FreeSlotOnly excludes targets without a free slot, as estimated from the requests of this VM. It is meant for
	// hedges and for requests past their objective, which should not make other requests wait.
	FreeSlotOnly bool
}

// Choose returns a target, or nil if none can be chosen now. If it returns nil, busy reports whether a target is eligible
// but at a limit or without a free slot. The choice is random: the weight of a target falls with a power of its expected
// latency, so that a slow target still gets a request now and then.
func (c *Chooser) Choose(now time.Time, candidates []Candidate, r *Request) (_ *Target, busy bool) {
	i, busy := c.choose(now, candidates, r)
	if i < 0 {
		return nil, busy
	}
	t := candidates[i].Target
	t.takeShare(now)
	return t, false
}

// choose returns the index of the chosen candidate, or -1.
func (c *Chooser) choose(now time.Time, candidates []Candidate, r *Request) (_ int, busy bool) {
	c.weights = c.weights[:0]
	total, best := 0.0, -1
	for i := range candidates {
		w, full := c.weight(now, &candidates[i], r)
		busy = busy || full
		total += w
		c.weights = append(c.weights, w)
		if w > 0 && (best < 0 || w > c.weights[best]) {
			best = i
		}
	}
	if best < 0 {
		return -1, busy
	}
	if r.PickBest {
		return best, false
	}
	point := c.random.Float64() * total
	for i, w := range c.weights {
		if point -= w; point < 0 {
			return i, false
		}
	}
	return best, false // rounding errors can leave point beyond the sum of all weights
}

// ExpectedLatency returns the lowest expected latency of the candidates. It is zero if a candidate has a free slot, as
// estimated from the requests of this VM, or if none is eligible.
func ExpectedLatency(now time.Time, candidates []Candidate, r *Request) time.Duration {
	lowest, found := time.Duration(0), false
	for i := range candidates {
		if expected, ok := candidates[i].Target.expectedLatency(now, r.TypicalLatency, r.VMs); ok && (!found || expected < lowest) {
			lowest, found = expected, true
		}
	}
	return lowest
}

// weight returns the weight of a candidate in the random choice; zero excludes it. full is true if the candidate is
// eligible but at its limit or without a free slot.
func (c *Chooser) weight(now time.Time, candidate *Candidate, r *Request) (_ float64, full bool) {
	t := candidate.Target
	if r.Excluded != nil && r.Excluded(t) {
		return 0, false
	}
	cost := t.Cost(now, r.TypicalLatency, r.VMs)
	if math.IsInf(cost, 1) {
		return 0, false
	}
	if c.withheld(now, candidate, r) {
		return 0, true
	}
	inFlight := t.InFlight()
	if candidate.InFlightLimit > 0 && inFlight >= candidate.InFlightLimit || r.FreeSlotOnly && inFlight*max(r.VMs, 1) >= max(t.Slots, 1) {
		return 0, true
	}
	if !candidate.SameDomain {
		cost += c.options.CrossDomainCost
	}
	return math.Pow(cost, -c.options.LatencyExponent), false
}

// Outcome is the outcome of one request to a target.
type Outcome struct {
	Fault clementineport.Fault
	// OK is true if the target answered the request.
	OK bool
	// Failed is true if the target responded with a failure of its own.
	Failed  bool
	Elapsed time.Duration
	// TypicalLatency is the typical latency of the service's targets for such a request.
	TypicalLatency time.Duration
	// VMs is the number of VMs that send to the target.
	VMs int
}
