// Package cpfailover decides to which entry VM a caller sends a request, when it sends it again, and under
// which id. It never gives a non-idempotent request a new id after a send that may have run. It opens no
// connections; time, entries and outcomes are passed in.
package cpfailover

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Entry is one entry VM as the list of entries describes it.
type Entry struct {
	VM      clementineport.VMID
	Address string
	Domain  clementineport.FailureDomain
	Ticket  string
}

// Defaults of the rules.
const (
	DefaultMaxSends   = 8
	DefaultBackoff    = 5 * time.Millisecond
	DefaultMaxBackoff = 200 * time.Millisecond
	DefaultHedgeShare = 0.6 // of the time left when the first send starts
)

// Policy bound the sends of one request.
type Policy struct {
	// MaxSends is the largest number of sends of one request.
	MaxSends int
	// Backoff is the time before the first resend; it doubles with each resend.
	Backoff time.Duration
	// MaxBackoff is the longest time before a resend.
	MaxBackoff time.Duration
	// HedgeShare is the share of the time left after which a silent send is joined by a second one;
	// zero turns second sends off.
	HedgeShare float64
	// HedgeAfter, if it is set and shorter, is the time after which a silent send is joined by a second one.
	HedgeAfter time.Duration
	// AlwaysNewID gives a new id to every resend, whatever the fault; it is the baseline of comparisons
	// and lets a non-idempotent request run twice.
	AlwaysNewID bool
}

// DefaultPolicy returns the default bounds.
func DefaultPolicy() Policy {
	return Policy{
		MaxSends:   DefaultMaxSends,
		Backoff:    DefaultBackoff,
		MaxBackoff: DefaultMaxBackoff,
		HedgeShare: DefaultHedgeShare,
	}
}

// ActionKind says what to do next with a request.
type ActionKind uint8

const (
	// ActionSend is to send the request.
	ActionSend ActionKind = iota
	// ActionWait is to wait for a result or until a time.
	ActionWait
	// ActionFinish is to give up with an error.
	ActionFinish
)

// Action is what to do next with a request.
type Action struct {
	Kind    ActionKind
	Entry   Entry
	Request clementineport.RequestID
	// Hedge is true for a second send while the first is silent.
	Hedge bool
	Until time.Time
	Err   *clementineport.Error
}

// Request decides the sends of one request. It is pure: time, entries and outcomes are passed in.
type Request struct {
	rules      Policy
	idempotent bool
	started    time.Time
	deadline   time.Time
	id         clementineport.RequestID
	newID      func(ticket string) clementineport.RequestID
	jitter     func() float64

	sends     int
	inFlight  int
	unproven  int // sends of the current id that are not proven not-run
	overlapAt time.Time
	notBefore time.Time
	used      map[string]int
	redirect  string
	last      *clementineport.Error
	open      *clementineport.Error // the first failure that may have run
	final     bool
}

// NewRequest returns the state of a request before its first send. A query that already has an id may have
// been sent before, so a non-idempotent one keeps that id.
func NewRequest(
	rules Policy, q *clementineport.Query, now time.Time,
	newID func(ticket string) clementineport.RequestID, jitter func() float64,
) *Request {
	r := &Request{
		rules:      rules,
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
		r.open = clementineport.Fail(clementineport.FaultDuplicate, "an earlier send may have run")
	}
	return r
}

