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

// failed ends an attempt and retries its shard or gives it up.
func (m *Machine) failed(a *cpattempt.Attempt, err error) {
	sh := &m.shards[a.Shard]
	if a.End == cpattempt.Open {
		sh.open--
	}
	a.End = cpattempt.Failed
	a.Fault = clementineport.FaultOf(err)
	m.coverage.RecordFault(a.Shard, a.Fault)
	m.overloaded = m.overloaded || cpretry.IsOverload(a.Fault)
	sh.mayHaveRun = sh.mayHaveRun || a.Fault.Verdict() != clementineport.NotRun
	if e, ok := errors.AsType[*clementineport.Error](err); ok {
		m.retryAfter = max(m.retryAfter, e.RetryAfter)
		sh.retryAfter = e.RetryAfter
	}
	if m.coverage.Settled(a.Shard) || sh.open > 0 {
		return
	}
	if m.mayRetry(sh, a.Fault) {
		m.retry(a.Shard)
		return
	}
	m.giveUp(a.Shard)
}

// mayRetry reports whether another call may be made for a shard that has none in progress.
func (m *Machine) mayRetry(sh *shard, fault clementineport.Fault) bool {
	if m.at >= m.times.Close || m.coverage.RefusalCertain() || !m.opts.Retry.Allows(fault, sh.retries) {
		return false
	}
	return m.plan.Query.Idempotent || !sh.mayHaveRun || m.opts.off(CheckVerdict)
}

// retry sends a call to another target, or waits when all have been tried and one may be asked again.
func (m *Machine) retry(s clementineport.ShardID) {
	sh, fault := &m.shards[s], m.coverage.Fault(s)
	t, ok := m.pickTarget(s)
	switch {
	case ok && m.opts.Retry.Spend(fault):
		m.sendRetry(s, t)
		return
	case ok && !cpretry.IsTargetFull(fault), !m.held(s):
		m.giveUp(s)
		return
	}
	delay := m.opts.Retry.Delay(sh.retries, sh.retryAfter)
	if m.at+delay > m.times.RetryUntil {
		m.giveUp(s)
		return
	}
	sh.retryAt = m.at + delay
	sh.triedFrom = int32(m.attempts.Len())
	m.retryAt = min(m.retryAt, sh.retryAt)
}

func (m *Machine) sendRetry(s clementineport.ShardID, t clementineport.TargetIndex) {
	sh := &m.shards[s]
	if !m.plan.View.Usable(t, m.now) {
		m.giveUp(s)
		return
	}
	sh.retries = min(sh.retries+1, math.MaxUint8-1)
	if m.coverage.Fault(s).Verdict() == clementineport.NotRun {
		m.stats.Resends++
	} else {
		m.stats.Retries++
	}
	m.send(s, t, cpattempt.Retry)
}

// retryWaiting asks the shards again whose time has come.
func (m *Machine) retryWaiting() {
	m.retryAt = never
	for i := range m.shards {
		sh := &m.shards[i]
		switch {
		case sh.retryAt == 0:
		case sh.retryAt > m.at:
			m.retryAt = min(m.retryAt, sh.retryAt)
		default:
			sh.retryAt = 0
			m.retryNow(clementineport.ShardID(i))
		}
	}
}

// retryNow sends the retry of a shard that has waited. After the refusal of a full target the wait has paid
// for it.
func (m *Machine) retryNow(s clementineport.ShardID) {
	fault := m.coverage.Fault(s)
	if t, ok := m.pickTarget(s); ok && (cpretry.IsTargetFull(fault) || m.opts.Retry.Spend(fault)) {
		m.sendRetry(s, t)
		return
	}
	m.giveUp(s)
}

// held reports whether a usable target may hold the shard in the pinned snapshot.
func (m *Machine) held(s clementineport.ShardID) bool {
	for _, t := range m.layout.Replicas[s] {
		if m.plan.View.Usable(t, m.now) && !m.attempts.RefusedSnapshot(m.shards[s].last, t) &&
			m.plan.View.Holds(t, m.plan.Choice.Snapshot) != clementineport.SnapshotAbsent {
			return true
		}
	}
	return false
}

// giveUp settles a shard as missing.
func (m *Machine) giveUp(s clementineport.ShardID) {
	m.settled(m.coverage.Abandon(s, m.held(s)))
}
