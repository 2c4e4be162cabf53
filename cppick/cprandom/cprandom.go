// Package cprandom picks targets at random, as a baseline for package cppick. It keeps the state of targets as
// cppick does, but neither compares nor ejects targets.
package cprandom

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppick"
)

// Picker picks targets at random.
type Picker struct {
	base       *cppick.Picker
	state      atomic.Uint64
	hedgeAfter time.Duration
}

// New returns a Picker with a constant hedge delay.
func New(seed uint64, hedge time.Duration) *Picker {
	p := &Picker{base: cppick.New(cppick.Seed(seed), cppick.Eject(0, 0), cppick.EjectSlow(0)), hedgeAfter: hedge}
	p.state.Store(seed)
	return p
}

// View implements clementineport.Picker.
func (p *Picker) View(t *clementineport.Table) clementineport.TargetView {
	return &view{TargetView: p.base.View(t), picker: p}
}

type view struct {
	clementineport.TargetView
	picker *Picker
}

// Pick implements clementineport.TargetView.
func (v *view) Pick(r *clementineport.PickRequest) (clementineport.TargetIndex, bool) {
	chosen, n := clementineport.NoTarget, uint64(0)
	for _, t := range r.Replicas {
		if !v.Usable(t, r.Now) || slices.Contains(r.Tried, t) ||
			v.Holds(t, r.Snapshot) == clementineport.SnapshotAbsent {
			continue
		}
		n++
		if v.picker.next()%n == 0 {
			chosen = t
		}
	}
	return chosen, n > 0
}

// HedgeAfter implements clementineport.TargetView.
func (v *view) HedgeAfter(clementineport.TargetIndex) time.Duration { return v.picker.hedgeAfter }

func (p *Picker) next() uint64 {
	x := p.state.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
