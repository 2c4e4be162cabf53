// Package cpfailover decides to which entry VM a caller sends a request, when it resends it, and with which id. It
// never gives a non-idempotent request a new id after a send that may have run. It does no I/O; the time, the
// entries and the outcomes of sends are passed in.
package cpfailover

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Entry is one entry VM of the entry list.
type Entry struct {
	VM      clementineport.VMID
	Address string
	Domain  clementineport.FailureDomain
	Ticket  string
}

// Defaults of Policy.
const (
	DefaultMaxSends   = 8
	DefaultBackoff    = 5 * time.Millisecond
	DefaultMaxBackoff = 200 * time.Millisecond
	DefaultHedgeShare = 0.6
)

// Policy bounds the sends of one request.
type Policy struct {
	// MaxSends is the maximum number of sends of one request.
	MaxSends int
	// Backoff is the delay before the first resend, without jitter; it doubles with each resend.
	Backoff time.Duration
	// MaxBackoff is the maximum delay before a resend, without jitter.
	MaxBackoff time.Duration
	// HedgeShare is the share of the time left at the start of a send after which the send is hedged if it is
	// unanswered; zero disables hedging.
	HedgeShare float64
	// HedgeAfter, if it is set and shorter, is the time after which an unanswered send is hedged.
	HedgeAfter time.Duration
	// AlwaysNewID gives every resend a new id regardless of the fault, as a baseline for comparisons.
	// It lets a non-idempotent request run twice.
	AlwaysNewID bool
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		MaxSends:   DefaultMaxSends,
		Backoff:    DefaultBackoff,
		MaxBackoff: DefaultMaxBackoff,
		HedgeShare: DefaultHedgeShare,
	}
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionSend sends the request.
	ActionSend ActionKind = iota
	// ActionWait waits for a result or until a time.
	ActionWait
	// ActionFinish ends the request with an error.
	ActionFinish
)

// Action is the next step of a request.
type Action struct {
	Kind    ActionKind
	Entry   Entry
	Request clementineport.RequestID
	// Hedge is true for a second send while the first is unanswered.
	Hedge bool
	Until time.Time
	Err   *clementineport.Error
}

// Request is the state of the sends of one request. It does no I/O and reads no clock.
type Request struct {
	policy     Policy
	idempotent bool
	started    time.Time
	deadline   time.Time
	id         clementineport.RequestID
	newID      func(ticket string) clementineport.RequestID
	jitter     func() float64

	sends     int
	inFlight  int
	unproven  int // sends of the current id that are not proven not to have run
	hedgeAt   time.Time
	notBefore time.Time
	used      map[string]int
	redirect  string
	lastErr   *clementineport.Error
	uncertain *clementineport.Error // the first failure that may have run
	done      bool
}

// NewRequest returns the state of a request before its first send. A query that already has an id may have been
// sent before, so a non-idempotent query keeps that id.
func NewRequest(
	policy Policy, q *clementineport.Query, now time.Time,
	newID func(ticket string) clementineport.RequestID, jitter func() float64,
) *Request {
	r := &Request{
		policy:     policy,
		idempotent: q.Idempotent,
		started:    now,
		deadline:   q.Deadline,
		id:         q.Request,
		newID:      newID,
		jitter:     jitter,
		used:       make(map[string]int),
	}
	if q.Request != "" && !q.Idempotent {
		r.unproven = 1
		r.uncertain = clementineport.Fail(clementineport.FaultDuplicate, "an earlier send may have run")
	}
	return r
}

// Next returns the next action, given the entries in order of preference.
func (r *Request) Next(now time.Time, entries []Entry) Action {
	switch {
	case r.done || !now.Before(r.deadline):
		return r.finish()
	case r.inFlight > 0 && !r.hedgeDue(now):
		return r.waitHedge()
	case r.inFlight == 0 && now.Before(r.notBefore):
		return Action{Kind: ActionWait, Until: earlier(r.notBefore, r.deadline)}
	case r.inFlight == 0 && r.sends >= r.policy.MaxSends:
		return r.finish()
	}
	entry, found := r.pick(entries)
	switch {
	case !found && r.inFlight > 0:
		return Action{Kind: ActionWait, Until: r.deadline}
	case !found:
		return r.finish()
	}
	return r.send(now, entry)
}

// Failed records the failure of one send.
func (r *Request) Failed(now time.Time, err *clementineport.Error) {
	r.inFlight--
	r.lastErr = err
	r.redirect = err.Entry
	if err.Verdict() == clementineport.NotRun {
		r.unproven--
	} else if r.uncertain == nil {
		r.uncertain = err
	}
	r.done = r.done || isFinal(err)
	backoff := min(r.policy.Backoff<<max(r.sends-1, 0), r.policy.MaxBackoff)
	r.notBefore = now.Add(time.Duration((0.5 + r.jitter()) * float64(backoff)))
}

