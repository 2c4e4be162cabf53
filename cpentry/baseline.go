package cpentry

import (
	"context"
	"sync/atomic"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cpscatter"
	"github.com/clementineport/clementineport/cpview"
)

// BaselinePolicy is the value of Query.Policy that selects the baseline policy.
const BaselinePolicy = "baseline"

// Baseline is a simple policy for comparisons: it picks random targets, calls them directly from each VM without
// limits, sends no hedges and retries on any error.
type Baseline struct {
	Picker  clementineport.Picker
	Relayer cprelay.Relayer
	Gather  cpgather.Options
	view    atomic.Pointer[baselineView]
}

type baselineView struct {
	table   *clementineport.Table
	targets clementineport.TargetView
}

// NewBaseline returns the baseline policy.
func NewBaseline(p clementineport.Picker, r cprelay.Relayer, g cpgather.Options) *Baseline {
	return &Baseline{Picker: p, Relayer: r, Gather: g}
}

// Update sets the table of targets; a nil table is ignored.
func (b *Baseline) Update(t *clementineport.Table) {
	if t == nil {
		return
	}
	if v := b.view.Load(); v == nil || v.table != t {
		b.view.Store(&baselineView{table: t, targets: b.Picker.View(t)})
	}
}

// runBaseline runs a query under the baseline policy. Its snapshot is chosen from the target state that the main
// policy keeps.
func (e *Entry) runBaseline(
	ctx context.Context, q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable,
) (*clementineport.Answer, error) {
	b := e.opts.Baseline
	if b == nil || b.view.Load() == nil {
		return nil, clementineport.Fail(clementineport.FaultInvalid, "Policy: %q is not allowed here", q.Policy)
	}
	choice, err := e.chooseSnapshot(ctx, q, view, service, &router{control: e.opts.Control, peers: e.opts.Peers})
	if err != nil {
		return nil, err
	}
	current := b.view.Load()
	machine := cpgather.NewWithOptions(cpgather.Plan{
		Query:   q,
		Service: current.table.Services[q.Service],
		View:    current.targets,
		Targets: current.table.Targets,
		Choice:  choice,
	}, b.Gather)
	return cpscatter.Run(ctx, e.opts.Clock, machine, cpscatter.SendFunc(
		func(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
			r := &clementineport.RelayRequest{From: e.opts.Self.ID, Revision: view.Revision, Calls: calls}
			_ = b.Relayer.Relay(ctx, r, deliver)
		},
	))
}
