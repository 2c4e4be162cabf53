package cpsubmit

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// StepKind is the kind of action that a session needs next.
type StepKind uint8

const (
	// StepRead reads the key; the result goes to Read or ReadFailed.
	StepRead StepKind = iota
	// StepWrite writes Step.Config at version Step.Expected; the result goes to Wrote.
	StepWrite
	// StepDone ends the session with Step.Result or Step.Err.
	StepDone
)

// Step is the next action of a session.
type Step struct {
	Kind StepKind
	// Backoff is true if the last call failed and the next one should be delayed.
	Backoff  bool
	Expected uint64
	Config   *clementineport.Config
	// CreateKey is true if Config is not a new revision, but the current one that is written to create an absent key.
	CreateKey bool
	Result    Result
	Err       error
}

// Session is the state machine that carries out one change. It makes no calls itself: its methods take the result of
// the last step and return the next one. It is not safe for concurrent use.
type Session struct {
	opts     Options
	req      request
	failures int
	// uncertain is true after a write that may have had an effect.
	uncertain bool
	// expected is the version that the last write of a new revision expected.
	expected uint64
	writing  *clementineport.Config
	// creatingKey is true if the last write was to create an absent key.
	creatingKey bool
	restored    bool
}

// NewTextSession returns a session for an edited text, which must have been checked.
func NewTextSession(sub Submission, opts ...Option) *Session {
	o := newOptions(opts)
	return &Session{opts: o, req: &textRequest{Submission: sub, diff: o.Diff}}
}

// NewOutSession returns a session that takes something out of service or returns it to service.
func NewOutSession(r OutRequest, opts ...Option) *Session {
	o := newOptions(opts)
	return &Session{opts: o, req: &outRequest{OutRequest: r, hasDomain: o.HasDomain}}
}

// Start returns the first step.
func (s *Session) Start() Step { return Step{Kind: StepRead} }

// Read handles the result of a read: the stored configuration and its version. The inForce configuration is the newest
// one known to this VM. Both may be nil.
func (s *Session) Read(stored, inForce *clementineport.Config, version uint64, now time.Time) Step {
	current := s.newestOf(stored, inForce)
	if i := slices.IndexFunc(current.Changes, s.isSameSubmission); i >= 0 && s.opts.Deduplicate {
		s.failures = 0
		return s.done(Result{Revision: current.Changes[i].Revision, Config: current, Repeated: true})
	}
	if base := s.req.basedOn(); (base > 0 || s.req.needsBase()) && !historyReaches(current, base) {
		return fail(clementineport.Fail(clementineport.FaultDuplicate,
			"the history does not reach back to revision %d, so an earlier try may have been accepted", base))
	}
	if s.req.needsBase() && s.opts.CheckBase && s.req.basedOn() != current.Revision {
		return s.conflict(current, version)
	}
	text, out, summary, err := s.req.apply(current)
	if err != nil {
		return s.refuse(err, version)
	}
	if s.creatingKey = version == 0 && s.opts.CreateKey; s.creatingKey {
		return Step{Kind: StepWrite, Config: current, CreateKey: true}
	}
	change := clementineport.Change{
		Revision: current.Revision + 1, Submission: s.req.id(), Author: s.req.author(), At: now, Summary: summary,
	}
	s.writing = &clementineport.Config{
		Revision: change.Revision, Text: text, OutOfService: out, Changes: newestChanges(append(slices.Clone(current.Changes), change)),
	}
	s.expected = version
	return Step{Kind: StepWrite, Expected: version, Config: s.writing}
}

// newestOf returns the newer of the stored configuration and the one in force, so that revisions keep rising
// after the store was restored to an older state.
func (s *Session) newestOf(stored, inForce *clementineport.Config) *clementineport.Config {
	current := stored
	if current == nil {
		current = &clementineport.Config{}
	}
	if inForce != nil && inForce.Revision > current.Revision {
		s.restored = true
		if s.opts.MonotonicRevisions {
			current = inForce
		}
	}
	return current
}

func (s *Session) isSameSubmission(c clementineport.Change) bool { return c.Submission == s.req.id() }

// historyReaches reports whether the history of a configuration has every change after the revision.
func historyReaches(cfg *clementineport.Config, revision clementineport.Revision) bool {
	return len(cfg.Changes) == 0 || cfg.Changes[0].Revision <= revision+1
}

func (s *Session) conflict(current *clementineport.Config, version uint64) Step {
	e := &ConflictError{Current: current.Revision}
	for _, c := range current.Changes {
		if c.Revision > s.req.basedOn() {
			e.Changes = append(e.Changes, c)
		}
	}
	return s.refuse(e, version)
}

// refuse ends the session with an error. If an earlier write may still arrive and be accepted at this version, the error
// says that the outcome is unknown.
func (s *Session) refuse(err error, version uint64) Step {
	if s.uncertain && version == s.expected {
		return fail(outcomeUnknown(err))
	}
	return fail(err)
}

// ReadFailed handles a failed read.
func (s *Session) ReadFailed(err error) Step { return s.retry(err) }

// Wrote handles the result of a write.
func (s *Session) Wrote(err error) Step {
	switch {
	case s.creatingKey && err == nil:
		return Step{Kind: StepRead}
	case err == nil:
		return s.done(Result{Revision: s.writing.Revision, Config: s.writing})
	case clementineport.FaultOf(err) == clementineport.FaultConflict:
		return Step{Kind: StepRead}
	case clementineport.FaultOf(err) == clementineport.FaultInvalid:
		return fail(err)
	case clementineport.VerdictOf(err) == clementineport.MayHaveRun && !s.creatingKey:
		s.uncertain = true
		if !s.opts.ReadBack {
			return fail(outcomeUnknown(err))
		}
	}
	return s.retry(err)
}

// retry returns to the read step, or ends the session if too many calls have failed.
func (s *Session) retry(err error) Step {
	s.failures++
	if s.failures < s.opts.MaxFailures {
		return Step{Kind: StepRead, Backoff: true}
	}
	return s.Abandon(err)
}

// Abandon ends the session because of a timeout or too many failed calls.
func (s *Session) Abandon(err error) Step {
	if s.uncertain {
		return fail(outcomeUnknown(err))
	}
	return fail(&clementineport.Error{
		Fault: clementineport.FaultUnavailable, Reason: "the store can't be reached; nothing was written", Err: err,
	})
}

func (s *Session) done(r Result) Step {
	r.Restored = s.restored
	return Step{Kind: StepDone, Result: r}
}

func fail(err error) Step { return Step{Kind: StepDone, Err: err} }

// outcomeUnknown returns an error that says that the change may have been accepted. Sending the same submission again
// is safe and returns the outcome.
func outcomeUnknown(err error) error {
	return &clementineport.Error{
		Fault:  clementineport.FaultTimeout,
		Reason: "the change may have been accepted; send the same submission again to learn it",
		Err:    err,
	}
}

func newestChanges(changes []clementineport.Change) []clementineport.Change {
	return changes[max(0, len(changes)-MaxChanges):]
}
