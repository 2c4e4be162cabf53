package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Send sends a call.
	Send ActionKind = iota
	// Cancel cancels an attempt whose result is no longer needed.
	Cancel
	// Finish closes the answer; no attempt is needed any more.
	Finish
)

// Action is an instruction of a Machine to its adapter.
type Action struct {
	Kind    ActionKind
	Try     cpattempt.Try
	Attempt clementineport.AttemptID
	Shard   clementineport.ShardID
	Target  clementineport.TargetIndex
}

// shard is the state of the attempts on one shard.
type shard struct {
	inFlight uint8
	hedges   uint8
	retries  uint8
	// mayHaveRun is true when an attempt has ended without proof that it did not run.
	mayHaveRun bool
	// last is the index of the newest attempt; Attempt.Prev links to earlier ones.
	last int32
	// triedFrom is the index of the first attempt whose target must not be called again.
	triedFrom int32
	// retryAt is the time of the next retry, or zero if none is scheduled.
	retryAt time.Duration
	// retryAfter is the delay that the last refusal asked for.
	retryAfter time.Duration
}

// Call returns the call of a Send action.
func (m *Machine) Call(a Action) clementineport.Call {
	q, service := m.plan.Query, &m.plan.Service.Service
	return clementineport.Call{
		Request:    q.Request,
		Attempt:    a.Attempt,
		Service:    service.Name,
		Class:      service.Class,
		Index:      service.Index,
		Shard:      a.Shard,
		Target:     m.plan.Targets[a.Target].ID,
		Snapshot:   m.plan.Choice.Snapshot,
		Text:       q.Text,
		Limit:      q.Limit,
		Deadline:   m.start.Add(m.times.Close),
		Idempotent: q.Idempotent,
	}
}

// send records a new attempt and the action that sends it.
func (m *Machine) send(s clementineport.ShardID, t clementineport.TargetIndex, try cpattempt.Try) {
	sh := &m.shards[s]
	i := m.attempts.Add(cpattempt.Attempt{Shard: s, Target: t, Prev: sh.last, Try: try, Sent: m.at})
	m.plan.View.Sent(t)
	sh.last = i
	sh.inFlight++
	m.actions = append(m.actions, Action{Kind: Send, Try: try, Attempt: cpattempt.ID(i), Shard: s, Target: t})
	if try != cpattempt.First || m.hedgeAt == never {
		// Until the first check for stragglers, the hedge delay of the first target stands for all targets.
		m.hedgeAt = min(m.hedgeAt, m.hedgeDue(m.attempts.At(i)))
	}
}
