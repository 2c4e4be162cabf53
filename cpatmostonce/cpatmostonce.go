// Package cpatmostonce decides whether a non-idempotent request may run in this process.
//
// It hands out tickets that bind request ids to this process, remembers the ids that began, and answers a
// resend with the first outcome. It starts no work, reads no clock and writes nothing outside its memory.
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

// Kind says what to do with a request.
type Kind uint8

const (
	// Refuse means that the request must not run; Err says why.
	Refuse Kind = iota
	// Run means that the request runs now; the caller must call End.
	Run
	// Join means that the request is in progress; its outcome comes through Pending.
	Join
	// Done means that the request has ended; Answer and Err are its outcome.
	Done
	// Redirect means that only the process Start may run the request.
	Redirect
)

// Decision is what Begin decided about a request.
type Decision struct {
	Kind Kind
	// Start is the process that may run the request, when it is Elsewhere.
	Start clementineport.StartID
	// Pending is the run in progress, when the request is to Join it.
	Pending *Pending
	// Verdict is the verdict of a request that is Done or refused.
	Verdict clementineport.Verdict
	// Answer is the answer of a request that is Done; it is nil, and Err set, if it is no longer kept.
	// It is shared and must not be changed.
	Answer *clementineport.Answer
	Err    error
}

// ParseTicket splits a request id into the process that may run it and its generation.
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

// Registry remembers the non-idempotent requests of one process; its methods may be called from many goroutines.
type Registry struct {
	opts  Options
	start clementineport.StartID

	mu          sync.Mutex
	began       time.Time
	current     Generation
	generations map[Generation]generation
	ids         int
	// kept lists the requests whose answers are kept, oldest first.
	kept      []*request
	keptBytes int
}

type generation map[clementineport.RequestID]*request

// New returns the registry of a process that started at now; a start id holds no dot.
func New(start clementineport.StartID, now time.Time, opts ...Option) (*Registry, error) {
	if start == "" || strings.Contains(string(start), ".") {
		return nil, clementineport.Fail(clementineport.FaultInvalid, "start id %q is empty or holds a dot", start)
	}
	return &Registry{
		opts: newOptions(opts...), start: start, began: now,
		generations: map[Generation]generation{0: {}},
	}, nil
}

// Ticket returns the prefix of ids that this process may run now; a caller adds a dot and a unique part.
func (r *Registry) Ticket(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	return string(r.start) + "." + strconv.FormatUint(uint64(r.current), 10)
}

// Rotate starts the generation that is due at now and forgets expired ones.
func (r *Registry) Rotate(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
}

func (r *Registry) rotate(now time.Time) {
	due := Generation(max(0, now.Sub(r.began)) / r.opts.GenerationLength)
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
		q.forgotten = true
	}
	r.ids -= len(r.generations[g])
	delete(r.generations, g)
	r.kept = slices.DeleteFunc(r.kept, func(q *request) bool {
		if q.forgotten {
			r.keptBytes -= q.size
		}
		return q.forgotten
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
	if r.ids >= r.opts.MaxIDs && !r.makeRoom(g) {
		return r.refuse(clementineport.FaultShed, "too many non-idempotent requests are remembered")
	}
	gen[id] = &request{pending: &Pending{done: make(chan struct{})}}
	r.ids++
	return Decision{Kind: Run}
}

func (r *Registry) refuse(fault clementineport.Fault, reason string) Decision {
	err := &clementineport.Error{Fault: fault, Reason: reason}
	if fault == clementineport.FaultShed {
		err.RetryAfter = r.opts.GenerationLength
	}
	return Decision{Kind: Refuse, Verdict: err.Verdict(), Err: err}
}

// makeRoom expires the oldest generation before g that holds requests, or reports that there is none.
func (r *Registry) makeRoom(g Generation) bool {
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

// End records the outcome of a request that Begin let run; a request that is proven not to have run may run again.
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
		r.ids--
		return
	}
	r.keep(q)
}

// keep holds the answer of a request and drops the oldest ones beyond the budget.
func (r *Registry) keep(q *request) {
	if q.answer == nil {
		return
	}
	r.kept = append(r.kept, q)
	r.keptBytes += q.size
	for r.keptBytes > r.opts.MaxAnswerBytes {
		oldest := r.kept[0]
		r.keptBytes -= oldest.size
		oldest.answer = nil
		r.kept[0] = nil
		r.kept = r.kept[1:]
	}
}
