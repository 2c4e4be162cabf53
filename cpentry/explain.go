package cpentry

import (
	"sync"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather"
)

// explanations keeps the traces of the most recent queries.
type explanations struct {
	mu    sync.Mutex
	ring  []*cpgather.Trace
	next  int
	index map[clementineport.RequestID]int
}

func newExplanations(n int) *explanations {
	return &explanations{ring: make([]*cpgather.Trace, n), index: make(map[clementineport.RequestID]int, n)}
}

func (x *explanations) add(t *cpgather.Trace) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if old := x.ring[x.next]; old != nil && x.index[old.Request] == x.next {
		delete(x.index, old.Request)
	}
	x.ring[x.next] = t
	x.index[t.Request] = x.next
	x.next = (x.next + 1) % len(x.ring)
}

// Explain returns the trace of a recent query, or nil.
func (e *Entry) Explain(id clementineport.RequestID) *cpgather.Trace {
	x := e.explained
	x.mu.Lock()
	defer x.mu.Unlock()
	i, ok := x.index[id]
	if !ok {
		return nil
	}
	return x.ring[i]
}
