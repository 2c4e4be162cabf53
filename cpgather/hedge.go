package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
)

// hedge sends second calls beside the stragglers that hold the query up.
func (m *Machine) hedge(now time.Time) {
	m.hedgeAt = never
	if !m.mayHedge() {
		return
	}
	at := now.Sub(m.start)
	off := m.opts.HedgeOff != nil && m.opts.HedgeOff()
	for i := range m.shards {
		sh := &m.shards[i]
		if sh.final || sh.open == 0 || int(sh.hedges) >= m.opts.MaxHedges {
			continue
		}
		due := m.hedgeDue(&m.attempts[sh.last])
		if due > at {
			m.hedgeAt = min(m.hedgeAt, due)
			continue
		}
		off = off || !m.sendHedge(now, clementineport.ShardID(i))
		if off {
			m.hedgeAt = min(m.hedgeAt, at+m.opts.Recheck)
		}
	}
}

func (m *Machine) mayHedge() bool { return m.plan.Query.Idempotent && m.opts.HedgeBudget != nil }

// hedgeDue returns when an attempt counts as a straggler that holds the query up: after its target's usual
// time when few shards are outstanding, and after twice that time whatever the others do.
func (m *Machine) hedgeDue(a *attempt) time.Duration {
	if m.outstanding <= m.few {
		return a.sent + a.after
	}
	return a.sent + projectedShare*a.after
}

// sendHedge sends a hedge, or reports that the budget has none left.
func (m *Machine) sendHedge(now time.Time, s clementineport.ShardID) bool {
	sh := &m.shards[s]
	t, ok := m.pickTarget(now, s)
	if !ok || !m.plan.View.Usable(t, now) {
		sh.hedges = uint8(m.opts.MaxHedges)
		return true
	}
	if !m.opts.HedgeBudget.Spend() {
		return false
	}
	sh.hedges++
	m.stats.Hedges++
	m.send(now, s, t, Hedge)
	return true
}
