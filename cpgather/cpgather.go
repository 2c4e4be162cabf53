// Package cpgather implements the scatter-gather state machine of one query. It decides which calls to send,
// hedge, retry and cancel, which results to accept, when to restart on another snapshot, and when to close the
// answer.
//
// A Machine is pure: it takes results and the current time and returns actions. It reads its target view and
// records sent calls there, but opens no connections, starts no goroutines and reads no clock.
// Package cpscatter is the adapter that runs a Machine.
package cpgather

import (
	"math"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
	"github.com/clementineport/clementineport/cpcoverage"
	"github.com/clementineport/clementineport/cpdeadline"
	"github.com/clementineport/clementineport/cpmerge"
	"github.com/clementineport/clementineport/cpsnapshot"
)

// never is later than every deadline.
const never = time.Duration(math.MaxInt64)

// Plan is the input of a Machine.
type Plan struct {
	Query   *clementineport.Query
	Service *clementineport.ServiceTable
	View    clementineport.TargetView
	// Targets are the target rows of the table that Service belongs to.
	Targets []clementineport.TargetRow
	// Choice is the snapshot that the query is pinned to.
	Choice cpsnapshot.Choice
	Home   clementineport.FailureDomain
}

// Machine is the state of one query; it is used by one goroutine.
type Machine struct {
	plan  Plan
	opts  Options
	start time.Time
	// now is the time of the current step; at is the same time since start.
	now time.Time
	at  time.Duration

	layout   *clementineport.LayoutTable
	shards   []shard
	attempts cpattempt.Log
	coverage cpcoverage.Tally
	actions  []Action
	hits     cpmerge.Merger
	pick     clementineport.PickRequest
	tried    []clementineport.TargetIndex

	// tailSize is the number of outstanding shards at or below which their calls are hedged earlier.
	tailSize int

	// The following times are relative to start.
	times    cpdeadline.Schedule
	hedgeAt  time.Duration
	retryAt  time.Duration
	replanAt time.Duration

	stats      clementineport.GatherStats
	dropped    int
	retryAfter time.Duration
	// overloaded is true when a target has refused a call of the query because of overload.
	overloaded bool
	finished   bool
	aborted    clementineport.Fault
	closed     time.Duration
}

var machines = sync.Pool{New: func() any { return new(Machine) }}

// New returns a machine for a plan.
func New(plan Plan, opts ...Option) *Machine { return NewWithOptions(plan, NewOptions(opts...)) }

// NewWithOptions returns a machine for a plan with prepared options.
func NewWithOptions(plan Plan, opts Options) *Machine {
	m := machines.Get().(*Machine)
	*m = Machine{
		plan: plan, opts: opts,
		shards: m.shards[:0], attempts: m.attempts, actions: m.actions[:0], tried: m.tried[:0],
		coverage: m.coverage, hits: m.hits,
	}
	m.attempts.Reset()
	m.coverage.Reset(&plan.Service.Service, 0)
	m.hits.SetLimit(plan.Query.Limit)
	return m
}

// Release returns the buffers of a finished machine to the pool. The machine must not be used afterwards.
func (m *Machine) Release() {
	m.hits.Reset()
	m.plan, m.opts, m.layout, m.pick = Plan{}, Options{}, nil, clementineport.PickRequest{}
	machines.Put(m)
}

// Start plans the query and returns the first calls. The actions that a method returns are valid until the
// next method call.
func (m *Machine) Start(now time.Time) []Action {
	m.start = now
	m.beginStep(now)
	left := m.plan.Query.Deadline.Sub(now)
	if m.plan.Query.Deadline.IsZero() {
		left = m.plan.Service.Service.Deadline
	}
	m.times = m.opts.Deadline.Schedule(left)
	m.hedgeAt, m.retryAt, m.replanAt = never, never, m.opts.ReplanInterval
	m.planFirstCalls()
	if m.shouldClose() {
		m.finish()
	}
	return m.actions
}

// Result processes the result of an attempt.
func (m *Machine) Result(now time.Time, r *clementineport.CallResult) []Action {
	m.beginStep(now)
	if m.finished {
		m.recordLate(r)
		return m.actions
	}
	m.handleResult(r)
	m.advance()
	return m.actions
}

// Tick runs the retries, hedges and closing that are due at now.
func (m *Machine) Tick(now time.Time) []Action {
	m.beginStep(now)
	if m.finished {
		return m.actions
	}
	if m.at >= m.retryAt {
		m.retryDue()
	}
	if m.at >= m.hedgeAt {
		m.hedge()
	}
	m.advance()
	return m.actions
}

// Abort closes the query after its caller has disconnected.
func (m *Machine) Abort(now time.Time) []Action {
	m.beginStep(now)
	if !m.finished {
		m.aborted = clementineport.FaultCanceled
		m.finish()
	}
	return m.actions
}

