package cpentry

import (
	"sync"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
)

// explainedQuery is what a trace counts for beside its calls.
const explainedQuery = 4 // calls

// explanations keeps the traces of the most recent queries, as many as their calls allow.
type explanations struct {
	mu sync.Mutex
	// most bounds held, the sum of the calls of the traces.
	most, held int
	// recent are the traces, the oldest first.
	recent    []*cpattempt.Trace
	byRequest map[clementineport.RequestID]*cpattempt.Trace
}

func newExplanations(most int) *explanations {
	return &explanations{most: most, byRequest: make(map[clementineport.RequestID]*cpattempt.Trace)}
}

func (x *explanations) add(t *cpattempt.Trace) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recent = append(x.recent, t)
	x.byRequest[t.Request] = t
	x.held += t.Stats.Calls + explainedQuery
	for x.held > x.most && len(x.recent) > 1 {
		x.dropOldest()
	}
}

func (x *explanations) dropOldest() {
	oldest := x.recent[0]
	x.recent[0] = nil
	x.recent = x.recent[1:]
	x.held -= oldest.Stats.Calls + explainedQuery
	if x.byRequest[oldest.Request] == oldest {
		delete(x.byRequest, oldest.Request)
	}
}

// Explain returns the trace of a recent query, or nil.
func (e *Entry) Explain(id clementineport.RequestID) *cpattempt.Trace {
	x := e.explained
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.byRequest[id]
}
