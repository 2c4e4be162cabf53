package cpfaketarget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// model is the state of one target without a network; the Searcher guards it by a mutex.
type model struct {
	opts    Options
	rng     *rand.Rand
	starts  int
	start   clementineport.StartID
	held    []clementineport.Snapshot
	slow    float64
	level   int
	worked  int
	running int
	waiting int
	// drained is when the drain began; zero means that the target is not draining.
	drained time.Time
	stats   Stats
}

func newModel(o Options) *model {
	m := &model{
		opts: o,
		rng:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
		held: slices.Clone(o.Held),
		slow: 1,
	}
	m.stats.reset()
	m.restart(o.ColdStep > 0)
	return m
}

// restart begins a new life of the target.
func (m *model) restart(cold bool) {
	m.starts++
	m.start = clementineport.StartID(fmt.Sprintf("%08x-%d", m.opts.Seed, m.starts))
	m.level, m.worked = m.opts.Slots, 0
	if cold {
		m.level = 1
	}
	m.running, m.waiting = 0, 0
	m.drained = time.Time{}
}

func (m *model) cold() bool { return m.level < m.opts.Slots }

// overloaded reports whether the calls in progress are more than a cold target bears.
func (m *model) overloaded() bool {
	return m.cold() && m.running+m.waiting > m.level
}

func (m *model) signals() clementineport.Signals {
	return clementineport.Signals{
		Start:    m.start,
		InFlight: m.running + m.waiting,
		Held:     m.held,
		Draining: !m.drained.IsZero(),
		Cold:     m.cold(),
	}
}

// admit accepts a call or says why it is refused.
func (m *model) admit(now time.Time, s clementineport.Snapshot) error {
	m.stats.Calls++
	m.stats.LastCall = now
	if !m.drained.IsZero() {
		m.stats.observeDrain(now.Sub(m.drained))
		return clementineport.Fail(clementineport.FaultDraining, "draining")
	}
	if !slices.Contains(m.held, s) {
		m.stats.WrongSnapshot++
		return clementineport.Fail(clementineport.FaultSnapshot, "%v is not held", s)
	}
	if m.running+m.waiting >= m.opts.Slots+m.opts.Queue {
		m.stats.Shed++
		return &clementineport.Error{
			Fault: clementineport.FaultShed, Reason: "queue is full", RetryAfter: m.opts.ServiceTime,
		}
	}
	m.waiting++
	m.stats.PeakInFlight = max(m.stats.PeakInFlight, m.running+m.waiting)
	return nil
}

// serviceTime draws the time of one call.
func (m *model) serviceTime() time.Duration {
	f := 1 + m.opts.Spread*(2*m.rng.Float64()-1)
	if m.rng.Float64() < m.opts.StragglerShare {
		f *= m.opts.StragglerFactor
		m.stats.Stragglers++
	}
	if m.cold() && m.opts.Slots > 1 {
		missing := float64(m.opts.Slots-m.level) / float64(m.opts.Slots-1)
		f *= 1 + (m.opts.ColdFactor-1)*missing
	}
	return time.Duration(f * m.slow * float64(m.opts.ServiceTime))
}

// done counts a call that was run to its end.
func (m *model) done() {
	m.stats.Completed++
	if !m.cold() {
		return
	}
	m.worked++
	if m.worked >= m.opts.ColdStep {
		m.worked = 0
		m.level++
	}
}
