package cprelay

import (
	"errors"
	"sync"

	"github.com/clementineport/clementineport"
)

// pending tracks which calls of one relay have no result yet.
type pending struct {
	mu    sync.Mutex
	calls []clementineport.Call
	// firstAttempt is the lowest attempt of the relay. unfinished has one bit for each attempt from firstAttempt on;
	// the bit is set while a call of the relay with that attempt has no result.
	firstAttempt   clementineport.AttemptID
	unfinished     []uint64
	remainingCalls int
}

const wordBits = 64

func newPending(calls []clementineport.Call) *pending {
	first, last := calls[0].Attempt, calls[0].Attempt
	for i := range calls {
		first, last = min(first, calls[i].Attempt), max(last, calls[i].Attempt)
	}
	p := &pending{calls: calls, firstAttempt: first, unfinished: make([]uint64, int(last-first)/wordBits+1), remainingCalls: len(calls)}
	for i := range calls {
		word, mask := p.bit(calls[i].Attempt)
		p.unfinished[word] |= mask
	}
	return p
}

// bit returns the index of the word and the mask of an attempt. The index may be out of range for an attempt that
// does not belong to the relay.
func (p *pending) bit(a clementineport.AttemptID) (word int, mask uint64) {
	n := int(a) - int(p.firstAttempt)
	if n < 0 {
		return len(p.unfinished), 0
	}
	return n / wordBits, 1 << (n % wordBits)
}

// markDone marks an attempt as finished. It returns false if the attempt is not one of the relay or already has a
// result.
func (p *pending) markDone(a clementineport.AttemptID) bool {
	word, mask := p.bit(a)
	if word >= len(p.unfinished) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unfinished[word]&mask == 0 {
		return false
	}
	p.unfinished[word] &^= mask
	p.remainingCalls--
	return true
}

// remaining returns the calls without a result.
func (p *pending) remaining() []clementineport.Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make([]clementineport.Call, 0, p.remainingCalls)
	for i := range p.calls {
		if word, mask := p.bit(p.calls[i].Attempt); p.remainingCalls > 0 && p.unfinished[word]&mask != 0 {
			calls = append(calls, p.calls[i])
		}
	}
	return calls
}

// asError returns err as an *Error. An error of another type becomes FaultUnknown: the call may have run.
func asError(err error) *clementineport.Error {
	if e, ok := errors.AsType[*clementineport.Error](err); ok {
		return e
	}
	return &clementineport.Error{Fault: clementineport.FaultUnknown, Err: err}
}
