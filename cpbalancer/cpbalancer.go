// Package cpbalancer keeps what the responses of targets show and chooses a target for a request. It sends nothing;
// the time and the source of chance are passed in.
package cpbalancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
)

// Candidate is a target with the state that the choice reads.
type Candidate struct {
	Target *Target
	// SameDomain is true when the target is in the failure domain of this VM.
	SameDomain bool
	// InFlightLimit is the number of requests that this VM may have on their way to the target.
	InFlightLimit int
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
	// TypicalLatency is how long targets of the service usually take, or zero if that is not known.
	TypicalLatency time.Duration
	// VMs is the number of VMs that send to the targets.
	VMs int
	// Excluded reports targets that must not be chosen.
	Excluded func(*Target) bool
	// PickBest takes the target that is expected to answer soonest. It is for calls beyond the first one, of which
	// there are too few to find out about targets with them.
	PickBest bool
	// FreeSlotOnly leaves out targets whose slots are in use, as far as the requests of this VM tell: a second call beside one
	// that is slow, or one of a request that is late, would make others wait.
	FreeSlotOnly bool
}

// Choose returns a target, or nil when none is usable now; busy tells that one is usable but for its limit. Targets
// that are expected to answer sooner are chosen more often, by a power of the expected time, so that a slow one is
// still asked now and then.
func (c *Chooser) Choose(now time.Time, candidates []Candidate, r *Request) (_ *Target, busy bool) {
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
		return nil, busy
	}
	if r.PickBest {
		return candidates[best].Target, false
	}
	point := c.random.Float64() * total
	for i, w := range c.weights {
		if point -= w; point < 0 {
			return candidates[i].Target, false
		}
	}
	return candidates[best].Target, false // rounding left the point beyond all weights
}

// ExpectedLatency returns how long the candidate that would probably answer first takes. It is zero when one has free slots, as
// far as the requests of this VM tell, or none may be asked.
func ExpectedLatency(now time.Time, candidates []Candidate, r *Request) time.Duration {
	least, found := time.Duration(0), false
	for i := range candidates {
		if expected, ok := candidates[i].Target.expected(now, r.TypicalLatency, r.VMs); ok && (!found || expected < least) {
			least, found = expected, true
		}
	}
	return least
}

// weight returns how often a candidate is chosen in proportion to others; zero means never. A candidate that is full
// could be chosen but for its limit.
func (c *Chooser) weight(now time.Time, candidate *Candidate, r *Request) (_ float64, full bool) {
	t := candidate.Target
	if r.Excluded != nil && r.Excluded(t) {
		return 0, false
	}
	cost := t.Cost(now, r.TypicalLatency, r.VMs)
	if math.IsInf(cost, 1) {
		return 0, false
	}
	inFlight := t.InFlight()
	if candidate.InFlightLimit > 0 && inFlight >= candidate.InFlightLimit || r.FreeSlotOnly && inFlight*max(r.VMs, 1) >= max(t.Slots, 1) {
		return 0, true
	}
	if !candidate.SameDomain {
		cost += c.options.CrossDomainFactor
	}
	return math.Pow(cost, -c.options.LatencyExponent), false
}

// Outcome is what became of one request at a target.
type Outcome struct {
	Fault clementineport.Fault
	// OK means that the target answered the request.
	OK bool
	// Failed means that the target answered with a failure of its own.
	Failed  bool
	Elapsed time.Duration
	// TypicalLatency is how long targets of the service usually take for such a request.
	TypicalLatency time.Duration
	// VMs is the number of VMs that send to the target.
	VMs int
}
