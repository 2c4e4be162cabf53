// Package cpscatter runs the Machine of cpgather: it sends the calls of one query, hands their results back
// and waits for the time.
//
// One goroutine runs the machine; senders run beside it and never wait for it. The package decides nothing
// about targets, hedges, retries or the answer.
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
	// Send makes the calls and delivers the result of each; it returns when it delivers no more.
	// A call without a result when Send returns counts as failed.
	Send(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult))
	// Cancel stops an attempt whose result is no longer needed; it does not wait.
	Cancel(attempt clementineport.AttemptID)
}

// SendFunc is a Sender that stops calls only through their context.
type SendFunc func(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult))

// Send implements Sender.
func (f SendFunc) Send(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
	f(ctx, calls, deliver)
}

// Cancel implements Sender.
func (SendFunc) Cancel(clementineport.AttemptID) {}

// Run runs a machine until its answer is closed. The answer states what is covered also when the error
// refuses it. Every sent call is observed once in the target view, those with late results included.
func Run(
	ctx context.Context, clock clementineport.Clock, m *cpgather.Machine, s Sender,
) (*clementineport.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{clock: clock, machine: m, sender: s, box: newMailbox(clock, m)}
	defer r.box.close()
	r.do(ctx, m.Start(clock.Now()))
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

// step takes the results that have come before it looks at the time, so that a paused process merges them.
func (r *runner) step(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		r.do(ctx, r.machine.Abort(r.clock.Now()))
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
		r.do(ctx, r.machine.Tick(now))
		return
	}
	if r.timer == nil || next.Before(r.timerAt) {
		r.timer, r.timerAt = r.clock.After(next.Sub(now)), next
	}
	select {
	case <-ctx.Done():
		r.do(ctx, r.machine.Abort(r.clock.Now()))
	case <-r.box.notify:
		r.take(ctx)
	case <-r.timer:
		r.timer = nil
		r.do(ctx, r.machine.Tick(r.clock.Now()))
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

// do carries out the actions of one step.
func (r *runner) do(ctx context.Context, actions []cpgather.Action) {
	r.collect(actions)
	r.flush(ctx)
}

// collect cancels calls at once and notes those to be sent.
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
	r.box.expect(actions)
}

// flush sends the noted calls together, so that those to one VM can share a message.
func (r *runner) flush(ctx context.Context) {
	calls := r.calls
	r.calls = nil
	if len(calls) == 0 {
		return
	}
	go func() {
		r.sender.Send(ctx, calls, r.box.deliver)
		r.box.end(ctx, calls)
	}()
}
