package cprelay

import (
	"errors"
	"sync"

	"github.com/clementineport/clementineport"
)

// pending tracks the calls of one relay that have no result yet.
type pending struct {
	mu    sync.Mutex
	calls []clementineport.Call
	// taken holds every attempt of the relay, and whether it has a result.
	taken map[clementineport.AttemptID]bool
	open  int
}

func newPending(calls []clementineport.Call) *pending {
	p := &pending{calls: calls, taken: make(map[clementineport.AttemptID]bool, len(calls)), open: len(calls)}
	for i := range calls {
		p.taken[calls[i].Attempt] = false
	}
	return p
}

// take reports whether this is the first result of an attempt of the relay.
func (p *pending) take(a clementineport.AttemptID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if taken, ok := p.taken[a]; taken || !ok {
		return false
	}
	p.taken[a] = true
	p.open--
	return true
}

// left returns the calls without a result.
func (p *pending) left() []clementineport.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == 0 {
		return nil
	}
	var calls []clementineport.Call
	for i := range p.calls {
		if !p.taken[p.calls[i].Attempt] {
			calls = append(calls, p.calls[i])
		}
	}
	return calls
}

// asError returns an error with a verdict; an unknown one may have run.
func asError(err error) *clementineport.Error {
	if e, ok := errors.AsType[*clementineport.Error](err); ok {
		return e
	}
	return &clementineport.Error{Fault: clementineport.FaultUnknown, Err: err}
}
