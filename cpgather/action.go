package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
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

// Try says why a call is sent.
type Try uint8

const (
	// First is the first call for a shard.
	First Try = iota
	// Hedge is a second call beside a straggler.
	Hedge
	// Retry is a call after a failed one.
	Retry
)

var tryNames = [...]string{"first", "hedge", "retry"}

// String returns the try as it appears in an explanation.
func (t Try) String() string { return tryNames[t] }

// Action is one thing to do for a query.
type Action struct {
	Kind    ActionKind
	Try     Try
	Attempt clementineport.AttemptID
	Shard   clementineport.ShardID
	Target  clementineport.TargetIndex
}

// ending says how an attempt ended.
type ending uint8

const (
	open ending = iota
	merged
	failed
	cancelled
	withdrawn
)

var endingNames = [...]string{"open", "merged", "failed", "cancelled", "withdrawn"}

// attempt is one call for one shard; times are since the start of the query.
type attempt struct {
	shard  clementineport.ShardID
	target clementineport.TargetIndex
	prev   int32
	try    Try
	end    ending
	fault  clementineport.Fault
	late   bool
	sent   time.Duration
	took   time.Duration
}

// shard is the state of one shard of the query.
type shard struct {
	state   clementineport.ShardState
	fault   clementineport.Fault
	final   bool
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
		Deadline:   m.start.Add(m.closeAt),
		Idempotent: q.Idempotent,
	}
}

// send makes a new attempt.
func (m *Machine) send(s clementineport.ShardID, t clementineport.TargetIndex, try Try) {
	sh := &m.shards[s]
	i := int32(len(m.attempts))
	m.attempts = append(m.attempts, attempt{shard: s, target: t, prev: sh.last, try: try, sent: m.at})
	m.plan.View.Sent(t)
	sh.last = i
	sh.open++
	m.actions = append(m.actions, Action{
		Kind: Send, Try: try, Attempt: clementineport.AttemptID(i + 1), Shard: s, Target: t,
	})
	if try != First || m.hedgeAt == never {
		// The usual time of the first target stands for all until stragglers are looked for.
		m.hedgeAt = min(m.hedgeAt, m.hedgeDue(&m.attempts[i]))
	}
}
