package cppick

import (
	"sync/atomic"
	"time"
)

// estimateStep is the relative change of a quantile estimate per sample.
const estimateStep = 0.1

// quantile estimates one quantile of a stream by small relative steps up and down.
// Concurrent samples may overwrite each other, which loses single steps only.
type quantile struct{ ns atomic.Int64 }

func (q *quantile) load() time.Duration { return time.Duration(q.ns.Load()) }

func (q *quantile) reset() { q.ns.Store(0) }

// observe moves the estimate of quantile p; the first sample sets it, or start does.
func (q *quantile) observe(x, start time.Duration, p float64) {
	old := float64(q.ns.Load())
	switch {
	case old == 0 && start > 0:
		old = float64(start)
	case old == 0:
		q.ns.Store(int64(x))
		return
	}
	if float64(x) > old {
		old *= 1 + estimateStep*p
	} else {
		old *= 1 - estimateStep*(1-p)
	}
	q.ns.Store(int64(max(old, 1)))
}

// random is a seeded sequence that many goroutines may draw from.
type random struct{ state atomic.Uint64 }

func (r *random) next() uint64 {
	x := r.state.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// jitter returns a time between half of d and d.
func (r *random) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.next()%uint64(d/2+1))
}
