package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
)

// ActionKind says what an Action asks for.
type ActionKind uint8

const (
	// Send asks to send a call.
	Send ActionKind = iota
	// Cancel says that the result of an attempt is no longer needed.
	Cancel
	// Finish says that the answer is closed and no attempt is needed any more.
	Finish
)

// Action is one thing to do for a query.
type Action struct {
	Kind    ActionKind
	Try     cpattempt.Try
	Attempt clementineport.AttemptID
	Shard   clementineport.ShardID
	Target  clementineport.TargetIndex
}

// shard is what the attempts on one shard lead to.
type shard struct {
	open    uint8
	hedges  uint8
	retries uint8
	// mayHaveRun is true when an attempt ended without proof that it did not run.
	mayHaveRun bool
	// last is the newest attempt; earlier ones are linked through prev.
	last int32
	// triedFrom is the first attempt whose target may not be asked again.
	triedFrom int32
	// retryAt is when the shard is asked again; it is zero when no retry is due.
	retryAt time.Duration
	// retryAfter is the time that the last refusal asked to wait.
	retryAfter time.Duration
}

// Call returns the call that a Send action asks for.
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

// send makes a new attempt.
func (m *Machine) send(s clementineport.ShardID, t clementineport.TargetIndex, try cpattempt.Try) {
	sh := &m.shards[s]
	i := m.attempts.Add(cpattempt.Attempt{Shard: s, Target: t, Prev: sh.last, Try: try, Sent: m.at})
	m.plan.View.Sent(t)
	sh.last = i
	sh.open++
	m.actions = append(m.actions, Action{Kind: Send, Try: try, Attempt: cpattempt.ID(i), Shard: s, Target: t})
	if try != cpattempt.First || m.hedgeAt == never {
		// The usual time of the first target stands for all until stragglers are looked for.
		m.hedgeAt = min(m.hedgeAt, m.hedgeDue(m.attempts.At(i)))
	}
}
