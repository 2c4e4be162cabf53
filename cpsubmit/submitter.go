package cpsubmit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
)

// Submitter makes configuration changes by executing the steps of sessions. It is safe for concurrent use.
type Submitter struct {
	opts    []Option
	options Options

	mu   sync.Mutex
	rand *rand.Rand
}

// New returns a Submitter.
func New(opts ...Option) *Submitter {
	o := newOptions(opts)
	return &Submitter{opts: opts, options: o, rand: rand.New(rand.NewPCG(o.Seed, 0))}
}

// Submit checks a text and stores it as a new revision if nothing has changed since the revision that it is based on.
// The error is a *ConflictError or a *clementineport.Error; for an invalid text that has FaultInvalid and wraps
// cpestate.Faults. After an error whose verdict is MayHaveRun, sending the same submission again returns the outcome.
func (s *Submitter) Submit(ctx context.Context, sub Submission) (Result, error) {
	if err := checkIdentity(sub.ID, sub.Author); err != nil {
		return Result{}, err
	}
	if err := s.options.Check(sub.Text); err != nil {
		return Result{}, &clementineport.Error{Fault: clementineport.FaultInvalid, Reason: "the text has faults", Err: err}
	}
	return s.run(ctx, NewTextSession(sub, s.opts...))
}

// SetOut takes a VM or a failure domain out of service or returns it to service, even if the configuration has changed
// since the revision that the request is based on.
func (s *Submitter) SetOut(ctx context.Context, r OutRequest) (Result, error) {
	if err := checkOutRequest(&r); err != nil {
		return Result{}, err
	}
	return s.run(ctx, NewOutSession(r, s.opts...))
}

func (s *Submitter) run(ctx context.Context, session *Session) (Result, error) {
	step := session.Start()
	for retries := 0; step.Kind != StepDone; {
		if step.Backoff {
			s.backoff(ctx, retries)
			retries++
		}
		if err := ctx.Err(); err != nil {
			step = session.Abandon(err)
			continue
		}
		step = s.execute(ctx, session, &step)
	}
	return step.Result, step.Err
}

func (s *Submitter) execute(ctx context.Context, session *Session, step *Step) Step {
	if step.Kind == StepRead {
		stored, version, err := Read(ctx, s.options.Store)
		if err != nil {
			return session.ReadFailed(err)
		}
		return session.Read(stored, s.options.InForce(), version, s.options.Clock.Now())
	}
	value, err := cpestate.EncodeConfig(step.Config)
	if err != nil {
		return session.Wrote(err)
	}
	_, err = s.options.Store.CompareAndSwap(ctx, ConfigKey, step.Expected, value)
	return session.Wrote(err)
}

// backoff waits for a random time between half and the full exponential delay, so that submitters do not retry
// at the same time.
func (s *Submitter) backoff(ctx context.Context, n int) {
	s.mu.Lock()
	delay := s.options.Backoff << min(n, 6)
	delay = delay/2 + time.Duration(s.rand.Int64N(int64(delay/2)+1))
	s.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-s.options.Clock.After(delay):
	}
}

// Read returns the stored configuration and its version; the configuration is nil if there is none.
func Read(ctx context.Context, store clementineport.Store) (*clementineport.Config, uint64, error) {
	item, err := store.Get(ctx, ConfigKey)
	if err != nil || item.Version == 0 {
		return nil, 0, err
	}
	cfg, err := cpestate.DecodeConfig(item.Value)
	return cfg, item.Version, err
}
