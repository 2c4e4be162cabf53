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

// BaselinePolicy is the name of the baseline policy in a query.
const BaselinePolicy = "baseline"

// Baseline is a plain policy to compare with: random targets, called directly from each VM without limits,
// no hedges, and a retry on any error.
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

// Update gives the baseline a new table.
func (b *Baseline) Update(t *clementineport.Table) {
	if t == nil {
		return
	}
	if v := b.view.Load(); v == nil || v.table != t {
		b.view.Store(&baselineView{table: t, targets: b.Picker.View(t)})
	}
}

// runBaseline runs a query under the baseline policy, which learns what targets hold from the main policy.
func (e *Entry) runBaseline(
	ctx context.Context, q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable,
) (*clementineport.Answer, error) {
	b := e.opts.Baseline
	if b == nil || b.view.Load() == nil {
		return nil, clementineport.Fail(clementineport.FaultInvalid, "Policy: %q is not allowed here", q.Policy)
	}
	choice, err := e.choose(ctx, q, view, service, &router{control: e.opts.Control, peers: e.opts.Peers})
	if err != nil {
		return nil, err
	}
	plain := b.view.Load()
	machine := cpgather.NewWithOptions(cpgather.Plan{
		Query:   q,
		Service: plain.table.Services[q.Service],
		View:    plain.targets,
		Targets: plain.table.Targets,
		Choice:  choice,
	}, b.Gather)
	return cpscatter.Run(ctx, e.opts.Clock, machine, cpscatter.SendFunc(
		func(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
			r := &clementineport.RelayRequest{From: e.opts.Self.ID, Revision: view.Revision, Calls: calls}
			_ = b.Relayer.Relay(ctx, r, deliver)
		},
	))
}
