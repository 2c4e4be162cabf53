package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
	"github.com/clementineport/clementineport/cpsnapshot"
)

// planFirstCalls plans the first calls. If a shard has no target, it tries once to choose a snapshot with more
// coverage.
func (m *Machine) planFirstCalls() {
	unplanned := m.planSnapshot()
	if unplanned == 0 {
		return
	}
	choice, ok := m.opts.Choose(m.plan.Service, m.plan.View, m.now)
	if ok && choice.Coverage() > m.coverage.MaxCoverage() {
		m.withdrawCalls()
		m.plan.Choice = choice
		m.planSnapshot()
	}
	if m.coverage.RefusalCertain() {
		m.withdrawCalls()
	}
}

// planSnapshot picks a target for each shard of the pinned snapshot and returns the number of shards without a
// target.
func (m *Machine) planSnapshot() int {
	choice := &m.plan.Choice
	m.attempts.StartEpoch()
	m.hedgeAt, m.retryAt = never, never
	m.hits.Reset()
	m.pick.Snapshot, m.pick.Home = choice.Snapshot, m.plan.Home
	m.shards = m.shards[:0]
	// The choice may come from another revision, whose target indexes differ.
	m.layout = m.plan.Service.Layout(choice.Snapshot.Layout)
	n := 0
	if m.layout != nil {
		n = len(m.layout.Replicas)
	}
	m.coverage.Reset(&m.plan.Service.Service, n)
	if cap(m.shards) < n {
		m.shards = make([]shard, 0, n)
		m.attempts.Grow(n + n/spareAttemptDivisor + 1)
		m.actions = append(make([]Action, 0, n+1), m.actions...)
	}
	m.tailSize = m.opts.Hedge.TailSize(n)
	unplanned := 0
	for s := range clementineport.ShardID(n) {
		m.shards = append(m.shards, shard{last: cpattempt.NoAttempt})
		if !m.sendFirst(s) {
			unplanned++
		}
	}
	m.opts.Hedge.Earn(n - unplanned)
	m.opts.Retry.Earn(n - unplanned)
	return unplanned
}

func (m *Machine) sendFirst(s clementineport.ShardID) bool {
	t, ok := m.pickTarget(s)
	if !ok {
		m.shardSettled(m.coverage.MarkUnplanned(s))
		return false
	}
	m.send(s, t, cpattempt.First)
	return true
}

// pickTarget picks a usable target that has not been tried for the shard.
func (m *Machine) pickTarget(s clementineport.ShardID) (clementineport.TargetIndex, bool) {
	sh := &m.shards[s]
	m.tried = m.attempts.Tried(m.tried[:0], sh.last, sh.triedFrom)
	m.pick.Replicas, m.pick.Tried = m.layout.Replicas[s], m.tried
	return m.plan.View.Pick(&m.pick)
}

// withdrawCalls withdraws the planned calls that have not been sent.
func (m *Machine) withdrawCalls() {
	for i := m.attempts.Epoch(); int(i) < m.attempts.Len(); i++ {
		a := m.attempts.At(i)
		a.End = cpattempt.Withdrawn
		m.shards[a.Shard].inFlight--
		m.plan.View.Observe(a.Target, m.now, &clementineport.CallResult{
			Attempt: cpattempt.ID(i), Shard: a.Shard, Err: errWithdrawn,
		})
	}
	m.actions = m.actions[:0]
}

// restart restarts the query on another snapshot when shards are lost and the service prefers the answer that
// the other snapshot allows. It reports whether it has restarted the query.
func (m *Machine) restart() bool {
	if !m.plan.Query.Idempotent || m.coverage.Lost() == 0 || m.stats.Restarts >= m.opts.MaxRestarts {
		return false
	}
	if m.at < m.replanAt && m.coverage.Outstanding() > 0 && !m.coverage.RefusalCertain() {
		return false
	}
	m.replanAt = m.at + m.opts.ReplanInterval
	if m.at+restartCallTimes*m.slowestTarget() >= m.times.Close {
		return false
	}
	choice, ok := m.opts.Choose(m.plan.Service, m.plan.View, m.now, m.plan.Choice.Snapshot)
	if !ok || !m.prefersRestart(&choice) {
		return false
	}
	for i := m.attempts.Epoch(); int(i) < m.attempts.Len(); i++ {
		if m.attempts.At(i).End == cpattempt.Open {
			m.cancel(i)
		}
	}
	m.stats.Restarts++
	m.plan.Choice = choice
	m.planSnapshot()
	return true
}

// slowestTarget returns the longest hedge delay of the targets called since the last restart.
func (m *Machine) slowestTarget() time.Duration {
	var d time.Duration
	for _, a := range m.attempts.Current() {
		d = max(d, m.plan.View.HedgeAfter(a.Target))
	}
	return d
}

// prefersRestart reports whether the service prefers a restart on the choice to the answer that the pinned
// snapshot still allows.
func (m *Machine) prefersRestart(choice *cpsnapshot.Choice) bool {
	if choice.Coverage() <= m.coverage.MaxCoverage() {
		return false
	}
	return m.plan.Service.Service.Prefer == clementineport.PreferCoverage || m.coverage.LeastUnreachable()
}
