package cpscatter

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather"
)

var (
	errUndelivered = clementineport.Fail(clementineport.FaultUnknown, "the call ended without a result")
	errRelay       = clementineport.Fail(clementineport.FaultCanceled, "the call failed between VMs")
)

// mailbox passes results from the senders to the goroutine of the query. Senders never block on it. Results
// that arrive after it is closed are observed and dropped.
type mailbox struct {
	clock   clementineport.Clock
	view    clementineport.TargetView
	targets []clementineport.TargetRow
	notify  chan struct{}
	start   time.Time

	mu      sync.Mutex
	calls   []sentCall
	results []clementineport.CallResult
	closed  bool
}

// sentCall is a call that was sent; its index is its attempt id minus one.
type sentCall struct {
	target   clementineport.TargetIndex
	observed bool
	// sent is relative to the start of the mailbox.
	sent time.Duration
}

func newMailbox(clock clementineport.Clock, m *cpgather.Machine) *mailbox {
	return &mailbox{
		clock: clock, view: m.View(), targets: m.Targets(), notify: make(chan struct{}, 1), start: clock.Now(),
	}
}

// register records the calls that are about to be sent.
func (b *mailbox) register(actions []cpgather.Action) {
	at := b.clock.Now().Sub(b.start)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = slices.Grow(b.calls, len(actions))
	for _, a := range actions {
		if a.Kind != cpgather.Send {
			continue
		}
		for len(b.calls) < int(a.Attempt) {
			b.calls = append(b.calls, sentCall{observed: true})
		}
		b.calls[a.Attempt-1] = sentCall{target: a.Target, sent: at}
	}
}

// deliver observes the first result of each call and passes every result to the query.
func (b *mailbox) deliver(r clementineport.CallResult) {
	if c, ok := b.claim(r.Attempt, r.Target); ok {
		b.observe(c, r)
	}
	b.mu.Lock()
	if !b.closed {
		b.results = append(b.results, r)
	}
	b.mu.Unlock()
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// observe reports a result to the target view. A failure between VMs is reported as a cancelled call, since it
// implies nothing about the target. A cancelled call gets the time since it was sent as its elapsed time, so
// that a target whose calls always lose against hedges is still recognised as slow. A failure between VMs gets it
// only once the query has ended, since its calls are cancelled then.
func (b *mailbox) observe(c sentCall, r clementineport.CallResult) {
	now := b.clock.Now()
	cancelled := clementineport.FaultOf(r.Err) == clementineport.FaultCanceled
	if r.RelayFailed {
		r.Err = errRelay
		cancelled = b.isClosed()
	}
	if cancelled && r.Elapsed == 0 {
		r.Elapsed = now.Sub(b.start) - c.sent
	}
	b.view.Observe(c.target, now, &r)
}

func (b *mailbox) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// claim returns the call of a result and whether the result is the first one of that call.
func (b *mailbox) claim(id clementineport.AttemptID, target clementineport.TargetID) (sentCall, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := int(id) - 1
	if i < 0 || i >= len(b.calls) || b.calls[i].observed {
		return sentCall{}, false
	}
	c := b.calls[i]
	if target != "" && target != b.targets[c.target].ID {
		return sentCall{}, false
	}
	b.calls[i].observed = true
	return c, true
}

// failUndelivered fails the calls of a batch for which no result was delivered.
func (b *mailbox) failUndelivered(ctx context.Context, calls []clementineport.Call) {
	err := errUndelivered
	if ctx.Err() != nil {
		err = clementineport.Fail(clementineport.FaultCanceled, "the query has ended")
	}
	for i := range calls {
		if !b.observed(calls[i].Attempt) {
			b.deliver(clementineport.CallResult{
				Attempt: calls[i].Attempt, Shard: calls[i].Shard, Target: calls[i].Target, Err: err,
			})
		}
	}
}

func (b *mailbox) observed(id clementineport.AttemptID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls[id-1].observed
}

// take returns and removes the results that have arrived.
func (b *mailbox) take() []clementineport.CallResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	results := b.results
	b.results = nil
	return results
}

// close makes the mailbox drop all further results.
func (b *mailbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.results = nil
}
