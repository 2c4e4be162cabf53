package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
)

// settle restarts or closes the query when that is due.
func (m *Machine) settle() {
	if m.finished || m.restart() && !m.done() {
		return
	}
	if m.hedgeAt == 0 {
		m.hedge()
	}
	if m.done() {
		m.finish()
	}
}

// done reports whether the answer is to be closed.
func (m *Machine) done() bool {
	return m.coverage.Outstanding() == 0 || m.coverage.RefusalCertain() && m.idle() || m.at >= m.closing()
}

// idle reports whether attempts in progress can't change the verdict.
func (m *Machine) idle() bool {
	if m.plan.Query.Idempotent {
		return true
	}
	for i := range m.shards {
		if m.shards[i].open > 0 {
			return false
		}
	}
	return true
}

// closing returns when the answer is closed whatever is outstanding.
func (m *Machine) closing() time.Duration {
	early := m.coverage.Sufficient() && m.plan.Query.Idempotent
	return m.times.CloseAt(m.plan.Service.Service.Prefer, early)
}

func (m *Machine) finish() {
	m.finished = true
	m.closed = m.at
	for i := range m.shards {
		if s := clementineport.ShardID(i); !m.coverage.Settled(s) {
			m.leaveOut(s)
		}
	}
	m.actions = append(m.actions, Action{Kind: Finish})
}

// leaveOut marks a shard that is outstanding when the answer is closed.
func (m *Machine) leaveOut(s clementineport.ShardID) {
	switch {
	case m.shards[s].open == 0:
		m.coverage.MarkMissing(s)
	case m.at < m.closing():
		m.coverage.MarkLate(s, clementineport.FaultCanceled)
	default:
		m.coverage.MarkLate(s, clementineport.FaultTimeout)
	}
}

// Answer returns the answer with what it covers; an answer that Err refuses has no hits.
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

// refused reports whether the answer is not to be given.
func (m *Machine) refused() bool {
	return m.aborted != clementineport.FaultUnknown || m.coverage.Refused()
}

// verdict returns NotRun only if every attempt is proven not to have run, and Ran only if the whole query ran
// or, for an idempotent query, if a part of it did.
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

// Err returns why the answer is refused, or nil. Its verdict is never stronger than that of the answer.
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