// beginStep sets the time of a step and clears the actions.
func (m *Machine) beginStep(now time.Time) {
	m.now, m.at = now, now.Sub(m.start)
	m.actions = m.actions[:0]
	m.pick.Now = now
}

// NextTick returns the time at which Tick must be called next.
func (m *Machine) NextTick() time.Time {
	return m.start.Add(min(m.hedgeAt, m.retryAt, m.closeAt()))
}

// View returns the target view of the plan.
func (m *Machine) View() clementineport.TargetView { return m.plan.View }

// Targets returns the target rows of the plan.
func (m *Machine) Targets() []clementineport.TargetRow { return m.plan.Targets }

// Trace returns the trace of the query.
func (m *Machine) Trace() *cpattempt.Trace {
	m.stats.Calls = m.attempts.Calls()
	t := &cpattempt.Trace{
		Request:  m.plan.Query.Request,
		Snapshot: m.plan.Choice.Snapshot,
		Start:    m.start,
		Took:     m.closed,
		Stats:    m.stats,
		Dropped:  m.dropped,
	}
	t.SetAttempts(&m.attempts, m.plan.Targets)
	return t
}

// Finished reports whether the answer is closed.
func (m *Machine) Finished() bool { return m.finished }

// handleResult checks a result against its attempt and merges it or records a failure.
func (m *Machine) handleResult(r *clementineport.CallResult) {
	i := cpattempt.Index(r.Attempt)
	if i < 0 || i >= m.attempts.Len() || !m.belongs(m.attempts.At(int32(i)), r) {
		m.dropped++
		return
	}
	a := m.attempts.At(int32(i))
	if a.End != cpattempt.Open && (!m.opts.disabled(CheckAttempt) || int(a.Shard) >= len(m.shards)) {
		a.Late = r.Reply != nil
		m.recordLate(r)
		return
	}
	a.Took = m.at - a.Sent
	err := r.Err
	if err == nil {
		err = m.check(a, r.Reply)
	}
	if err == nil {
		m.stats.Queued = m.queueTime(a, r)
		m.merge(a, r.Reply)
		return
	}
	m.handleFailure(a, err)
}

// queueTime returns how long the shard of a reply waited outside its target. The wait of a retry counts from
// the start of the query.
func (m *Machine) queueTime(a *cpattempt.Attempt, r *clementineport.CallResult) time.Duration {
	switch {
	case r.Elapsed <= 0:
		return 0
	case a.Try == cpattempt.Retry:
		return max(m.at-r.Elapsed, 0)
	default:
		return max(a.Took-r.Elapsed, 0)
	}
}

// recordLate counts a result that is no longer needed. A cancelled call that ends as cancelled is expected and
// not counted.
func (m *Machine) recordLate(r *clementineport.CallResult) {
	if r.Err != nil && clementineport.FaultOf(r.Err) == clementineport.FaultCanceled {
		return
	}
	m.dropped++
	m.stats.Late++
}

// belongs reports whether a result belongs to the attempt that it names, and not to another request.
func (m *Machine) belongs(a *cpattempt.Attempt, r *clementineport.CallResult) bool {
	return m.opts.disabled(CheckReply) || a.Matches(r, m.plan.Query.Request, m.plan.Targets[a.Target].ID)
}

// check returns an error if a reply must not be merged.
func (m *Machine) check(a *cpattempt.Attempt, r *clementineport.Reply) error {
	switch {
	case r == nil:
		return errNoReply
	case m.opts.disabled(CheckReply):
		return nil
	case r.Shard != a.Shard || r.Snapshot != m.plan.Choice.Snapshot:
		m.dropped++
		return errMismatched
	}
	return nil
}

// merge merges the hits of a shard and cancels the other attempts on it.
func (m *Machine) merge(a *cpattempt.Attempt, r *clementineport.Reply) {
	sh := &m.shards[a.Shard]
	if a.End == cpattempt.Open {
		sh.inFlight--
	}
	a.End = cpattempt.Merged
	m.hits.Add(r.Hits)
	m.shardSettled(m.coverage.MarkCovered(a.Shard, len(r.Hits)))
	for i := sh.last; i >= 0 && sh.inFlight > 0; i = m.attempts.At(i).Prev {
		if m.attempts.At(i).End == cpattempt.Open {
			m.cancel(i)
		}
	}
}

func (m *Machine) cancel(i int32) {
	a := m.attempts.At(i)
	a.End = cpattempt.Canceled
	m.shards[a.Shard].inFlight--
	m.actions = append(m.actions, Action{
		Kind: Cancel, Attempt: cpattempt.ID(i), Shard: a.Shard, Target: a.Target, Try: a.Try,
	})
}

// shardSettled schedules an immediate check for stragglers when the settled shard has reduced the outstanding ones
// to tailSize.
func (m *Machine) shardSettled(outstandingBefore bool) {
	if outstandingBefore && m.coverage.Outstanding() == m.tailSize {
		m.hedgeAt = 0
	}
}
