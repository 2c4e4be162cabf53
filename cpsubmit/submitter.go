package cpsubmit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpestate"
)

// Submitter carries out the steps of sessions. Its methods may be called from many goroutines.
type Submitter struct {
	opts []Option
	o    Options

	mu  sync.Mutex
	rnd *rand.Rand
}

// New returns a submitter.
func New(opts ...Option) *Submitter {
	o := newOptions(opts)
	return &Submitter{opts: opts, o: o, rnd: rand.New(rand.NewPCG(o.Seed, 0))}
}

// Submit checks a text and makes it the configuration if nothing has changed since the revision it was based on.
// The error is a *ConflictError, cpestate.Faults in an Error with FaultInvalid, or an *Error;
// an error that may have run is settled by the same submission again.
func (s *Submitter) Submit(ctx context.Context, sub Submission) (Result, error) {
	if err := checkIdentity(sub.ID, sub.Author); err != nil {
		return Result{}, err
	}
	if err := s.o.Check(sub.Text); err != nil {
		return Result{}, &clementineport.Error{Fault: clementineport.FaultInvalid, Reason: "the text has faults", Err: err}
	}
	return s.run(ctx, NewTextSession(sub, s.opts...))
}

// SetOut takes out a VM or failure domain or brings it back, whatever else has changed.
func (s *Submitter) SetOut(ctx context.Context, m OutRequest) (Result, error) {
	if err := checkMove(&m); err != nil {
		return Result{}, err
	}
	return s.run(ctx, NewOutSession(m, s.opts...))
}

func (s *Submitter) run(ctx context.Context, session *Session) (Result, error) {
	step := session.Start()
	for pauses := 0; step.Kind != StepDone; {
		if step.Backoff {
			s.pause(ctx, pauses)
			pauses++
		}
		if err := ctx.Err(); err != nil {
			step = session.Abandon(err)
			continue
		}
		step = s.act(ctx, session, &step)
	}
	return step.Result, step.Err
}

func (s *Submitter) act(ctx context.Context, session *Session, step *Step) Step {
	if step.Kind == StepRead {
		stored, version, err := Read(ctx, s.o.Store)
		if err != nil {
			return session.ReadFailed(err)
		}
		return session.Read(stored, s.o.InForce(), version, s.o.Clock.Now())
	}
	value, err := cpestate.EncodeConfig(step.Config)
	if err != nil {
		return session.Wrote(err)
	}
	_, err = s.o.Store.CompareAndSwap(ctx, ConfigKey, step.Expected, value)
	return session.Wrote(err)
}

// pause waits between half and the whole of a doubling time, so that submitters do not return together.
func (s *Submitter) pause(ctx context.Context, n int) {
	s.mu.Lock()
	span := s.o.Backoff << min(n, 6)
	span = span/2 + time.Duration(s.rnd.Int64N(int64(span/2)+1))
	s.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-s.o.Clock.After(span):
	}
}

// Read returns the configuration that the store holds and its version; it is nil if there is none.
func Read(ctx context.Context, store clementineport.Store) (*clementineport.Config, uint64, error) {
	item, err := store.Get(ctx, ConfigKey)
	if err != nil || item.Version == 0 {
		return nil, 0, err
	}
	cfg, err := cpestate.DecodeConfig(item.Value)
	return cfg, item.Version, err
}
