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
	taken map[clementineport.AttemptID]bool
}

func newPending(calls []clementineport.Call) *pending {
	return &pending{calls: calls, taken: make(map[clementineport.AttemptID]bool, len(calls))}
}

// take reports whether this is the first result of an attempt.
func (p *pending) take(a clementineport.AttemptID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.taken[a] {
		return false
	}
	p.taken[a] = true
	return true
}

// left returns the calls without a result.
func (p *pending) left() []clementineport.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.taken) == len(p.calls) {
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
