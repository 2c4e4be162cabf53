package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
)

// hedge sends second calls beside the stragglers that hold the query up.
func (m *Machine) hedge() {
	m.hedgeAt = never
	if !m.mayHedge() {
		return
	}
	off := m.overloaded || m.opts.Hedge.Suppressed()
	for i := range m.shards {
		sh := &m.shards[i]
		if m.coverage.Settled(clementineport.ShardID(i)) || sh.open == 0 || int(sh.hedges) >= m.opts.Hedge.MaxPerShard {
			continue
		}
		due := m.hedgeDue(m.attempts.At(sh.last))
		if due > m.at {
			m.hedgeAt = min(m.hedgeAt, due)
			continue
		}
		hedges := sh.hedges
		off = off || !m.sendHedge(clementineport.ShardID(i))
		if sh.hedges == hedges {
			m.hedgeAt = min(m.hedgeAt, m.at+m.opts.Hedge.RetryDelay)
		}
	}
}

func (m *Machine) mayHedge() bool { return m.plan.Query.Idempotent && m.opts.Hedge.Budget != nil }

// hedgeDue returns when an attempt counts as a straggler that holds the query up.
func (m *Machine) hedgeDue(a *cpattempt.Attempt) time.Duration {
	return a.Sent + m.opts.Hedge.Delay(m.plan.View.HedgeAfter(a.Target), m.coverage.Outstanding() <= m.few)
}

// sendHedge sends a hedge if there is a target for it, or reports that the budget has none left.
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
