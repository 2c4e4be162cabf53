package cpsubmit

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// StepKind is what a session wants done next.
type StepKind uint8

const (
	// StepRead reads the key and reports to Read or ReadFailed.
	StepRead StepKind = iota
	// StepWrite writes Step.Config at Step.Expected and reports to Wrote.
	StepWrite
	// StepDone ends the session with Step.Result or Step.Err.
	StepDone
)

// Step is the next action of a session.
type Step struct {
	Kind StepKind
	// Backoff is true when the last try failed and the next one should wait a little.
	Backoff  bool
	Expected uint64
	Config   *clementineport.Config
	// CreateKey is true when Config is not a new revision, but fills an absent key.
	CreateKey bool
	Result    Result
	Err       error
}

// Session decides, step by step, what becomes of one change. It is not safe for concurrent use.
type Session struct {
	opts     Options
	req      request
	failures int
	// uncertain is true after a write that may have had an effect.
	uncertain bool
	// expected is the version at which the last write was made.
	expected uint64
	writing  *clementineport.Config
	// anchoring is true while the last write fills an absent key.
	anchoring bool
	restored  bool
}

// NewTextSession returns a session for an edited text, which has been checked.
func NewTextSession(sub Submission, opts ...Option) *Session {
	o := newOptions(opts)
	return &Session{opts: o, req: &textRequest{Submission: sub, diff: o.Diff}}
}

// NewOutSession returns a session for a move.
func NewOutSession(m OutRequest, opts ...Option) *Session {
	o := newOptions(opts)
	return &Session{opts: o, req: &outRequest{OutRequest: m, hasDomain: o.HasDomain}}
}

// Start returns the first step.
func (s *Session) Start() Step { return Step{Kind: StepRead} }

// Read takes what the store holds and the newest configuration in force; each may be nil.
func (s *Session) Read(stored, inForce *clementineport.Config, version uint64, now time.Time) Step {
	current := s.newest(stored, inForce)
	if i := slices.IndexFunc(current.Changes, s.isMine); i >= 0 && s.opts.Deduplicate {
		s.failures = 0
		return s.done(Result{Revision: current.Changes[i].Revision, Config: current, Repeated: true})
	}
	if based := s.req.basedOn(); (based > 0 || s.req.exact()) && !reaches(current, based) {
		return fail(clementineport.Fail(clementineport.FaultDuplicate,
			"the history does not reach back to revision %d, so an earlier try may have been accepted", based))
	}
	if s.req.exact() && s.opts.CheckBase && s.req.basedOn() != current.Revision {
		return s.conflict(current, version)
	}
	text, out, summary, err := s.req.apply(current)
	if err != nil {
		return s.refuse(err, version)
	}
	if s.anchoring = version == 0 && s.opts.CreateKey; s.anchoring {
		return Step{Kind: StepWrite, Config: current, CreateKey: true}
	}
	change := clementineport.Change{
		Revision: current.Revision + 1, Submission: s.req.id(), Author: s.req.author(), At: now, Summary: summary,
	}
	s.writing = &clementineport.Config{
		Revision: change.Revision, Text: text, OutOfService: out, Changes: kept(append(slices.Clone(current.Changes), change)),
	}
	s.expected = version
	return Step{Kind: StepWrite, Expected: version, Config: s.writing}
}

// newest returns the newer of what is stored and what is in force, so that revisions rise after a restore.
func (s *Session) newest(stored, inForce *clementineport.Config) *clementineport.Config {
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

func (s *Session) isMine(c clementineport.Change) bool { return c.Submission == s.req.id() }

// reaches reports whether every change after the revision is remembered.
func reaches(cfg *clementineport.Config, revision clementineport.Revision) bool {
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

// refuse ends the session, unless a write that is still on its way may be accepted at this version.
func (s *Session) refuse(err error, version uint64) Step {
	if s.uncertain && version == s.expected {
		return fail(unknown(err))
	}
	return fail(err)
}

// ReadFailed takes a failed read.
func (s *Session) ReadFailed(err error) Step { return s.retry(err) }

// Wrote takes the outcome of the last write.
func (s *Session) Wrote(err error) Step {
	switch {
	case s.anchoring && err == nil:
		return Step{Kind: StepRead}
	case err == nil:
		return s.done(Result{Revision: s.writing.Revision, Config: s.writing})
	case clementineport.FaultOf(err) == clementineport.FaultConflict:
		return Step{Kind: StepRead}
	case clementineport.FaultOf(err) == clementineport.FaultInvalid:
		return fail(err)
	case clementineport.VerdictOf(err) == clementineport.MayHaveRun && !s.anchoring:
		s.uncertain = true
		if !s.opts.ReadBack {
			return fail(unknown(err))
		}
	}
	return s.retry(err)
}

// retry reads again, or ends the session when too many calls have failed.
func (s *Session) retry(err error) Step {
	s.failures++
	if s.failures < s.opts.MaxFailures {
		return Step{Kind: StepRead, Backoff: true}
	}
	return s.Abandon(err)
}

// Abandon ends the session for lack of time or after too many failures.
func (s *Session) Abandon(err error) Step {
	if s.uncertain {
		return fail(unknown(err))
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

// unknown says that the change may have been accepted; the same submission can be sent again.
func unknown(err error) error {
	return &clementineport.Error{
		Fault:  clementineport.FaultTimeout,
		Reason: "the change may have been accepted; send the same submission again to learn it",
		Err:    err,
	}
}

func kept(changes []clementineport.Change) []clementineport.Change {
	return changes[max(0, len(changes)-MaxChanges):]
}
