package cpentry

import (
	"sync"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
)

// traceOverhead is added to the calls of a trace to account for its fixed size.
const traceOverhead = 4 // calls

// explanations keeps the traces of the most recent queries, bounded by the number of calls in them.
type explanations struct {
	mu sync.Mutex
	// maxCalls bounds storedCalls, the number of calls in the traces including traceOverhead for each trace.
	maxCalls, storedCalls int
	// traces is ordered from the oldest to the newest.
	traces    []*cpattempt.Trace
	byRequest map[clementineport.RequestID]*cpattempt.Trace
}

func newExplanations(maxCalls int) *explanations {
	return &explanations{maxCalls: maxCalls, byRequest: make(map[clementineport.RequestID]*cpattempt.Trace)}
}

func (x *explanations) add(t *cpattempt.Trace) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.traces = append(x.traces, t)
	x.byRequest[t.Request] = t
	x.storedCalls += t.Stats.Calls + traceOverhead
	for x.storedCalls > x.maxCalls && len(x.traces) > 1 {
		x.dropOldest()
	}
}

func (x *explanations) dropOldest() {
	oldest := x.traces[0]
	x.traces[0] = nil
	x.traces = x.traces[1:]
	x.storedCalls -= oldest.Stats.Calls + traceOverhead
	if x.byRequest[oldest.Request] == oldest {
		delete(x.byRequest, oldest.Request)
	}
}

// Explain returns the trace of a recent query, or nil if it is not stored.
func (e *Entry) Explain(id clementineport.RequestID) *cpattempt.Trace {
	x := e.explanations
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.byRequest[id]
}
