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
	// first is the lowest attempt of the relay; open has a bit for each attempt from first on, which is set
	// while a call of the relay has that attempt and no result.
	first clementineport.AttemptID
	open  []uint64
	left  int
}

const wordBits = 64

func newPending(calls []clementineport.Call) *pending {
	first, last := calls[0].Attempt, calls[0].Attempt
	for i := range calls {
		first, last = min(first, calls[i].Attempt), max(last, calls[i].Attempt)
	}
	p := &pending{calls: calls, first: first, open: make([]uint64, int(last-first)/wordBits+1), left: len(calls)}
	for i := range calls {
		word, mask := p.bit(calls[i].Attempt)
		p.open[word] |= mask
	}
	return p
}

// bit returns the word and the mask of an attempt; the word is out of range for an attempt of another relay.
func (p *pending) bit(a clementineport.AttemptID) (word int, mask uint64) {
	n := int(a) - int(p.first)
	if n < 0 {
		return len(p.open), 0
	}
	return n / wordBits, 1 << (n % wordBits)
}

// take reports whether this is the first result of an attempt of the relay.
func (p *pending) take(a clementineport.AttemptID) bool {
	word, mask := p.bit(a)
	if word >= len(p.open) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[word]&mask == 0 {
		return false
	}
	p.open[word] &^= mask
	p.left--
	return true
}

// remaining returns the calls without a result.
func (p *pending) remaining() []clementineport.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make([]clementineport.Call, 0, p.left)
	for i := range p.calls {
		if word, mask := p.bit(p.calls[i].Attempt); p.left > 0 && p.open[word]&mask != 0 {
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
