// Package cpscatter runs the Machine of package cpgather for one query: it sends the calls, passes results back
// and calls Tick on time.
//
// One goroutine runs the machine. Senders run concurrently and never block on it. All decisions about targets,
// hedges, retries and the answer are made by the machine.
package cpscatter

import (
	"context"
	"errors"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather"
)

// Sender sends the calls of one query.
type Sender interface {
	// Send sends the calls and delivers the result of each. It returns when no further results will be delivered;
	// calls without a result by then count as failed.
	Send(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult))
	// Cancel cancels an attempt whose result is no longer needed. It does not block.
	Cancel(attempt clementineport.AttemptID)
}

// SendFunc adapts a function to a Sender. Its calls are cancelled only through their context.
type SendFunc func(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult))

// Send implements Sender.
func (f SendFunc) Send(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
	f(ctx, calls, deliver)
}

// Cancel implements Sender; it does nothing.
func (SendFunc) Cancel(clementineport.AttemptID) {}

// Run runs a machine until its answer is closed. The answer states its coverage even if it is refused with an
// error. Every sent call is observed exactly once in the target view, including calls with late results.
func Run(
	ctx context.Context, clock clementineport.Clock, m *cpgather.Machine, s Sender,
) (*clementineport.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{clock: clock, machine: m, sender: s, box: newMailbox(clock, m)}
	defer r.box.close()
	r.execute(ctx, m.Start(clock.Now()))
	for !m.Finished() {
		r.step(ctx)
	}
	return m.Answer(), m.Err()
}

type runner struct {
	clock   clementineport.Clock
	machine *cpgather.Machine
	sender  Sender
	box     *mailbox
	calls   []clementineport.Call
	timer   <-chan time.Time
	timerAt time.Time
}

// step handles the results that have arrived before it checks the time, so that a process that was paused still
// merges them.
func (r *runner) step(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		r.execute(ctx, r.machine.Abort(r.clock.Now()))
		return
	}
	select {
	case <-r.box.notify:
		r.take(ctx)
		return
	default:
	}
	now, next := r.clock.Now(), r.machine.NextTick()
	if !now.Before(next) {
		r.execute(ctx, r.machine.Tick(now))
		return
	}
	if r.timer == nil || next.Before(r.timerAt) {
		r.timer, r.timerAt = r.clock.After(next.Sub(now)), next
	}
	select {
	case <-ctx.Done():
		r.execute(ctx, r.machine.Abort(r.clock.Now()))
	case <-r.box.notify:
		r.take(ctx)
	case <-r.timer:
		r.timer = nil
		r.execute(ctx, r.machine.Tick(r.clock.Now()))
	}
}

func (r *runner) take(ctx context.Context) {
	results := r.box.take()
	now := r.clock.Now()
	for i := range results {
		r.collect(r.machine.Result(now, &results[i]))
	}
	r.flush(ctx)
}

// execute executes the actions of one step.
func (r *runner) execute(ctx context.Context, actions []cpgather.Action) {
	r.collect(actions)
	r.flush(ctx)
}

// collect cancels calls immediately and queues the calls to be sent.
func (r *runner) collect(actions []cpgather.Action) {
	if len(actions) == 0 {
		return
	}
	if r.calls == nil {
		r.calls = make([]clementineport.Call, 0, len(actions))
	}
	for _, a := range actions {
		switch a.Kind {
		case cpgather.Send:
			r.calls = append(r.calls, r.machine.Call(a))
		case cpgather.Cancel:
			r.sender.Cancel(a.Attempt)
		}
	}
	r.box.register(actions)
}

// flush sends the queued calls in one batch, so that calls to the same VM can share a message.
func (r *runner) flush(ctx context.Context) {
	calls := r.calls
	r.calls = nil
	if len(calls) == 0 {
		return
	}
	go func() {
		r.sender.Send(ctx, calls, r.box.deliver)
		r.box.failUndelivered(ctx, calls)
	}()
}
