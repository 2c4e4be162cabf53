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
	return m.outstanding == 0 || m.hopeless() && m.idle() || m.at >= m.closing()
}

// hopeless reports whether the service refuses every answer that can still be reached.
func (m *Machine) hopeless() bool {
	return m.plan.Service.Service.BelowLeast == clementineport.BelowRefuse && m.covered+m.outstanding < m.least
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
	tail := m.plan.Service.Service.Prefer == clementineport.PreferTail
	if tail && m.covered > 0 && m.covered >= m.least && m.plan.Query.Idempotent {
		return min(m.cutAt, m.closeAt)
	}
	return m.closeAt
}

func (m *Machine) finish() {
	m.finished = true
	m.closed = m.at
	for i := range m.shards {
		if sh := &m.shards[i]; !sh.final {
			sh.state, sh.fault = m.lateState(sh)
		}
	}
	m.actions = append(m.actions, Action{Kind: Finish})
}

func (m *Machine) lateState(sh *shard) (clementineport.ShardState, clementineport.Fault) {
	if sh.open == 0 {
		return missingState(sh.fault), sh.fault
	}
	if m.at < m.closing() {
		return clementineport.ShardLate, clementineport.FaultCanceled
	}
	return clementineport.ShardLate, clementineport.FaultTimeout
}

// Answer returns the answer with what it covers; an answer that Err refuses has no hits.
func (m *Machine) Answer() *clementineport.Answer {
	m.stats.Calls = m.attempts.Calls()
	a := &clementineport.Answer{
		Request:  m.plan.Query.Request,
		Snapshot: m.plan.Choice.Snapshot,
		Shards:   len(m.shards),
		Complete: m.covered == len(m.shards) && m.covered > 0,
		Verdict:  m.verdict(),
		Stats:    m.stats,
	}
	a.Covered = make([]clementineport.ShardID, 0, m.covered)
	for i := range m.shards {
		id, sh := clementineport.ShardID(i), &m.shards[i]
		if sh.state.Covered() {
			a.Covered = append(a.Covered, id)
			continue
		}
		a.Missing = append(a.Missing, clementineport.MissingShard{Shard: id, State: sh.state, Fault: sh.fault})
	}
	if !m.refused() {
		a.Hits = m.hits.Hits()
	}
	return a
}

// refused reports whether the answer is not to be given.
func (m *Machine) refused() bool {
	if m.covered == 0 || m.aborted != clementineport.FaultUnknown {
		return true
	}
	return m.covered < m.least && m.plan.Service.Service.BelowLeast == clementineport.BelowRefuse
}

// verdict returns NotRun only if every attempt is proven not to have run, and Ran only if the whole query ran
// or, for an idempotent query, if a part of it did.
func (m *Machine) verdict() clementineport.Verdict {
	switch {
	case m.covered == len(m.shards) && m.covered > 0:
		return clementineport.Ran
	case m.covered > 0 && m.plan.Query.Idempotent:
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
	err := &clementineport.Error{Fault: m.refusalFault(), RetryAfter: m.retryAfter}
	err.Reason = clementineport.Fail(err.Fault, "%d of %d shards are covered and %d are needed",
		m.covered, len(m.shards), m.least).Reason
	return err
}

func (m *Machine) refusalFault() clementineport.Fault {
	if m.verdict() == clementineport.NotRun {
		for i := range m.shards {
			if m.shards[i].fault == clementineport.FaultShed {
				return clementineport.FaultShed
			}
		}
		return clementineport.FaultUnavailable
	}
	if m.aborted != clementineport.FaultUnknown {
		return m.aborted
	}
	for i := range m.shards {
		if m.shards[i].fault == clementineport.FaultTimeout {
			return clementineport.FaultTimeout
		}
	}
	return clementineport.FaultCoverage
}
