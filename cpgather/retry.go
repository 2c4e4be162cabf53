package cpgather

import (
	"errors"
	"math"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
	"github.com/clementineport/clementineport/cpretry"
)

var (
	errNoReply    = clementineport.Fail(clementineport.FaultUnknown, "a result without reply or error")
	errMismatched = clementineport.Fail(clementineport.FaultMismatched, "the reply has another shard or snapshot")
	errWithdrawn  = clementineport.Fail(clementineport.FaultCanceled, "the call was planned and not sent")
)

// handleFailure ends an attempt and retries or abandons its shard.
func (m *Machine) handleFailure(a *cpattempt.Attempt, err error) {
	sh := &m.shards[a.Shard]
	if a.End == cpattempt.Open {
		sh.inFlight--
	}
	a.End = cpattempt.Failed
	a.Fault = clementineport.FaultOf(err)
	m.coverage.SetFault(a.Shard, a.Fault)
	m.overloaded = m.overloaded || cpretry.IsOverload(a.Fault)
	sh.mayHaveRun = sh.mayHaveRun || a.Fault.Verdict() != clementineport.NotRun
	if e, ok := errors.AsType[*clementineport.Error](err); ok {
		m.retryAfter = max(m.retryAfter, e.RetryAfter)
		sh.retryAfter = e.RetryAfter
	}
	if m.coverage.Settled(a.Shard) || sh.inFlight > 0 {
		return
	}
	if m.canRetry(sh, a.Fault) {
		m.retry(a.Shard)
		return
	}
	m.abandon(a.Shard)
}

// canRetry reports whether another call may be sent for a shard without a call in flight.
func (m *Machine) canRetry(sh *shard, fault clementineport.Fault) bool {
	if m.at >= m.times.Close || m.coverage.RefusalCertain() || !m.opts.Retry.Allows(fault, sh.retries) {
		return false
	}
	return m.plan.Query.Idempotent || !sh.mayHaveRun || m.opts.disabled(CheckVerdict)
}

// retry sends a call to another target. If all targets have been tried and one may be called again, it schedules
// the retry after a backoff.
func (m *Machine) retry(s clementineport.ShardID) {
	sh, fault := &m.shards[s], m.coverage.Fault(s)
	t, ok := m.pickTarget(s)
	switch {
	case ok && m.opts.Retry.Spend(fault):
		m.sendRetry(s, t)
		return
	case ok && !cpretry.IsTargetFull(fault), !m.hasHolder(s):
		m.abandon(s)
		return
	}
	delay := m.opts.Retry.Delay(sh.retries, sh.retryAfter)
	if m.at+delay > m.times.RetryUntil {
		m.abandon(s)
		return
	}
	sh.retryAt = m.at + delay
	sh.triedFrom = int32(m.attempts.Len())
	m.retryAt = min(m.retryAt, sh.retryAt)
}

func (m *Machine) sendRetry(s clementineport.ShardID, t clementineport.TargetIndex) {
	sh := &m.shards[s]
	if !m.plan.View.Usable(t, m.now) {
		m.abandon(s)
		return
	}
	// The count stops below its maximum, because retries after the refusal of a full target are not limited.
	sh.retries = min(sh.retries+1, math.MaxUint8-1)
	if m.coverage.Fault(s).Verdict() == clementineport.NotRun {
		m.stats.Resends++
	} else {
		m.stats.Retries++
	}
	m.send(s, t, cpattempt.Retry)
}

// retryDue retries the shards whose backoff has elapsed.
func (m *Machine) retryDue() {
	m.retryAt = never
	for i := range m.shards {
		sh := &m.shards[i]
		switch {
		case sh.retryAt == 0:
		case sh.retryAt > m.at:
			m.retryAt = min(m.retryAt, sh.retryAt)
		default:
			sh.retryAt = 0
			m.retryShard(clementineport.ShardID(i))
		}
	}
}

// retryShard sends the retry of a shard whose backoff has elapsed. A retry after the refusal of a full target is
// not charged to the budget, because the backoff already limits the load.
func (m *Machine) retryShard(s clementineport.ShardID) {
	fault := m.coverage.Fault(s)
	if t, ok := m.pickTarget(s); ok && (cpretry.IsTargetFull(fault) || m.opts.Retry.Spend(fault)) {
		m.sendRetry(s, t)
		return
	}
	m.abandon(s)
}

// hasHolder reports whether any usable target may hold the shard in the pinned snapshot.
func (m *Machine) hasHolder(s clementineport.ShardID) bool {
	for _, t := range m.layout.Replicas[s] {
		if m.plan.View.Usable(t, m.now) && !m.attempts.RefusedSnapshot(m.shards[s].last, t) &&
			m.plan.View.Holds(t, m.plan.Choice.Snapshot) != clementineport.SnapshotAbsent {
			return true
		}
	}
	return false
}

// abandon settles a shard as missing, without further calls.
func (m *Machine) abandon(s clementineport.ShardID) {
	m.shardSettled(m.coverage.Abandon(s, m.hasHolder(s)))
}