// NeedsBudget reports whether the next send may add load to entries that are slow or failing: a hedge, or a resend
// after an entry answered with a failure.
func (r *Request) NeedsBudget(now time.Time) bool {
	if r.done || r.sends == 0 || r.sends >= r.policy.MaxSends {
		return false
	}
	if r.inFlight > 0 {
		return r.hedgeDue(now)
	}
	return !now.Before(r.notBefore) && !IsConnectionLoss(r.lastErr)
}

// DenyBudget suppresses a send that needs budget: an unanswered send is not hedged, and a failed request ends.
func (r *Request) DenyBudget() {
	r.hedgeAt = r.deadline
	r.done = r.inFlight == 0
}

// Finish ends the request and returns its error, whose verdict covers all sends.
func (r *Request) Finish() *clementineport.Error { return r.finish().Err }

func (r *Request) send(now time.Time, entry Entry) Action {
	if r.needsID() {
		r.id = r.newID(r.ticket(entry))
		r.unproven = 0
	}
	hedge := r.inFlight > 0
	r.sends++
	r.inFlight++
	r.unproven++
	r.used[entry.Address]++
	r.redirect = ""
	r.hedgeAt = r.deadline
	if r.policy.HedgeShare > 0 && !hedge {
		after := time.Duration(float64(r.deadline.Sub(now)) * r.policy.HedgeShare)
		if r.policy.HedgeAfter > 0 {
			after = min(after, r.policy.HedgeAfter)
		}
		r.hedgeAt = now.Add(after)
	}
	return Action{Kind: ActionSend, Entry: entry, Request: r.id, Hedge: hedge}
}

// ticket returns the prefix of a new id. Only the ids of non-idempotent requests name a process.
func (r *Request) ticket(entry Entry) string {
	if r.idempotent {
		return ""
	}
	return entry.Ticket
}

// needsID reports whether the next send needs a new id. That is the case for the first send, and for a resend of a
// non-idempotent request if every earlier send is proven not to have run.
func (r *Request) needsID() bool {
	switch {
	case r.id == "":
		return true
	case r.idempotent:
		return false
	case r.policy.AlwaysNewID:
		return r.sends > 0
	default:
		return r.unproven == 0
	}
}

func (r *Request) hedgeDue(now time.Time) bool {
	return r.inFlight == 1 && r.sends < r.policy.MaxSends && !now.Before(r.hedgeAt)
}

func (r *Request) waitHedge() Action {
	until := r.deadline
	if r.inFlight == 1 && r.sends < r.policy.MaxSends {
		until = earlier(r.hedgeAt, r.deadline)
	}
	return Action{Kind: ActionWait, Until: until}
}

// pick returns the entry named by the last refusal, or else the first of the least used entries.
func (r *Request) pick(entries []Entry) (Entry, bool) {
	best := -1
	for i, e := range entries {
		if !r.idempotent && r.needsID() && e.Ticket == "" {
			continue
		}
		if e.Address == r.redirect && r.used[e.Address] == 0 {
			return e, true
		}
		if best < 0 || r.used[e.Address] < r.used[entries[best].Address] {
			best = i
		}
	}
	if best < 0 {
		return Entry{}, false
	}
	return entries[best], true
}

func (r *Request) finish() Action {
	err := r.lastErr
	switch {
	case r.uncertain != nil:
		err = &clementineport.Error{Fault: r.uncertain.Fault, Reason: r.uncertain.Reason, Err: r.uncertain.Err}
		if r.lastErr != nil {
			err.RetryAfter = r.lastErr.RetryAfter
		}
	case r.inFlight > 0:
		err = clementineport.Fail(clementineport.FaultTimeout, "no answer within the deadline")
	case err == nil:
		err = clementineport.Fail(clementineport.FaultUnavailable, "no entry could be asked")
	}
	r.done = true
	return Action{Kind: ActionFinish, Err: err}
}

// isFinal reports whether a failure would be the same at every other entry, or asks the caller to retry later.
func isFinal(err *clementineport.Error) bool {
	switch err.Fault {
	case clementineport.FaultShed, clementineport.FaultInvalid, clementineport.FaultNotFound,
		clementineport.FaultUnauthorized, clementineport.FaultDuplicate, clementineport.FaultDeadline,
		clementineport.FaultCoverage:
		return true
	case clementineport.FaultDraining, clementineport.FaultStale, clementineport.FaultNotOwner:
		return false
	default:
		return err.RetryAfter > 0
	}
}

// IsConnectionLoss reports whether a failure shows that the entry is gone or leaving, and not that it is overloaded.
func IsConnectionLoss(err *clementineport.Error) bool {
	switch err.Fault {
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultReset,
		clementineport.FaultCut, clementineport.FaultDraining, clementineport.FaultStale:
		return true
	default:
		return false
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
