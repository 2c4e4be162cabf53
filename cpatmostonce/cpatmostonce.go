// Package cpatmostonce deduplicates non-idempotent requests, so that each runs at most once.
//
// It issues tickets that bind request ids to this process, remembers the ids of requests that have started, and
// answers a resend with the outcome of the first run. It starts no work, reads no clock and keeps its state in
// memory only.
package cpatmostonce

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Generation numbers the tickets of one process.
type Generation uint64

// Kind is the kind of a Decision.
type Kind uint8

const (
	// Refuse means that the request must not run; Err is the reason.
	Refuse Kind = iota
	// Run means that the caller must run the request now and call End afterwards.
	Run
	// Join means that the request is in progress; Pending delivers its outcome.
	Join
	// Done means that the request has already ended; Answer and Err are its outcome.
	Done
	// Redirect means that only the process Start may run the request.
	Redirect
)

// Decision is the result of Begin for a request.
type Decision struct {
	Kind Kind
	// Start is the process that may run the request, if Kind is Redirect.
	Start clementineport.StartID
	// Pending is the run in progress, if Kind is Join.
	Pending *Pending
	// Verdict is the verdict of the request, if Kind is Done or Refuse.
	Verdict clementineport.Verdict
	// Answer is the answer of the request, if Kind is Done. If it is no longer kept, it is nil and Err is set.
	// It is shared and must not be modified.
	Answer *clementineport.Answer
	Err    error
}

// ParseTicket returns the process that may run a request id and the generation of its ticket.
func ParseTicket(id clementineport.RequestID) (clementineport.StartID, Generation, bool) {
	start, rest, ok := strings.Cut(string(id), ".")
	if !ok || start == "" {
		return "", 0, false
	}
	number, unique, ok := strings.Cut(rest, ".")
	if !ok || unique == "" {
		return "", 0, false
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != number {
		return "", 0, false
	}
	return clementineport.StartID(start), Generation(n), true
}

// Registry remembers the non-idempotent requests of one process. Its methods are safe for concurrent use.
type Registry struct {
	opts  Options
	start clementineport.StartID

	mu          sync.Mutex
	startedAt   time.Time
	current     Generation
	generations map[Generation]generation
	idCount     int
	// keptAnswers lists the requests whose answers are kept, oldest first.
	keptAnswers []*request
	keptBytes   int
}

type generation map[clementineport.RequestID]*request

// New returns the registry of a process that started at now. The start id must not contain a dot.
func New(start clementineport.StartID, now time.Time, opts ...Option) (*Registry, error) {
	if start == "" || strings.Contains(string(start), ".") {
		return nil, clementineport.Fail(clementineport.FaultInvalid, "start id %q is empty or holds a dot", start)
	}
	return &Registry{
		opts: newOptions(opts...), start: start, startedAt: now,
		generations: map[Generation]generation{0: {}},
	}, nil
}

// Ticket returns the prefix of the request ids that this process currently accepts. A caller appends a dot and a
// unique part.
func (r *Registry) Ticket(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	return string(r.start) + "." + strconv.FormatUint(uint64(r.current), 10)
}

// Rotate starts the generation that is due at now and removes expired ones.
func (r *Registry) Rotate(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
}

func (r *Registry) rotate(now time.Time) {
	due := Generation(max(0, now.Sub(r.startedAt)) / r.opts.GenerationLength)
	if due <= r.current {
		return
	}
	r.current = due
	r.generations[due] = generation{}
	for g := range r.generations {
		if g+Generation(r.opts.KeptGenerations) <= due {
			r.expire(g)
		}
	}
}

func (r *Registry) expire(g Generation) {
	for _, q := range r.generations[g] {
		q.expired = true
	}
	r.idCount -= len(r.generations[g])
	delete(r.generations, g)
	r.keptAnswers = slices.DeleteFunc(r.keptAnswers, func(q *request) bool {
		if q.expired {
			r.keptBytes -= q.size
		}
		return q.expired
	})
}

// Begin decides what to do with a non-idempotent request.
func (r *Registry) Begin(now time.Time, id clementineport.RequestID) Decision {
	start, g, ok := ParseTicket(id)
	if !ok || len(id) > r.opts.MaxIDBytes {
		return r.refuse(clementineport.FaultInvalid, "the id of a non-idempotent request does not begin with a ticket")
	}
	if start != r.start {
		return Decision{Kind: Redirect, Start: start}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if g > r.current {
		return r.refuse(clementineport.FaultInvalid, "the ticket of the request was never given out")
	}
	gen := r.generations[g]
	if gen == nil {
		return r.refuse(clementineport.FaultDuplicate, "the ticket of the request has expired")
	}
	if q := gen[id]; q != nil && !r.opts.AllowDuplicates {
		return q.decision()
	}
	if r.idCount >= r.opts.MaxIDs && !r.evictOldest(g) {
		return r.refuse(clementineport.FaultShed, "too many non-idempotent requests are remembered")
	}
	gen[id] = &request{pending: &Pending{done: make(chan struct{})}}
	r.idCount++
	return Decision{Kind: Run}
}

func (r *Registry) refuse(fault clementineport.Fault, reason string) Decision {
	err := &clementineport.Error{Fault: fault, Reason: reason}
	if fault == clementineport.FaultShed {
		err.RetryAfter = r.opts.GenerationLength
	}
	return Decision{Kind: Refuse, Verdict: err.Verdict(), Err: err}
}

// evictOldest expires the oldest generation before g that has requests, and reports whether there was one.
func (r *Registry) evictOldest(g Generation) bool {
	oldest := g
	for k, gen := range r.generations {
		if k < oldest && len(gen) > 0 {
			oldest = k
		}
	}
	if oldest == g {
		return false
	}
	r.expire(oldest)
	return true
}

// End records the outcome of a request for which Begin returned Run. A request that is proven not to have run may
// run again.
func (r *Registry) End(id clementineport.RequestID, answer *clementineport.Answer, err error) {
	_, g, _ := ParseTicket(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.generations[g][id]
	if q == nil || q.pending == nil {
		return
	}
	q.end(answer, err)
	if q.verdict == clementineport.NotRun {
		delete(r.generations[g], id)
		r.idCount--
		return
	}
	r.keepAnswer(q)
}

// keepAnswer keeps the answer of a request and drops the oldest answers that exceed MaxAnswerBytes.
func (r *Registry) keepAnswer(q *request) {
	if q.answer == nil {
		return
	}
	r.keptAnswers = append(r.keptAnswers, q)
	r.keptBytes += q.size
	for r.keptBytes > r.opts.MaxAnswerBytes {
		oldest := r.keptAnswers[0]
		r.keptBytes -= oldest.size
		oldest.answer = nil
		r.keptAnswers[0] = nil
		r.keptAnswers = r.keptAnswers[1:]
	}
}
