package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
)

// advance restarts, hedges or closes the query when that is due.
func (m *Machine) advance() {
	if m.finished || m.restart() && !m.shouldClose() {
		return
	}
	if m.hedgeAt == 0 {
		m.hedge()
	}
	if m.shouldClose() {
		m.finish()
	}
}

// shouldClose reports whether the answer must be closed now.
func (m *Machine) shouldClose() bool {
	return m.coverage.Outstanding() == 0 || m.coverage.RefusalCertain() && m.verdictFinal() || m.at >= m.closeAt()
}

// verdictFinal reports whether the attempts in flight can no longer change the verdict.
func (m *Machine) verdictFinal() bool {
	if m.plan.Query.Idempotent {
		return true
	}
	for i := range m.shards {
		if m.shards[i].inFlight > 0 {
			return false
		}
	}
	return true
}

// closeAt returns when the answer is closed even if shards are outstanding.
func (m *Machine) closeAt() time.Duration {
	early := m.coverage.Sufficient() && m.plan.Query.Idempotent
	return m.times.CloseAt(m.plan.Service.Service.Prefer, early)
}

func (m *Machine) finish() {
	m.finished = true
	m.closed = m.at
	for i := range m.shards {
		if s := clementineport.ShardID(i); !m.coverage.Settled(s) {
			m.markOutstanding(s)
		}
	}
	m.actions = append(m.actions, Action{Kind: Finish})
}

// markOutstanding sets the state of a shard that is outstanding when the answer is closed.
func (m *Machine) markOutstanding(s clementineport.ShardID) {
	switch {
	case m.shards[s].inFlight == 0:
		m.coverage.MarkMissing(s)
	case m.at < m.closeAt():
		m.coverage.MarkLate(s, clementineport.FaultCanceled)
	default:
		m.coverage.MarkLate(s, clementineport.FaultTimeout)
	}
}

// Answer returns the answer with its coverage. An answer that is refused with an error has no hits.
func (m *Machine) Answer() *clementineport.Answer {
	m.stats.Calls = m.attempts.Calls()
	a := &clementineport.Answer{
		Request:  m.plan.Query.Request,
		Snapshot: m.plan.Choice.Snapshot,
		Verdict:  m.verdict(),
		Stats:    m.stats,
	}
	m.coverage.Fill(a)
	if !m.refused() {
		a.Hits = m.hits.Hits()
	}
	return a
}

// refused reports whether the answer must be refused with an error.
func (m *Machine) refused() bool {
	return m.aborted != clementineport.FaultUnknown || m.coverage.Refused()
}

// verdict returns NotRun only if every attempt is proven not to have run. It returns Ran only if the complete
// query ran or, for an idempotent query, if a part of it did.
func (m *Machine) verdict() clementineport.Verdict {
	switch {
	case m.coverage.Complete():
		return clementineport.Ran
	case m.coverage.Covered() > 0 && m.plan.Query.Idempotent:
		return clementineport.Ran
	case m.attempts.NotRun():
		return clementineport.NotRun
	}
	return clementineport.MayHaveRun
}

// Err returns the error with which the answer is refused, or nil. Its verdict never claims more than that of
// the answer.
func (m *Machine) Err() error {
	if !m.refused() {
		return nil
	}
	return &clementineport.Error{
		Fault:      m.coverage.RefusalFault(m.verdict() == clementineport.NotRun, m.aborted),
		Reason:     m.coverage.Reason(),
		RetryAfter: m.retryAfter,
	}
}
