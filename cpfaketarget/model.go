package cpfaketarget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// model is the state of one target, independent of the network. It is guarded by the mutex of the Target.
type model struct {
	opts             Options
	rand             *rand.Rand
	starts           int
	start            clementineport.StartID
	snapshots        []clementineport.Snapshot
	slowFactor       float64
	concurrencyLimit int
	completedAtLimit int
	running          int
	waiting          int
	// drainStart is when the drain began; zero means that the target is not draining.
	drainStart time.Time
	stats      Stats
}

func newModel(o Options) *model {
	m := &model{
		opts:       o,
		rand:       rand.New(rand.NewPCG(o.Seed, o.Seed)),
		snapshots:  slices.Clone(o.Held),
		slowFactor: 1,
	}
	m.stats.reset()
	m.restart(o.ColdStep > 0)
	return m
}

// restart resets the state for a new start of the target, with a new start id.
func (m *model) restart(cold bool) {
	m.starts++
	m.start = clementineport.StartID(fmt.Sprintf("%08x-%d", m.opts.Seed, m.starts))
	m.concurrencyLimit, m.completedAtLimit = m.opts.Slots, 0
	if cold {
		m.concurrencyLimit = 1
	}
	m.running, m.waiting = 0, 0
	m.drainStart = time.Time{}
}

func (m *model) cold() bool { return m.concurrencyLimit < m.opts.Slots }

// overloaded reports whether a cold target has more calls in progress than its concurrency limit.
func (m *model) overloaded() bool {
	return m.cold() && m.running+m.waiting > m.concurrencyLimit
}

func (m *model) signals() clementineport.Signals {
	return clementineport.Signals{
		Start:    m.start,
		InFlight: m.running + m.waiting,
		Held:     m.snapshots,
		Draining: !m.drainStart.IsZero(),
		Cold:     m.cold(),
	}
}

// admit accepts a call or returns the reason for refusing it.
func (m *model) admit(now time.Time, s clementineport.Snapshot) error {
	m.stats.Calls++
	m.stats.LastCall = now
	if !m.drainStart.IsZero() {
		m.stats.observeDrain(now.Sub(m.drainStart))
		return clementineport.Fail(clementineport.FaultDraining, "draining")
	}
	if !slices.Contains(m.snapshots, s) {
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

// randomServiceTime returns a random service time for one call.
func (m *model) randomServiceTime() time.Duration {
	factor := 1 + m.opts.Spread*(2*m.rand.Float64()-1)
	if m.rand.Float64() < m.opts.StragglerShare {
		factor *= m.opts.StragglerFactor
		m.stats.Stragglers++
	}
	if m.cold() && m.opts.Slots > 1 {
		coldness := float64(m.opts.Slots-m.concurrencyLimit) / float64(m.opts.Slots-1)
		factor *= 1 + (m.opts.ColdFactor-1)*coldness
	}
	return time.Duration(factor * m.slowFactor * float64(m.opts.ServiceTime))
}

// recordCompleted records a completed call. While the target is cold, its concurrency limit grows by one after every
// ColdStep completed calls.
func (m *model) recordCompleted() {
	m.stats.Completed++
	if !m.cold() {
		return
	}
	m.completedAtLimit++
	if m.completedAtLimit >= m.opts.ColdStep {
		m.completedAtLimit = 0
		m.concurrencyLimit++
	}
}
