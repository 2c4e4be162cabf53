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
	errRoute       = clementineport.Fail(clementineport.FaultCanceled, "the call failed between VMs")
)

// mailbox passes results from senders to the goroutine of the query. Senders never wait for it, and
// results that come after it is closed are observed and dropped.
type mailbox struct {
	clock   clementineport.Clock
	view    clementineport.TargetView
	targets []clementineport.TargetRow
	notify  chan struct{}
	began   time.Time

	mu      sync.Mutex
	calls   []expected
	results []clementineport.CallResult
	closed  bool
}

// expected is a call that was sent; its index is its attempt less one.
type expected struct {
	target   clementineport.TargetIndex
	observed bool
	// sent is counted from the start of the mailbox.
	sent time.Duration
}

func newMailbox(clock clementineport.Clock, m *cpgather.Machine) *mailbox {
	return &mailbox{
		clock: clock, view: m.View(), targets: m.Targets(), notify: make(chan struct{}, 1), began: clock.Now(),
	}
}

// expect notes the calls that are about to be sent.
func (b *mailbox) expect(actions []cpgather.Action) {
	at := b.clock.Now().Sub(b.began)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = slices.Grow(b.calls, len(actions))
	for _, a := range actions {
		if a.Kind != cpgather.Send {
			continue
		}
		for len(b.calls) < int(a.Attempt) {
			b.calls = append(b.calls, expected{observed: true})
		}
		b.calls[a.Attempt-1] = expected{target: a.Target, sent: at}
	}
}

// deliver observes the first result of each call and hands all results to the query.
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

// observe tells the target view about a result. A failure between VMs says nothing about the target. A
// cancelled call gets the time since it was sent, so that a target whose calls are always overtaken by hedges
// is seen to be slow.
func (b *mailbox) observe(c expected, r clementineport.CallResult) {
	now := b.clock.Now()
	cancelled := clementineport.FaultOf(r.Err) == clementineport.FaultCanceled
	if r.RelayFailed {
		r.Err = errRoute
		cancelled = b.isClosed()
	}
	if cancelled && r.Elapsed == 0 {
		r.Elapsed = now.Sub(b.began) - c.sent
	}
	b.view.Observe(c.target, now, &r)
}

func (b *mailbox) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// claim reports whether a result is the first of its call.
func (b *mailbox) claim(id clementineport.AttemptID, target clementineport.TargetID) (expected, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := int(id) - 1
	if i < 0 || i >= len(b.calls) || b.calls[i].observed {
		return expected{}, false
	}
	c := b.calls[i]
	if target != "" && target != b.targets[c.target].ID {
		return expected{}, false
	}
	b.calls[i].observed = true
	return c, true
}

// end fails the calls of a batch that were not delivered.
func (b *mailbox) end(ctx context.Context, calls []clementineport.Call) {
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

// take returns the results that have come.
func (b *mailbox) take() []clementineport.CallResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	results := b.results
	b.results = nil
	return results
}

// close drops later results.
func (b *mailbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.results = nil
}
