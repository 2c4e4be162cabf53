// Package cprandom chooses targets at random, as a plain baseline for package cppick. It keeps what
// cppick knows of targets but neither compares nor ejects them.
package cprandom

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cppick"
)

// Picker chooses targets at random.
type Picker struct {
	inner *cppick.Picker
	state atomic.Uint64
	hedge time.Duration
}

// New returns a random picker whose HedgeAfter is fixed.
func New(seed uint64, hedge time.Duration) *Picker {
	p := &Picker{inner: cppick.New(cppick.Seed(seed), cppick.Eject(0, 0), cppick.EjectSlow(0)), hedge: hedge}
	p.state.Store(seed)
	return p
}

// View implements clementineport.Picker.
func (p *Picker) View(t *clementineport.Table) clementineport.TargetView {
	return &view{TargetView: p.inner.View(t), picker: p}
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
func (v *view) HedgeAfter(clementineport.TargetIndex) time.Duration { return v.picker.hedge }

func (p *Picker) next() uint64 {
	x := p.state.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
