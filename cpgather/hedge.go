package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
)

// hedge sends additional calls for the shards whose calls are stragglers.
func (m *Machine) hedge() {
	m.hedgeAt = never
	if !m.canHedge() {
		return
	}
	suppressed := m.overloaded || m.opts.Hedge.Suppressed()
	for i := range m.shards {
		sh := &m.shards[i]
		if m.coverage.Settled(clementineport.ShardID(i)) || sh.inFlight == 0 || int(sh.hedges) >= m.opts.Hedge.MaxPerShard {
			continue
		}
		due := m.hedgeDue(m.attempts.At(sh.last))
		if due > m.at {
			m.hedgeAt = min(m.hedgeAt, due)
			continue
		}
		hedges := sh.hedges
		suppressed = suppressed || !m.sendHedge(clementineport.ShardID(i))
		if sh.hedges == hedges {
			m.hedgeAt = min(m.hedgeAt, m.at+m.opts.Hedge.RetryDelay)
		}
	}
}

func (m *Machine) canHedge() bool { return m.plan.Query.Idempotent && m.opts.Hedge.Budget != nil }

// hedgeDue returns when an attempt counts as a straggler.
func (m *Machine) hedgeDue(a *cpattempt.Attempt) time.Duration {
	return a.Sent + m.opts.Hedge.Delay(m.plan.View.HedgeAfter(a.Target), m.coverage.Outstanding() <= m.tailSize)
}

// sendHedge sends a hedge if a target is available. It returns false if the budget is exhausted.
func (m *Machine) sendHedge(s clementineport.ShardID) bool {
	sh := &m.shards[s]
	t, ok := m.pickTarget(s)
	if !ok || !m.plan.View.Usable(t, m.now) {
		return true
	}
	if !m.opts.Hedge.Budget.Spend() {
		return false
	}
	sh.hedges++
	m.stats.Hedges++
	m.send(s, t, cpattempt.Hedge)
	return true
}
