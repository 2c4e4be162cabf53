package cpfaketarget

import (
	"net/http"
	"slices"

	"github.com/clementineport/clementineport"
)

// Run is a non-idempotent call that has started to run.
type Run struct {
	Request clementineport.RequestID
	Shard   clementineport.ShardID
	Text    string
}

// Runs returns the non-idempotent calls that have started to run since the last reset.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.model.stats.runs)
}

// runs serves the non-idempotent calls that have started to run at any target of the fleet.
func (f Fleet) runs(w http.ResponseWriter, _ *http.Request) {
	var all []Run
	for _, t := range f {
		all = append(all, t.Runs()...)
	}
	writeJSON(w, http.StatusOK, struct{ Runs []Run }{all})
}
