package cppick

import (
	"sync/atomic"
	"time"
)

// estimateStep is the relative change of a quantile estimate per sample, before weighting by the quantile.
const estimateStep = 0.1

// quantile estimates one quantile of a stream by small relative steps up and down. It is safe for concurrent use;
// concurrent samples may overwrite each other, which only loses single steps.
type quantile struct{ ns atomic.Int64 }

func (q *quantile) load() time.Duration { return time.Duration(q.ns.Load()) }

func (q *quantile) reset() { q.ns.Store(0) }

// observe moves the estimate of quantile p towards x. The first estimate is start, or x if start is zero.
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

// random is a seeded random source that is safe for concurrent use.
type random struct{ state atomic.Uint64 }

func (r *random) next() uint64 {
	x := r.state.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// jitter returns a random duration between d/2 and d.
func (r *random) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.next()%uint64(d/2+1))
}