// Next returns what to do now, given the entries in order of preference.
func (r *Request) Next(now time.Time, entries []Entry) Action {
	switch {
	case r.final || !now.Before(r.deadline):
		return r.finish()
	case r.inFlight > 0 && !r.overlapDue(now):
		return r.waitOverlap()
	case r.inFlight == 0 && now.Before(r.notBefore):
		return Action{Kind: ActionWait, Until: earlier(r.notBefore, r.deadline)}
	case r.inFlight == 0 && r.sends >= r.rules.MaxSends:
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
	r.last = err
	r.redirect = err.Entry
	if err.Verdict() == clementineport.NotRun {
		r.unproven--
	} else if r.open == nil {
		r.open = err
	}
	r.final = r.final || isFinal(err)
	backoff := min(r.rules.Backoff<<max(r.sends-1, 0), r.rules.MaxBackoff)
	r.notBefore = now.Add(time.Duration((0.5 + r.jitter()) * float64(backoff)))
}

// NeedsBudget reports whether the next send may add load to entries that are slow or failing: a second send
// while the first is silent, or a resend after an entry answered with a failure.
func (r *Request) NeedsBudget(now time.Time) bool {
	if r.final || r.sends == 0 || r.sends >= r.rules.MaxSends {
		return false
	}
	if r.inFlight > 0 {
		return r.overlapDue(now)
	}
	return !now.Before(r.notBefore) && !IsConnectionLoss(r.last)
}

// DenyBudget withholds a send that needs budget: a silent send is waited for, and a failed request is given up.
func (r *Request) DenyBudget() {
	r.overlapAt = r.deadline
	r.final = r.inFlight == 0
}

// Finish gives the request up and returns its error, which says what is known of the sends.
func (r *Request) Finish() *clementineport.Error { return r.finish().Err }

func (r *Request) send(now time.Time, entry Entry) Action {
	if r.needsID() {
		r.id = r.newID(r.ticket(entry))
		r.unproven = 0
	}
	overlap := r.inFlight > 0
	r.sends++
	r.inFlight++
	r.unproven++
	r.used[entry.Address]++
	r.redirect = ""
	r.overlapAt = r.deadline
	if r.rules.HedgeShare > 0 && !overlap {
		after := time.Duration(float64(r.deadline.Sub(now)) * r.rules.HedgeShare)
		if r.rules.HedgeAfter > 0 {
			after = min(after, r.rules.HedgeAfter)
		}
		r.overlapAt = now.Add(after)
	}
	return Action{Kind: ActionSend, Entry: entry, Request: r.id, Hedge: overlap}
}

// ticket returns what a new id begins with; only ids of non-idempotent requests name a process.
func (r *Request) ticket(entry Entry) string {
	if r.idempotent {
		return ""
	}
	return entry.Ticket
}

// needsID reports whether the next send takes a new id: the first send does, and so does a resend of a
// non-idempotent request when every earlier send is proven not to have run.
func (r *Request) needsID() bool {
	switch {
	case r.id == "":
		return true
	case r.idempotent:
		return false
	case r.rules.AlwaysNewID:
		return r.sends > 0
	default:
		return r.unproven == 0
	}
}

func (r *Request) overlapDue(now time.Time) bool {
	return r.inFlight == 1 && r.sends < r.rules.MaxSends && !now.Before(r.overlapAt)
}

func (r *Request) waitOverlap() Action {
	until := r.deadline
	if r.inFlight == 1 && r.sends < r.rules.MaxSends {
		until = earlier(r.overlapAt, r.deadline)
	}
	return Action{Kind: ActionWait, Until: until}
}

// pick chooses the entry that a refusal named, or the first of the entries used least.
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
	err := r.last
	switch {
	case r.open != nil:
		err = &clementineport.Error{Fault: r.open.Fault, Reason: r.open.Reason, Err: r.open.Err}
		if r.last != nil {
			err.RetryAfter = r.last.RetryAfter
		}
	case r.inFlight > 0:
		err = clementineport.Fail(clementineport.FaultTimeout, "no answer within the deadline")
	case err == nil:
		err = clementineport.Fail(clementineport.FaultUnavailable, "no entry could be asked")
	}
	r.final = true
	return Action{Kind: ActionFinish, Err: err}
}

// isFinal reports whether a failure would be the same at every other entry or asks not to come back yet.
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

// IsConnectionLoss reports whether a failure shows that the entry is gone or leaving, not that it is loaded.
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
